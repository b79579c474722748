package sprucerock.rehearsal.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Look;

/**
 * Whether two relays ever did a task of the fleet at once: by when each sent what under a lease's
 * number, on the machine's one clock, and by what was taken where it landed. It knows nothing of
 * granters.
 */
public final class LeaseJudge {
  private record Claim(Line first, Line last) {}

  private final List<Finding> findings;
  private final Map<String, TreeMap<Long, Claim>> claims = new TreeMap<>();
  private final Map<String, Line> highest = new HashMap<>();
  private long taken;
  private long refused;

  LeaseJudge(List<Finding> findings) {
    this.findings = findings;
  }

  /** What a relay did. */
  void relay(List<Line> lines) {
    for (Line line : lines) {
      if (!line.is('>', FrameKind.LOOK)) {
        continue;
      }
      Look look = line.head(Look.getDefaultInstance());
      claims
          .computeIfAbsent(look.getLease(), any -> new TreeMap<>())
          .merge(
              look.getNumber(),
              new Claim(line, line),
              (old, now) ->
                  new Claim(
                      old.first.us() <= now.first.us() ? old.first : now.first,
                      old.last.us() >= now.last.us() ? old.last : now.last));
    }
  }

  /** What landed, in the order of the stand-ins' trace; after all relays'. */
  void standIns(List<Line> lines) {
    for (Line line : lines) {
      if (!line.isNote("LOOK")) {
        continue;
      }
      Map<String, String> fields = FleetJudge.fields(line);
      if (fields.get("taken").equals("false")) {
        refused++;
        continue;
      }
      taken++;
      String where = fields.get("lease") + "/" + fields.get("unit");
      Line before = highest.get(where);
      if (before != null
          && Long.parseLong(fields.get("number"))
              < Long.parseLong(FleetJudge.fields(before).get("number"))) {
        findings.add(
            new Finding(
                7,
                "unit " + fields.get("unit") + " took a look under a lower number than before",
                List.of(before, line)));
      }
      highest.put(where, line);
    }
    claims.forEach(
        (name, each) -> {
          Claim before = null;
          for (Claim claim : each.values()) {
            if (before != null && claim.first.us() <= before.last.us()) {
              findings.add(
                  new Finding(
                      7,
                      name + " was done under two numbers at once",
                      List.of(before.last, claim.first)));
            }
            if (before == null || claim.last.us() > before.last.us()) {
              before = claim;
            }
          }
        });
  }

  /**
   * A line a lease: how often it went over, the longest time in which nobody did anything under it,
   * and what was refused; for people.
   */
  List<String> summary() {
    List<String> lines = new ArrayList<>();
    claims.forEach(
        (name, each) -> {
          List<Long> gaps = new ArrayList<>();
          long until = 0;
          for (Claim claim : each.values()) {
            if (until > 0) {
              gaps.add(claim.first.us() - until);
            }
            until = Math.max(until, claim.last.us());
          }
          gaps.sort(null);
          lines.add(
              String.format(
                  Locale.ROOT,
                  "lease of %s: %d holders one after another; from one's last act to the next one's first %.0f ms in the median, %.0f ms at most;"
                      + " %d acts taken where they landed, %d refused by their number",
                  name,
                  each.size(),
                  gaps.isEmpty() ? 0 : gaps.get(gaps.size() / 2) / 1000.0,
                  gaps.isEmpty() ? 0 : gaps.get(gaps.size() - 1) / 1000.0,
                  taken,
                  refused));
        });
    return lines;
  }
}
