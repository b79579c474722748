package sprucerock.simulation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.settings.SettingsText;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One relay at the bench's door: events in as calls of the ledger, calls of the host out as
 * actions.
 */
final class SimulatedRelay implements RelayActions {
  /** Makes the module of a relay. */
  interface PolicyFactory {
    RelayEvents make(RelayActions host, Settings settings, long seed);
  }

  private static final int READY = 1;
  private static final int DRAINING = 2;

  private final long id;
  private final ReplyWriter replies;
  private final PolicyFactory maker;
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long timerCount;
  private Settings settings;
  private RequestTracker ledger;
  private RelayEvents policy;
  private Timestamp now;

  SimulatedRelay(long id, ReplyWriter replies, PolicyFactory maker) {
    this.id = id;
    this.replies = replies;
    this.maker = maker;
  }

  void start(Timestamp at, long seed, String text) {
    now = at;
    guarded(
        () -> {
          settings = SettingsText.read(text);
          ledger = new RequestTracker(settings);
          policy = maker.make(this, settings, seed);
          ledger.setListener(policy);
        });
  }

  void listed(Timestamp at, int form, SimulationHost.Entry[] entries) {
    now = at;
    if (policy == null) {
      return;
    }
    guarded(
        () -> {
          if (form == 3) {
            policy.listFailed();
            return;
          }
          Set<Long> named = new HashSet<>();
          for (SimulationHost.Entry entry : entries) {
            named.add(entry.endpoint());
            listed(entry);
          }
          if (form != 0) {
            ledger.retainEndpoints(named);
          }
        });
  }

  private void listed(SimulationHost.Entry entry) {
    if (entry.health() != READY && entry.health() != DRAINING) {
      ledger.endpointRemoved(entry.endpoint());
      return;
    }
    Timestamp since = entry.since() == 0 ? null : Timestamp.ofMs(entry.since());
    ledger.endpointListed(
        entry.endpoint(),
        entry.zone(),
        entry.kind(),
        entry.cell(),
        entry.build(),
        since,
        entry.weight(),
        entry.health() == READY);
  }

  /** Takes an event that is no list; false where the code is none of the wire's. */
  boolean take(int code, ByteBuffer f, Timestamp at) {
    now = at;
    Runnable call =
        switch (code) {
          case 30 -> rpc(f);
          case 40 -> streaming(f);
          case 50 -> returned(f);
          case 60 -> gone(f);
          case 70 -> ring(f);
          case 80 -> checked(f);
          case 90 -> note(f);
          case 110 -> news(f);
          case 120 -> counts(f);
          case 130 -> flagged(f);
          default -> null;
        };
    if (call == null) {
      return false;
    }
    if (policy != null) {
      guarded(call);
    }
    return true;
  }

  private Runnable rpc(ByteBuffer f) {
    long handle = u32(f);
    int method = f.getShort() & 0xffff;
    int tenant = f.getInt();
    long key = f.getLong();
    Timestamp deadline = Timestamp.ofMs(f.getDouble());
    double hint = f.getDouble();
    boolean hinted = (f.get() & 1) != 0;
    return () -> {
      ledger.rpcArrived(
          handle,
          settings.methods.get(method),
          tenant,
          key,
          now,
          deadline,
          hinted ? TimeSpan.ofMs(hint) : null,
          null);
    };
  }

  private Runnable streaming(ByteBuffer f) {
    long handle = u32(f);
    f.getInt();
    int shot = f.get() & 0xff;
    f.getDouble();
    return () -> {
      Rpc rpc = ledger.rpc(handle);
      if (rpc != null && shot < rpc.attempts.size()) {
        ledger.streamStarted(rpc.attempts.get(shot));
      }
    };
  }

  private Runnable returned(ByteBuffer f) {
    long handle = u32(f);
    int shot = f.get() & 0xff;
    TimeSpan took = TimeSpan.ofMs(f.getDouble());
    boolean closed = f.get() != 0;
    f.getInt();
    AttemptOutcome outcome = outcome(f.get() & 0xff);
    load(f);
    return () -> {
      Rpc rpc = ledger.rpc(handle);
      if (rpc != null && shot < rpc.attempts.size()) {
        ledger.attemptEnded(rpc.attempts.get(shot), outcome, took, closed);
      }
    };
  }

  private Runnable gone(ByteBuffer f) {
    long handle = u32(f);
    return () -> {
      Rpc rpc = ledger.rpc(handle);
      if (rpc != null) {
        ledger.clientLeft(rpc);
      }
    };
  }

  private Runnable ring(ByteBuffer f) {
    Runnable due = timers.remove(u32(f));
    return due == null ? () -> {} : due;
  }

  private Runnable checked(ByteBuffer f) {
    f.getDouble();
    f.get();
    f.getInt();
    load(f);
    return () -> {};
  }

