package sprucerock.policy;

import java.util.TreeMap;
import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Tracks the usual latency of methods, and the relative latency of endpoints and zones. */
final class LatencyTracker {
  private static final double OVERDUE_MULTIPLE = 3;
  private static final double MAX_RELATIVE_LATENCY = 8;
  private static final TimeSpan COLD_AGE = TimeSpan.ofMs(5000); // younger endpoints look slow

  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final BaselinePaceMonitor baselinePace;
  private final TreeMap<Integer, DecayingMean> zoneLatencies = new TreeMap<>();

  LatencyTracker(
      RelayActions actions,
      Settings settings,
      CanaryStatus canary,
      BaselinePaceMonitor baselinePace) {
    this.actions = actions;
    this.settings = settings;
    this.canary = canary;
    this.baselinePace = baselinePace;
    for (Method method : settings.methods) {
      method.recentLatencyMs = new DecayingMean(TimeSpan.ofMs(10000));
      method.recentLogLatency = new DecayingMean(TimeSpan.ofMs(20000));
    }
  }

  void endpointReady(Endpoint endpoint) {
    if (endpoint.relativeLatency == null) {
      endpoint.relativeLatency = new DecayingMean(TimeSpan.ofMs(4000));
    }
    endpoint.zoneRelativeLatency =
        zoneLatencies.computeIfAbsent(endpoint.zone, zone -> new DecayingMean(TimeSpan.ofMs(8000)));
  }

  /** The method's recent mean latency; a sixth of its latency objective before any answer. */
  double expectedMs(Method method) {
    return method.recentLatencyMs.at(actions.now(), method.latencyObjective.ms() / 6, 1);
  }

  /**
   * Latency of an attempt, so far if it is in flight, as a multiple of the work that the client
   * hinted at, or else of the method's expected latency.
   */
  double relativeLatency(Attempt attempt, Timestamp now) {
    return attempt.latency(now).ms()
        / (attempt.rpc.workHint != null
            ? attempt.rpc.workHint.ms()
            : expectedMs(attempt.rpc.method));
  }

  /**
   * The time after which an attempt without an answer is overdue: three times the method's mean
   * latency, which grows when all endpoints slow down, or three times the hinted work if that is
   * longer. The time is at least 0.45 of the latency objective, after which another attempt can
   * still meet the objective.
   */
  TimeSpan overdueAfter(Rpc rpc) {
    TimeSpan multipleOfExpected =
        TimeSpan.ofMs(OVERDUE_MULTIPLE * expectedMs(rpc.method)).atLeast(rpc.hintedWork().times(3));
    return rpc.method.latencyObjective.times(0.45).atLeast(multipleOfExpected);
  }

  void attemptOverdue(Endpoint endpoint) {
    endpoint.relativeLatency.add(actions.now(), OVERDUE_MULTIPLE);
    endpoint.zoneRelativeLatency.add(actions.now(), OVERDUE_MULTIPLE);
  }

  /** Records the latency of an attempt that was answered or timed out. */
  void recordLatency(Attempt attempt) {
    Timestamp now = actions.now();
    Method method = attempt.rpc.method;
    double ms = Math.max(attempt.latency().ms(), 1);
    double relativeLatency = Math.min(ms / expectedMs(method), MAX_RELATIVE_LATENCY);
    attempt.endpoint.relativeLatency.add(now, relativeLatency);
    attempt.endpoint.zoneRelativeLatency.add(now, relativeLatency);
    double logLatency = Math.log(ms / Math.max(attempt.rpc.hintedWork().ms(), 1));
    if (canary.isOnTrial(attempt.endpoint.build)) {
      if (!canary.isCanary(attempt.endpoint.build) || !attempt.endpoint.olderThan(COLD_AGE, now)) {
        return;
      }
      canary
          .trial()
          .logLatencyExcess
          .add(now, logLatency - method.recentLogLatency.at(now, logLatency, 1e-9));
      return;
    }
    method.recentLatencyMs.add(now, ms);
    method.recentLogLatency.add(now, logLatency);
    baselinePace.observe(BaselinePaceMonitor.OWN_ATTEMPTS, method, Math.exp(logLatency), 1);
  }

  /**
   * Whether the endpoint's zone is behind a slow or lossy link: its latencies are about twice those
   * of this relay's zone.
   */
  boolean isInSlowZone(Endpoint endpoint) {
    if (endpoint.zone == settings.zone || !zoneLatencies.containsKey(settings.zone)) {
      return false;
    }
    Timestamp now = actions.now();
    return endpoint.zoneRelativeLatency.at(now, 1, 1)
        > 1.8 * zoneLatencies.get(settings.zone).at(now, 1, 1);
  }
}
