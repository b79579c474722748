package sprucerock.policy;

import java.util.function.Consumer;
import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Sends attempts, with their time-outs, and tells all that keep count of them. */
final class AttemptSender {
  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final ExposureLimiter exposure;
  private final SlowStartLimiter slowStart;
  private final LatencyTracker latency;
  private final LoadGossip gossip;
  private final Consumer<Attempt> overdueListener;

  /** {@code whenOverdue} is told of each attempt from which nothing came within the usual time. */
  AttemptSender(
      RelayActions actions,
      Settings settings,
      CanaryStatus canary,
      ExposureLimiter exposure,
      SlowStartLimiter slowStart,
      LatencyTracker latency,
      LoadGossip gossip,
      Consumer<Attempt> whenOverdue) {
    this.actions = actions;
    this.settings = settings;
    this.canary = canary;
    this.exposure = exposure;
    this.slowStart = slowStart;
    this.latency = latency;
    this.gossip = gossip;
    this.overdueListener = whenOverdue;
  }

  Attempt send(Rpc rpc, Endpoint endpoint, boolean shadow) {
    Timestamp now = actions.now();
    boolean onTrial = canary.isOnTrial(endpoint.build);
    if (onTrial) {
      exposure.spendToken(rpc.method);
    }
    slowStart.attemptSent(endpoint, onTrial, now);
    TimeSpan overdue = latency.overdueAfter(rpc);
    Attempt attempt = new Attempt(rpc, endpoint, now, timeout(rpc, overdue, now));
    attempt.shadow = shadow;
    attempt.writeBy = writeDeadline(rpc);
    actions.send(attempt);
    gossip.attemptStarted(endpoint);
    actions.schedule(attempt, now.plus(overdue), () -> overdueListener.accept(attempt));
    return attempt;
  }

  // Where one attempt must end before the next, it is cut only when lost: its work so far is thrown
  // away.
  private TimeSpan timeout(Rpc rpc, TimeSpan overdue, Timestamp now) {
    TimeSpan lost = overdue.times(2);
    boolean cut =
        !settings.hedging
            && !rpc.method.mustNotBeCutShort()
            && rpc.attempts.size() + 1 < settings.maxAttempts
            && rpc.deadline.since(now).over(lost.times(1.5));
    return cut ? lost : null;
  }

  // rule 2: a retry that waits for a connection must not come up after its window
  private Timestamp writeDeadline(Rpc rpc) {
    Attempt first = rpc.firstThatMayHaveRun();
    boolean binds = first != null && rpc.method.idempotency == Method.Idempotency.KEYED;
    return binds ? first.sent.plus(rpc.method.keyLifetime).minus(settings.tick) : null;
  }
}
