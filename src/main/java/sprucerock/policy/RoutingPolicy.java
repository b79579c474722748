package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.EndpointListState;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.VoteReply;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Entry point of all routing decisions of one relay. The relay, or the simulator's adapter, creates
 * one instance at start and calls one method per event; the policy acts at once through {@link
 * RelayActions}.
 *
 * <p>During a canary trial, an idempotent request goes to the baseline, and a shadow request of it
 * goes to the canary. The relay compares the two attempts of each shadow pair by their failures,
 * and the latencies of all pairs of a stage by a one-sided Kolmogorov-Smirnov (KS) test. It votes
 * on the result.
 *
 * <p>Each kind of decision belongs to one type of this package. This class makes none itself: it
 * passes events to those types in a fixed order. Not thread-safe.
 */
public final class RoutingPolicy implements RelayEvents {
  // Well under the shortest duration of a stage.
  private static final TimeSpan TICK_INTERVAL = TimeSpan.ofMs(100);
  private static final int ATTEMPT_MESSAGE_BYTES = 4;
  private static final int REPORT_MESSAGE_BYTES = 8;

  private final RelayActions actions;
  private final Settings settings;
  private final CanaryStatus canary;
  private final ArrivalRate arrivals;
  private final EndpointListSubscription subscription;
  private final EndpointListGate listGate = new EndpointListGate();
  private final ExposureLimiter exposure;
  private final SlowStartLimiter slowStart;
  private final OutlierDetector outliers;
  private final KeyAffinity keys;
  private final LoadGossip gossip;
  private final AdmissionController admission;
  private final LatencyTracker latency;
  private final EndpointSelector selector;
  private final AttemptSender sender;
  private final WriteAdmission writes;
  private final RetryPolicy retries;
  private final RequestCompletion completion;
  private final ShadowTraffic shadows;
  private final CanaryJudge canaryJudge;
  private final ShadowPairJudge pairJudge;
  private final FleetCounts fleetCounts;

  /**
   * Creates the policy and starts its periodic tick. Subscribes to the endpoint list if relays poll
   * it.
   */
  public RoutingPolicy(RelayActions actions, Settings settings, long seed) {
    this.actions = actions;
    this.settings = settings;
    DeterministicRandom random = new DeterministicRandom(seed);
    final Timestamp started = actions.now();
    canary = new CanaryStatus(settings.methods.size());
    arrivals = new ArrivalRate(actions, settings);
    subscription = new EndpointListSubscription(actions, settings, random);
    exposure = new ExposureLimiter(settings, canary);
    slowStart = new SlowStartLimiter(actions, settings, random, canary);
    outliers = new OutlierDetector(actions);
    keys = new KeyAffinity(actions, settings, canary, arrivals);
    gossip = new LoadGossip(actions, settings, started);
    admission = new AdmissionController(actions, settings, random, arrivals, gossip, started);
    BaselinePaceMonitor baselinePace =
        new BaselinePaceMonitor(actions, settings, canary, arrivals, started);
    latency = new LatencyTracker(actions, settings, canary, baselinePace);
    RetryBudget budget = new RetryBudget(actions, arrivals);
    selector =
        new EndpointSelector(
            actions, settings, random, canary, listGate, exposure, keys, slowStart, outliers,
            latency, gossip, budget);
    sender =
        new AttemptSender(
            actions, settings, canary, exposure, slowStart, latency, gossip, this::attemptOverdue);
    writes = new WriteAdmission(listGate, keys, exposure);
    retries = new RetryPolicy(actions, settings, budget, selector, sender);
    completion = new RequestCompletion(actions, settings, admission);
    shadows = new ShadowTraffic(settings, random, canary, exposure, keys, budget, selector, sender);
    canaryJudge = new CanaryJudge(actions, settings, canary, arrivals, baselinePace);
    pairJudge = new ShadowPairJudge(actions, canary, latency, canaryJudge);
    fleetCounts = new FleetCounts(settings, canary, arrivals, baselinePace, canaryJudge);
    subscription.start();
    tick();
  }

  private void tick() {
    Timestamp now = actions.now();
    subscription.pollIfDue(now);
    canaryJudge.evaluate();
    canaryJudge.reportToPeers(now);
    actions.schedule(now.plus(TICK_INTERVAL), this::tick);
  }

  @Override
  public void endpointReady(Endpoint endpoint) {
    latency.endpointReady(endpoint);
    gossip.endpointReady(endpoint);
    canary.endpointReady(endpoint);
    slowStart.endpointReady(endpoint);
  }

  /** Stops sending attempts to the endpoint at once, without a grace period (rule 3). */
  @Override
  public void endpointDraining(Endpoint endpoint) {
    gossip.endpointDraining(endpoint);
    canary.endpointDraining(endpoint);
  }

  @Override
  public void endpointListFailed() {
    subscription.listFailed();
  }

  @Override
  public void endpointListStateChanged(EndpointListState state) {
    listGate.stateChanged(state);
  }

  @Override
  public void rolloutChanged(
      Build build, int stage, RolloutState state, double cap, Timestamp since) {
    if (canary.update(build, stage, state, cap, since)) {
      shadows.stageEntered();
      canaryJudge.stageEntered();
    }
    canaryJudge.evaluate();
  }

