package sprucerock;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import sprucerock.host.Host;
import sprucerock.host.Host.Reply;
import sprucerock.host.Host.Standing;
import sprucerock.host.Host.Verdict;
import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Outcome;
import sprucerock.model.Pick;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Unit;
import sprucerock.stats.DecayingSum;
import sprucerock.stats.Ks;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * All decisions of one relay. The host (the bench adapter, later the relay) makes one Policy at start and calls one
 * method for each thing that happens: a unit is ready or leaves, an RPC arrives, a pick ends, news, counts or flags
 * come in. Policy answers at once through {@link Host}, in sprucerock.host; objects are in sprucerock.model.
 *
 * The ordinary path is the design, "Shadow traffic": an idempotent RPC goes to the earlier build with a copy to the
 * build on trial; the pairs are judged by failure match and by one-sided KS, stage by stage, and voted on.
 *
 * Beside the design stand six mechanisms: (1) the cold guard, (2) unit health, (3) time-out and further pick under a
 * retry budget, (4) pushback under overload, (5) pinned keys, (6) evidence where pairs can't see.
 */
public final class Policy {
    private final Host host;
    private final Settings settings;
    private final CRC32 crc = new CRC32();
    private final byte[] dice = new byte[16];
    private long draws;

    private final TreeMap<Integer, Build> builds = new TreeMap<>();
    private Build offered;
    private int stage;
    private Standing standing;
    private double cap;
    private Moment stageSince;

    /** Rule 5 as token buckets: one, or one a method; a pick at a build on trial takes a token. */
    private final double[] trialTokens;
    private int copiesOut;

    private final DecayingSum arrivals = new DecayingSum(Span.ofMs(5000));
    private final DecayingSum sends = new DecayingSum(Span.ofMs(3000));
    private final DecayingSum repeats = new DecayingSum(Span.ofMs(5000));
    private final DecayingSum answered = new DecayingSum(Span.ofMs(2000));
    private final DecayingSum[] customerArrivals;
    private final DecayingSum[] tookSum;
    private final DecayingSum[] tookCount;
    private int timely;
    private double mostUtility;

    private Evidence evidence;
    private Verdict cast = Verdict.NONE;
    private Moment castAt;
    private boolean castCounts;
    private boolean castPending;
    private Moment lastAsked;

