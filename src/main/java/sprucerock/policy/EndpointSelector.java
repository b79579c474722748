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

/** Chooses the endpoint of an attempt: first the build, then the cheaper one of two drawn. */
final class EndpointSelector {
  // no scan of a large fleet: 24 draws miss the usable third of a build once in 17,000 times
  private static final int MAX_DRAWS = 24;
  private static final int MAX_RECENT = 8;
  private static final double FAILING_CONNECTIONS = 0.15;

  private final RelayActions actions;
  private final Settings settings;
  private final DeterministicRandom random;
  private final CanaryStatus canary;
  private final ExposureLimiter exposure;
  private final KeyAffinity keys;
  private final SlowStartLimiter slowStart;
  private final OutlierDetector outliers;
  private final LatencyTracker latency;
  private final LoadGossip gossip;
  private final RetryBudget budget;
  private final RecentEndpoints recent = new RecentEndpoints(MAX_RECENT);
  private final DecayingMean noConnection = new DecayingMean(TimeSpan.ofMs(5000));

  EndpointSelector(
      RelayActions actions,
      Settings settings,
      DeterministicRandom random,
      CanaryStatus canary,
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
    noConnection.add(now, outcome == AttemptOutcome.NOT_CONNECTED ? 1 : 0);
    if (outcome == AttemptOutcome.OK) {
      recent.add(attempt.endpoint);
    }
    if (outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.BROKEN) {
      recent.remove(attempt.endpoint);
    }
  }

  /**
   * Of the newest build not on trial, else of an earlier one, else of one on trial or withdrawn;
   * null where none may be used.
   */
  Endpoint select(Rpc rpc) {
    Endpoint endpoint = select(rpc, false);
    return endpoint != null ? endpoint : select(rpc, true);
  }

  private Endpoint select(Rpc rpc, boolean trialToo) {
    Build sticky = keys.minimumBuild(rpc);
    Endpoint endpoint = null;
    for (Build build : canary.descending()) {
      if (endpoint != null || sticky != null && build.number < sticky.number) {
        break;
      }
      boolean mayUse = trialToo || sticky != null && build.number == sticky.number;
      boolean mayServe =
          canary.isOnTrial(build)
              ? mayUse && exposure.allows(build, rpc.method, 1)
              : trialToo || !canary.isWithdrawn(build);
      if (mayServe) {
        endpoint = selectIn(rpc, build);
      }
    }
    return endpoint;
  }

  /** One of the build's endpoints that the request may go to; null where there is none. */
  Endpoint selectIn(Rpc rpc, Build build) {
    Timestamp now = actions.now();
    Attempt first = rpc.firstThatMayHaveRun();
    boolean mayProbe = rpc.method.idempotent() && rpc.attempts.isEmpty();
    Endpoint one = null;
    Endpoint rest = null;
    // Where connections fail, endpoints that answered lately come first: theirs are open.
    List<Endpoint> open =
        noConnection.at(now, 0, 2) > FAILING_CONNECTIONS
            ? recent.ofBuild(build, random.next())
            : List.of();
    for (int i = 0; i < open.size() + Math.min(build.endpoints.size(), MAX_DRAWS); i++) {
      Endpoint endpoint =
          i < open.size() ? open.get(i) : build.draw(i - open.size(), random.next());
      if (!mayTake(rpc, first, endpoint, now)) {
        continue;
      }
      boolean outlier = outliers.isOutlier(endpoint);
      if (outlier && mayProbe && now.after(endpoint.nextProbeAt) && budget.hasCapacity()) {
        endpoint.nextProbeAt = now.plus(OutlierDetector.RETRY_INTERVAL);
        budget.spend(now);
        return endpoint;
      }
      if (outlier || latency.isFar(endpoint)) {
        rest = endpoint;
      } else if (one == null) {
        one = endpoint;
      } else {
        Endpoint cheaper = cost(one) <= cost(endpoint) ? one : endpoint; // two choices
        return preferConnected(rpc, first, cheaper, now);
      }
    }
    return one != null ? one : rest;
  }

  private boolean mayTake(Rpc rpc, Attempt first, Endpoint endpoint, Timestamp now) {
    if (first != null && !rpc.method.keyScopeAllowsRepeat(first.endpoint, endpoint)) {
      return false;
    }
    return !rpc.hasAttemptAt(endpoint) && slowStart.hasCapacity(endpoint, now);
  }

  // A new connection costs its endpoint a handshake. Where hundreds of relays see little each, most
  // endpoints drawn are ones that this relay has no connection to: one that answered lately and is
  // no dearer stands in for it. Not on trial, where pairs shall meet many endpoints.
  private Endpoint preferConnected(Rpc rpc, Attempt first, Endpoint drawn, Timestamp now) {
    if (isConnected(drawn, now) || canary.isOnTrial(drawn.build)) {
      return drawn;
    }
    for (Endpoint endpoint : recent.ofBuild(drawn.build, random.next())) {
      boolean well =
          isConnected(endpoint, now) && !outliers.isOutlier(endpoint) && !latency.isFar(endpoint);
      if (well && mayTake(rpc, first, endpoint, now) && cost(endpoint) <= cost(drawn)) {
        return endpoint;
      }
    }
    return drawn;
  }

  /** By half the idle time neither end has closed the connection. */
  private boolean isConnected(Endpoint endpoint, Timestamp now) {
    return endpoint.lastAnsweredAt != null
        && settings.idleTimeout.times(0.5).over(now.since(endpoint.lastAnsweredAt));
  }

  /** Load, times pace, times failures; a tie goes to the relay's own zone. */
  private double cost(Endpoint endpoint) {
    double far = endpoint.zone == settings.zone ? 1 : 1.1;
    int out = gossip.outstanding(endpoint);
    double load = 1 + out / Math.max(endpoint.weight(), 0.1);
    return load
        * endpoint.relativeLatency.at(actions.now(), 1, 2)
        * (1 + endpoint.failedResults(OutlierDetector.OUTCOMES))
        * far;
  }
}
