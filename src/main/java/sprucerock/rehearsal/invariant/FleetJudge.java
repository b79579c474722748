package sprucerock.rehearsal.invariant;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Listing;

/**
 * Holds a whole fleet against rule 4, and what clients and units saw themselves against rules 1 and
 * 2.
 */
final class FleetJudge {
  private record Cold(Line start, double capacity, double from, long lastsUs) {
    double shareAt(long us) {
      return Math.min(1, from + (1 - from) * (us - start.us()) / lastsUs);
    }
  }

  private record Load(Line line, String run, long costUs, int relay) {}

  private final Rules rules;
  private final List<Finding> findings;
  private final Map<String, Long> told = new HashMap<>();
  private final Map<String, Cold> colds = new HashMap<>();
  private final Map<String, Deque<Load>> loads = new HashMap<>();
  private final Set<String> pushedOver = new HashSet<>();
  private final Map<String, Line> effects = new HashMap<>();
  private final Map<String, Line> answers = new HashMap<>();

  FleetJudge(Rules rules, List<Finding> findings) {
    this.rules = rules;
    this.findings = findings;
  }

  /** Notes when each relay was told of each unit's run. */
  void relay(int number, List<Line> lines) {
    for (Line line : lines) {
      if (!line.is('<', FrameKind.LISTING)) {
        continue;
      }
      for (Entry entry : line.head(Listing.getDefaultInstance()).getEntriesList()) {
        if (entry.getHealth() == Health.READY) {
          told.merge(key(number, entry.getUnit(), entry.getRun()), line.us(), Math::min);
        }
      }
    }
  }

  private static String key(int relay, long endpoint, long run) {
    return relay + "/" + endpoint + "/" + run;
  }

  /** Lines of stand-ins, after all relays'. */
  void standIns(List<Line> lines) {
    for (Line line : lines) {
      if (line.isNote("START")) {
        start(line, fields(line));
      } else if (line.isNote("TAKEN")) {
        taken(line, fields(line));
      } else if (line.isNote("EFFECT")) {
        effect(line, fields(line));
      } else if (line.isNote("UNPROVEN")) {
        findings.add(
            new Finding(6, "a unit that showed a wrong certificate got an RPC", List.of(line)));
      } else if (line.is('<', FrameKind.ANSWER)) {
        answer(line);
      }
    }
  }

  static Map<String, String> fields(Line line) {
    Map<String, String> found = new HashMap<>();
    for (String part : line.text().split(" ")) {
      int eq = part.indexOf('=');
      if (eq > 0) {
        found.put(part.substring(0, eq), part.substring(eq + 1));
      }
    }
    return found;
  }

  private void start(Line line, Map<String, String> f) {
    colds.put(
        f.get("unit") + "/" + f.get("run"),
        new Cold(
            line,
            Double.parseDouble(f.get("capacity")),
            Double.parseDouble(f.get("from")),
            Long.parseLong(f.get("lasts_us"))));
  }

  private void taken(Line line, Map<String, String> f) {
    String run = f.get("unit") + "/" + f.get("run");
    Cold cold = colds.get(run);
    if (cold == null || pushedOver.contains(run)) {
      return;
    }
    Deque<Load> recent = loads.computeIfAbsent(run, key -> new ArrayDeque<>());
    recent.add(
        new Load(line, run, Long.parseLong(f.get("cost_us")), Integer.parseInt(f.get("by"))));
    while (recent.peek().line.us() < line.us() - rules.tipAfterUs()) {
      recent.poll();
    }
    double sum = 0;
    double byTold = 0;
    double largest = 0;
    for (Load load : recent) {
      sum += load.costUs;
      largest = Math.max(largest, load.costUs);
      Long since = told.get(load.relay + "/" + run);
      if (since != null && since <= load.line.us()) {
        byTold += load.costUs;
      }
    }
    // a few long RPCs are chance: so many of the largest are let pass
    double can =
        rules.tipMultiple() * cold.shareAt(line.us()) * cold.capacity * rules.tipAfterUs()
            + 5 * largest;
    if (sum <= can || byTold < sum * 2 / 3) {
      return;
    }
    pushedOver.add(run);
    findings.add(
        new Finding(
            4,
            "unit/run "
                + run
                + " got "
                + Math.round(sum / 1000)
                + " ms of work in "
                + rules.tipAfterUs() / 1000
                + " ms and can bear "
                + Math.round(can / 1000),
            List.of(cold.start, recent.peek().line, line)));
  }

  private void effect(Line line, Map<String, String> f) {
    Rules.Method method = rules.methods().get(Integer.parseInt(f.get("method")));
    String body = f.get("body");
    String order =
        body.length() < 32 ? body : body.substring(16); // the tries of one order share these bytes
    Line before = effects.put(order, line);
    if (before == null) {
      return;
    }
    boolean dropped = method.tokened() && line.us() - before.us() > method.windowUs();
    if (!dropped) {
      findings.add(new Finding(2, "an effect happened twice", List.of(before, line)));
    }
  }

  private void answer(Line line) {
    String key =
        line.place()
            + "/"
            + line.connection()
            + "/"
            + line.head(Answer.getDefaultInstance()).getId();
    Line before = answers.put(key, line);
    if (before != null) {
      findings.add(new Finding(1, "a client got a second answer", List.of(before, line)));
    }
  }
}
