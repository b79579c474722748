package sprucerock.policy;

import sprucerock.model.Attempt;
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
    return cap(build) > 0
        && (settings.capsPerMethod ? method.canaryTokens : sharedTokens) >= tokens
        && stageAllows(build, method);
  }

  private double cap(Build build) {
    return canary.isCanary(build) ? canary.cap() : settings.exposureCaps.get(0);
  }

  private boolean stageAllows(Build build, Method method) {
    int stage = canary.isCanary(build) ? canary.trial().stage() : 0;
    return method.idempotent() || stage >= settings.guardedStages;
  }

  /**
   * Whether an attempt that was sent earlier, and is about to be written, is still covered: its
   * build is not on trial, or the attempt took a token under a cap that was not lowered since. A
   * build that has come to be on trial since, by a rollback, covers none.
   */
  boolean stillAllows(Attempt attempt) {
    Build build = attempt.endpoint.build;
    if (!canary.isOnTrial(build)) {
      return true;
    }
    return attempt.exposureCap > 0
        && cap(build) >= attempt.exposureCap
        && stageAllows(build, attempt.rpc.method);
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

  /** Takes a token for an attempt at a build on trial, under the present cap. */
  void spendToken(Attempt attempt) {
    sharedTokens -= 1;
    attempt.rpc.method.canaryTokens -= 1;
    attempt.exposureCap = cap(attempt.endpoint.build);
  }
}
