package sprucerock.lab.slope;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Runs turned into series; what is left out of them, and what makes their sizes hard to compare, is
 * said beside.
 */
public final class RunSet {
  /** A result and the name of its file. */
  public record Run(String file, RunResult result) {}

  /**
   * The role whose processes hold all N relays between them: the only one of which a relay's share
   * means something.
   */
  private static final String HOLLOW = "hollow-relays";

  private final List<Series> series = new ArrayList<>();
  private final List<String> leftOut = new ArrayList<>();
  private final List<String> cautions = new ArrayList<>();
  private final int kept;

  public RunSet(List<Run> runs) {
    SortedMap<String, SortedMap<Figure, List<Point>>> byScene = new TreeMap<>();
    SortedMap<String, List<RunResult>> scenes = new TreeMap<>();
    int count = 0;
    for (Run run : runs) {
      RunResult result = run.result();
      if (!result.keptUp()) {
        leftOut.add(
            run.file()
                + " ("
                + result.scene()
                + ", "
                + result.relays()
                + " relays) did not keep up: "
                + (result.whyNot().isBlank() ? "no reason given" : result.whyNot()));
        continue;
      }
      count++;
      SortedMap<Figure, List<Point>> ofScene =
          byScene.computeIfAbsent(result.scene(), name -> new TreeMap<>());
      figures(run)
          .forEach(
              (figure, value) ->
                  ofScene
                      .computeIfAbsent(figure, f -> new ArrayList<>())
                      .add(new Point(result.relays(), value)));
      scenes.computeIfAbsent(result.scene(), name -> new ArrayList<>()).add(result);
    }
    kept = count;
    byScene.forEach(
        (scene, figures) ->
            figures.forEach((figure, points) -> series.add(new Series(scene, figure, points))));
    scenes.forEach(this::caution);
  }

  /** A series over N alone says little where something else changes beside N. */
  private void caution(String scene, List<RunResult> results) {
    differs(
        scene,
        "units a relay",
        results.stream().map(result -> (double) result.units() / result.relays()).toList(),
        true);
    differs(
        scene,
        "services",
        results.stream().map(result -> (double) result.services()).toList(),
        false);
    differs(scene, "measured seconds", results.stream().map(RunResult::seconds).toList(), true);
  }

  /** Ratios of whole numbers and times of runs are rounded: a tenth makes no other load. */
  private void differs(String scene, String what, List<Double> values, boolean roughly) {
    double least = Collections.min(values);
    double most = Collections.max(values);
    if (most <= (roughly ? 1.1 : 1) * least) {
      return;
    }
    cautions.add(
        scene
            + ": "
            + what
            + " differ among its runs ("
            + Numbers.text(least)
            + " to "
            + Numbers.text(most)
            + "), so its slopes are not of N alone");
  }

  private SortedMap<Figure, Double> figures(Run run) {
    RunResult result = run.result();
    SortedMap<Figure, Double> values = new TreeMap<>();
    for (RunResult.ProcessUse process : result.processes()) {
      values.merge(new Figure(process.role(), "cpu, all", "cores"), process.cores(), Double::sum);
      values.merge(new Figure(process.role(), "cpu, busiest", "cores"), process.cores(), Math::max);
      if (process.role().equals(HOLLOW)) {
        values.merge(
            new Figure(process.role(), "cpu per relay", "cores"),
            process.cores() / result.relays(),
            Double::sum);
      }
      values.merge(new Figure(process.role(), "memory, all", "MB"), process.rssMb(), Double::sum);
      values.merge(new Figure(process.role(), "memory, largest", "MB"), process.rssMb(), Math::max);
    }
    for (RunResult.LinkTotal link : result.links()) {
      double bytes = link.bytes() / result.seconds();
      String of = link.kind() + " " + link.direction();
      values.merge(new Figure(link.role(), of, "bytes/s"), bytes, Double::sum);
      values.merge(
          new Figure(link.role(), of, "messages/s"),
          link.messages() / result.seconds(),
          Double::sum);
      values.merge(new Figure(link.role(), "network, all", "bytes/s"), bytes, Double::sum);
      if (link.role().equals(HOLLOW)) {
        values.merge(
            new Figure(link.role(), "network per relay", "bytes/s"),
            bytes / result.relays(),
            Double::sum);
      }
    }
    TreeSet<String> missed = new TreeSet<>();
    for (RunResult.InForce event : result.inForce()) {
      if (event.missing() == 0) {
        continue;
      }
      missed.add(event.event()); // a time that some never saw has no last and no 99th percentile
      leftOut.add(
          run.file()
              + " ("
              + result.scene()
              + ", "
              + result.relays()
              + " relays): in force "
              + event.event()
              + " left out: "
              + event.missing()
              + " of "
              + event.relays()
              + " relays never had it");
    }
    for (RunResult.InForce event : result.inForce()) {
      if (missed.contains(event.event())) {
        continue;
      }
      values.merge(new Figure(event.event(), "in force p99", "ms"), event.p99Ms(), Math::max);
      values.merge(new Figure(event.event(), "in force last", "ms"), event.lastMs(), Math::max);
    }
    result.counts().forEach((name, value) -> values.put(new Figure("count", name, ""), value));
    return values;
  }

  /** All series, by scene and figure in order. */
  public List<Series> series() {
    return Collections.unmodifiableList(series);
  }

  /** One line for each run, or part of one, that is in no series. */
  public List<String> leftOut() {
    return Collections.unmodifiableList(leftOut);
  }

  /** One line for each thing beside N that changes within a scene. */
  public List<String> cautions() {
    return Collections.unmodifiableList(cautions);
  }

  /** How many runs are in. */
  public int kept() {
    return kept;
  }
}
