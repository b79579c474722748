package sprucerock.policy;

import java.util.List;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.RecentEndpoints;
import sprucerock.stats.DecayingMean;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Selects the endpoint of an attempt: first the build, then the cheaper of two random endpoints.
 */
final class EndpointSelector {
  // Bounds the work in a large fleet. If a third of a build's endpoints are usable, 24 draws find
  // none of them in one selection of 17,000.
  private static final int MAX_DRAWS = 24;
  private static final int MAX_RECENT_ENDPOINTS = 8;

  // Share of recent attempts; above it, endpoints with an open connection are tried first.
  private static final double MAX_CONNECT_FAILURE_SHARE = 0.15;

  private final RelayActions actions;
  private final Settings settings;
  private final DeterministicRandom random;
  private final CanaryStatus canary;
  private final EndpointListGate listGate;
  private final ExposureLimiter exposure;
  private final KeyAffinity keys;
  private final SlowStartLimiter slowStart;
  private final OutlierDetector outliers;
  private final LatencyTracker latency;
  private final LoadGossip gossip;
  private final RetryBudget budget;
  private final RecentEndpoints recentEndpoints = new RecentEndpoints(MAX_RECENT_ENDPOINTS);
  private final DecayingMean connectFailures = new DecayingMean(TimeSpan.ofMs(5000));

  EndpointSelector(
      RelayActions actions,
      Settings settings,
      DeterministicRandom random,
      CanaryStatus canary,
      EndpointListGate listGate,
      ExposureLimiter exposure,
      KeyAffinity keys,
      SlowStartLimiter slowStart,
      OutlierDetector outliers,
      LatencyTracker latency,
      LoadGossip gossip,
      RetryBudget budget) {
    this.actions = actions;
    this.settings = settings;
    this.random = random;
    this.canary = canary;
    this.listGate = listGate;
    this.exposure = exposure;
    this.keys = keys;
    this.slowStart = slowStart;
    this.outliers = outliers;
    this.latency = latency;
    this.gossip = gossip;
    this.budget = budget;
  }

  void attemptEnded(Attempt attempt, Timestamp now) {
    AttemptOutcome outcome = attempt.outcome();
    connectFailures.add(now, outcome == AttemptOutcome.NOT_CONNECTED ? 1 : 0);
    if (outcome == AttemptOutcome.OK) {
      recentEndpoints.add(attempt.endpoint);
    }
    if (outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.BROKEN) {
      recentEndpoints.remove(attempt.endpoint);
    }
  }

  /**
   * Selects an endpoint of the newest build that is not on trial, else of an earlier build, else of
   * a build that is on trial or withdrawn.
   *
   * @return null if no endpoint may be used
   */
  Endpoint select(Rpc rpc) {
    Endpoint endpoint = select(rpc, false);
    return endpoint != null ? endpoint : select(rpc, true);
  }

  // As the last resort, builds that are on trial or withdrawn may serve too.
  private Endpoint select(Rpc rpc, boolean lastResort) {
    Build minimumBuild = keys.minimumBuild(rpc);
    Endpoint endpoint = null;
    for (Build build : canary.buildsDescending()) {
      if (endpoint != null || !keys.allows(rpc, build)) {
        break;
      }
      boolean trialAllowed =
          lastResort || minimumBuild != null && build.number == minimumBuild.number;
      boolean mayServe =
          canary.isOnTrial(build)
              ? trialAllowed && exposure.allows(build, rpc.method, 1)
              : lastResort || !canary.isWithdrawn(build);
      if (mayServe) {
        endpoint = selectIn(rpc, build);
      }
    }
    return endpoint;
  }

