package sprucerock.rehearsal.scenario;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.rehearsal.fake.FakeEndpoint;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;

/**
 * The racks of a day: its units are dealt out to so many a zone, by their numbers; the last of each
 * zone has a notice of a minute, so that relays go on with it when they hear nothing. What the
 * controller says is in force is noted in the trace for each unit, from the moment that it was read
 * until its end by the controller's word, or until the day calls it off.
 */
final class RacksOfDay {
  /** As a line of the script has them. */
  record Plan(int each, TimeSpan notice) {}

  private final Plan plan;
  private final TraceWriter trace;
  private final Set<Long> inForce = new HashSet<>();
  private final Map<Long, List<String>> racks = new HashMap<>();
  private final List<String> steps = new ArrayList<>();
  private final Map<Long, String> states = new TreeMap<>();

  RacksOfDay(Plan plan, TraceWriter trace) {
    this.plan = plan;
    this.trace = trace;
  }

  int cell(int endpoint) {
    return 1 + endpoint % plan.each();
  }

  private String rack(FakeEndpoint endpoint) {
    return "z" + endpoint.zone + "r" + cell(endpoint.id);
  }

  /** For the controller's configuration, and for each relay's. */
  String controllerXml(Collection<FakeEndpoint> first) {
    Map<String, Integer> counts = new TreeMap<>();
    Map<String, FakeEndpoint> like = new TreeMap<>();
    for (FakeEndpoint endpoint : first) {
      counts.merge(rack(endpoint), 1, Integer::sum);
      like.put(rack(endpoint), endpoint);
    }
    StringBuilder xml =
        new StringBuilder(
            "  <racks notice=\"" + (long) plan.notice().ms() + "ms\" warm=\"1s\" step=\"1s\">\n");
    counts.forEach(
        (name, count) ->
            xml.append(
                "    <rack name=\""
                    + name
                    + "\" zone=\""
                    + like.get(name).zone
                    + "\" cell=\""
                    + cell(like.get(name).id)
                    + "\""
                    + (cell(like.get(name).id) == plan.each() ? " notice=\"60s\"" : "")
                    + "><units kind=\"0\" count=\""
                    + count
                    + "\"/></rack>\n"));
    return xml.append("  </racks>\n").toString();
  }

  static String relayXml() {
    return "  <racks ask-every=\"300ms\"/>\n";
  }

  /** The controller's word about all freezes, on the loop. */
  void told(List<RealController.Frozen> freezes, Collection<FakeEndpoint> endpoints, TimeSpan at) {
    for (RealController.Frozen one : freezes) {
      racks.put(one.number(), one.racks());
      if (!one.state().equals(states.put(one.number(), one.state()))) {
        steps.add(
            String.format(
                java.util.Locale.ROOT,
                "%5.1f s  freeze %d of %s: %s, %s",
                at.ms() / 1000,
                one.number(),
                one.racks(),
                one.state(),
                one.cause()));
      }
      if (!one.state().equals("in force") || !inForce.add(one.number())) {
        continue;
      }
      long left = one.toMs() - System.currentTimeMillis();
      for (FakeEndpoint endpoint : endpoints) {
        if (one.racks().contains(rack(endpoint))) {
          trace.note(
              "FROZEN",
              "unit="
                  + endpoint.id
                  + " freeze="
                  + one.number()
                  + " left_us="
                  + Math.max(0, left) * 1000);
        }
      }
    }
  }

  /** Before it is called off. */
  void thaw(long freeze, Collection<FakeEndpoint> endpoints) {
    List<String> named = racks.getOrDefault(freeze, List.of());
    for (FakeEndpoint endpoint : endpoints) {
      if (named.contains(rack(endpoint))) {
        trace.note("THAWED", "unit=" + endpoint.id + " freeze=" + freeze);
      }
    }
  }

  List<String> steps() {
    return steps;
  }
}
