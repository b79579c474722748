package sprucerock.lab.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/** Made-up results and points. */
final class Made {
  static final double[] SIZES = {30, 100, 300, 1000};

  private Made() {}

  static List<Point> points(DoubleUnaryOperator cost, double... sizes) {
    List<Point> points = new ArrayList<>();
    for (double size : sizes) {
      points.add(new Point(size, cost.applyAsDouble(size)));
    }
    return points;
  }

  /**
   * A result whose controller kept this many cores busy over 10 s, and that got 100 bytes a second
   * for each relay.
   */
  static String result(int relays, double cores, String keptUp, String whyNot) {
    return String.format(
        Locale.ROOT,
        """
            {"format":1,"scene":"mean","relays":%d,"racks":40,"units":%d,"services":1,"seconds":10.0,"kept_up":%s,"why_not":"%s",
             "processes":[{"role":"controller","name":"c0","cpu_user_s":%s,"cpu_system_s":0.0,"rss_mb":120.0,"seconds":10.0}],
             "links":[{"role":"controller","kind":"PROMISED","direction":"in","messages":%d,"bytes":%d}],
             "in_force":[{"event":"freeze","relays":%d,"missing":0,"p50_ms":12.0,"p99_ms":80.0,"last_ms":120.0}],
             "counts":{"refused":0,"reconnects":10}}
            """,
        relays,
        16 * relays,
        keptUp,
        whyNot,
        cores * 10,
        10 * relays,
        1000L * relays,
        relays);
  }

  static String result(int relays, double cores) {
    return result(relays, cores, "true", "");
  }

  static RunSet.Run run(int relays, double cores) {
    return run("run-" + relays + ".json", result(relays, cores));
  }

  static RunSet.Run run(String file, String text) {
    try {
      return new RunSet.Run(file, RunResult.parse(text));
    } catch (BadTextException e) {
      throw new AssertionError(e);
    }
  }

  static Series series(RunSet runs, String subject, String quantity) {
    return runs.series().stream()
        .filter(
            series ->
                series.figure().subject().equals(subject)
                    && series.figure().quantity().equals(quantity))
        .findFirst()
        .orElseThrow();
  }
}
