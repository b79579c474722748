package sprucerock.lab.plot;

import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.lines.SeriesLines;
import org.knowm.xchart.style.markers.SeriesMarkers;
import sprucerock.lab.slope.Figure;
import sprucerock.lab.slope.Form;
import sprucerock.lab.slope.Point;
import sprucerock.lab.slope.Series;
import sprucerock.lab.slope.Slope;

/**
 * A slope as a picture on two logarithmic axes: a power of N is a straight line there, and a fixed
 * part bends at the left.
 */
public final class SlopePlot {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 560;

  /** Enough for a curve to look like one over four decades. */
  private static final int STEPS = 60;

  private SlopePlot() {}

  /** Whether logarithmic axes have room for it. */
  public static boolean canShow(Series series) {
    return !series.points().isEmpty()
        && series.points().stream().allMatch(point -> point.value() > 0);
  }

  /** A file name of its own for each series, of letters, digits and dashes. */
  public static String fileName(Series series) {
    Figure figure = series.figure();
    String name =
        series.scene() + " " + figure.subject() + " " + figure.quantity() + " " + figure.unit();
    return name.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "-").replaceAll("^-|-$", "")
        + ".png";
  }

  /**
   * A PNG of what was measured and of both forms, as far as the size to plan with.
   *
   * @param heldOut a size whose runs were not fitted, drawn apart; 0 for none
   */
  public static byte[] png(Series series, double heldOut, double planned) throws IOException {
    System.setProperty(
        "java.awt.headless", "true"); // before the first class of AWT: no screen is looked for
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(
                series.scene()
                    + ", "
                    + series.figure().subject()
                    + ": "
                    + series.figure().quantity())
            .xAxisTitle("relays")
            .yAxisTitle(
                series.figure().unit().isEmpty()
                    ? series.figure().quantity()
                    : series.figure().unit())
            .build();
    chart
        .getStyler()
        .setXAxisLogarithmic(true)
        .setYAxisLogarithmic(true)
        .setLegendPosition(Styler.LegendPosition.InsideNW)
        .setChartBackgroundColor(Color.WHITE);
    Series told = heldOut > 0 ? series.without(heldOut) : series;
    dots(chart, "measured", told.points(), Color.BLACK);
    if (heldOut > 0) {
      dots(
          chart,
          "held out",
          series.points().stream().filter(point -> point.size() == heldOut).toList(),
          Color.RED);
    }
    Slope slope = Slope.of(told.points());
    if (slope.measured()) {
      curve(
          chart,
          name("power", slope.power(), slope.powerChosen()),
          slope.power(),
          slope.least(),
          Math.max(planned, slope.most()),
          Color.BLUE,
          slope.powerChosen());
      curve(
          chart,
          name("linear", slope.linear(), !slope.powerChosen()),
          slope.linear(),
          slope.least(),
          Math.max(planned, slope.most()),
          new Color(0, 130, 0),
          !slope.powerChosen());
    }
    return BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
  }

  private static String name(String kind, Form form, boolean chosen) {
    return kind + " " + (form == null ? "" : form.formula()) + (chosen ? " (chosen)" : "");
  }

  private static void dots(XYChart chart, String name, List<Point> points, Color color) {
    if (points.isEmpty()) {
      return;
    }
    XYSeries drawn =
        chart.addSeries(
            name,
            points.stream().map(Point::size).toList(),
            points.stream().map(Point::value).toList());
    drawn.setMarker(SeriesMarkers.CIRCLE).setMarkerColor(color).setLineStyle(SeriesLines.NONE);
  }

  private static void curve(
      XYChart chart, String name, Form form, double from, double to, Color color, boolean chosen) {
    if (form == null) {
      return;
    }
    List<Double> x = new ArrayList<>();
    List<Double> y = new ArrayList<>();
    for (int i = 0; i <= STEPS; i++) {
      double size = from * Math.pow(to / from, (double) i / STEPS);
      if (!(form.at(size) > 0)) {
        continue; // a line below 0 has no place on this axis
      }
      x.add(size);
      y.add(form.at(size));
    }
    if (x.isEmpty()) {
      return;
    }
    XYSeries drawn = chart.addSeries(name, x, y);
    drawn
        .setMarker(SeriesMarkers.NONE)
        .setLineColor(color)
        .setLineStyle(chosen ? SeriesLines.SOLID : SeriesLines.DASH_DASH);
  }
}
