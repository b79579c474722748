package sprucerock.policy;

import sprucerock.model.Endpoint;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What relays tell each other of the endpoints' loads. Quiet relays see no queue of an endpoint. So
 * each tells one relay, the aggregator, of its attempts as they start and end, and that one tells
 * all, four times a second, which endpoints hold two or more, and the fleet's wait. Where it is
 * silent the next one is told; the lowest is believed. With all messages lost, own attempts must
 * do.
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
  private Timestamp aggregatorHeardAt;
  private Timestamp loadsReceivedAt;
  private boolean loadsScheduled;
  private double fleetWaitMs;

  LoadGossip(RelayActions actions, Settings settings, Timestamp started) {
    this.actions = actions;
    this.settings = settings;
    this.startedAt = started;
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

  void attemptEnded(Endpoint endpoint, TimeSpan age) {
    reportAttempt(endpoint, age);
  }

  private void reportAttempt(Endpoint endpoint, TimeSpan endedAt) {
    if (!settings.gossipAllowed) {
      return;
    }
    Timestamp now = actions.now();
    if (aggregatorHeardAt == null) {
      aggregatorHeardAt = now;
    }
    if (TimeChecks.longerThan(AGGREGATOR_TIMEOUT_MS, aggregatorHeardAt, now)) {
      aggregatorHeardAt = now;
      aggregator = (aggregator + 1) % settings.relayCount;
    }
    byte[] message = reports.encodeAttempt(endpoint, endedAt);
    if (aggregator == settings.relayIndex) {
      attemptReported(message);
    } else {
      actions.sendToPeer(aggregator, message);
    }
  }

  /** A relay told this one of an attempt, as the aggregator. */
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

  /** An aggregator told of the loads. */
  void loadsReceived(int sender, byte[] message) {
    if (sender > aggregator && areLoadsFresh()) {
      return;
    }
    aggregator = sender;
    aggregatorHeardAt = actions.now();
    loadsReceivedAt = aggregatorHeardAt;
    fleetWaitMs = reports.applyLoads(message, loadsReceivedAt) * settings.meanLatencyObjectiveMs;
  }

  boolean areLoadsFresh() {
    return loadsReceivedAt != null
        && !TimeChecks.longerThan(LOADS_MAX_AGE_MS, loadsReceivedAt, actions.now());
  }

  /** How long a request waits in the whole fleet, in ms; holds while the loads are fresh. */
  double fleetWaitMs() {
    return fleetWaitMs;
  }

  /** Attempts that are out at it: this relay's, or all relays' where that was told. */
  int inFlight(Endpoint endpoint) {
    return endpoint.reportedAt == loadsReceivedAt && areLoadsFresh()
        ? Math.max(endpoint.inFlight(), endpoint.reportedInFlight)
        : endpoint.inFlight();
  }
}