  private Runnable note(ByteBuffer f) {
    int sender = f.getInt();
    byte[] contents = new byte[SimulationHost.count(f, f.getShort() & 0xffff, 1)];
    f.get(contents);
    return () -> policy.peerTold(sender, contents);
  }

  private Runnable news(ByteBuffer f) {
    int number = f.getShort() & 0xffff;
    int stage = f.get() & 0xff;
    int standing = f.get() & 0xff;
    boolean answer = f.get() == 1;
    int status = f.get() & 0xff;
    double cap = f.getFloat();
    TimeSpan lasted = TimeSpan.ofMs(f.getDouble());
    return () -> {
      if (answer) {
        policy.voteAnswered(reply(status));
      }
      if (status == 1 && standing < RolloutState.values().length) {
        ledger.rolloutChanged(
            number, stage, RolloutState.values()[standing], cap, now.minus(lasted));
      }
    };
  }

  private Runnable counts(ByteBuffer f) {
    int number = f.getShort() & 0xffff;
    int method = f.getShort() & 0xffff;
    long attempts = u32(f);
    long failed = u32(f);
    TimeSpan mean = TimeSpan.ofMs(f.getDouble());
    f.getDouble();
    return () -> ledger.counted(number, method, attempts, failed, mean);
  }

  private Runnable flagged(ByteBuffer f) {
    long endpoint = u32(f);
    f.getShort();
    TimeSpan behind = TimeSpan.ofMs(f.getDouble());
    return () -> ledger.flagged(endpoint, behind, now);
  }

  private void guarded(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      policy = null;
      StackTraceElement[] trace = e.getStackTrace();
      String text = "relay " + id + ": " + e + (trace.length > 0 ? " at " + trace[0] : "");
      open(100).bytes(text.getBytes(StandardCharsets.UTF_8)).close();
    }
  }

  private static long u32(ByteBuffer f) {
    return Integer.toUnsignedLong(f.getInt());
  }

  /** Load reports are read past: the module does not use them. */
  private static void load(ByteBuffer f) {
    int values = SimulationHost.count(f, f.get() & 0xff, 4);
    f.position(f.position() + 4 * values);
  }

  private static AttemptOutcome outcome(int reason) {
    return switch (reason) {
      case 1 -> AttemptOutcome.OK;
      case 2 -> AttemptOutcome.FULL;
      case 3 -> AttemptOutcome.TIMED_OUT;
      case 4 -> AttemptOutcome.NOT_CONNECTED;
      case 5 -> AttemptOutcome.BROKEN;
      case 6 -> AttemptOutcome.CANCELLED;
      case 7 -> AttemptOutcome.MOOT;
      default -> AttemptOutcome.ERROR;
    };
  }

  private static VoteReply reply(int status) {
    return switch (status) {
      case 1 -> VoteReply.COUNTS;
      case 2 -> VoteReply.TOO_MANY;
      case 3 -> VoteReply.UNANSWERED;
      case 7 -> VoteReply.MOOT;
      default -> VoteReply.ERROR;
    };
  }

  private ReplyWriter open(int code) {
    return replies.open(code, id);
  }

  @Override
  public Timestamp now() {
    return now;
  }

  @Override
  public void send(Attempt attempt) {
    ledger.attemptSent(attempt);
    ledger.attemptWritten(attempt);
    double patience = attempt.timeout == null ? 0 : attempt.timeout.ms();
    open(10).u32(attempt.rpc.id).u32(attempt.endpoint.id).f64(patience).close();
  }

  @Override
  public void cancel(Attempt attempt) {
    open(40).u32(attempt.rpc.id).u8(attempt.number).close();
  }

  @Override
  public void pushBack(Rpc rpc, TimeSpan wait) {
    open(20).u32(rpc.id).f64(wait.ms()).close();
    ledger.rejected(rpc);
  }

  @Override
  public void abort(Rpc rpc) {
    open(30).u32(rpc.id).close();
    ledger.aborted(rpc);
  }

  @Override
  public void wake(Timestamp when, Runnable what) {
    long token = timerCount++ & 0xffffffffL;
    timers.put(token, what);
    open(50).u32(token).f64(when.ms()).close();
  }

  @Override
  public void vote(Build build, int stage, Verdict verdict) {
    int code =
        switch (verdict) {
          case NONE -> 0;
          case ON -> 1;
          case HOLD -> 2;
          case BACK -> 3;
        };
    open(130).u16(build.number).u8(stage).u8(code).close();
  }

  @Override
  public void tellPeers(byte[] contents) {
    open(80).u16(0xffff).bytes(contents).close();
  }

  @Override
  public void tellPeer(int relay, byte[] contents) {
    open(80).u16(relay).bytes(contents).close();
  }

  @Override
  public void subscribe() {
    open(110).u8(1).close();
  }

  @Override
  public void log(String line) {
    open(90).bytes(line.getBytes(StandardCharsets.UTF_8)).close();
  }
}
