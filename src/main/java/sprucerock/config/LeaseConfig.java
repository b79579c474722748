package sprucerock.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The leases that a process takes part in; lease.xsd has the defaults.
 *
 * @param memberNumber this process's number among all that take leases, 0 to 65535
 * @param grantorNumber which of the grantors this process is; -1: none
 * @param listen where it listens as a grantor; null: at its address in {@code grantors}
 * @param grantors the addresses of all grantors, by their numbers; 3 or 5
 * @param term how long a lease is granted for
 * @param maxTerm the longest term of all processes; see lease.Terms
 * @param drift the share by which a clock may run fast or slow, under 0.2
 * @param maxConnections that a grantor takes
 * @param healthCheckInterval between health checks of an endpoint, where this process holds the
 *     lease for that; null: it does not try to
 * @param hardwareFitInterval the windows in which hardware is compared, the same at all relays;
 *     null: this process takes no part
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

  /** A clock that is off by this share of itself, or more, is not allowed for. */
  static final double MAX_CLOCK_DRIFT = 0.2;

  private static final TimeSpan MIN_TERM = TimeSpan.ofMs(100);
  private static final TimeSpan DEFAULT_HEALTH_CHECK_INTERVAL = TimeSpan.ofMs(100);
  private static final TimeSpan MIN_HEALTH_CHECK_INTERVAL = TimeSpan.ofMs(10);
  private static final TimeSpan DEFAULT_FIT_INTERVAL = TimeSpan.ofMs(10_000);
  private static final TimeSpan MIN_FIT_INTERVAL = TimeSpan.ofMs(500);

  /**
   * Reads and checks an element {@code leases}.
   *
   * @param leases null: there is none, and no configuration of leases either
   * @param defaultMemberNumber used where the element names none
   * @throws ConfigException at the first thing that is wrong
   */
  public static LeaseConfig of(XmlElement leases, int defaultMemberNumber) throws ConfigException {
    if (leases == null) {
      return null;
    }
    final List<InetSocketAddress> grantors = grantors(leases);
    TimeSpan term = leases.span("term");
    TimeSpan maxTerm = leases.has("longest") ? leases.span("longest") : term;
    if (MIN_TERM.over(term)) {
      throw leases.invalid("term is 100ms at least, far over what a process may be held up");
    }
    if (term.over(maxTerm)) {
      throw leases.invalid("longest is not under term, " + leases.text("term"));
    }
    double drift = leases.number("drift");
    if (!(drift >= 0 && drift < MAX_CLOCK_DRIFT)) {
      throw leases.invalid(
          "drift is 0 to under 0.2: a share by which a clock may run fast or slow");
    }
    int grantorNumber = leases.has("grants") ? leases.count("grants") : -1;
    if (grantorNumber >= grantors.size()) {
      throw leases.invalid(
          "grants=\"" + grantorNumber + "\": the granters are 0 to " + (grantors.size() - 1));
    }
    InetSocketAddress listen =
        leases.has("listen-port")
            ? Address.of(leases.text("listen-host"), leases.count("listen-port"))
            : null;
    TimeSpan healthCheckInterval =
        interval(leases, "looks", DEFAULT_HEALTH_CHECK_INTERVAL, MIN_HEALTH_CHECK_INTERVAL);
    TimeSpan hardwareFitInterval = interval(leases, "fit", DEFAULT_FIT_INTERVAL, MIN_FIT_INTERVAL);
    return new LeaseConfig(
        leases.has("me") ? leases.count("me") : defaultMemberNumber,
        grantorNumber,
        listen,
        grantors,
        term,
        maxTerm,
        drift,
        leases.count("most"),
        healthCheckInterval,
        hardwareFitInterval);
  }

  private static List<InetSocketAddress> grantors(XmlElement leases) throws ConfigException {
    List<InetSocketAddress> grantors = new ArrayList<>();
    for (XmlElement grantor : leases.children("granter")) {
      InetSocketAddress address = grantor.address();
      if (grantors.contains(address)) {
        throw grantor.invalid("two granters have one address, and would be one");
      }
      grantors.add(address);
    }
    if (grantors.size() != 3 && grantors.size() != 5) {
      throw leases.invalid(
          grantors.size() + " granters: 3 or 5 are needed, of which 2 or 3 have to be there");
    }
    return List.copyOf(grantors);
  }

  /** How often this process does a task whose lease it holds; null where it does not try to. */
  private static TimeSpan interval(
      XmlElement leases, String task, TimeSpan defaultInterval, TimeSpan min)
      throws ConfigException {
    TimeSpan interval = null;
    for (XmlElement stand : leases.children("stand")) {
      if (!stand.text("for").equals(task)) {
        continue;
      }
      if (interval != null) {
        throw stand.invalid(task + " is named twice");
      }
      interval = stand.has("every") ? stand.span("every") : defaultInterval;
      if (min.over(interval)) {
        throw stand.invalid("every is " + Math.round(min.ms()) + "ms at least for " + task);
      }
    }
    return interval;
  }
}
