package sprucerock.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * Leases, as a process's configuration has them; lease.xsd has the values used where one is left
 * out.
 *
 * @param me this process's number among all that stand for leases, 0 to 65535
 * @param granter which of the granters this process is; -1: none
 * @param listen where it listens as a granter; null: at the address that the list has
 * @param granters all of them, by their numbers
 * @param longest see lease.Terms
 * @param most links that a granter takes
 * @param fitsEvery the windows in which hardware is compared, at all relays alike; null: this
 *     process takes no part in that
 * @param looksEvery how often units are looked at, should this process hold the lease for that;
 *     null: it does not stand for it
 */
public record LeaseConfig(
    int memberNumber,
    int grantorNumber,
    InetSocketAddress listen,
    List<InetSocketAddress> grantors,
    TimeSpan term,
    TimeSpan maxTerm,
    double drift,
    int maxConnections,
    TimeSpan healthCheckInterval,
    TimeSpan hardwareFitInterval) {

  /**
   * Of an element {@code leases}; null where there is none. {@code me}: used where the element
   * names none.
   */
  public static LeaseConfig of(XmlElement node, int me) throws ConfigException {
    if (node == null) {
      return null;
    }
    List<InetSocketAddress> granters = new ArrayList<>();
    for (XmlElement one : node.children("granter")) {
      InetSocketAddress address = Address.of(one.text("host"), one.count("port"));
      if (address == null) {
        throw one.invalid(
            "host \"" + one.text("host") + "\" is no IPv4 or IPv6 address in numbers");
      }
      if (granters.contains(address)) {
        throw one.invalid("two granters have one address, and would be one");
      }
      granters.add(address);
    }
    if (granters.size() != 3 && granters.size() != 5) {
      throw node.invalid(
          granters.size() + " granters: 3 or 5 are needed, of which 2 or 3 have to be there");
    }
    TimeSpan term = node.span("term");
    TimeSpan longest = node.has("longest") ? node.span("longest") : term;
    if (TimeSpan.ofMs(100).over(term)) {
      throw node.invalid("term is 100ms at least, far over what a process may be held up");
    }
    if (term.over(longest)) {
      throw node.invalid("longest is not under term, " + node.text("term"));
    }
    double drift = node.number("drift");
    if (!(drift >= 0 && drift < 0.2)) {
      throw node.invalid("drift is 0 to under 0.2: a share by which a clock may run fast or slow");
    }
    int granter = node.has("grants") ? node.count("grants") : -1;
    if (granter >= granters.size()) {
      throw node.invalid(
          "grants=\"" + granter + "\": the granters are 0 to " + (granters.size() - 1));
    }
    InetSocketAddress listen =
        node.has("listen-port")
            ? Address.of(node.text("listen-host"), node.count("listen-port"))
            : null;
    TimeSpan looks = every(node, "looks", TimeSpan.ofMs(100), TimeSpan.ofMs(10));
    TimeSpan fits = every(node, "fit", TimeSpan.ofMs(10_000), TimeSpan.ofMs(500));
    return new LeaseConfig(
        node.has("me") ? node.count("me") : me,
        granter,
        listen,
        List.copyOf(granters),
        term,
        longest,
        drift,
        node.count("most"),
        looks,
        fits);
  }

  /** Null where this process does not stand for it. */
  private static TimeSpan every(XmlElement node, String task, TimeSpan usual, TimeSpan least)
      throws ConfigException {
    TimeSpan found = null;
    for (XmlElement one : node.children("stand")) {
      if (!one.text("for").equals(task)) {
        continue;
      }
      if (found != null) {
        throw one.invalid(task + " is named twice");
      }
      found = one.has("every") ? one.span("every") : usual;
      if (least.over(found)) {
        throw one.invalid("every is " + Math.round(least.ms()) + "ms at least for " + task);
      }
    }
    return found;
  }
}
