package sprucerock.lab.slope;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;

/** All tables of the page, from results alone: the same results give the same text. */
public final class SlopeReport {
  private final RunSet runs;
  private final Allowances allowances;
  private final List<CountedCost> counted;
  private final List<Series> shown = new ArrayList<>();
  private final List<HeldOut> heldOut = new ArrayList<>();
  private final int heldOutSize;

  /**
   * @param heldOutSize the size to hold out and predict, or 0 for none
   */
  public SlopeReport(
      RunSet runs, Allowances allowances, List<CountedCost> counted, int heldOutSize) {
    this.runs = runs;
    this.allowances = allowances;
    this.counted = List.copyOf(counted);
    this.heldOutSize = heldOutSize;
    for (Series series : runs.series()) {
      if (doubled(series)) {
        continue;
      }
      shown.add(series);
      HeldOut held = heldOutSize > 0 ? HeldOut.of(series, heldOutSize) : null;
      if (held != null) {
        heldOut.add(held);
      }
    }
  }

  /** The busiest of one is the same as all of one: said once. */
  private boolean doubled(Series series) {
    String quantity = series.figure().quantity();
    String all =
        quantity.equals("cpu, busiest")
            ? "cpu, all"
            : quantity.equals("memory, largest") ? "memory, all" : null;
    if (all == null) {
      return false;
    }
    Figure other = new Figure(series.figure().subject(), all, series.figure().unit());
    return runs.series().stream()
        .anyMatch(
            one ->
                one.scene().equals(series.scene())
                    && one.figure().equals(other)
                    && one.points().equals(series.points()));
  }

  /** The series of the tables, in their order. */
  public List<Series> series() {
    return Collections.unmodifiableList(shown);
  }

  /** What was predicted at the size held out. */
  public List<HeldOut> heldOut() {
    return Collections.unmodifiableList(heldOut);
  }

  /** Whether a prediction missed by more than allowed. */
  public boolean missed() {
    return heldOut.stream().anyMatch(HeldOut::flagged);
  }

  /** Markdown, to stand between the page's markers. */
  public String markdown() {
    StringBuilder out = new StringBuilder();
    out.append("Made by `lab slopes`; what stands here is written over.\n\n");
    out.append(runs.kept()).append(runs.kept() == 1 ? " run is in.\n" : " runs are in.\n");
    list(out, "Left out:", runs.leftOut());
    list(out, "To bear in mind:", runs.cautions());
    demand(out);
    heldOut(out);
    slopes(out);
    counted(out);
    return out.toString();
  }

  private static void list(StringBuilder out, String title, List<String> lines) {
    if (lines.isEmpty()) {
      return;
    }
    out.append('\n').append(title).append("\n\n");
    for (String line : lines) {
      out.append("- ").append(cell(line)).append('\n');
    }
  }

  private void demand(StringBuilder out) {
    out.append("\n### Demand against allowance at ")
        .append(Numbers.text(allowances.planningRelays()))
        .append(" relays\n\n");
    out.append(
        "The first line is what is missing first. A factor over 1 lacks that many times the allowance.\n\n");
    row(out, "factor", "", "allowance", "limit", "demand", "by", "standing");
    line(out, 7);
    TreeSet<String> assumed = new TreeSet<>();
    for (Claim claim : Claim.all(allowances, runs.series(), counted)) {
      Allowances.Allowance allowance = claim.allowance();
      row(
          out,
          Double.isNaN(claim.factor()) ? "-" : Numbers.text(claim.factor()),
          Double.isNaN(claim.factor()) ? "unknown" : claim.over() ? "**OVER**" : "under",
          allowance.what(),
          Numbers.text(allowance.limit())
              + " "
              + allowance.unit()
              + (allowance.assumed() ? " (assumed)" : ""),
          claim.demand().known() ? Numbers.text(claim.demand().value()) + " " + claim.unit() : "-",
          claim.by(),
          claim.demand().standing());
      if (allowance.assumed()) {
        assumed.add(allowance.what() + ": " + allowance.source());
      }
    }
    list(out, "Assumed:", List.copyOf(assumed));
  }

  private void heldOut(StringBuilder out) {
    if (heldOutSize <= 0) {
      return;
    }
    out.append("\n### Predicted and then run: ")
        .append(Numbers.text(heldOutSize))
        .append(" relays\n\n");
    out.append("Fitted to the other sizes alone. A miss over ")
        .append(Math.round(100 * HeldOut.ALLOWED_MISS))
        .append("% is flagged.\n\n");
    long results = heldOut.stream().filter(held -> held.result().isPresent()).count();
    long flagged = heldOut.stream().filter(HeldOut::flagged).count();
    out.append(heldOut.size())
        .append(" of ")
        .append(shown.size())
        .append(" series predicted, ")
        .append(results)
        .append(" with a result, ")
        .append(flagged)
        .append(" flagged.\n\n");
    if (heldOut.isEmpty()) {
      return;
    }
    row(
        out,
        "scene",
        "figure",
        "by power",
        "by linear",
        "chosen",
        "predicted",
        "result",
        "miss",
        "");
    line(out, 9);
    for (HeldOut held : heldOut) {
      Slope.Prediction prediction = held.prediction();
      row(
          out,
          held.series().scene(),
          held.series().figure().toString(),
          Numbers.text(prediction.byPower()),
          Numbers.text(prediction.byLinear()),
          prediction.form(),
          Numbers.text(prediction.value()),
          held.result().isPresent() ? Numbers.text(held.result().getAsDouble()) : "no run kept up",
          Numbers.percent(held.miss()),
          held.flagged() ? "**MISSED**" : "");
    }
  }