    private final Map<Long, Build> pins = new HashMap<>();
    private double pinnedShare;
    private final LinkedHashMap<Long, DecayingSum> keyArrivals = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, DecayingSum> eldest) {
            return size() > 4096; // bounds memory; a key not among the last 4096 is no popular one
        }
    };

    /** An RPC at the earlier build and one at the build on trial: the same RPC, or where that cannot be, its like. */
    private static final class Pair {
        Pick earlier;
        Pick fresh;
        boolean judged;
    }

    /** What this relay knows of the build on trial in its present stage, and since it was offered. */
    private final class Evidence {
        int pairs;
        int freshFailed;
        int earlierFailed;
        int timed;
        boolean slower;
        int errors;
        int ended;
        int told;
        boolean counted;
        final double[] freshTook = new double[80];
        final double[] earlierTook = new double[80];
        final int[] singles = new int[settings.methods.size()];
        final List<Deque<Pair>> waiting = new ArrayList<>();

        Evidence() {
            for (int i = 0; i < settings.methods.size(); i++) waiting.add(new ArrayDeque<>());
        }
    }

    /** Counts of the release desk for the offered build and for the earlier ones, by method: picks and failures. */
    private double[][] freshCounts;
    private double[][] earlierCounts;

    /** The earlier build beside itself: how slow it is now against how it was before the step. */
    private final DecayingSum slowNow = new DecayingSum(Span.ofMs(3000));
    private final DecayingSum slowNowCount = new DecayingSum(Span.ofMs(3000));
    private final double[] logBefore;
    private final double[] logCount;
    private Moment slowSince;
    private Moment pausedAt;
    private Moment resumedAt;
    private boolean excused;
    private boolean blamed;
    private boolean freshErred;
    /** What peers said of their pairs, each its latest: build, stage, pairs, failures of fresh and of earlier picks. */
    private final TreeMap<Integer, byte[]> peers = new TreeMap<>();
    private Moment lastTold;

    public Policy(Host host, Settings settings, long seed) {
        this.host = host;
        this.settings = settings;
        for (int i = 0; i < 8; i++) dice[i] = (byte) (seed >>> 8 * i);
        int methods = settings.methods.size();
        logBefore = new double[methods];
        logCount = new double[methods];
        trialTokens = new double[settings.perMethod ? methods : 1];
        Arrays.fill(trialTokens, settings.free);
        customerArrivals = sums(settings.customerShares.size(), 5000);
        tookSum = sums(methods, 10000);
        tookCount = sums(methods, 10000);
        for (Method method : settings.methods) mostUtility = Math.max(mostUtility, method.utility);
        freshCounts = new double[methods][2];
        earlierCounts = new double[methods][2];
        evidence = new Evidence();
        if (settings.ask) {
            lastAsked = host.now();
            host.subscribe();
        }
        look();
    }

    private static DecayingSum[] sums(int count, double lifeMs) {
        DecayingSum[] made = new DecayingSum[count];
        for (int i = 0; i < count; i++) made[i] = new DecayingSum(Span.ofMs(lifeMs));
        return made;
    }

    private double chance() {
        draws++;
        for (int i = 0; i < 8; i++) dice[8 + i] = (byte) (draws >>> 8 * i);
        crc.reset();
        crc.update(dice);
        return crc.getValue() / 4294967296.0;
    }

    // ---- the list of units

    public void unitReady(Unit unit) {
        if (unit.ready) return;
        unit.ready = true;
        unit.build.units.add(unit);
        builds.put(unit.build.number, unit.build);
    }

    /** Rule 3: from the moment it is told, a unit that drains or is gone gets nothing new; no grace is used. */
    public void unitLeaving(Unit unit) {
        unit.ready = false;
        unit.build.units.remove(unit);
        if (unit.build.units.isEmpty()) builds.remove(unit.build.number);
    }

    public void listTold() {
        if (settings.ask) lastAsked = host.now();
    }

    /** A failed or broken subscription is asked for again, after a pause so that a busy discovery can recover. */
    public void listFailed() {
        host.wake(host.now().plus(Span.ofMs(500 + 500 * chance())), () -> {
            lastAsked = host.now();
            host.subscribe();
        });
    }

    // ---- news of the build on trial

    public void newsOfBuild(Build build, int newStage, Standing newStanding, double newCap, Moment since) {
        boolean newBuild = offered == null || offered.number != build.number;
        if (newBuild) {
            for (double[] counts : freshCounts) Arrays.fill(counts, 0);
            for (double[] counts : earlierCounts) Arrays.fill(counts, 0);
            pins.clear();
            pausedAt = null;
            resumedAt = null;
            excused = false;
            blamed = false;
            freshErred = false;
            peers.clear();
        }
        if (newBuild || newStage != stage || newStanding != standing) {
            evidence = new Evidence();
            cast = Verdict.NONE;
            castAt = null;
            castPending = false;
            pinnedShare = newBuild ? 0 : pinnedShare;
            for (Unit unit : build.units) unit.excess = 0;
            stageSince = since;
        }
        offered = build;
        stage = newStage;
        standing = newStanding;
        cap = newCap;
        if (standing == Standing.GOING_BACK || standing == Standing.WITHDRAWN) {
            pins.clear();
            pinnedShare = 0;
        }
        consider();
    }

    private boolean onTrial(Build build) {
        if (offered == null) return !builds.isEmpty() && build.number > builds.firstKey();
        return build.number > offered.number || build.number == offered.number && standing != Standing.RELEASED;
    }

    /** Rule 5: the cap for the build; one that the news does not name yet counts as in the first stage. */
    private double capOf(Build build) {
        if (offered == null) return 0;
        return build.number == offered.number ? cap : settings.caps.get(0);
    }

    private int stageOf(Build build) {
        return build.number == offered.number ? stage : 0;
    }

    private int bucket(Method method) {
        return settings.perMethod ? method.index : 0;
    }

    private boolean mayTry(Build build, Method method, double tokens) {
        return capOf(build) > 0 && trialTokens[bucket(method)] >= tokens
            && (method.idempotent() || stageOf(build) >= settings.guardedStages);
    }

    /** The build that the pairs judge: the one on trial, if its stage is known and it has units. */
    private Build trial() {
        return offered != null && standing == Standing.ON_TRIAL && !offered.units.isEmpty() ? offered : null;
    }

    // ---- RPCs

    public void rpcArrived(Rpc rpc) {
        Moment now = host.now();
        arrivals.add(now, 1);
        if (rpc.customer < customerArrivals.length) customerArrivals[rpc.customer].add(now, 1);
        if (rpc.key != 0 && settings.oneWayKeys) {
            keyArrivals.computeIfAbsent(rpc.key, k -> new DecayingSum(Span.ofMs(20000))).add(now, 1);
        }
        // A bucket as deep as the free picks, fed by the cap with each RPC, keeps the rule over every window.
        int bucket = bucket(rpc.method);
        double share = offered == null ? 0 : standing == Standing.RELEASED || standing == Standing.WITHDRAWN
            ? settings.caps.get(0) : cap;
        trialTokens[bucket] = Math.min(settings.free, trialTokens[bucket] + share * (1 - 1e-6));
        timely++;
        if (overloaded(rpc)) {
            giveUp(rpc);
            return;
        }
        // Rule 1: answered by the client's own deadline, one round before it, since a timer may come a round late.
        host.wake(now.plus(rpc.method.softDeadline), () -> settle(rpc));
        host.wake(rpc.deadline.minus(settings.tick.times(2)), () -> {
            if (!rpc.ended && !rpc.streaming) giveUp(rpc);
        });
        route(rpc);
    }

    private void route(Rpc rpc) {
        Build trial = trial();
        Method method = rpc.method;
        if (trial != null && method.idempotent() && settings.secondCopies) {
            Unit home = choose(rpc, false);
            if (home == null) {
                lastResort(rpc);
                return;
            }
            Pick earlier = send(rpc, home);
            Unit unit = home.build != trial && mayCopy(rpc, trial) ? chooseIn(rpc, List.of(trial)) : null;
            if (unit != null) {
                Pair pair = new Pair();
                pair.earlier = earlier;
                pair.fresh = send(rpc, unit);
                earlier.match = pair;
                pair.fresh.match = pair;
                pair.fresh.copy = true;
                copiesOut++;
            }
            return;
        }
        // Single picks stand in for copies: where second copies are barred, and for a few RPCs with an effect.
        if (trial != null && maySingle(rpc, trial)) {
            Unit unit = chooseIn(rpc, List.of(trial));
            if (unit != null) {
                Pair pair = new Pair();
                pair.fresh = send(rpc, unit);
                pair.fresh.match = pair;
                pair.fresh.copy = true;
                copiesOut++;
                evidence.waiting.get(method.index).add(pair);
                evidence.singles[method.index]++;
                return;
            }
        }
        Unit home = choose(rpc, false);
        if (home == null) {
            lastResort(rpc);
            return;
        }
        Pick pick = send(rpc, home);
        if (trial != null && home.build != trial) {
            Pair waiting = evidence.waiting.get(method.index).poll();
            if (waiting != null) {
                waiting.earlier = pick;
                pick.match = waiting;
                judgeWhenComplete(waiting);
            }
        }
    }

    /** The design's conditions for a copy: cap, retry budget, pick limit, breaker; and room for the key it may pin. */
    private boolean mayCopy(Rpc rpc, Build trial) {
        double spare = settings.oneWayKeys ? 2 : 1; // where keys get pinned, one token stays for a pinned key's RPC
        return pausedAt == null && copiesOut < 8 && rpc.picks.size() < settings.maxPicks && mayTry(trial, rpc.method, Math.min(spare,
            settings.free)) && budgetHasRoom() && pinFits(rpc, trial);
    }

    private boolean maySingle(Rpc rpc, Build trial) {
        if (pausedAt != null || !mayTry(trial, rpc.method, 1) || copiesOut >= 8 || pins.containsKey(rpc.key)) return false;
        if (rpc.method.idempotent()) {
            // every other RPC of a method, at most, so that each has its like at the earlier build
            return !settings.secondCopies && evidence.waiting.get(rpc.method.index).isEmpty() && pinFits(rpc, trial);
        }
        // A build bad for one method with effects shows in no copy: from the second stage on, ten such RPCs a method
        // and stage go there alone; at a failure in four, ten give the three that the mark asks for about half the time.
        return stage > 0 && evidence.singles[rpc.method.index] < 10 && chance() < 0.5 && pinFits(rpc, trial);
    }

    /** (5) An ok copy binds its key to the new build: only keys whose traffic fits into half the cap may be tested. */
    private boolean pinFits(Rpc rpc, Build trial) {
        if (!settings.oneWayKeys || rpc.key == 0) return true;
        Moment now = host.now();
        double share = keyArrivals.get(rpc.key).perSecond(now) / Math.max(arrivals.perSecond(now), 1e-9);
        if (pinnedShare + share > 0.5 * capOf(trial)) return false;
        pinnedShare += share;
        return true;
    }

    /** No unit of an earlier build may take it: the build on trial within its cap, else the client is told at once. */
    private void lastResort(Rpc rpc) {
        Unit unit = choose(rpc, true);
        if (unit != null) {
            send(rpc, unit);
        } else {
            giveUp(rpc);
        }
    }

    private Pick send(Rpc rpc, Unit unit) {
        Moment now = host.now();
        if (onTrial(unit.build)) trialTokens[bucket(rpc.method)]--;
        else sends.add(now, 1);
        unit.coldTokens--;
        Span overdue = overdueAfter(rpc);
        boolean cut = !settings.secondCopies && !rpc.method.streamOrOnce() && rpc.picks.size() + 1 < settings.maxPicks
            && rpc.deadline.since(now).over(overdue.times(1.5));
        Pick pick = new Pick(rpc, unit, now, cut ? overdue : null);
        host.send(pick);
        host.wake(now.plus(overdue), () -> overdue(pick));
        return pick;
    }

    /**
     * When a pick counts as overdue: late enough for few healthy picks to be (three times the method's mean), early
     * enough for another to make the soft deadline (0.45 of it). Grows with a slowdown of everything, so that load
     * does not breed more load.
     */
    private Span overdueAfter(Rpc rpc) {
        Span usual = Span.ofMs(usualMs(rpc.method)).times(3);
        Span work = rpc.hint == null ? Span.ZERO : rpc.hint.times(3);
        return rpc.method.softDeadline.times(0.45).atLeast(usual).atLeast(work);
    }

    private double usualMs(Method method) {
        Moment now = host.now();
        double prior = method.softDeadline.ms() / 6; // a guess until answers come: soft deadlines leave room for waits
        return (tookSum[method.index].at(now) + prior) / (tookCount[method.index].at(now) + 1);
    }

    /** (3) Silence: the unit is marked, and where the method allows, another pick is made while this one runs. */
    private void overdue(Pick pick) {
        if (pick.outcome != null) return;
        pick.overdue = true;
        note(pick.unit, false);
        pick.unit.slowness.add(host.now(), 3);
        pick.unit.answers.add(host.now(), 1);
        if (pick.match instanceof Pair pair) judgeWhenComplete(pair);
        Rpc rpc = pick.rpc;
        if (rpc.ended || rpc.streaming || !settings.secondCopies || rpc.out > 1) return;
        tryAgain(rpc);
    }

    private boolean budgetHasRoom() {
        Moment now = host.now();
        return repeats.at(now) < 2 + 0.15 * arrivals.at(now); // one in seven: enough for a lost unit, no storm
    }

    /** Rule 2: whether the RPC may be picked again at all. */
    private boolean mayRepeat(Rpc rpc) {
        if (rpc.ended || rpc.streaming || rpc.picks.size() >= settings.maxPicks) return false;
        if (!settings.secondCopies && rpc.out > 0) return false;
        Pick first = firstThatMayHaveRun(rpc);
        if (first == null || rpc.method.idempotent()) return true;
        return rpc.method.effect == Method.Effect.TOKENED
            && rpc.method.window.minus(settings.tick).over(host.now().since(first.sent));
    }

    private static Pick firstThatMayHaveRun(Rpc rpc) {
        for (Pick pick : rpc.picks) {
            if (pick.mayHaveRun()) return pick;
        }
        return null;
    }

    private boolean tryAgain(Rpc rpc) {
        if (!mayRepeat(rpc) || !budgetHasRoom()) return false;
        if (settings.tick.times(4).over(rpc.deadline.since(host.now()))) return false;
        Unit unit = choose(rpc, false);
        if (unit == null) unit = choose(rpc, true);
        if (unit == null) return false;
        repeats.add(host.now(), 1);
        send(rpc, unit);
        return true;
    }

    public void streamStarted(Pick pick) {
        pick.rpc.streaming = true;
    }

    /** A pick ended; {@code answers} says that it ended its RPC too. */
    public void pickEnded(Pick pick, boolean answers) {
        Moment now = host.now();
        Rpc rpc = pick.rpc;
        boolean ok = pick.outcome == Outcome.OK;
        if (answers) {
            settle(rpc);
            if (ok) answered.add(now, 1);
        }
        if (pick.copy) copiesOut--;
        if (pick.outcome != Outcome.CANCELLED && pick.outcome != Outcome.MOOT) {
            if (ok || !pick.overdue) note(pick.unit, ok);
        }
        if (ok) {
            learnPace(pick);
            if (settings.oneWayKeys && rpc.key != 0 && offered != null && pick.unit.build.number == offered.number
                && (standing == Standing.ON_TRIAL || standing == Standing.RELEASED)
                && !builds.isEmpty() && builds.firstKey() < offered.number) {
                pins.put(rpc.key, offered);
            }
        }
        if (standing == Standing.RELEASED && pick.unit.build == offered) {
            evidence.ended++;
            if (failed(pick)) {
                evidence.errors++;
                pick.unit.excess++;
            }
        }
        freshErred |= failed(pick) && offered != null && pick.unit.build.number == offered.number;
        if (pick.match instanceof Pair pair) judgeWhenComplete(pair);
        if (rpc.ended || rpc.streaming || rpc.out > 0) return;
        if (!tryAgain(rpc)) giveUp(rpc);
    }

    public void clientLeft(Rpc rpc) {
        settle(rpc);
        cancelOut(rpc);
    }

    /** The final answer once nothing more can be done; at once, so that the client can use what time it has left. */
    private void giveUp(Rpc rpc) {
        settle(rpc);
        boolean harmless = firstThatMayHaveRun(rpc) == null || rpc.method.idempotent()
            || rpc.method.effect == Method.Effect.TOKENED && rpc.method.group == Method.Group.ALL;
        if (harmless) {
            // Half a soft deadline: about what a queue of that age needs to drain.
            Span wait = settings.retryAfter ? rpc.method.softDeadline.times(0.5).atMost(settings.maxRetryAfter) : Span.ZERO;
            host.pushBack(rpc, wait);
        } else {
            host.abort(rpc);
        }
        cancelOut(rpc);
    }

    private void cancelOut(Rpc rpc) {
        if (!settings.cancel) return;
        for (Pick pick : rpc.picks) {
            if (pick.outcome == null && pick.match == null) host.cancel(pick);
        }
    }

    /** Ends an RPC's part in the queue: it was answered, or its soft deadline has passed. */
    private void settle(Rpc rpc) {
        if (!rpc.settled) timely--;
        rpc.settled = true;
    }

    /**
     * (4) Little's law: RPCs out and not yet late, over answers a second, is the wait that a new one faces. Past its
     * soft deadline it would be answered too late, so it is pushed back unseen; first those of little utility and of
     * customers over their share. Guards against bursts, slow dependencies and lost units alike. RPCs past their soft
     * deadline do not count, so that a few stuck ones cannot keep the door shut once answers come again.
     */
    private boolean overloaded(Rpc rpc) {
        Moment now = host.now();
        double waitMs = 1000.0 * (timely - 3) / Math.max(answered.perSecond(now), 0.5); // three more or less is chance
        double worth = rpc.method.utility / mostUtility;
        if (rpc.customer < customerArrivals.length) {
            double share = settings.customerShares.get(rpc.customer);
            double own = customerArrivals[rpc.customer].at(now);
            double fair = (arrivals.at(now) - own) * share / Math.max(1 - share, 0.01);
            // beside what the others send: of a customer at thrice its share, two RPCs in three are over it
            if (own > 1.2 * fair && chance() > fair / own) worth *= settings.overShareWorth;
        }
        return waitMs > rpc.method.softDeadline.ms() * (0.25 + 0.3 * worth);
    }

    // ---- choosing a unit

    /** A unit for the RPC: of the newest build that is not on trial, else of an earlier one; or of one on trial. */
    private Unit choose(Rpc rpc, boolean trialToo) {
        Build pin = pins.get(rpc.key);
        for (Build build : builds.descendingMap().values()) {
            if (pin != null && build.number < pin.number) return null;
            boolean pinnedHere = pin != null && build.number == pin.number;
            boolean withdrawn = offered != null && build.number == offered.number && standing != Standing.RELEASED;
            if (onTrial(build) && !((trialToo || pinnedHere && withdrawn) && mayTry(build, rpc.method, 1))) continue;
            Unit unit = chooseIn(rpc, List.of(build));
            if (unit != null) return unit;
        }
        return null;
    }

    private Unit chooseIn(Rpc rpc, List<Build> among) {
        Moment now = host.now();
        Pick first = firstThatMayHaveRun(rpc);
        List<Unit> good = new ArrayList<>();
        List<Unit> rest = new ArrayList<>();
        for (Build build : among) {
            for (Unit unit : build.units) {
                if (first != null && !sameGroup(rpc.method, first.unit, unit) || !coldRoom(unit, now)) continue;
                boolean used = false;
                for (Pick pick : rpc.picks) used |= pick.unit == unit;
                if (used) continue;
                if (!sick(unit)) {
                    good.add(unit);
                } else if (rpc.method.idempotent() && rpc.picks.isEmpty() && now.after(unit.retryAt) && budgetHasRoom()) {
                    unit.retryAt = now.plus(Span.ofMs(1000)); // a look a second shows recovery soon at little cost
                    repeats.add(now, 1);
                    return unit;
                } else {
                    rest.add(unit);
                }
            }
        }
        return twoChoices(good.isEmpty() ? rest : good);
    }

    private static boolean sameGroup(Method method, Unit before, Unit unit) {
        if (method.effect != Method.Effect.TOKENED) return true;
        return switch (method.group) {
            case ALL -> true;
            case ZONE -> before.zone == unit.zone;
            case CELL -> before.cell == unit.cell;
        };
    }

    /** The design's two random choices; the one with the lower expected wait. */
    private Unit twoChoices(List<Unit> units) {
        if (units.isEmpty()) return null;
        int one = (int) (chance() * units.size());
        if (units.size() == 1) return units.get(0);
        int two = (int) (chance() * (units.size() - 1));
        if (two >= one) two++;
        return cost(units.get(one)) <= cost(units.get(two)) ? units.get(one) : units.get(two);
    }

    private double cost(Unit unit) {
        Moment now = host.now();
        double load = unit.out;
        if (unit.reportedAt != null && Span.ofMs(2000).over(now.since(unit.reportedAt))) {
            load = Math.max(load, unit.reportedLoad);
        }
        double pace = (unit.slowness.at(now) + 2) / (unit.answers.at(now) + 2);
        int seen = Math.min(unit.outcomesSeen, 6);
        int failed = seen - Integer.bitCount(unit.outcomes & (1 << seen) - 1);
        double far = unit.zone == settings.zone ? 1 : 1.1; // a tie goes to the relay's own zone
        return (1 + load / Math.max(unit.weight, 0.1)) * pace * (1 + failed) * far;
    }

    // ---- (2) unit health

    /** Judged by the successes among its last six outcomes: under half of at least three, and it is left alone. */
    private static boolean sick(Unit unit) {
        int seen = Math.min(unit.outcomesSeen, 6);
        return seen >= 3 && 2 * Integer.bitCount(unit.outcomes & (1 << seen) - 1) < seen;
    }

    private void note(Unit unit, boolean ok) {
        boolean before = sick(unit);
        unit.outcomes = unit.outcomes << 1 | (ok ? 1 : 0);
        unit.outcomesSeen++;
        if (!before && sick(unit) || unit.retryAt == null) unit.retryAt = host.now().plus(Span.ofMs(1000));
    }

    /** Learns the method's usual time, the unit's pace beside it, and the pace now beside the one before the offer. */
    private void learnPace(Pick pick) {
        Moment now = host.now();
        int method = pick.rpc.method.index;
        double ms = Math.max(pick.took.ms(), 1);
        pick.unit.slowness.add(now, Math.min(ms / usualMs(pick.rpc.method), 8));
        pick.unit.answers.add(now, 1);
        if (offered != null && onTrial(pick.unit.build)) return;
        tookSum[method].add(now, ms);
        tookCount[method].add(now, 1);
        double work = pick.rpc.hint == null ? 1 : Math.max(pick.rpc.hint.ms(), 1);
        boolean fresh = offered != null && pick.unit.build == offered;
        if (stageSince == null || !fresh && standing != Standing.ON_TRIAL) {
            logBefore[method] += Math.log(ms / work);
            logCount[method]++;
        } else if (logCount[method] >= 5) {
            slowNow.add(now, Math.log(ms / work) - logBefore[method] / logCount[method]);
            slowNowCount.add(now, 1);
        }
    }

    // ---- (1) the cold guard

    /**
     * Rule 4. A cold unit may get, of this relay, what a warm unit of its size gets, times half the multiple and the
     * share that it surely has by now: since the sum over relays of what a warm unit carries is within its capacity,
     * the sum here stays within half the budget, however uneven the relays are. The first token comes at a random
     * time, so that relays that learn of a unit together do not all send at once.
     */
    private boolean coldRoom(Unit unit, Moment now) {
        boolean trial = onTrial(unit.build);
        if (!trial && unit.olderThan(settings.cold, now)) return true;
        double warmWeight = 0;
        double allWeight = 0;
        for (Build build : builds.values()) {
            for (Unit other : build.units) {
                allWeight += other.weight;
                if (!onTrial(build) && other.olderThan(settings.cold, now)) warmWeight += other.weight;
            }
        }
        double carried = sends.perSecond(now) * unit.weight / Math.max(warmWeight > 0 ? warmWeight : allWeight, 0.1);
        double age = Math.max(0, unit.started == null ? 1 : now.since(unit.started).per(settings.cold));
        double share = settings.startShare + (1 - settings.startShare) * Math.min(1, age);
        double perSecond = Math.min(0.5 * settings.tipMultiple, 0.8) * share * carried;
        if (unit.coldAsOf == null) {
            unit.coldTokens = chance();
        } else {
            unit.coldTokens += perSecond * now.since(unit.coldAsOf).ms() / 1000;
        }
        unit.coldTokens = Math.min(unit.coldTokens, Math.max(1, 0.5 * perSecond * settings.tipAfter.ms() / 1000));
        unit.coldAsOf = now;
        return unit.coldTokens >= 1;
    }

    // ---- judging the build on trial

    private void judgeWhenComplete(Pair pair) {
        if (pair.judged || pair.earlier == null) return;
        Pick fresh = pair.fresh;
        Pick earlier = pair.earlier;
        // A copy that is overdue beside a primary that is done would be seen too late: it counts as that slow.
        boolean freshDone = fresh.outcome != null || fresh.overdue;
        boolean earlierDone = earlier.outcome != null || earlier.overdue;
        if (!freshDone || !earlierDone || fresh.outcome == null && earlier.outcome == null) return;
        pair.judged = true;
        if (trial() != fresh.unit.build || unusable(fresh) || unusable(earlier)) return;
        boolean freshFailed = failed(fresh);
        boolean earlierFailed = failed(earlier);
        evidence.pairs++;
        if (freshFailed && !earlierFailed && countsAgainst(fresh.unit)) evidence.freshFailed++;
        if (earlierFailed && !freshFailed) evidence.earlierFailed++;
        Moment now = host.now();
        Span settled = Span.ofMs(5000); // the design's age, under which copies look slow for being cold
        if (!freshFailed && !earlierFailed && fresh.unit.kind == earlier.unit.kind && fresh.unit.olderThan(settled, now)
            && earlier.unit.olderThan(settled, now) && evidence.timed < evidence.freshTook.length) {
            evidence.freshTook[evidence.timed] = tookOf(fresh, now);
            evidence.earlierTook[evidence.timed] = tookOf(earlier, now);
            int n = ++evidence.timed;
            if (n == 20 || n == 40 || n == 80) {
                double distance = Ks.slowerSide(Arrays.copyOf(evidence.freshTook, n), Arrays.copyOf(evidence.earlierTook, n));
                evidence.slower |= distance > Math.max(0.25, 1.63 * Math.sqrt(2.0 / n));
            }
        }
        consider();
    }

    /** A unit that is full, out of reach or called off says nothing of its build. */
    private static boolean unusable(Pick pick) {
        return pick.outcome != null && pick.outcome.neverRan || pick.outcome == Outcome.CANCELLED;
    }

    /** A time-out is slowness, for KS to judge: under load and on hung machines it befalls good builds too. */
    private static boolean failed(Pick pick) {
        return pick.outcome == Outcome.ERROR || pick.outcome == Outcome.BROKEN;
    }

    /** One sick unit is no sick build: among three or more, one unit gives two mismatches at most. */
    private static boolean countsAgainst(Unit unit) {
        return ++unit.excess <= 2 || unit.build.units.size() < 3;
    }

    private double tookOf(Pick pick, Moment now) {
        double ms = pick.took != null ? pick.took.ms() : now.since(pick.sent).ms();
        return ms / (pick.rpc.hint != null ? Math.max(pick.rpc.hint.ms(), 1) : usualMs(pick.rpc.method));
    }

    /** (6) What the release desk counted: shows a build that is bad for methods that are never copied. */
    public void counted(Build build, Method method, double picks, double failed, Span mean, Moment until) {
        if (offered == null || build.number > offered.number) return;
        double[] counts = build.number == offered.number ? freshCounts[method.index] : earlierCounts[method.index];
        counts[0] += picks;
        counts[1] += failed;
        double[] fresh = freshCounts[method.index];
        double[] earlier = earlierCounts[method.index];
        if (fresh[0] >= 12 && fresh[1] >= 3 && freshErred) {
            double pooled = (fresh[1] + earlier[1] + 1) / (fresh[0] + earlier[0] + 2);
            double error = Math.sqrt(pooled * (1 - pooled) * (1 / fresh[0] + 1 / Math.max(earlier[0], 1)));
            // 3.5 standard errors: one look in four thousand by chance, and there are tens of looks a day
            if (fresh[1] / fresh[0] - earlier[1] / Math.max(earlier[0], 1) > Math.max(0.05, 3.5 * error)) {
                evidence.counted = true;
                host.log("counted " + method.index + ": " + fresh[1] + " of " + fresh[0] + " against " + earlier[1] + " of " + earlier[0]);
                consider();
            }
        }
    }

    /** A wrong answer that a client reported stands as a failed copy beside an ok primary, or the reverse. */
    public void flagged(Unit unit, Method method) {
        if (offered == null) return;
        if (unit.build.number == offered.number) {
            evidence.freshFailed++;
        } else {
            evidence.earlierFailed++;
        }
        consider();
    }

    // ---- votes

    private void look() {
        Moment now = host.now();
        if (settings.ask && settings.askWithin.times(0.5).ms() < now.since(lastAsked).ms()) {
            lastAsked = now;
            host.subscribe();
        }
        consider();
        tellPeers(now);
        host.wake(now.plus(Span.ofMs(100)), this::look); // well under a stage's shortest time
    }

    /**
     * Relays with few pairs see little alone: where peers may be told, each passes on what its pairs showed in the
     * stage, a few bytes each time that it changed and twice a second at most, and all add it up.
     */
    private void tellPeers(Moment now) {
        if (!settings.peers || standing != Standing.ON_TRIAL || evidence.pairs == evidence.told) return;
        if (lastTold != null && Span.ofMs(500).over(now.since(lastTold))) return;
        lastTold = now;
        evidence.told = evidence.pairs;
        host.tellPeers(new byte[] {(byte) offered.number, (byte) stage, (byte) Math.min(evidence.pairs, 255),
            (byte) Math.min(evidence.freshFailed, 255), (byte) Math.min(evidence.earlierFailed, 255)});
    }

    public void peerTold(int sender, byte[] contents) {
        if (contents.length == 5) peers.put(sender, contents);
        consider();
    }

    private void consider() {
        if (offered == null || standing == Standing.GOING_BACK || standing == Standing.WITHDRAWN) return;
        Moment now = host.now();
        if (standing == Standing.RELEASED && now.since(stageSince).over(Span.ofMs(15000))) return; // watched no longer
        int pairs = evidence.pairs;
        int freshFailed = evidence.freshFailed;
        int earlierFailed = evidence.earlierFailed;
        for (byte[] told : peers.values()) {
            if (told[0] != (byte) offered.number || told[1] != (byte) stage) continue;
            pairs += told[2] & 0xff;
            freshFailed += told[3] & 0xff;
            earlierFailed += told[4] & 0xff;
        }
        int lead = freshFailed - earlierFailed;
        // Where units of both builds fail, mismatches come both ways and their difference strays by about the root of
        // their number: 1.5 of those beside the design's marks, so that three to none is still enough.
        int mismatches = freshFailed + earlierFailed;
        boolean failing = lead >= 3 && lead > 0.01 * pairs && lead > 1.5 * Math.sqrt(mismatches);
        watchPace(now);
        boolean back = failing || evidence.slower || evidence.counted || blamed || failsAfterRelease(now);
        if (back) {
            vote(Verdict.BACK);
            return;
        }
        if (standing != Standing.ON_TRIAL) return;
        // Where one vote moves the stage, relays that saw little leave it to the others for two seconds more, and the
        // last stage, which lets all traffic go, waits for a KS test to have been made, or three seconds more.
        boolean single = settings.control == Settings.Control.SINGLE;
        boolean last = stage == settings.caps.size() - 1 && evidence.timed < 20;
        double fallback = !single ? 3000 : last ? 6000 : evidence.pairs < 5 ? 5000 : 3000;
        boolean aged = stageAge(now).over(Span.ofMs(fallback));
        if ((evidence.pairs >= 20 && !(single && last) || aged) && lead <= 0 && !doubt(now)) {
            if (settings.control != Settings.Control.CLOCKED) vote(Verdict.ON);
        } else if (settings.control == Settings.Control.CLOCKED && (lead > 0 || doubt(now))) {
            vote(Verdict.HOLD);
        }
    }

    /** How slow the units off trial are, as a mean of logarithms beside before the offer: tails count for little. */
    private double pace(Moment now) {
        return slowNow.at(now) / Math.max(slowNowCount.at(now), 1);
    }

    /** Slower than before by over a third and by three times what chance gives (logarithms of times stray by 0.9). */
    private boolean slowed(Moment now) {
        double count = slowNowCount.at(now);
        return count >= 5 && pace(now) > Math.max(0.3, 2.7 / Math.sqrt(count));
    }

    /**
     * (6) A build may slow old and new units alike, and then every pair matches. So where the earlier build runs slower
     * than before the offer, the copies stop for a while: if the pace comes back, and goes again as the copies do, the
     * slowdown follows exposure and the build is to blame; if it does not come back, something else is, and the build
     * is excused until the pace is good again. All relays see the same slowdown, so they stop together unasked.
     * Guards also against a build that starves a shared dependency; harms where an outside slowdown comes in step.
     */
    private void watchPace(Moment now) {
        if (standing != Standing.ON_TRIAL) return;
        if (pace(now) < 0.2) {
            slowSince = null;
            excused = false;
            if (pausedAt != null && now.since(pausedAt).over(Span.ofMs(500))) {
                pausedAt = null;
                resumedAt = now;
            }
        } else if (slowSince == null && slowed(now)) {
            slowSince = now;
        }
        if (pausedAt == null && !excused && slowSince != null && now.since(slowSince).over(Span.ofMs(700))) {
            if (resumedAt != null && Span.ofMs(8000).over(now.since(resumedAt))) blamed = true;
            pausedAt = now;
            host.log("pause: pace " + pace(now) + (blamed ? ", blamed" : ""));
        }
        if (pausedAt != null && now.since(pausedAt).over(Span.ofMs(5000))) {
            pausedAt = null; // five seconds: twice what queues of a soft deadline need to drain
            excused = true;
            host.log("excused: pace " + pace(now));
        }
    }

    private boolean doubt(Moment now) {
        return pausedAt != null || slowSince != null && !excused
            || resumedAt != null && Span.ofMs(3000).over(now.since(resumedAt));
    }

    /** After the release: failures on many units, or a pace that is gone for longer than most bursts last. */
    private boolean failsAfterRelease(Moment now) {
        if (standing != Standing.RELEASED) return false;
        int erring = 0;
        for (Unit unit : offered.units) erring += unit.excess > 0 ? 1 : 0;
        boolean errors = evidence.errors >= 5 && evidence.errors > 0.02 * evidence.ended
            && erring >= Math.max(3, 0.4 * offered.units.size());
        if (pace(now) < 0.6 || !slowed(now)) slowSince = null;
        else if (slowSince == null) slowSince = now;
        return errors || slowSince != null && now.since(slowSince).over(Span.ofMs(6000));
    }

    /** By the start times in the list; a stage whose new units are not listed yet has no age, up to eight seconds. */
    private Span stageAge(Moment now) {
        Span known = now.since(stageSince);
        Moment newest = null;
        for (Unit unit : offered.units) {
            if (unit.started != null && (newest == null || unit.started.after(newest))) newest = unit.started;
        }
        if (newest == null) return Span.ZERO;
        if (stageSince.after(newest) && Span.ofMs(8000).over(known)) return Span.ZERO;
        return now.since(newest).atMost(known);
    }

    /** Votes expire, get lost or come too early: cast anew at half their life, or soon where one did not count. */
    private void vote(Verdict verdict) {
        Moment now = host.now();
        if (verdict == cast && castAt != null) {
            Span waited = now.since(castAt);
            Span due = castCounts ? settings.voteLife.times(0.5) : castPending ? settings.callTimeout : Span.ofMs(300);
            if (!waited.over(due)) return;
        } else {
            host.log("vote " + verdict + " on " + offered.number + " at stage " + stage + ": pairs " + evidence.pairs
                + ", failed " + evidence.freshFailed + " against " + evidence.earlierFailed + ", timed " + evidence.timed
                + (evidence.slower ? ", slower" : "") + (blamed ? ", blamed" : "") + ", pace " + pace(now) + ", errors " + evidence.errors + " of " + evidence.ended + (evidence.counted ? ", counted" : ""));
        }
        cast = verdict;
        castAt = now;
        castPending = true;
        castCounts = false;
        host.vote(offered, stage, verdict);
    }

    public void voteAnswered(Reply reply) {
        castPending = false;
        castCounts = reply == Reply.COUNTS;
    }
}
