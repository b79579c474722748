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

/** How long methods usually take, and how slow endpoints and zones are beside that. */
final class LatencyTracker {
  private static final double OVERDUE_MULTIPLE = 3;
  private static final double MAX_RELATIVE_LATENCY = 8;
  private static final TimeSpan COLD_AGE = TimeSpan.ofMs(5000); // younger ones look slow

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
      method.recentLatency = new DecayingMean(TimeSpan.ofMs(10000));
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

  /** The method's mean time of late, in ms; a guess until answers come. */
  double expectedMs(Method method) {
    return method.recentLatency.at(actions.now(), method.latencyObjective.ms() / 6, 1);
  }

  /** How long an attempt took, or has taken, beside what was expected of it. */
  double relativeLatency(Attempt attempt, Timestamp now) {
    return attempt.latency(now).ms()
        / (attempt.rpc.workHint != null
            ? attempt.rpc.workHint.ms()
            : expectedMs(attempt.rpc.method));
  }

  /**
   * When silence is too long: at thrice the method's mean, which grows as all slows; at 0.45 of the
   * latency objective another attempt can still be in time.
   */
  TimeSpan overdueAfter(Rpc rpc) {
    TimeSpan usual =
        TimeSpan.ofMs(OVERDUE_MULTIPLE * expectedMs(rpc.method)).atLeast(rpc.hintedWork().times(3));
    return rpc.method.latencyObjective.times(0.45).atLeast(usual);
  }

  void attemptOverdue(Endpoint endpoint) {
    endpoint.relativeLatency.add(actions.now(), OVERDUE_MULTIPLE);
    endpoint.zoneRelativeLatency.add(actions.now(), OVERDUE_MULTIPLE);
  }

  /** Takes in the time of an attempt that was answered, or timed out. */
  void recordLatency(Attempt attempt) {
    Timestamp now = actions.now();
    Method method = attempt.rpc.method;
    double ms = Math.max(attempt.latency().ms(), 1);
    double times = Math.min(ms / expectedMs(method), MAX_RELATIVE_LATENCY);
    attempt.endpoint.relativeLatency.add(now, times);
    attempt.endpoint.zoneRelativeLatency.add(now, times);
    double log = Math.log(ms / Math.max(attempt.rpc.hintedWork().ms(), 1));
    if (canary.isOnTrial(attempt.endpoint.build)) {
      if (!canary.isCanary(attempt.endpoint.build) || !attempt.endpoint.olderThan(COLD_AGE, now)) {
        return;
      }
      canary.trial().logLatencyExcess.add(now, log - method.recentLogLatency.at(now, log, 1e-9));
      return;
    }
    method.recentLatency.add(now, ms);
    method.recentLogLatency.add(now, log);
    baselinePace.observe(BaselinePaceMonitor.OWN_ATTEMPTS, method, Math.exp(log), 1);
  }

  /** Behind a slow or lossy link: about twice the own zone's times. */
  boolean isInSlowZone(Endpoint endpoint) {
    if (endpoint.zone == settings.zone || !zoneLatencies.containsKey(settings.zone)) {
      return false;
    }
    Timestamp now = actions.now();
    return endpoint.zoneRelativeLatency.at(now, 1, 1)
        > 1.8 * zoneLatencies.get(settings.zone).at(now, 1, 1);
  }
}
