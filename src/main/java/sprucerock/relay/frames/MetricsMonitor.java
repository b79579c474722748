package sprucerock.relay.frames;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.RequestTracker;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;

/**
 * Checks each second that the relay's sums agree, and logs them every ten. The accessors may be
 * called from any thread and give what was found last; the rest is the event loop's.
 */
final class MetricsMonitor {
  /** A check takes some ten microseconds at a thousand endpoints. */
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.ofMs(1000);

  /** Seldom enough for a log, often enough for a first look. */
  private static final TimeSpan LOG_INTERVAL = TimeSpan.ofMs(10_000);

  private final Net net;
  private final RequestTracker requestTracker;
  private final MethodAccounts accounts;
  private final EventLog eventLog;
  private final TlsConnections tlsConnections;
  private final IntSupplier clientCount;
  private final BooleanSupplier isShuttingDown;
  private volatile Long tlsDaysLeft;
  private volatile boolean isTlsBroken;
  private volatile boolean hasDrift;

  MetricsMonitor(
      Net net,
      RequestTracker requestTracker,
      EventLog eventLog,
      TlsConnections tlsConnections,
      IntSupplier clientCount,
      BooleanSupplier isShuttingDown) {
    this.net = net;
    this.requestTracker = requestTracker;
    this.accounts = requestTracker.accounts();
    this.eventLog = eventLog;
    this.tlsConnections = tlsConnections;
    this.clientCount = clientCount;
    this.isShuttingDown = isShuttingDown;
  }

  void start() {
    net.at(net.now().plus(LOG_INTERVAL), this::logTotals);
    check();
  }

  /** Days until the relay's own certificate ends; null without TLS. */
  Long tlsDaysLeft() {
    return tlsDaysLeft;
  }

  /** Whether the TLS files as they are now can't be used, so that older ones are. */
  boolean isTlsBroken() {
    return isTlsBroken;
  }

  /** Whether some sum did not agree since the start; it stays so until the next start. */
  boolean hasDrift() {
    return hasDrift;
  }

  private void check() {
    if (tlsConnections.tls() != null) {
      tlsDaysLeft = tlsConnections.tls().daysLeft();
      isTlsBroken = tlsConnections.tls().broken();
    }
    if (accounts.postingsDisabled()) {
      return;
    }
    List<MethodAccounts.Imbalance> drifts = accounts.check();
    long open = accounts.sum(accounts.rpcs, accounts.rpcs.pendingColumn());
    hasDrift |= !drifts.isEmpty() || open != requestTracker.openRpcs();
    if (open != requestTracker.openRpcs()) {
      eventLog.error(
          EventLog.Event.DRIFT,
          "rpcs open: " + open + " by the accounts, " + requestTracker.openRpcs() + " by count");
    }
    if (!drifts.isEmpty()) {
      eventLog.error(
          EventLog.Event.DRIFT,
          drifts.get(0) + (drifts.size() > 1 ? "; and " + (drifts.size() - 1) + " more" : ""));
    }
    if (!isShuttingDown.getAsBoolean()) {
      net.at(net.now().plus(CHECK_INTERVAL), this::check);
    }
  }

  /** Logs the totals now, and again after the interval unless the relay shuts down. */
  void logTotals() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < accounts.rpcs.columns().size(); i++) {
      text.append(accounts.rpcs.columns().get(i))
          .append(' ')
          .append(accounts.sum(accounts.rpcs, i))
          .append(' ');
    }
    eventLog.info(
        EventLog.Event.FIGURES,
        text
            + "picks "
            + accounts.sum(accounts.attempts, 0)
            + " turned-away "
            + accounts.value(accounts.calls, 0, 2)
            + " messages-dropped "
            + accounts.value(accounts.messages, 0, 2)
            + " units "
            + requestTracker.endpoints().size()
            + " clients "
            + clientCount.getAsInt());
    if (!isShuttingDown.getAsBoolean()) {
      net.at(net.now().plus(LOG_INTERVAL), this::logTotals);
    }
  }
}
