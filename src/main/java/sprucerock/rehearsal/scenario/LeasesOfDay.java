package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import sprucerock.rehearsal.fake.FaultProxy;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;

/**
 * The leases of a day: its first relays are granters too, all relays stand for the looks, and each
 * reaches each granter by a way of its own. The controller's ways are its own too, and whole: a
 * line names relays.
 */
final class LeasesOfDay {
  /** As a line of the script has them. */
  record Plan(int granters, TimeSpan term, TimeSpan looks) {}

  private final Plan plan;
  private final Net net;
  private final List<Integer> ports = new ArrayList<>();
  private final Map<Integer, List<FaultProxy>> ways = new TreeMap<>();

  /** {@code ports}: where the granters listen. */
  LeasesOfDay(Plan plan, Net net, List<Integer> ports) {
    this.plan = plan;
    this.net = net;
    this.ports.addAll(ports);
  }

  /**
   * The element of one process's configuration, with ways that are its own; {@code who}: a relay's
   * number, or beyond them.
   */
  String xml(int who, int me, boolean looks, SplittableRandom chance) throws IOException {
    StringBuilder xml =
        new StringBuilder("  <leases me=\"" + me + "\" term=\"" + (long) plan.term().ms() + "ms\"");
    if (who < plan.granters()) {
      xml.append(" grants=\"" + who + "\" listen-port=\"" + ports.get(who) + "\"");
    }
    xml.append(">\n");
    List<FaultProxy> own = new ArrayList<>();
    for (int port : ports) {
      FaultProxy way =
          new FaultProxy(
              net,
              new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
              chance.nextLong());
      xml.append("    <granter host=\"127.0.0.1\" port=\"" + way.start() + "\"/>\n");
      own.add(way);
    }
    ways.put(who, own);
    if (looks) {
      xml.append(
          "    <stand for=\"looks\" every=\""
              + (long) plan.looks().ms()
              + "ms\"/>\n    <stand for=\"fit\" every=\"2s\"/>\n");
    }
    return xml.append("  </leases>\n").toString();
  }

  /** All ways of some processes to the granters. */
  void ways(int first, int last, Consumer<FaultProxy> what) {
    for (int who = first; who <= last; who++) {
      ways.get(who).forEach(what);
    }
  }
}
