package sprucerock.relay.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What a run has shown: violations of the rules, and figures. */
final class SoakReport {
  private static final int MAX_LISTED = 12;

  private final SoakPlan plan;
  private final List<String> violations = new ArrayList<>();
  private final Map<RequestEnd.Kind, Integer> ends = new TreeMap<>();
  private List<String> log = List.of();
  private int requests;
  private long peakMemoryKb;
  private int peakDescriptors;
  private long badSessions;

  SoakReport(SoakPlan plan) {
    this.plan = plan;
  }

  void violation(String what) {
    violations.add(what);
  }

  void count(RequestEnd end) {
    requests++;
    ends.merge(end.kind(), 1, Integer::sum);
  }

  void resources(long memoryKb, int descriptors) {
    peakMemoryKb = Math.max(peakMemoryKb, memoryKb);
    peakDescriptors = Math.max(peakDescriptors, descriptors);
  }

  void badSessions(long count) {
    badSessions = count;
  }

  /** The relay's log. */
  void log(List<String> lines) {
    log = lines;
  }

  List<String> log() {
    return log;
  }

  boolean isClean() {
    return violations.isEmpty();
  }

  List<String> violations() {
    return violations;
  }

  int served() {
    return ends.getOrDefault(RequestEnd.Kind.SERVED, 0);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "seed %d %s requests %d %s peak-memory-mb %d peak-descriptors %d bad-sessions %d"
                + " floods %d crowd %d signals %d part-of-core %b kill %b kinds %s",
            plan.seed(),
            isClean() ? "CLEAN" : "VIOLATED " + violations.size(),
            requests,
            ends,
            peakMemoryKb / 1024,
            peakDescriptors,
            badSessions,
            plan.floods(),
            plan.crowd(),
            plan.signals().size(),
            plan.partOfCore(),
            plan.endsByKill(),
            plan.kinds()));
    for (String violation : violations.subList(0, Math.min(MAX_LISTED, violations.size()))) {
      text.append("\n  ").append(violation);
    }
    return text.toString();
  }
}
