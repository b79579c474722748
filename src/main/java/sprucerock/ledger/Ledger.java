package sprucerock.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.host.Module;
import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Outcome;
import sprucerock.model.Pick;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Standing;
import sprucerock.model.Unit;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * The life of each RPC, pick, unit and build of one relay, the same under every host of the module: it writes the
 * facts, and then tells the module. The host tells it what came in, and what the module had it do. One thread.
 */
public final class Ledger {
    private final Settings settings;
    private final Map<Long, Rpc> rpcs = new HashMap<>();
    private final TreeMap<Long, Unit> units = new TreeMap<>();
    private final TreeMap<Integer, Build> builds = new TreeMap<>();
    private final List<MethodSums> sums = new ArrayList<>();
    private Module module;
    private int open;

    public Ledger(Settings settings) {
        this.settings = settings;
        for (int i = 0; i < settings.methods.size(); i++) sums.add(new MethodSums());
    }

    /** Names the module to be told; once, since it needs its host before it can be made. */
    public void tell(Module toBeTold) {
        module = toBeTold;
    }

    /** RPCs that have no final answer yet. */
    public int open() {
        return open;
    }

    /** RPCs that are open or have picks out. */
    public int known() {
        return rpcs.size();
    }

    public MethodSums sums(Method method) {
        return sums.get(method.index);
    }

    /** An RPC by the id under which it arrived; null once it is over and forgotten. */
    public Rpc rpc(long id) {
        return rpcs.get(id);
    }

    /** A unit as listed now; null where none has the id. */
    public Unit unit(long id) {
        return units.get(id);
    }

    public List<Unit> units() {
        return new ArrayList<>(units.values());
    }

    // What comes in.

    /** An RPC came; {@code id} is one that no RPC known here has. */
    public Rpc arrived(long id, Method method, int customer, long key, Moment now, Moment deadline, Span hint,
        Object door) {
        Rpc rpc = new Rpc(id, method, customer, key, now, deadline, hint, door);
        rpcs.put(id, rpc);
        open++;
        sums.get(method.index).took();
        module.rpcArrived(rpc);
        return rpc;
    }

    /** The answer has begun to reach the client. */
    public void streamStarted(Pick pick) {
        pick.rpc.stream();
        module.streamStarted(pick);
    }

    /**
     * A pick ended, once; {@code closes} says that its RPC is over, by this or before. An ok that closes one which
     * was open is its answer.
     */
    public void pickEnded(Pick pick, Outcome outcome, Span took, boolean closes) {
        if (pick.outcome() != null) return;
        Rpc rpc = pick.rpc;
        pick.end(outcome, took);
        pick.unit.pickEnded();
        rpc.pickEnded();
        MethodSums sum = sums.get(rpc.method.index);
        sum.ended(outcome);
        boolean answers = closes && !rpc.ended();
        if (answers) {
            close(rpc);
            if (outcome == Outcome.OK) sum.answered();
            else sum.aborted(); // a stream that broke
        }
        module.pickEnded(pick, answers);
        forget(rpc);
    }

    /** The client went away; nothing is owed any more. */
    public void clientLeft(Rpc rpc) {
        if (rpc.ended()) return;
        close(rpc);
        sums.get(rpc.method.index).left();
        module.clientLeft(rpc);
        forget(rpc);
    }

    /** A unit as a list or a change has it; a run that began at another time is another unit. */
    public Unit listed(long id, int zone, int kind, int cell, int build, Moment started, double weight,
        boolean mayGetWork) {
        Unit known = units.get(id);
        if (known != null && !known.sameRun(build, started)) {
            removed(id);
            known = null;
        }
        if (known == null) {
            known = new Unit(id, zone, kind, cell, build(build), started, weight);
            units.put(id, known);
        }
        known.weigh(weight);
        if (!mayGetWork) leave(known);
        else if (!known.ready()) {
            known.ready(true);
            known.build.add(known);
            module.unitReady(known);
        }
        return known;
    }

    /** A unit is gone; nothing happens where none has the id. */
    public void removed(long id) {
        Unit unit = units.remove(id);
        if (unit != null) leave(unit);
    }

    /** A whole list came: all that it does not name are gone. */
    public void keepOnly(Set<Long> named) {
        for (Unit unit : units()) {
            if (!named.contains(unit.id)) removed(unit.id);
        }
    }

    private void leave(Unit unit) {
        if (unit.ready()) unit.build.remove(unit);
        unit.ready(false);
        module.unitLeaving(unit);
    }

    public void news(int build, int stage, Standing standing, double cap, Moment since) {
        module.newsOfBuild(build(build), stage, standing, cap, since);
        builds.values().removeIf(one -> one.units.isEmpty() && one.number < build - 1);
    }

    /** Counts of a build that this relay never heard of tell it nothing. */
    public void counted(int build, int method, double picks, double failed, Span mean) {
        Build known = builds.get(build);
        if (known != null) module.counted(known, settings.methods.get(method), picks, failed, mean);
    }

    /** A client found an answer of a pick wrong that was sent so long ago; only the run that gave it is meant. */
    public void flagged(long unit, Span sentAgo, Moment now) {
        Unit known = units.get(unit);
        if (known != null && known.olderThan(sentAgo, now)) module.flagged(known);
    }

    /** The build of a number, known from now on. */
    public Build build(int number) {
        return builds.computeIfAbsent(number, Build::new);
    }

    // What the module had its host do.

    public void sent(Pick pick) {
        pick.rpc.add(pick);
        pick.unit.picked();
        sums.get(pick.rpc.method.index).sent();
    }

    public void pushedBack(Rpc rpc) {
        if (rpc.ended()) return;
        close(rpc);
        sums.get(rpc.method.index).pushedBack();
        forget(rpc);
    }

    public void aborted(Rpc rpc) {
        if (rpc.ended()) return;
        close(rpc);
        sums.get(rpc.method.index).aborted();
        forget(rpc);
    }

    private void close(Rpc rpc) {
        rpc.end();
        open--;
    }

    private void forget(Rpc rpc) {
        if (rpc.ended() && rpc.out() == 0) rpcs.remove(rpc.id, rpc);
    }
}
