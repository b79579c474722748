package sprucerock.simulation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sprucerock.policy.Host;
import sprucerock.policy.Module;
import sprucerock.accounting.Ledger;
import sprucerock.model.Build;
import sprucerock.model.Outcome;
import sprucerock.model.Pick;
import sprucerock.model.Reply;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Standing;
import sprucerock.model.Verdict;
import sprucerock.config.settings.SettingsText;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * One relay at the bench's door: events in as calls of the ledger, calls of the host out as
 * actions.
 */
final class Relay implements Host {
  /** Makes the module of a relay. */
  interface Maker {
    Module make(Host host, Settings settings, long seed);
  }

  private static final int READY = 1;
  private static final int DRAINING = 2;

  private final long id;
  private final Replies replies;
  private final Maker maker;
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long timerCount;
  private Settings settings;
  private Ledger ledger;
  private Module policy;
  private Moment now;

  Relay(long id, Replies replies, Maker maker) {
    this.id = id;
    this.replies = replies;
    this.maker = maker;
  }

  void start(Moment at, long seed, String text) {
    now = at;
    guarded(
        () -> {
          settings = SettingsText.read(text);
          ledger = new Ledger(settings);
          policy = maker.make(this, settings, seed);
          ledger.tell(policy);
        });
  }

  void listed(Moment at, int form, Simhost.Entry[] entries) {
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
          for (Simhost.Entry entry : entries) {
            named.add(entry.unit());
            listed(entry);
          }
          if (form != 0) {
            ledger.keepOnly(named);
          }
        });
  }

  private void listed(Simhost.Entry entry) {
    if (entry.health() != READY && entry.health() != DRAINING) {
      ledger.removed(entry.unit());
      return;
    }
    Moment since = entry.since() == 0 ? null : Moment.ofMs(entry.since());
    ledger.listed(
        entry.unit(),
        entry.zone(),
        entry.kind(),
        entry.cell(),
        entry.build(),
        since,
        entry.weight(),
        entry.health() == READY);
  }

  /** Takes an event that is no list; false where the code is none of the wire's. */
  boolean take(int code, ByteBuffer f, Moment at) {
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
    int customer = f.getInt();
    long key = f.getLong();
    Moment deadline = Moment.ofMs(f.getDouble());
    double hint = f.getDouble();
    boolean hinted = (f.get() & 1) != 0;
    return () -> {
      ledger.arrived(
          handle,
          settings.methods.get(method),
          customer,
          key,
          now,
          deadline,
          hinted ? Span.ofMs(hint) : null,
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
      if (rpc != null && shot < rpc.picks.size()) {
        ledger.streamStarted(rpc.picks.get(shot));
      }
    };
  }

  private Runnable returned(ByteBuffer f) {
    long handle = u32(f);
    int shot = f.get() & 0xff;
    Span took = Span.ofMs(f.getDouble());
    boolean closed = f.get() != 0;
    f.getInt();
    Outcome outcome = outcome(f.get() & 0xff);
    load(f);
    return () -> {
      Rpc rpc = ledger.rpc(handle);
      if (rpc != null && shot < rpc.picks.size()) {
        ledger.pickEnded(rpc.picks.get(shot), outcome, took, closed);
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
    byte[] contents = new byte[Simhost.count(f, f.getShort() & 0xffff, 1)];
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
    Span lasted = Span.ofMs(f.getDouble());
    return () -> {
      if (answer) {
        policy.voteAnswered(reply(status));
      }
      if (status == 1 && standing < Standing.values().length) {
        ledger.news(number, stage, Standing.values()[standing], cap, now.minus(lasted));
      }
    };
  }

  private Runnable counts(ByteBuffer f) {
    int number = f.getShort() & 0xffff;
    int method = f.getShort() & 0xffff;
    long picks = u32(f);
    long failed = u32(f);
    Span mean = Span.ofMs(f.getDouble());
    f.getDouble();
    return () -> ledger.counted(number, method, picks, failed, mean);
  }

  private Runnable flagged(ByteBuffer f) {
    long unit = u32(f);
    f.getShort();
    Span behind = Span.ofMs(f.getDouble());
    return () -> ledger.flagged(unit, behind, now);
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
    int values = Simhost.count(f, f.get() & 0xff, 4);
    f.position(f.position() + 4 * values);
  }

  private static Outcome outcome(int reason) {
    return switch (reason) {
      case 1 -> Outcome.OK;
      case 2 -> Outcome.FULL;
      case 3 -> Outcome.TIMED_OUT;
      case 4 -> Outcome.NOT_CONNECTED;
      case 5 -> Outcome.BROKEN;
      case 6 -> Outcome.CANCELLED;
      case 7 -> Outcome.MOOT;
      default -> Outcome.ERROR;
    };
  }

  private static Reply reply(int status) {
    return switch (status) {
      case 1 -> Reply.COUNTS;
      case 2 -> Reply.TOO_MANY;
      case 3 -> Reply.UNANSWERED;
      case 7 -> Reply.MOOT;
      default -> Reply.ERROR;
    };
  }

  private Replies open(int code) {
    return replies.open(code, id);
  }

  @Override
  public Moment now() {
    return now;
  }

  @Override
  public void send(Pick pick) {
    ledger.sent(pick);
    ledger.written(pick);
    double patience = pick.patience == null ? 0 : pick.patience.ms();
    open(10).u32(pick.rpc.id).u32(pick.unit.id).f64(patience).close();
  }

  @Override
  public void cancel(Pick pick) {
    open(40).u32(pick.rpc.id).u8(pick.number).close();
  }

  @Override
  public void pushBack(Rpc rpc, Span wait) {
    open(20).u32(rpc.id).f64(wait.ms()).close();
    ledger.pushedBack(rpc);
  }

  @Override
  public void abort(Rpc rpc) {
    open(30).u32(rpc.id).close();
    ledger.aborted(rpc);
  }

  @Override
  public void wake(Moment when, Runnable what) {
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
