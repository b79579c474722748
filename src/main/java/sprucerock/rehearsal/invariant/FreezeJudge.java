package sprucerock.rehearsal.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;

/**
 * Counts picks that came to units while their racks were frozen. It knows what was in force and
 * what arrived, and nothing of promises.
 */
final class FreezeJudge {
  private record Frozen(Line line, long freeze, long untilUs) {}

  private final List<Finding> findings;
  private final Map<String, List<Frozen>> frozen = new HashMap<>();
  private int freezes;
  private long arrived;

  FreezeJudge(List<Finding> findings) {
    this.findings = findings;
  }

  /** Lines of stand-ins, in their order. */
  void standIns(List<Line> lines) {
    for (Line line : lines) {
      if (line.isNote("FROZEN")) {
        Map<String, String> fields = FleetJudge.fields(line);
        frozen
            .computeIfAbsent(fields.get("unit"), any -> new ArrayList<>())
            .add(
                new Frozen(
                    line,
                    Long.parseLong(fields.get("freeze")),
                    line.us() + Long.parseLong(fields.get("left_us"))));
        freezes++;
      } else if (line.isNote("THAWED")) {
        Map<String, String> fields = FleetJudge.fields(line);
        long freeze = Long.parseLong(fields.get("freeze"));
        frozen
            .getOrDefault(fields.get("unit"), new ArrayList<>())
            .replaceAll(
                one ->
                    one.freeze == freeze
                        ? new Frozen(one.line, freeze, Math.min(one.untilUs, line.us()))
                        : one);
      } else if (line.is('<', FrameKind.WORK) && line.place().startsWith("unit-")) {
        for (Frozen one : frozen.getOrDefault(line.place().substring(5), List.of())) {
          if (line.us() >= one.untilUs) {
            continue;
          }
          arrived++;
          findings.add(
              new Finding(
                  8,
                  "a pick came to "
                      + line.place()
                      + " while freeze "
                      + one.freeze
                      + " was in force",
                  List.of(one.line, line)));
        }
      }
    }
  }

  /** For people; empty where nothing was frozen. */
  List<String> summary() {
    return freezes == 0
        ? List.of()
        : List.of(
            "freezes: in force at units "
                + freezes
                + " times, "
                + arrived
                + " picks came to them meanwhile");
  }
}
