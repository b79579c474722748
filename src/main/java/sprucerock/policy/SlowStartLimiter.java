package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Settings;
import sprucerock.stats.DecayingSum;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Limits what an endpoint gets while it warms up (rule 4), by a token bucket of its own.
 *
 * <p>A cold endpoint gets of this relay what a warm one of its size gets, times the share that it
 * surely has by now, times 0.8 so that no queue builds up. Warm endpoints carry what they can, so
 * the sum over relays is within the budget, however uneven they are. On trial it holds for warm
 * ones too: like loads.
 */
final class SlowStartLimiter {
  private static final double MAX_LOAD_SHARE = 0.8;
  private static final TimeSpan WEIGHTS_MAX_AGE = TimeSpan.ofMs(500); // no scan for each attempt

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

  /** Relays learn of an endpoint together: their first tokens come one by one. */
  void endpointReady(Endpoint endpoint) {
    endpoint.warmUpTokens = random.next();
    endpoint.warmUpTokensRefilledAt = actions.now();
  }

  /** An attempt was sent to it. */
  void attemptSent(Endpoint endpoint, boolean onTrial, Timestamp now) {
    baselineSends.add(now, onTrial ? 0 : 1);
    endpoint.warmUpTokens--;
  }

  /** Whether it may get one attempt more now; refills its bucket. */
  boolean hasCapacity(Endpoint endpoint, Timestamp now) {
    if (!canary.isOnTrial(endpoint.build) && endpoint.olderThan(settings.warmUp, now)) {
      return true;
    }
    double all = 0;
    double warm = 0;
    for (Build build : canary.buildsAscending()) {
      build.refreshWeights(settings.warmUp, WEIGHTS_MAX_AGE, now);
      all += build.weight;
      if (!canary.isOnTrial(build)) {
        warm += build.warmWeight;
      }
    }
    double carried =
        baselineSends.perSecond(now) * endpoint.weight() / Math.max(warm > 0 ? warm : all, 0.1);
    double age =
        endpoint.startedAt == null
            ? 1
            : Math.max(0, now.since(endpoint.startedAt).dividedBy(settings.warmUp));
    double share =
        settings.initialCapacityShare + (1 - settings.initialCapacityShare) * Math.min(1, age);
    double perSecond =
        Math.min(0.5 * settings.warmUpOverloadMultiple, MAX_LOAD_SHARE) * share * carried;
    double most = Math.max(1, 0.5 * perSecond * settings.warmUpOverloadTolerance.ms() / 1000);
    endpoint.warmUpTokens =
        Math.min(
            endpoint.warmUpTokens
                + perSecond * now.since(endpoint.warmUpTokensRefilledAt).ms() / 1000,
            most);
    endpoint.warmUpTokensRefilledAt = now;
    return endpoint.warmUpTokens >= 1;
  }
}
