package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.ShadowPair;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.stats.DeterministicRandom;

/**
 * Decides which requests go to the canary, either as a shadow request next to an attempt at the
 * baseline or to the canary only, and pairs the attempts.
 */
final class ShadowTraffic {
  private static final int MAX_SHADOWS_IN_FLIGHT = 8;

  // The limits for canary-only requests hold for each stage and each method that is not idempotent.
  // The limit for the fleet bounds the harm that a bad build may do with such requests.
  private static final double MAX_CANARY_ONLY = 10;
  private static final double MAX_CANARY_ONLY_FLEET = 40;

  private final Settings settings;
  private final DeterministicRandom random;
  private final CanaryStatus canary;
  private final ExposureLimiter exposure;
  private final KeyAffinity keys;
  private final RetryBudget budget;
  private final EndpointSelector selector;
  private final AttemptSender sender;
  private int shadowsInFlight;
  private int maxCanaryOnly;

  ShadowTraffic(
      Settings settings,
      DeterministicRandom random,
      CanaryStatus canary,
      ExposureLimiter exposure,
      KeyAffinity keys,
      RetryBudget budget,
      EndpointSelector selector,
      AttemptSender sender) {
    this.settings = settings;
    this.random = random;
    this.canary = canary;
    this.exposure = exposure;
    this.keys = keys;
    this.budget = budget;
    this.selector = selector;
    this.sender = sender;
  }

  void stageEntered() {
    // Rounded up or down at random, so that the sum over all relays meets the limit on average.
    maxCanaryOnly =
        (int)
            (Math.min(MAX_CANARY_ONLY, MAX_CANARY_ONLY_FLEET / settings.relayCount)
                + random.next());
  }

  void attemptEnded(Attempt attempt) {
    if (attempt.shadow) {
      shadowsInFlight--;
    }
  }

  /**
   * Sends the request to the canary only, if it is one of those that do so: some idempotent
   * requests where hedging is not allowed, and a few requests that are not idempotent.
   *
   * @return whether the request was sent
   */
  boolean sendToCanaryOnly(Rpc rpc) {
    Build build = canary.judgedBuild();
    Endpoint endpoint =
        build != null && maySendToCanaryOnly(rpc, build) ? selectAndReserve(rpc, build) : null;
    if (endpoint == null) {
      return false;
    }
    ShadowPair pair = new ShadowPair();
    sendShadow(rpc, endpoint, pair);
    canary.trial().evidence().recordCanaryOnly(rpc.method, pair);
    return true;
  }

  /**
   * Pairs an attempt at the baseline with a new shadow request, or with an earlier request that
   * went to the canary only.
   *
   * @return whether the attempt now belongs to a pair
   */
  boolean pair(Rpc rpc, Attempt baseline, Build judgedBuild) {
    Endpoint endpoint = mayShadow(rpc, judgedBuild) ? selectAndReserve(rpc, judgedBuild) : null;
    baseline.shadowPair =
        endpoint != null
            ? new ShadowPair()
            : canary.trial().evidence().pollAwaitingBaseline(rpc.method);
    if (baseline.shadowPair == null) {
      return false;
    }
    baseline.shadowPair.baseline = baseline;
    if (endpoint != null) {
      sendShadow(rpc, endpoint, baseline.shadowPair);
    }
    return true;
  }

  private void sendShadow(Rpc rpc, Endpoint endpoint, ShadowPair pair) {
    pair.canary = sender.send(rpc, endpoint, true);
    pair.canary.shadowPair = pair;
    shadowsInFlight++;
  }

  /**
   * Whether no further requests are sent to the canary at present: too many are in flight (the
   * design's circuit breaker), or a slowdown is investigated.
   */
  private boolean isBreakerOpen() {
    return shadowsInFlight >= MAX_SHADOWS_IN_FLIGHT || canary.trial().slowdown.pausedAt() != null;
  }

  /**
   * Whether the request may get a shadow request. With sticky keys, one exposure token is left for
   * requests that must go to the canary.
   */
  private boolean mayShadow(Rpc rpc, Build build) {
    double tokens = Math.min(settings.oneWayKeys ? 2 : 1, settings.uncappedCanaryAttempts);
    return rpc.method.idempotent()
        && settings.hedgingAllowed
        && !isBreakerOpen()
        && budget.hasCapacity()
        && rpc.attempts.size() < settings.maxAttempts
        && exposure.allows(build, rpc.method, tokens);
  }

  private boolean maySendToCanaryOnly(Rpc rpc, Build build) {
    if (isBreakerOpen() || !exposure.allows(build, rpc.method, 1) || keys.isSticky(rpc)) {
      return false;
    }
    StageEvidence evidence = canary.trial().evidence();
    // A request goes to the canary only if all earlier ones have a counterpart at the baseline, so
    // at most every other request of a method does.
    if (rpc.method.idempotent()) {
      return !settings.hedgingAllowed && evidence.allHaveBaseline(rpc.method);
    }
    // Shadow requests cannot show that a build is bad for a method that is not idempotent, so a few
    // requests of such methods go to the canary only.
    return canary.trial().stage() > 0 && evidence.canaryOnlyCount(rpc.method) < maxCanaryOnly;
  }

  /**
   * Selects an endpoint of the canary and reserves the traffic share of the request's key. Returns
   * null if there is no endpoint, or if the share does not fit under the exposure cap: an OK answer
   * would bind the key to the canary.
   */
  private Endpoint selectAndReserve(Rpc rpc, Build build) {
    Endpoint endpoint = selector.selectIn(rpc, build);
    return endpoint != null && keys.reserveShare(rpc) ? endpoint : null;
  }
}
