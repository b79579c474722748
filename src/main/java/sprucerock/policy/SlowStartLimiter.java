package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Settings;
import sprucerock.stats.DecayingSum;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Limits the attempts at an endpoint that is warming up (rule 4), with one token bucket per
 * endpoint.
 *
 * <p>The limit is the product of three factors: the rate at which this relay sends attempts to a
 * warm endpoint of the same weight, the share of its capacity that the endpoint certainly has by
 * now, and 0.8, so that no queue builds up. Warm endpoints get no more than their capacity, so the
 * sum over all relays stays within the capacity of the cold endpoint, however unevenly traffic is
 * spread over relays. Endpoints of a build on trial are limited even when they are warm, so that
 * canary and baseline endpoints have similar loads.
 */
final class SlowStartLimiter {
  private static final double MAX_LOAD_SHARE = 0.8;

  // Avoids adding up the weights of all endpoints for each attempt.
  private static final TimeSpan WEIGHTS_MAX_AGE = TimeSpan.ofMs(500);

  private final RelayActions actions;
  private final Settings settings;
  private final DeterministicRandom random;
  private final CanaryStatus canary;
  private final DecayingSum baselineSends = new DecayingSum(TimeSpan.ofMs(3000));

  SlowStartLimiter(
      RelayActions actions, Settings settings, DeterministicRandom random, CanaryStatus canary) {
    this.actions = actions;
    this.settings = settings;
    this.random = random;
    this.canary = canary;
  }

  /**
   * Gives the endpoint a random part of a token. All relays learn of an endpoint at the same time,
   * and the random part spreads out their first attempts.
   */
  void endpointReady(Endpoint endpoint) {
    endpoint.warmUpTokens = random.next();
    endpoint.warmUpTokensRefilledAt = actions.now();
  }

  /** Counts an attempt that was sent to the endpoint. */
  void attemptSent(Endpoint endpoint, boolean onTrial, Timestamp now) {
    baselineSends.add(now, onTrial ? 0 : 1);
    endpoint.warmUpTokens--;
  }

  /** Refills the endpoint's bucket, and returns whether it may get one more attempt now. */
  boolean hasCapacity(Endpoint endpoint, Timestamp now) {
    if (!canary.isOnTrial(endpoint.build) && endpoint.olderThan(settings.warmUp, now)) {
      return true;
    }
    double totalWeight = 0;
    double warmWeight = 0;
    for (Build build : canary.buildsAscending()) {
      build.refreshWeights(settings.warmUp, WEIGHTS_MAX_AGE, now);
      totalWeight += build.weight;
      if (!canary.isOnTrial(build)) {
        warmWeight += build.warmWeight;
      }
    }
    double warmPerSecond =
        baselineSends.perSecond(now)
            * endpoint.weight()
            / Math.max(warmWeight > 0 ? warmWeight : totalWeight, 0.1);
    double warmUpProgress =
        endpoint.startedAt == null
            ? 1
            : Math.max(0, now.since(endpoint.startedAt).dividedBy(settings.warmUp));
    double capacityShare =
        settings.initialCapacityShare
            + (1 - settings.initialCapacityShare) * Math.min(1, warmUpProgress);
    // The rate stays under half the load at which an endpoint tips over: tipMultiple times its
    // capacity.
    double tokensPerSecond =
        Math.min(0.5 * settings.warmUpOverloadMultiple, MAX_LOAD_SHARE)
            * capacityShare
            * warmPerSecond;
    double maxTokens =
        Math.max(1, 0.5 * tokensPerSecond * settings.warmUpOverloadTolerance.ms() / 1000);
    endpoint.warmUpTokens =
        Math.min(
            endpoint.warmUpTokens
                + tokensPerSecond * now.since(endpoint.warmUpTokensRefilledAt).ms() / 1000,
            maxTokens);
    endpoint.warmUpTokensRefilledAt = now;
    return endpoint.warmUpTokens >= 1;
  }
}
