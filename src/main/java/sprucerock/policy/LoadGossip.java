package sprucerock.policy;

import sprucerock.model.Endpoint;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Exchanges endpoint loads between relays, since a relay with little traffic sees no queue build up
 * at an endpoint.
 *
 * <p>Each relay reports the start and end of its attempts to one relay, the aggregator. The
 * aggregator sends all relays, up to four times a second, the endpoints with two or more attempts
 * in flight and the fleet's wait. If the aggregator is silent, a relay reports to the relay with
 * the next number instead. If several relays act as aggregators, the messages of the one with the
 * lowest number are used. If all messages are lost, a relay uses its own attempts only.
 */
final class LoadGossip {
  private static final double AGGREGATOR_TIMEOUT_MS = 2000;
  private static final double LOADS_MAX_AGE_MS = 1000;
  private static final TimeSpan LOADS_INTERVAL = TimeSpan.ofMs(250);
  private static final int MIN_REPORTED_LOAD = 2;

  private final RelayActions actions;
  private final Settings settings;
  private final Timestamp startedAt;
  private final LoadReports reports;
  private final DecayingSum fleetEndedAttempts = new DecayingSum(TimeSpan.ofMs(2000));
  private int aggregator;
  private Timestamp aggregatorSeenAt;
  private Timestamp loadsReceivedAt;
  private boolean loadsScheduled;
  private double fleetWaitMs;

  LoadGossip(RelayActions actions, Settings settings, Timestamp startedAt) {
    this.actions = actions;
    this.settings = settings;
    this.startedAt = startedAt;
    reports = new LoadReports(TimeSpan.ofMs(4 * settings.meanLatencyObjectiveMs));
  }

  void endpointReady(Endpoint endpoint) {
    reports.addEndpoint(endpoint);
  }

  void endpointDraining(Endpoint endpoint) {
    reports.removeEndpoint(endpoint);
  }

  void attemptStarted(Endpoint endpoint) {
    reportAttempt(endpoint, null);
  }

  void attemptEnded(Endpoint endpoint, TimeSpan ageAtEnd) {
    reportAttempt(endpoint, ageAtEnd);
  }

  private void reportAttempt(Endpoint endpoint, TimeSpan ageAtEnd) {
    if (!settings.gossipAllowed) {
      return;
    }
    Timestamp now = actions.now();
    if (aggregatorSeenAt == null) {
      aggregatorSeenAt = now;
    }
    if (TimeChecks.longerThan(AGGREGATOR_TIMEOUT_MS, aggregatorSeenAt, now)) {
      aggregatorSeenAt = now;
      aggregator = (aggregator + 1) % settings.relayCount;
    }
    byte[] message = reports.encodeAttempt(endpoint, ageAtEnd);
    if (aggregator == settings.relayIndex) {
      attemptReported(message);
    } else {
      actions.sendToPeer(aggregator, message);
    }
  }

  /** Handles a relay's report of an attempt, as the aggregator. */
  void attemptReported(byte[] message) {
    Timestamp now = actions.now();
    if (reports.applyAttempt(message, now)) {
      fleetEndedAttempts.add(now, 1);
    }
    if (loadsScheduled) {
      return;
    }
    loadsScheduled = true;
    actions.schedule(now.plus(LOADS_INTERVAL), this::sendLoads);
  }

  private void sendLoads() {
    loadsScheduled = false;
    Timestamp now = actions.now();
    double waitMs =
        1000 * reports.inFlight(now) / Math.max(fleetEndedAttempts.perSecond(startedAt, now), 1);
    byte[] loads =
        reports.encodeLoads(MIN_REPORTED_LOAD, waitMs / settings.meanLatencyObjectiveMs, now);
    actions.sendToPeers(loads);
    loadsReceived(settings.relayIndex, loads);
  }

  /**
   * Stores the loads that an aggregator sent. Ignores an aggregator with a higher number than the
   * present one, while the present one's loads are fresh.
   */
  void loadsReceived(int sender, byte[] message) {
    if (sender > aggregator && areLoadsFresh()) {
      return;
    }
    aggregator = sender;
    aggregatorSeenAt = actions.now();
    loadsReceivedAt = aggregatorSeenAt;
    fleetWaitMs = reports.applyLoads(message, loadsReceivedAt) * settings.meanLatencyObjectiveMs;
  }

  boolean areLoadsFresh() {
    return loadsReceivedAt != null
        && !TimeChecks.longerThan(LOADS_MAX_AGE_MS, loadsReceivedAt, actions.now());
  }

  /** The mean wait of requests in the whole fleet; valid while the loads are fresh. */
  double fleetWaitMs() {
    return fleetWaitMs;
  }

  /**
   * Attempts in flight at the endpoint: of all relays if the last message of loads names the
   * endpoint, otherwise of this relay.
   */
  int inFlight(Endpoint endpoint) {
    return endpoint.reportedAt == loadsReceivedAt && areLoadsFresh()
        ? Math.max(endpoint.inFlight(), endpoint.reportedInFlight)
        : endpoint.inFlight();
  }
}