  @Override
  public void rpcArrived(Rpc rpc) {
    Timestamp now = actions.now();
    arrivals.requestArrived(now);
    keys.requestArrived(rpc, now);
    exposure.requestArrived(rpc.method);
    admission.requestArrived(rpc, now);
    if (admission.shouldReject(rpc)) {
      completion.endUnanswered(rpc);
    } else {
      route(rpc);
    }
  }

  private void route(Rpc rpc) {
    scheduleDeadlines(rpc);
    Build judgedBuild = canary.judgedBuild();
    if (shadows.sendToCanaryOnly(rpc)) {
      return;
    }
    Endpoint endpoint = selector.select(rpc);
    if (endpoint == null) {
      completion.endUnanswered(rpc);
      return;
    }
    Attempt attempt = sender.send(rpc, endpoint, false);
    if (judgedBuild != null
        && endpoint.build != judgedBuild
        && shadows.pair(rpc, attempt, judgedBuild)) {
      pairJudge.judge(attempt.shadowPair);
    }
  }

  private void scheduleDeadlines(Rpc rpc) {
    actions.schedule(
        rpc, actions.now().plus(rpc.method.latencyObjective), () -> admission.settle(rpc));
    // Rule 1: an RPC without an answer ends two loop ticks before its deadline, since a timer may
    // fire one tick late.
    actions.schedule(
        rpc,
        rpc.deadline.minus(settings.maxTimerDelay.times(2)),
        () -> {
          if (!rpc.streaming()) {
            completion.endUnanswered(rpc);
          }
        });
  }

  /**
   * Handles an attempt that has had no answer within the expected time. If the endpoint has not
   * answered any attempt since this one was sent, the endpoint is charged with a failure, and a
   * hedged request is sent if hedging is allowed.
   */
  private void attemptOverdue(Attempt attempt) {
    attempt.overdue = true;
    Endpoint endpoint = attempt.endpoint;
    boolean silent =
        endpoint.lastAnsweredAt == null || attempt.sentAt.after(endpoint.lastAnsweredAt);
    if (silent) {
      outliers.recordOutcome(endpoint, false);
    }
    latency.attemptOverdue(endpoint);
    if (attempt.shadowPair != null) {
      pairJudge.judge(attempt.shadowPair);
    }
    if (silent && settings.hedgingAllowed && attempt.rpc.inFlight() == 1) {
      retries.retryIfAllowed(attempt.rpc);
    }
  }

  @Override
  public boolean mayWrite(Attempt attempt) {
    return writes.mayWrite(attempt);
  }

  @Override
  public void streamStarted(Attempt attempt) {
    admission.settle(attempt.rpc);
  }

  @Override
  public void attemptEnded(Attempt attempt, boolean endsRpc) {
    Timestamp now = actions.now();
    Rpc rpc = attempt.rpc;
    boolean ok = attempt.outcome() == AttemptOutcome.OK;
    if (endsRpc) {
      admission.settle(rpc);
    }
    if (endsRpc && ok) {
      admission.requestAnswered(now);
    }
    shadows.attemptEnded(attempt);
    gossip.attemptEnded(attempt.endpoint, now.since(attempt.sentAt));
    outliers.attemptEnded(attempt);
    selector.attemptEnded(attempt, now);
    if (ok || attempt.outcome() == AttemptOutcome.TIMED_OUT) {
      latency.recordLatency(attempt);
    }
    if (canary.isCanary(attempt.endpoint.build)) {
      canary.attemptEnded(attempt);
    }
    if (ok && canary.isCanary(attempt.endpoint.build)) {
      keys.canaryAnswered(attempt);
    }
    if (attempt.shadowPair != null) {
      pairJudge.judge(attempt.shadowPair);
    }
    if (!rpc.ended() && !rpc.streaming() && rpc.inFlight() == 0 && !retries.retryIfAllowed(rpc)) {
      completion.endUnanswered(rpc);
    }
  }

  @Override
  public void clientDisconnected(Rpc rpc) {
    completion.clientDisconnected(rpc);
  }

  @Override
  public void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean) {
    fleetCounts.countsReceived(build, method, attempts, failed, mean);
  }

  @Override
  public void answerReportedWrong(Endpoint endpoint) {
    pairJudge.answerReportedWrong(endpoint);
  }

  @Override
  public void healthChecked(Endpoint endpoint, boolean answered) {
    outliers.healthChecked(endpoint, answered);
  }

  @Override
  public void peerMessageReceived(int sender, byte[] contents) {
    if (contents.length < 2) {
      return;
    }
    if (contents[0] == LoadReports.ATTEMPT_MESSAGE && contents.length == ATTEMPT_MESSAGE_BYTES) {
      gossip.attemptReported(contents);
    } else if (contents[0] == LoadReports.LOADS_MESSAGE) {
      gossip.loadsReceived(sender, contents);
    } else if (canary.trial() != null && contents.length == REPORT_MESSAGE_BYTES) {
      canaryJudge.reportReceived(sender, contents);
    }
  }

  @Override
  public void voteAnswered(VoteReply reply) {
    canaryJudge.voteAnswered(reply);
  }
}
