package sprucerock.policy;

import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Settings;

/** Keeps the canary's share of attempts under its cap, by token buckets (rule 5). */
final class ExposureLimiter {
  private final Settings settings;
  private final CanaryStatus canary;
  private double sharedTokens;

  ExposureLimiter(Settings settings, CanaryStatus canary) {
    this.settings = settings;
    this.canary = canary;
    sharedTokens = settings.uncappedCanaryAttempts;
    for (Method method : settings.methods) {
      method.canaryTokens = settings.uncappedCanaryAttempts;
    }
  }

  /**
   * Whether a build on trial may get an attempt while so many tokens are left. A build not yet
   * named in the news counts as in the first stage.
   */
  boolean allows(Build build, Method method, double tokens) {
    if (canary.trial() == null) {
      return false;
    }
    double most = canary.isCanary(build) ? canary.cap() : settings.exposureCaps.get(0);
    int stage = canary.isCanary(build) ? canary.trial().stage() : 0;
    return most > 0
        && (settings.capsPerMethod ? method.canaryTokens : sharedTokens) >= tokens
        && (method.idempotent() || stage >= settings.guardedStages);
  }

  /** Each request brings the cap's share of a token; buckets are as deep as the free attempts. */
  void requestArrived(Method method) {
    if (canary.trial() == null) {
      return;
    }
    RolloutState state = canary.state();
    boolean ended = state == RolloutState.RELEASED || state == RolloutState.WITHDRAWN;
    double share = (ended ? settings.exposureCaps.get(0) : canary.cap()) * (1 - 1e-6);
    sharedTokens = Math.min(settings.uncappedCanaryAttempts, sharedTokens + share);
    method.canaryTokens = Math.min(settings.uncappedCanaryAttempts, method.canaryTokens + share);
  }

  /** An attempt goes to a build on trial. */
  void spendToken(Method method) {
    sharedTokens -= 1;
    method.canaryTokens -= 1;
  }
}