  /** Selects an endpoint of the build for the request; returns null if none may be used. */
  Endpoint selectIn(Rpc rpc, Build build) {
    if (!listGate.allowsAttempts()) {
      return null;
    }
    Timestamp now = actions.now();
    Attempt mayHaveRun = rpc.firstThatMayHaveRun();
    boolean mayProbe = rpc.method.idempotent() && rpc.attempts.isEmpty();
    Endpoint candidate = null;
    Endpoint fallback = null;
    // While many attempts fail to connect, endpoints that answered recently are tried first, since
    // their connections are open.
    List<Endpoint> connected =
        connectFailures.at(now, 0, 2) > MAX_CONNECT_FAILURE_SHARE
            ? recentEndpoints.readyOfBuild(build, random.next())
            : List.of();
    for (int i = 0; i < connected.size() + Math.min(build.endpoints.size(), MAX_DRAWS); i++) {
      Endpoint endpoint =
          i < connected.size() ? connected.get(i) : build.draw(i - connected.size(), random.next());
      if (!isEligible(rpc, mayHaveRun, endpoint, now)) {
        continue;
      }
      boolean outlier = outliers.isOutlier(endpoint);
      // An idempotent request's first attempt may go to an outlier, to detect its recovery.
      if (outlier && mayProbe && now.after(endpoint.nextProbeAt) && budget.hasCapacity()) {
        endpoint.nextProbeAt = now.plus(OutlierDetector.RETRY_INTERVAL);
        budget.spend(now);
        return endpoint;
      }
      if (outlier || latency.isInSlowZone(endpoint)) {
        fallback = endpoint;
      } else if (candidate == null) {
        candidate = endpoint;
      } else {
        Endpoint cheaper = cost(candidate) <= cost(endpoint) ? candidate : endpoint;
        return preferConnected(rpc, mayHaveRun, cheaper, now);
      }
    }
    return candidate != null ? candidate : fallback;
  }

  private boolean isEligible(Rpc rpc, Attempt mayHaveRun, Endpoint endpoint, Timestamp now) {
    if (mayHaveRun != null && !rpc.method.keyScopeAllowsRepeat(mayHaveRun.endpoint, endpoint)) {
      return false;
    }
    return !rpc.hasAttemptAt(endpoint) && slowStart.hasCapacity(endpoint, now);
  }

  // Replaces a drawn endpoint without an open connection by a connected one that costs no more, if
  // there is one. A new connection costs its endpoint a handshake, and where hundreds of relays get
  // little traffic each, a relay has no connection to most endpoints that it draws. Builds on trial
  // are exempt, so that shadow pairs cover many endpoints.
  private Endpoint preferConnected(Rpc rpc, Attempt mayHaveRun, Endpoint drawn, Timestamp now) {
    if (isConnected(drawn, now) || canary.isOnTrial(drawn.build)) {
      return drawn;
    }
    for (Endpoint endpoint : recentEndpoints.readyOfBuild(drawn.build, random.next())) {
      boolean healthy =
          isConnected(endpoint, now)
              && !outliers.isOutlier(endpoint)
              && !latency.isInSlowZone(endpoint);
      if (healthy && isEligible(rpc, mayHaveRun, endpoint, now) && cost(endpoint) <= cost(drawn)) {
        return endpoint;
      }
    }
    return drawn;
  }

  /**
   * Whether the connection to the endpoint is known to be open: neither side closes a connection
   * within half the idle timeout after its last answer.
   */
  private boolean isConnected(Endpoint endpoint, Timestamp now) {
    return endpoint.lastAnsweredAt != null
        && settings.idleTimeout.times(0.5).over(now.since(endpoint.lastAnsweredAt));
  }

  /**
   * The cost of sending an attempt to the endpoint: the product of its load, its relative latency
   * and one plus its recent failures. An endpoint in another zone costs 1.1 times as much, so that
   * a tie goes to the relay's own zone.
   */
  private double cost(Endpoint endpoint) {
    double zoneFactor = endpoint.zone == settings.zone ? 1 : 1.1;
    int inFlight = gossip.inFlight(endpoint);
    double load = 1 + inFlight / Math.max(endpoint.weight(), 0.1);
    return load
        * endpoint.relativeLatency.at(actions.now(), 1, 2)
        * (1 + endpoint.failedResults(OutlierDetector.COUNTED_OUTCOMES))
        * zoneFactor;
  }
}
