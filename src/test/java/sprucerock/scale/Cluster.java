package sprucerock.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.settings.SettingsText;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RoutingPolicy;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * So many relays' real modules on one clock, with units that answer ok after 40 ms, and links
 * between all of them that count what is told and deliver it at once. Nothing depends on the
 * machine's speed: the same arguments give the same counts.
 */
final class Cluster {
  /** Bytes of a TOLD frame beside its contents: length, kind and an empty head. */
  static final int FRAME = 8;

  private static final double ANSWER_MS = 40;

  private static final String SETTINGS =
      """
        classes.count=1
        classes.0.effect=read_like
        classes.0.on_time=1500.0
        classes.0.worth=2.0
        membership_mode=push
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

  private record Timer(Timestamp when, long order, Runnable what) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> {
            int byTime = a.when.compareTo(b.when);
            return byTime != 0 ? byTime : Long.compare(a.order, b.order);
          });
  private final List<One> relays = new ArrayList<>();
  private Timestamp now = Timestamp.ofMs(100_000);
  private long made;

  /**
   * What one relay told and was told since {@link #begin}, and what it did; frames are bytes on a
   * connection between relays.
   */
  static final class Counts {
    long messagesOut;
    long bytesOut;
    long messagesIn;
    long bytesIn;

    /** Of those, by the module's kinds: a pick's start or end, loads, pairs. */
    final long[] inByKind = new long[4];

    final long[] outByKind = new long[4];
    final long[] bytesInByKind = new long[4];
    long votes;
    long rpcs;
    long sends;
  }

  final class One implements RelayActions {
    final int index;
    final Settings settings;
    final RequestTracker ledger;
    final RoutingPolicy policy;
    Counts counts = new Counts();

    One(int index, int relays) {
      this.index = index;
      settings = SettingsText.read(SETTINGS + "index=" + index + "\nbalancers=" + relays + "\n");
      ledger = new RequestTracker(settings);
      policy = new RoutingPolicy(this, settings, 42 + index);
      ledger.setListener(policy);
    }

    @Override
    public Timestamp now() {
      return now;
    }

    @Override
    public void send(Attempt attempt) {
      ledger.attemptSent(attempt);
      counts.sends++;
      schedule(
          now.plus(TimeSpan.ofMs(ANSWER_MS)),
          () -> {
            if (attempt.outcome() == null) {
              ledger.attemptEnded(attempt, AttemptOutcome.OK, now.since(attempt.sentAt), true);
            }
          });
    }

    @Override
    public void cancel(Attempt attempt) {}

    @Override
    public void reject(Rpc rpc, TimeSpan wait) {
      ledger.rpcRejected(rpc);
    }

    @Override
    public void fail(Rpc rpc) {
      ledger.rpcAborted(rpc);
    }

    @Override
    public void schedule(Timestamp when, Runnable what) {
      timers.add(new Timer(when, made++, what));
    }

    @Override
    public void vote(Build build, int stage, Verdict verdict) {
      counts.votes++;
      policy.voteAnswered(sprucerock.model.VoteReply.COUNTS);
    }

    @Override
    public void sendToPeers(byte[] contents) {
      for (One other : relays) {
        if (other != this) {
          tell(other, contents);
        }
      }
    }

    @Override
    public void sendToPeer(int relay, byte[] contents) {
      tell(relays.get(relay), contents);
    }

    private void tell(One other, byte[] contents) {
      counts.messagesOut++;
      counts.bytesOut += FRAME + contents.length;
      counts.outByKind[contents[0]]++;
      other.counts.messagesIn++;
      other.counts.bytesIn += FRAME + contents.length;
      other.counts.inByKind[contents[0]]++;
      other.counts.bytesInByKind[contents[0]] += FRAME + contents.length;
      other.policy.peerMessageReceived(index, contents);
    }

    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {}

    private void rpc(double gapMs) {
      counts.rpcs++;
      ledger.rpcArrived(
          made++, settings.methods.get(0), 0, 0, now, now.plus(TimeSpan.ofMs(4000)), null, null);
      schedule(now.plus(TimeSpan.ofMs(gapMs)), () -> rpc(gapMs));
    }
  }

  /**
   * All with so many warm units of the released build, each with RPCs at a fixed rate from an own
   * place in the second on.
   */
  Cluster(int size, int endpoints, double rpcsPerSecond) {
    for (int i = 0; i < size; i++) {
      relays.add(new One(i, size));
    }
    double gapMs = 1000 / rpcsPerSecond;
    for (One one : relays) {
      for (int i = 0; i < endpoints; i++) {
        one.ledger.endpointListed(i, 0, 0, 0, 1, null, 1, true);
      }
      one.ledger.rolloutChanged(1, 2, RolloutState.RELEASED, 1, now.minus(TimeSpan.ofMs(60_000)));
      one.schedule(now.plus(TimeSpan.ofMs(gapMs * one.index / size)), () -> one.rpc(gapMs));
    }
  }

  /** Units of a newer build are there, and it is on trial: from now on there are pairs. */
  void offer(int endpoints) {
    for (One one : relays) {
      for (int i = 0; i < endpoints; i++) {
        one.ledger.endpointListed(
            1_000_000 + i, 0, 0, 0, 2, now.minus(TimeSpan.ofMs(20_000)), 1, true);
      }
      one.ledger.rolloutChanged(2, 2, RolloutState.ON_TRIAL, 1, now);
    }
  }

  void pass(double ms) {
    Timestamp until = now.plus(TimeSpan.ofMs(ms));
    while (!timers.isEmpty() && !timers.peek().when.after(until)) {
      Timer timer = timers.poll();
      now = now.laterOf(timer.when);
      timer.what.run();
    }
    now = until;
  }

  /** Counts go from zero, so that what came before the load was steady is left out. */
  void begin() {
    for (One one : relays) {
      one.counts = new Counts();
    }
  }

  /** Of the relay that sums up loads for all: number 0, the first that all tell. */
  Counts hub() {
    return relays.get(0).counts;
  }

  /** Of one that is not the hub. */
  Counts other() {
    return relays.get(relays.size() - 1).counts;
  }

  /** The hub is told something by a relay that need not be there. */
  void toldPairs(int sender, byte[] contents) {
    relays.get(0).policy.peerMessageReceived(sender, contents);
  }
}
