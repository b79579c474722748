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
 * Shadow traffic: decides which requests go to the canary, beside the baseline or alone, and pairs
 * the attempts.
 */
final class ShadowTraffic {
  private static final int MAX_IN_FLIGHT = 8;
  private static final double MAX_CANARY_ONLY = 10;
  private static final double MAX_CANARY_ONLY_FLEET = 40; // by all relays: each harms

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
    maxCanaryOnly =
        (int) (Math.min(MAX_CANARY_ONLY, MAX_CANARY_ONLY_FLEET / settings.relays) + random.next());
  }

  void attemptEnded(Attempt attempt) {
    if (attempt.shadow) {
      shadowsInFlight--;
    }
  }

  /**
   * Sends the request to the canary alone, in place of a shadow request: where second copies are
   * barred, and a few requests with an effect. Says whether it did.
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
    canary.trial().evidence().sentAlone(rpc.method, pair);
    return true;
  }

  /**
   * Pairs an attempt at the baseline: with a shadow request of its own, or with one that was sent
   * alone earlier. Says whether it is part of a pair now.
   */
  boolean pair(Rpc rpc, Attempt baseline, Build judged) {
    Endpoint endpoint = mayShadow(rpc, judged) ? selectAndReserve(rpc, judged) : null;
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

  /** The design's circuit breaker, and while a slowdown is looked into. */
  private boolean isBreakerOpen() {
    return shadowsInFlight >= MAX_IN_FLIGHT || canary.trial().slowdown.pausedAt() != null;
  }

  /** Where keys are sticky, one token stays for a sticky key's request. */
  private boolean mayShadow(Rpc rpc, Build build) {
    double tokens = Math.min(settings.oneWayKeys ? 2 : 1, settings.free);
    return rpc.method.idempotent()
        && settings.hedging
        && !isBreakerOpen()
        && budget.hasCapacity()
        && rpc.attempts.size() < settings.maxAttempts
        && exposure.allows(build, rpc.method, tokens);
  }

  private boolean maySendToCanaryOnly(Rpc rpc, Build build) {
    if (isBreakerOpen() || !exposure.allows(build, rpc.method, 1) || keys.isSticky(rpc)) {
      return false;
    }
    StageEvidence seen = canary.trial().evidence();
    // every other one of a method at most: each has its like at the baseline
    if (rpc.method.idempotent()) {
      return !settings.hedging && seen.hasBaselineForEach(rpc.method);
    }
    // A build bad for one method with effects shows in no shadow request: a few such requests go
    // there alone.
    return canary.trial().stage() > 0 && seen.sentAlone(rpc.method) < maxCanaryOnly;
  }

  /** An ok answer binds its key to the canary, so the key's share must fit. */
  private Endpoint selectAndReserve(Rpc rpc, Build build) {
    Endpoint endpoint = selector.selectIn(rpc, build);
    return endpoint != null && keys.reserveShare(rpc) ? endpoint : null;
  }
}
