package sprucerock.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.settings.SettingsText;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A fake relay around the policy: a clock, timers and a record of the policy's actions. */
public final class FakeRelayActions implements RelayActions {
  private record Timer(Timestamp when, int order, Runnable task) {}

  /**
   * Settings with three methods: 0 is idempotent, 1 has an idempotency key and 2 is not idempotent.
   */
  public static final String SETTINGS =
      """
        balancers=3
        classes.count=3
        classes.0.effect=read_like
        classes.0.on_time=1500.0
        classes.0.worth=2.0
        classes.1.effect=idempotency_key
        classes.1.group=all
        classes.1.on_time=1200.0
        classes.1.window=2000.0
        classes.1.worth=5.0
        classes.2.effect=non_idempotent
        classes.2.on_time=2000.0
        classes.2.worth=3.0
        membership_mode=push
        index=0
        my_zone=0
        obligations.ask_within=10000.0
        obligations.cold=3900.0
        obligations.start_capacity=0.36
        obligations.tip_after=1000.0
        obligations.tip_multiple=3.0
        permissions.cancel=true
        permissions.max_retry_after=500.0
        permissions.peers=true
        permissions.retry_after=true
        permissions.second_copies=true
        permissions.send_cap=5
        specifics.ballot_ttl=4000.0
        specifics.call_timeout=2000.0
        specifics.caps=0.1,0.4,1.0
        specifics.counted_over=3000.0
        specifics.keys_stay=false
        specifics.per=all
        specifics.safe_only_stages=0
        specifics.uncounted=3.0
        specifics.vote_mode=single
        telemetry.names=
        tick=5.0
        """;

  final List<Attempt> sent = new ArrayList<>();
  final List<Attempt> cancelled = new ArrayList<>();
  final List<Rpc> rejected = new ArrayList<>();
  final List<Rpc> failed = new ArrayList<>();
  final List<Verdict> votes = new ArrayList<>();
  final List<byte[]> broadcasts = new ArrayList<>();
  final List<byte[]> directMessages = new ArrayList<>();
  final List<Integer> recipients = new ArrayList<>();
  int subscriptions;
  final Settings settings;
  final RequestTracker tracker;
  final RoutingPolicy policy;
  final Build baseline;
  final Build canary;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> {
            int byTime = a.when.compareTo(b.when);
            return byTime != 0 ? byTime : Integer.compare(a.order, b.order);
          });
  private Timestamp now = Timestamp.ofMs(100_000);
  private int nextId;

  /** Creates a relay with {@link #SETTINGS}, overridden by the given lines. */
  FakeRelayActions(String... overrides) {
    settings = SettingsText.read(SETTINGS + String.join("\n", overrides));
    tracker = new RequestTracker(settings);
    baseline = tracker.build(1);
    canary = tracker.build(2);
    policy = new RoutingPolicy(this, settings, 42);
    tracker.setListener(policy);
  }

  /** Lists warm endpoints of the baseline and reports it as the released build. */
  FakeRelayActions withBaseline(int endpoints) {
    for (int i = 0; i < endpoints; i++) {
      listEndpoint(baseline, null);
    }
    tracker.rolloutChanged(1, 2, RolloutState.RELEASED, 1, now.minus(TimeSpan.ofMs(60_000)));
    return this;
  }

  /** Lists warm endpoints of the canary and puts it on trial. */
  FakeRelayActions withCanary(int endpoints, int stage, double cap) {
    for (int i = 0; i < endpoints; i++) {
      listEndpoint(canary, now.minus(TimeSpan.ofMs(20_000)));
    }
    tracker.rolloutChanged(2, stage, RolloutState.ON_TRIAL, cap, now);
    return this;
  }

  Endpoint listEndpoint(Build build, Timestamp started) {
    return tracker.endpointListed(nextId++, 0, 0, 0, build.number, started, 1, true);
  }

  Rpc arriveRpc(int method) {
    return arriveRpc(method, 0, 4000);
  }

  Rpc arriveRpc(int method, long key, double deadlineMs) {
    return tracker.rpcArrived(
        nextId++,
        settings.methods.get(method),
        0,
        key,
        now,
        now.plus(TimeSpan.ofMs(deadlineMs)),
        null,
        null);
  }

  /**
   * Sends idempotent RPCs with the key, answering them with OK, until one gets a shadow request.
   *
   * @return the RPC with the shadow request, whose attempts are in flight
   */
  Rpc arriveUntilShadowed(long key) {
    for (int i = 0; i < 100; i++) {
      Rpc rpc = arriveRpc(0, key, 4000);
      if (rpc.attempts.size() == 2) {
        return rpc;
      }
      advance(50);
      endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
    }
    throw new AssertionError("no RPC got a shadow request");
  }

  void endAttempt(Attempt attempt, AttemptOutcome outcome) {
    boolean closes = outcome == AttemptOutcome.OK || attempt.rpc.ended();
    tracker.attemptEnded(attempt, outcome, now.since(attempt.sentAt), closes);
  }

  /** Ends all attempts in flight, with one outcome at the canary and another elsewhere. */
  void endAllInFlight(AttemptOutcome atCanary, AttemptOutcome atBaseline) {
    for (Attempt attempt : List.copyOf(sent)) {
      if (attempt.outcome() == null) {
        endAttempt(attempt, attempt.endpoint.build == canary ? atCanary : atBaseline);
      }
    }
  }

  long sentTo(Build build) {
    return sent.stream().filter(attempt -> attempt.endpoint.build == build).count();
  }

  /** Sends idempotent RPCs every {@code gapMs}, all answered with OK after 40 ms. */
  void runTraffic(int rpcs, double gapMs) {
    for (int i = 0; i < rpcs; i++) {
      arriveRpc(0);
      advance(40);
      endAllInFlight(AttemptOutcome.OK, AttemptOutcome.OK);
      advance(gapMs - 40);
    }
  }

  void advance(double ms) {
    Timestamp until = now.plus(TimeSpan.ofMs(ms));
    while (!timers.isEmpty() && !timers.peek().when.after(until)) {
      Timer timer = timers.poll();
      now = now.laterOf(timer.when);
      timer.task.run();
    }
    now = until;
  }

  @Override
  public Timestamp now() {
    return now;
  }

  @Override
  public void send(Attempt attempt) {
    tracker.attemptSent(attempt);
    sent.add(attempt);
  }

  @Override
  public void cancel(Attempt attempt) {
    cancelled.add(attempt);
  }

  @Override
  public void reject(Rpc rpc, TimeSpan wait) {
    tracker.rpcRejected(rpc);
    rejected.add(rpc);
  }

  @Override
  public void fail(Rpc rpc) {
    tracker.rpcAborted(rpc);
    failed.add(rpc);
  }

  @Override
  public void schedule(Timestamp when, Runnable task) {
    timers.add(new Timer(when, nextId++, task));
  }

  @Override
  public void vote(Build build, int stage, Verdict verdict) {
    votes.add(verdict);
  }

  @Override
  public void sendToPeers(byte[] contents) {
    broadcasts.add(contents);
  }

  @Override
  public void sendToPeer(int relay, byte[] contents) {
    directMessages.add(contents);
    recipients.add(relay);
  }

  @Override
  public void subscribe() {
    subscriptions++;
  }

  @Override
  public void log(String line) {}
}
