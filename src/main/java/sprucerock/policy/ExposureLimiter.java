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
    sharedTokens = settings.uncappedCanaryAttempts;
    for (Method method : settings.methods) {
      method.canaryTokens = settings.uncappedCanaryAttempts;
    }
  }

  /**
   * Whether a build on trial may get an attempt of the method. The bucket must hold at least {@code
   * tokens}, and requests that are not idempotent are excluded from the first stages. A build that
   * the controller has not announced yet is treated as in the first stage.
   */
  boolean allows(Build build, Method method, double tokens) {
    if (canary.trial() == null) {
      return false;
    }
    double cap = canary.isCanary(build) ? canary.cap() : settings.exposureCaps.get(0);
    int stage = canary.isCanary(build) ? canary.trial().stage() : 0;
    return cap > 0
        && (settings.capsPerMethod ? method.canaryTokens : sharedTokens) >= tokens
        && (method.idempotent() || stage >= settings.guardedStages);
  }

  /**
   * Adds as much of a token as the exposure cap allows for one request. The bucket holds as many
   * tokens as there are attempts exempt from the cap.
   */
  void requestArrived(Method method) {
    if (canary.trial() == null) {
      return;
    }
    RolloutState state = canary.state();
    // After the trial, tokens are for the next build, which begins in the first stage. The last
    // factor keeps rounding errors from exceeding the cap.
    boolean ended = state == RolloutState.RELEASED || state == RolloutState.WITHDRAWN;
    double share = (ended ? settings.exposureCaps.get(0) : canary.cap()) * (1 - 1e-6);
    sharedTokens = Math.min(settings.uncappedCanaryAttempts, sharedTokens + share);
    method.canaryTokens = Math.min(settings.uncappedCanaryAttempts, method.canaryTokens + share);
  }

  /** Takes a token for an attempt at a build on trial. */
  void spendToken(Method method) {
    sharedTokens -= 1;
    method.canaryTokens -= 1;
  }
}
