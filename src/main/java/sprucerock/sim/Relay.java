package sprucerock.sim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.Policy;
import sprucerock.host.Host;
import sprucerock.model.Build;
import sprucerock.model.Outcome;
import sprucerock.model.Pick;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Unit;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/** One relay's module, its ids and its objects: events in as calls, calls of the host out as actions. */
final class Relay implements Host {
    private static final int READY = 1;
    private static final int DRAINING = 2;

    private final long id;
    private final Replies replies;
    private final Map<Long, Rpc> rpcs = new HashMap<>();
    private final TreeMap<Long, Unit> units = new TreeMap<>();
    private final TreeMap<Integer, Build> builds = new TreeMap<>();
    private final Map<Long, Runnable> timers = new HashMap<>();
    private long timerCount;
    private Settings settings;
    private Policy policy;
    private Moment now;

    Relay(long id, Replies replies) {
        this.id = id;
        this.replies = replies;
    }

    void start(Moment at, long seed, String text) {
        now = at;
        guarded(() -> {
            settings = new Settings(text);
            policy = new Policy(this, settings, seed);
        });
    }

    void listed(Moment at, int form, Simhost.Entry[] entries) {
        now = at;
        if (policy == null) return;
        guarded(() -> {
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
                for (Unit unit : units.values().toArray(new Unit[0])) {
                    if (!named.contains(unit.id)) removed(unit);
                }
            }
        });
    }

    private void listed(Simhost.Entry entry) {
        Unit known = units.get(entry.unit());
        if (entry.health() != READY && entry.health() != DRAINING) {
            if (known != null) removed(known);
            return;
        }
        Moment since = entry.since() == 0 ? null : Moment.ofMs(entry.since());
        if (known != null && !known.sameRun(entry.build(), since)) {
            removed(known);
            known = null;
        }
        if (known == null) {
            Build build = builds.computeIfAbsent(entry.build(), Build::new);
            known = new Unit(entry.unit(), entry.zone(), entry.kind(), entry.cell(), build, since,
                entry.weight());
            units.put(entry.unit(), known);
        }
        known.weight = entry.weight();
        if (entry.health() == READY) {
            policy.unitReady(known);
        } else {
            policy.unitLeaving(known);
        }
    }

    private void removed(Unit unit) {
        units.remove(unit.id);
        policy.unitLeaving(unit);
    }

    /** Takes an event that is no list; false where the code is none of the wire's. */
    boolean take(int code, ByteBuffer f, Moment at) {
        now = at;
        Runnable call = switch (code) {
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
        if (call == null) return false;
        if (policy != null) guarded(call);
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
            Rpc rpc = new Rpc(handle, settings.methods.get(method), customer, key, now, deadline,
                hinted ? Span.ofMs(hint) : null);
            rpcs.put(handle, rpc);
            policy.rpcArrived(rpc);
        };
    }

    private Runnable streaming(ByteBuffer f) {
        long handle = u32(f);
        f.getInt();
        int shot = f.get() & 0xff;
        f.getDouble();
        return () -> {
            Rpc rpc = rpcs.get(handle);
            if (rpc != null && shot < rpc.picks.size()) policy.streamStarted(rpc.picks.get(shot));
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
            Rpc rpc = rpcs.get(handle);
            if (rpc == null || shot >= rpc.picks.size()) return;
            Pick pick = rpc.picks.get(shot);
            if (pick.outcome != null) return;
            pick.outcome = outcome;
            pick.took = took;
            pick.unit.out--;
            rpc.out--;
            boolean answered = closed && !rpc.ended;
            rpc.ended |= closed;
            policy.pickEnded(pick, answered);
            forget(rpc);
        };
    }

    private Runnable gone(ByteBuffer f) {
        long handle = u32(f);
        return () -> {
            Rpc rpc = rpcs.get(handle);
            if (rpc == null || rpc.ended) return;
            rpc.ended = true;
            policy.clientLeft(rpc);
            forget(rpc);
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
            if (answer) policy.voteAnswered(reply(status));
            if (status == 1 && standing < Standing.values().length) {
                Build build = builds.computeIfAbsent(number, Build::new);
                policy.newsOfBuild(build, stage, Standing.values()[standing], cap, now.minus(lasted));
                builds.values().removeIf(b -> b.units.isEmpty() && b.number < number - 1);
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
        return () -> {
            Build build = builds.get(number);
            if (build != null) policy.counted(build, settings.methods.get(method), picks, failed, mean);
        };
    }

    private Runnable flagged(ByteBuffer f) {
        long unit = u32(f);
        f.getShort();
        Span behind = Span.ofMs(f.getDouble());
        return () -> {
            Unit known = units.get(unit);
            if (known != null && known.olderThan(behind, now)) policy.flagged(known);
        };
    }

    private void forget(Rpc rpc) {
        if (rpc.ended && rpc.out == 0) rpcs.remove(rpc.id);
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
        pick.rpc.picks.add(pick);
        pick.rpc.out++;
        pick.unit.out++;
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
        end(rpc);
    }

    @Override
    public void abort(Rpc rpc) {
        open(30).u32(rpc.id).close();
        end(rpc);
    }

    private void end(Rpc rpc) {
        rpc.ended = true;
        forget(rpc);
    }

    @Override
    public void wake(Moment when, Runnable what) {
        long token = timerCount++ & 0xffffffffL;
        timers.put(token, what);
        open(50).u32(token).f64(when.ms()).close();
    }

    @Override
    public void vote(Build build, int stage, Verdict verdict) {
        int code = switch (verdict) {
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
