package sprucerock.policy;

import java.util.function.Consumer;
import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Sends attempts, sets their timeouts and updates the types that count attempts. */
final class AttemptSender {
  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final ExposureLimiter exposure;
  private final SlowStartLimiter slowStart;
  private final LatencyTracker latency;
  private final LoadGossip gossip;
  private final Consumer<Attempt> overdueListener;

  /** Creates a sender that passes each overdue attempt to {@code overdueListener}. */
  AttemptSender(
      RelayActions actions,
      Settings settings,
      CanaryStatus canary,
      ExposureLimiter exposure,
      SlowStartLimiter slowStart,
      LatencyTracker latency,
      LoadGossip gossip,
      Consumer<Attempt> overdueListener) {
    this.actions = actions;
    this.settings = settings;
    this.canary = canary;
    this.exposure = exposure;
    this.slowStart = slowStart;
    this.latency = latency;
    this.gossip = gossip;
    this.overdueListener = overdueListener;
  }

  Attempt send(Rpc rpc, Endpoint endpoint, boolean shadow) {
    Timestamp now = actions.now();
    boolean onTrial = canary.isOnTrial(endpoint.build);
    slowStart.attemptSent(endpoint, onTrial, now);
    TimeSpan overdueAfter = latency.overdueAfter(rpc);
    Attempt attempt = new Attempt(rpc, endpoint, now, timeout(rpc, overdueAfter, now));
    attempt.shadow = shadow;
    if (onTrial) {
      exposure.spendToken(attempt);
    }
    attempt.writeBy = writeDeadline(rpc);
    actions.send(attempt);
    gossip.attemptStarted(endpoint);
    actions.schedule(attempt, now.plus(overdueAfter), () -> overdueListener.accept(attempt));
    return attempt;
  }

  // Without hedging, an attempt must end before the next one is sent. A timeout discards the work
  // that the endpoint has done so far. So the timeout is long enough to assume that the attempt is
  // lost, and is set only if another attempt is permitted and has time to succeed.
  private TimeSpan timeout(Rpc rpc, TimeSpan overdueAfter, Timestamp now) {
    TimeSpan lostAfter = overdueAfter.times(2);
    boolean mayTimeOut =
        !settings.hedgingAllowed
            && !rpc.method.mustNotBeCutShort()
            && rpc.attempts.size() + 1 < settings.maxAttempts
            && rpc.deadline.since(now).over(lostAfter.times(1.5));
    return mayTimeOut ? lostAfter : null;
  }

  // Rule 2: a retry that waits for a connection must not be written after the lifetime of its
  // idempotency key.
  private Timestamp writeDeadline(Rpc rpc) {
    Attempt mayHaveRun = rpc.firstThatMayHaveRun();
    boolean keyExpires = mayHaveRun != null && rpc.method.idempotency == Method.Idempotency.KEYED;
    return keyExpires
        ? mayHaveRun.sentAt.plus(rpc.method.keyLifetime).minus(settings.maxTimerDelay)
        : null;
  }
}