  private void slopes(StringBuilder out) {
    TreeMap<String, List<Series>> scenes = new TreeMap<>();
    for (Series series : shown) {
      scenes.computeIfAbsent(series.scene(), name -> new ArrayList<>()).add(series);
    }
    scenes.forEach(
        (scene, all) -> {
          out.append("\n### Slopes: ").append(cell(scene)).append("\n\n");
          slopeHead(out, "figure", "at " + Numbers.text(allowances.planningRelays()));
          for (Series series : all) {
            slopeRow(out, series, series.figure().toString(), allowances.planningRelays());
          }
        });
  }

  private void counted(StringBuilder out) {
    if (counted.isEmpty()) {
      return;
    }
    out.append("\n### Counted costs\n\nCounted by tests, not by runs.\n\n");
    row(
        out,
        "cost",
        "measured at",
        "at the largest",
        "exponent (95%)",
        "growth",
        "form",
        "to plan with",
        "standing",
        "mechanism");
    line(out, 9);
    for (CountedCost cost : counted) {
      Series series = cost.series();
      Slope slope = Slope.of(series.points());
      Estimate estimate = Estimate.of(series, slope, cost.atSize());
      row(
          out,
          series.figure() + (cost.note().isBlank() ? "" : " (" + cost.note() + ")"),
          sizes(series) + " " + cost.per(),
          atMost(series),
          exponent(slope),
          growth(slope),
          formula(slope),
          (estimate.known() ? Numbers.text(estimate.value()) : "-")
              + " at "
              + Numbers.text(cost.atSize()),
          estimate.standing(),
          cost.mechanism());
    }
  }

  private static void slopeHead(StringBuilder out, String first, String planned) {
    row(out, first, "N", "at the largest", "exponent (95%)", "growth", "form", planned, "standing");
    line(out, 8);
  }

  private static void slopeRow(StringBuilder out, Series series, String name, double size) {
    Slope slope = Slope.of(series.points());
    Estimate estimate = Estimate.of(series, slope, size);
    row(
        out,
        name,
        sizes(series),
        atMost(series),
        exponent(slope),
        growth(slope),
        formula(slope),
        estimate.known() ? Numbers.text(estimate.value()) : "-",
        estimate.standing());
  }

  private static String sizes(Series series) {
    StringBuilder sizes = new StringBuilder();
    series.points().stream()
        .mapToDouble(Point::size)
        .distinct()
        .sorted()
        .forEach(size -> sizes.append(sizes.length() == 0 ? "" : "; ").append(Numbers.text(size)));
    return sizes.toString();
  }

  private static String atMost(Series series) {
    double most = series.points().stream().mapToDouble(Point::size).max().orElse(Double.NaN);
    return Numbers.text(series.at(most).orElse(Double.NaN));
  }

  private static String exponent(Slope slope) {
    if (slope.power() == null) {
      return "-";
    }
    Form.Power power = slope.power();
    return Numbers.fixed(power.k())
        + " ("
        + Numbers.fixed(power.k() - power.halfWidth())
        + " to "
        + Numbers.fixed(power.k() + power.halfWidth())
        + ")";
  }

  private static String growth(Slope slope) {
    return slope.measured() ? slope.growth() : "-";
  }

  /** The form that is believed, and how far off each is at a size that it was not told. */
  private static String formula(Slope slope) {
    if (!slope.measured()) {
      return "-";
    }
    String chosen = slope.powerChosen() ? slope.power().formula() : slope.linear().formula();
    return slope.power() == null
        ? chosen
        : chosen
            + " (left out: power "
            + Numbers.percent(slope.powerError()).replace("+", "")
            + ", linear "
            + Numbers.percent(slope.linearError()).replace("+", "")
            + ")";
  }

  private static void row(StringBuilder out, String... cells) {
    out.append('|');
    for (String cell : cells) {
      out.append(' ').append(cell(cell)).append(" |");
    }
    out.append('\n');
  }

  private static void line(StringBuilder out, int columns) {
    out.append('|').append(" --- |".repeat(columns)).append('\n');
  }

  /** Names come from files: none may end a cell, a table or the page's part. */
  private static String cell(String text) {
    return text.replaceAll("\\s+", " ").replace("|", "\\|").replace("<", "&lt;");
  }
}
