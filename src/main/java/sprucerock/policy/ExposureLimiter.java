package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Settings;

/** Keeps the canary's share of attempts under its exposure cap with token buckets (rule 5). */
final class ExposureLimiter {
  private final Settings settings;
  private final CanaryStatus canary;
  private double sharedTokens;

  ExposureLimiter(Settings settings, CanaryStatus canary) {
    this.settings = settings;
    this.canary = canary;
    sharedTokens = settings.free;
    for (Method method : settings.methods) {
      method.canaryTokens = settings.free;
    }
  }

  /**
   * Whether a build on trial may get an attempt, which takes at least {@code tokens} in the bucket.
   * A build that the controller has not announced yet counts as in the first stage.
   */
  boolean allows(Build build, Method method, double tokens) {
    if (canary.trial() == null) {
      return false;
    }
    double cap = canary.isCanary(build) ? canary.cap() : settings.caps.get(0);
    int stage = canary.isCanary(build) ? canary.trial().stage() : 0;
    return cap > 0
        && (settings.perMethod ? method.canaryTokens : sharedTokens) >= tokens
        && (method.idempotent() || stage >= settings.guardedStages);
  }

  /**
   * Adds the cap's share of a token for each request. The bucket size is the number of attempts
   * that no cap counts.
   */
  void requestArrived(Method method) {
    if (canary.trial() == null) {
      return;
    }
    RolloutState state = canary.state();
    boolean ended = state == RolloutState.RELEASED || state == RolloutState.WITHDRAWN;
    double share = (ended ? settings.caps.get(0) : canary.cap()) * (1 - 1e-6);
    sharedTokens = Math.min(settings.free, sharedTokens + share);
    method.canaryTokens = Math.min(settings.free, method.canaryTokens + share);
  }

  /** Takes a token for an attempt at a build on trial. */
  void spendToken(Method method) {
    sharedTokens -= 1;
    method.canaryTokens -= 1;
  }
}
