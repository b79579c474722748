package sprucerock;

import java.util.*;
import sprucerock.host.Host;
import sprucerock.host.Host.*;
import sprucerock.model.*;
import sprucerock.stats.*;
import sprucerock.time.*;

/**
 * All decisions of one relay. The host (the bench adapter, later the relay) makes one Policy at start and
 * calls one method for each thing that happens: a unit is ready or leaves, an RPC arrives, a pick ends, news,
 * counts or flags come in. Policy acts at once through {@link Host}, in sprucerock.host; objects are in
 * sprucerock.model.
 *
 * The ordinary path is the design, "Shadow traffic": an idempotent RPC goes to the earlier build with a copy
 * to the build on trial; pairs are judged by failure match and one-sided KS, stage by stage, and voted on.
 *
 * Beside the design stand six mechanisms: (1) the cold guard, (2) unit health, (3) time-out and further pick
 * under a retry budget, (4) pushback under overload, (5) pinned keys, (6) evidence where pairs can't see.
 */
public final class Policy {
    private final Host host;
    private final Settings settings;
    private final Chance chance;
    private final TreeMap<Integer, Build> builds = new TreeMap<>();
    private Offer offer;
    private Standing standing;
    private double cap;
    private double sharedTokens;
    private int copiesOut;
    private final boolean alone;
    /** Marks stray with the number of relays of which any one may be unlucky: one in twenty days. */
    private final double strays;
    private final DecayingMean erredEarlier = new DecayingMean(Span.ofMs(20000));
    private final TreeMap<Integer, DecayingMean> zonePaces = new TreeMap<>();
    private final Board board;
    private int hub;
    private Moment hubSince;
    private Moment loadsAt;
    private boolean sumsDue;
    private double fleetWaitMs;
    private final DecayingSum endedAnywhere = new DecayingSum(Span.ofMs(2000));
    private int singles;

    private final DecayingSum arrivals = new DecayingSum(Span.ofMs(5000));
    private final DecayingSum[] customerArrivals;
    // other keys are no popular ones
    private final KeyedSums keyArrivals = new KeyedSums(Span.ofMs(20000), 4096);
    private final DecayingSum homeSends = new DecayingSum(Span.ofMs(3000));
    private final DecayingSum repeats = new DecayingSum(Span.ofMs(5000));
    private final DecayingSum answered = new DecayingSum(Span.ofMs(2000));
    private int timely;
    private double mostUtility;
    private double meanSoftMs;

    private Verdict cast = Verdict.NONE;
    private Moment castAt;
    private boolean castCounts;
    private boolean castPending;
    private Moment lastAsked;
    private final Moment started;

    public Policy(Host host, Settings settings, long seed) {
        this.host = host;
        this.settings = settings;
        chance = new Chance(seed);
        started = host.now();
        customerArrivals = new DecayingSum[settings.customerShares.size()];
        Arrays.setAll(customerArrivals, i -> new DecayingSum(Span.ofMs(5000)));
        sharedTokens = settings.free;
        alone = !settings.peers && !settings.countsEvery.over(Span.ZERO);
        strays = Math.sqrt(2 * Math.log(20 * settings.relays));
        for (Method method : settings.methods) {
            mostUtility = Math.max(mostUtility, method.utility);
            meanSoftMs += method.softDeadline.ms() / settings.methods.size();
            method.took = new DecayingMean(Span.ofMs(10000));
            method.logBefore = new DecayingMean(Span.ofMs(20000));
            method.slowness = new DecayingMean(Span.ofMs(3000));
            method.logNow = new DecayingMean(Span.ofMs(20000));
            method.countedBefore = new DecayingMean(Span.ofMs(20000));
            method.trialTokens = settings.free;
        }
        board = new Board(Span.ofMs(4 * meanSoftMs));
        if (settings.ask) subscribe();
        look();
    }

    public void unitReady(Unit unit) {
        if (unit.ready) return;
        unit.ready = true;
        if (unit.pace == null) unit.pace = new DecayingMean(Span.ofMs(4000));
        unit.build.add(unit);
        board.ready(unit);
        builds.put(unit.build.number, unit.build);
        unit.coldTokens = chance.next(); // relays learn of a unit together, their first tokens come one by one
        unit.coldAsOf = host.now();
    }

    /** Rule 3: a unit that is told to drain or gone gets nothing new at once; no grace is used. */
    public void unitLeaving(Unit unit) {
        if (unit.ready) unit.build.remove(unit);
        unit.ready = false;
        board.left(unit);
        if (unit.build.units.isEmpty()) builds.remove(unit.build.number);
    }

    /** A broken subscription is asked for again after a pause, so that a busy discovery recovers. */
    public void listFailed() {
        host.wake(host.now().plus(Span.ofMs(500 + 500 * chance.next())), this::subscribe);
    }

    private void subscribe() {
        lastAsked = host.now();
        host.subscribe();
    }

    public void newsOfBuild(Build build, int stage, Standing newStanding, double newCap, Moment since) {
        boolean sameBuild = offer != null && offer.build.number == build.number;
        if (!sameBuild) offer = new Offer(build, settings.methods.size());
        if (!sameBuild || stage != offer.stage || newStanding != standing) {
            if (sameBuild) {
                int[] pooled = offer.pooled();
                offer.carried += pooled[1] - pooled[2];
                offer.carriedStray += 1.5 * Math.sqrt(4 * pooled[2]);
            }
            offer.stage = stage;
            offer.since = since;
            offer.slowSince = null;
            offer.evidence = new Evidence(settings.methods.size(), 80);
            // forty by all relays together, the rest by chance; each harms if the build is bad
            singles = (int) (Math.min(10, 40.0 / settings.relays) + chance.next());
            offer.poolAnew();
            if (newStanding == Standing.RELEASED) offer.countAnew();
            for (Unit unit : build.units) unit.excess = 0;
            cast = Verdict.NONE;
        }
        standing = newStanding;
        offer.tried |= standing == Standing.ON_TRIAL;
        cap = newCap;
        if (standing != Standing.ON_TRIAL) offer.pins.clear();
        consider();
    }

    private boolean isOffered(Build build) {
        return offer != null && build.number == offer.build.number;
    }

    private boolean onTrial(Build build) {
        if (offer == null) return !builds.isEmpty() && build.number > builds.firstKey();
        return build.number > offer.build.number || isOffered(build) && standing != Standing.RELEASED;
    }

    /** Rule 5: a build not yet named in the news counts as in the first stage. */
    private boolean mayTry(Build build, Method method, double tokens) {
        if (offer == null) return false;
        double most = isOffered(build) ? cap : settings.caps.get(0);
        int stage = isOffered(build) ? offer.stage : 0;
        return most > 0 && (settings.perMethod ? method.trialTokens : sharedTokens) >= tokens
            && (method.idempotent() || stage >= settings.guardedStages);
    }

    /** Rule 5: a bucket as deep as the free picks, fed by the cap with each RPC, holds over every window. */
    private void feedTokens(Method method) {
        if (offer == null) return;
        boolean ended = standing == Standing.RELEASED || standing == Standing.WITHDRAWN;
        double share = (ended ? settings.caps.get(0) : cap) * (1 - 1e-6);
        sharedTokens = Math.min(settings.free, sharedTokens + share);
        method.trialTokens = Math.min(settings.free, method.trialTokens + share);
    }

    /** The build that pairs can judge now: on trial, with units; null where there is none. */
    private Build trial() {
        boolean judged = offer != null && standing == Standing.ON_TRIAL && !offer.build.units.isEmpty();
        return judged ? offer.build : null;
    }

    public void rpcArrived(Rpc rpc) {
        Moment now = host.now();
        arrivals.add(now, 1);
        if (rpc.customer < customerArrivals.length) customerArrivals[rpc.customer].add(now, 1);
        if (settings.oneWayKeys) keyArrivals.add(rpc.key, now, 1);
        feedTokens(rpc.method);
        timely++;
        if (overloaded(rpc)) {
            giveUp(rpc);
            return;
        }
        host.wake(now.plus(rpc.method.softDeadline), () -> settle(rpc));
        // Rule 1: two rounds before the client's own deadline, since a timer may come a round late.
        host.wake(rpc.deadline.minus(settings.tick.times(2)), () -> {
            if (!rpc.ended && !rpc.streaming) giveUp(rpc);
        });
        route(rpc);
    }

    private void route(Rpc rpc) {
        Build trial = trial();
        // Alone in place of a copy: where second copies are barred, and a few RPCs with an effect.
        Unit single = trial != null && maySingle(rpc, trial) ? chooseFitting(rpc, trial) : null;
        if (single != null) {
            Pair pair = new Pair();
            sendCopy(rpc, single, pair);
            offer.evidence.waiting.get(rpc.method.index).add(pair);
            offer.evidence.singles[rpc.method.index]++;
            return;
        }
        Unit home = chooseAny(rpc);
        if (home == null) {
            giveUp(rpc);
            return;
        }
        Pick earlier = send(rpc, home);
        if (trial == null || home.build == trial) return;
        Unit unit = mayCopy(rpc, trial) ? chooseFitting(rpc, trial) : null;
        earlier.pair = unit != null ? new Pair() : offer.evidence.waiting.get(rpc.method.index).poll();
        if (earlier.pair == null) return;
        earlier.pair.earlier = earlier;
        if (unit != null) sendCopy(rpc, unit, earlier.pair);
        judge(earlier.pair);
    }

    private void sendCopy(Rpc rpc, Unit unit, Pair pair) {
        pair.fresh = send(rpc, unit);
        pair.fresh.pair = pair;
        pair.fresh.copy = true;
        copiesOut++;
    }

    /** The breaker: so many picks under test in flight (the design), none while copies are stopped. */
    private boolean breakerOpen() {
        return copiesOut >= 8 || offer.pausedAt != null;
    }

    /** The design's conditions for a copy; where keys get pinned, one token stays for a pinned key's RPC. */
    private boolean mayCopy(Rpc rpc, Build trial) {
        double tokens = Math.min(settings.oneWayKeys ? 2 : 1, settings.free);
        return rpc.method.idempotent() && settings.secondCopies && !breakerOpen() && budgetHasRoom()
            && rpc.picks.size() < settings.maxPicks && mayTry(trial, rpc.method, tokens);
    }

    private boolean maySingle(Rpc rpc, Build trial) {
        if (breakerOpen() || !mayTry(trial, rpc.method, 1) || offer.pins.containsKey(rpc.key)) return false;
        Evidence evidence = offer.evidence;
        // every other one of a method at most: each has its like at the earlier build
        if (rpc.method.idempotent()) {
            return !settings.secondCopies && evidence.waiting.get(rpc.method.index).isEmpty();
        }
        // (6) A build bad for one method with effects shows in no copy: from the second stage on, ten such
        // RPCs a method and stage go there alone; where one in four fails, ten give the mark's three about
        // half the time.
        return offer.stage > 0 && evidence.singles[rpc.method.index] < singles;
    }

    /**
     * (5) An ok copy binds its key to the new build, whose cap must then carry the key's traffic: only keys
     * whose traffic fits into half the cap are tested, so that no popular key is left unserved.
     */
    private Unit chooseFitting(Rpc rpc, Build trial) {
        Unit unit = chooseIn(rpc, trial);
        if (unit == null || !settings.oneWayKeys || rpc.key == 0) return unit;
        Moment now = host.now();
        double share = keyArrivals.perSecond(rpc.key, now) / Math.max(arrivals.perSecond(now), 1e-9);
        if (offer.pinnedShare + share > 0.5 * cap) return null;
        offer.pinnedShare += share;
        return unit;
    }

    private Pick send(Rpc rpc, Unit unit) {
        Moment now = host.now();
        if (onTrial(unit.build)) {
            sharedTokens--;
            rpc.method.trialTokens--;
        } else {
            homeSends.add(now, 1);
        }
        unit.coldTokens--;
        Span overdue = overdueAfter(rpc);
        // Where one pick must end before the next, it is cut only when lost: its work so far is thrown away.
        Span lost = overdue.times(2);
        boolean cut = !settings.secondCopies && !rpc.method.streamOrOnce()
            && rpc.picks.size() + 1 < settings.maxPicks && rpc.deadline.since(now).over(lost.times(1.5));
        Pick pick = new Pick(rpc, unit, now, cut ? lost : null);
        host.send(pick);
        report(unit, null);
        host.wake(now.plus(overdue), () -> overdue(pick));
        return pick;
    }

    /**
     * (3) When a pick is overdue: at three times the method's mean, which grows as everything slows, but not
     * under 0.45 of the soft deadline; so few healthy picks are, and another can still be in time.
     */
    private Span overdueAfter(Rpc rpc) {
        Span work = rpc.hint == null ? Span.ZERO : rpc.hint.times(3);
        Span usual = Span.ofMs(3 * usualMs(rpc.method));
        return rpc.method.softDeadline.times(0.45).atLeast(usual).atLeast(work);
    }

    private double usualMs(Method method) {
        return method.took.at(host.now(), method.softDeadline.ms() / 6, 1); // a guess until answers come
    }

    /**
     * Silence: no answer from the unit since. It is marked and, where copies may run, another pick is made.
     */
    private void overdue(Pick pick) {
        if (pick.outcome != null) return;
        pick.overdue = true;
        boolean silent = pick.unit.lastAnswer == null || pick.sent.after(pick.unit.lastAnswer);
        if (silent) note(pick.unit, false);
        pick.unit.pace.add(host.now(), 3);
        zonePace(pick.unit).add(host.now(), 3);
        if (pick.pair != null) judge(pick.pair);
        if (silent && settings.secondCopies && pick.rpc.out == 1) tryAgain(pick.rpc);
    }

    private boolean budgetHasRoom() {
        // one in twenty: enough to find a lost unit, no storm
        return repeats.at(host.now()) < 1 + 0.05 * arrivals.at(host.now());
    }

    /** Rule 2: whether the RPC may be picked again at all. */
    private boolean mayRepeat(Rpc rpc) {
        boolean barred = !settings.secondCopies && rpc.out > 0 || rpc.picks.size() >= settings.maxPicks;
        if (rpc.ended || rpc.streaming || barred) return false;
        Pick first = rpc.firstThatMayHaveRun();
        if (first == null || rpc.method.idempotent()) return true;
        return rpc.method.effect == Method.Effect.TOKENED
            && rpc.method.window.minus(settings.tick).over(host.now().since(first.sent));
    }

    private boolean tryAgain(Rpc rpc) {
        boolean late = settings.tick.times(4).over(rpc.deadline.since(host.now()));
        if (late || !mayRepeat(rpc) || !budgetHasRoom()) return false;
        Unit unit = chooseAny(rpc);
        if (unit == null) return false;
        repeats.add(host.now(), 1);
        send(rpc, unit);
        return true;
    }

    public void streamStarted(Pick pick) {
        pick.rpc.streaming = true;
        settle(pick.rpc);
    }

    /** A pick ended; {@code answers} says that it ended its RPC too. */
    public void pickEnded(Pick pick, boolean answers) {
        Moment now = host.now();
        Rpc rpc = pick.rpc;
        boolean ok = pick.outcome == Outcome.OK;
        if (answers) settle(rpc);
        if (answers && ok) answered.add(now, 1);
        if (pick.copy) copiesOut--;
        report(pick.unit, now.since(pick.sent));
        boolean tells = pick.outcome != Outcome.CANCELLED && pick.outcome != Outcome.MOOT;
        if (tells && (ok || !pick.overdue)) note(pick.unit, ok);
        if (ok || pick.erred()) pick.unit.lastAnswer = now;
        if (ok || pick.outcome == Outcome.TIMED_OUT) learnPace(pick);
        if (!isOffered(pick.unit.build)) erredEarlier.add(now, pick.erred() ? 1 : 0);
        if (isOffered(pick.unit.build)) seenAtOffered(pick);
        if (pick.pair != null) judge(pick.pair);
        if (!rpc.ended && !rpc.streaming && rpc.out == 0 && !tryAgain(rpc)) giveUp(rpc);
    }

    private void seenAtOffered(Pick pick) {
        offer.erred |= pick.erred();
        if (standing == Standing.RELEASED) {
            offer.evidence.ended++;
            offer.evidence.errors += pick.erred() ? 1 : 0;
            if (pick.erred() && ++pick.unit.excess == 1) offer.evidence.erring++;
        }
        boolean binds = settings.oneWayKeys && pick.rpc.key != 0 && pick.outcome == Outcome.OK;
        if (binds && standing == Standing.ON_TRIAL) offer.pins.put(pick.rpc.key, offer.build);
    }

    public void clientLeft(Rpc rpc) {
        settle(rpc);
        cancelOut(rpc);
    }

    /** The final answer once nothing more can be done; at once, so that the client can use its time. */
    private void giveUp(Rpc rpc) {
        settle(rpc);
        Method method = rpc.method;
        boolean dropped = method.effect == Method.Effect.TOKENED && method.group == Method.Group.ALL;
        if (rpc.firstThatMayHaveRun() == null || method.idempotent() || dropped) {
            // half a soft deadline: about what a queue that long needs to drain
            Span wait = method.softDeadline.times(0.5).atMost(settings.maxRetryAfter);
            host.pushBack(rpc, settings.retryAfter ? wait : Span.ZERO);
        } else {
            host.abort(rpc);
        }
        cancelOut(rpc);
    }

    private void cancelOut(Rpc rpc) {
        for (Pick pick : rpc.picks) {
            if (settings.cancel && pick.outcome == null && pick.pair == null) host.cancel(pick);
        }
    }

    /** Ends an RPC's part in the queue: it was answered, or its soft deadline has passed. */
    private void settle(Rpc rpc) {
        if (!rpc.settled) timely--;
        rpc.settled = true;
    }

    /**
     * (4) Little's law: RPCs out and not yet late, over answers a second, is the wait that a new one faces;
     * past its mark it is pushed back unseen. Guards against bursts, slow dependencies and lost units alike.
     * RPCs past their soft deadline do not count: a few stuck ones cannot keep the door shut. A pause can
     * look like a queue.
     */
    private boolean overloaded(Rpc rpc) {
        Moment now = host.now();
        // three more is chance
        double waitMs = 1000.0 * (timely - 3) / Math.max(soFar(answered), 0.5);
        boolean byFleet = loadsFresh() && arrivals.perSecond(now) < 10;
        double worth = rpc.method.utility / mostUtility;
        if (rpc.customer < customerArrivals.length) {
            double share = settings.customerShares.get(rpc.customer);
            double own = customerArrivals[rpc.customer].at(now);
            double fair = (arrivals.at(now) - own) * share / Math.max(1 - share, 0.01);
            // beside what the others send: of a customer at thrice its share, two RPCs in three are over it
            if (own > 1.2 * fair && chance.next() > fair / own) worth *= settings.overShareWorth;
        }
        // 0.25 to 0.55 of the mean soft deadline: what is left must hold the work itself and its long tail
        return byFleet ? fleetWaitMs > meanSoftMs * (0.4 + 0.3 * worth) : waitMs > meanSoftMs * (0.25 + 0.3 * worth);
    }

    /** The rate of a sum of two seconds, of which the first ones are not full. */
    private double soFar(DecayingSum sum) {
        Moment now = host.now();
        return sum.perSecond(now) / (1 - Math.exp(-Math.max(now.since(started).ms(), 100) / 2000));
    }

    /** Once released, a build has every key: earlier units may be listed before news that it goes back. */
    private Build pinOf(long key) {
        if (offer == null || !settings.oneWayKeys || key == 0) return null;
        return standing == Standing.RELEASED ? offer.build : offer.pins.get(key);
    }

    private Unit chooseAny(Rpc rpc) {
        Unit unit = choose(rpc, false);
        return unit != null ? unit : choose(rpc, true);
    }

    /** Of the newest build that is not on trial, else of an earlier one; or, as told, of one on trial too. */
    private Unit choose(Rpc rpc, boolean trialToo) {
        Build pin = pinOf(rpc.key);
        for (Build build : builds.descendingMap().values()) {
            if (pin != null && build.number < pin.number) return null;
            boolean mayUse = trialToo || pin != null && build.number == pin.number;
            if (onTrial(build) && !(mayUse && mayTry(build, rpc.method, 1))) continue;
            Unit unit = chooseIn(rpc, build);
            if (unit != null) return unit;
        }
        return null;
    }

    private Unit chooseIn(Rpc rpc, Build build) {
        Moment now = host.now();
        Pick first = rpc.firstThatMayHaveRun();
        boolean mayLook = rpc.method.idempotent() && rpc.picks.isEmpty();
        Unit one = null;
        Unit rest = null;
        // no scan of a large fleet: 24 draws miss the usable third of a build once in 17,000 times
        for (int i = 0; i < Math.min(build.units.size(), 24); i++) {
            Unit unit = build.draw(i, chance.next());
            if (first != null && !rpc.method.dropsRepeats(first.unit, unit)) continue;
            if (rpc.triedAt(unit) || !hasRoom(unit, now)) continue;
            if (sick(unit) && mayLook && now.after(unit.retryAt) && budgetHasRoom()) {
                // a look a second shows recovery soon at little cost
                unit.retryAt = now.plus(Span.ofMs(1000));
                repeats.add(now, 1);
                return unit;
            }
            if (sick(unit) || farOff(unit)) {
                rest = unit;
            } else if (one == null) {
                one = unit;
            } else {
                return cost(one) <= cost(unit) ? one : unit; // the design's two random choices
            }
        }
        return one != null ? one : rest;
    }

    private DecayingMean zonePace(Unit unit) {
        return zonePaces.computeIfAbsent(unit.zone, zone -> new DecayingMean(Span.ofMs(8000)));
    }

    /** A slow or lossy link: RPCs to a zone take twice as long as those inside the relay's own. */
    private boolean farOff(Unit unit) {
        if (unit.zone == settings.zone || !zonePaces.containsKey(settings.zone)) return false;
        Moment now = host.now();
        return zonePace(unit).at(now, 1, 1) > 1.8 * zonePaces.get(settings.zone).at(now, 1, 1);
    }

    /** The expected wait, as far as own picks and the loads tell. */
    private double cost(Unit unit) {
        double far = unit.zone == settings.zone ? 1 : 1.1; // a tie goes to the relay's own zone
        int out = unit.toldAt == loadsAt && loadsFresh() ? Math.max(unit.out, unit.told) : unit.out;
        double load = 1 + out / Math.max(unit.weight, 0.1);
        return load * unit.pace.at(host.now(), 1, 2) * (1 + unit.failed(6)) * far;
    }

    /** (2) By the successes among its last six outcomes: under half of at least three, it is left alone. */
    private static boolean sick(Unit unit) {
        return unit.known(6) >= 3 && 2 * unit.failed(6) > unit.known(6);
    }

    private void note(Unit unit, boolean ok) {
        boolean before = sick(unit);
        unit.note(ok);
        if (!before && sick(unit)) unit.retryAt = host.now().plus(Span.ofMs(1000));
    }

    /** Learns the method's usual time, the unit's pace, and the pace now beside the one before the offer. */
    private void learnPace(Pick pick) {
        Moment now = host.now();
        Method method = pick.rpc.method;
        double ms = Math.max(pick.took.ms(), 1);
        pick.unit.pace.add(now, Math.min(ms / usualMs(method), 8));
        zonePace(pick.unit).add(now, Math.min(ms / usualMs(method), 8));
        double log = Math.log(ms / (pick.rpc.hint == null ? 1 : Math.max(pick.rpc.hint.ms(), 1)));
        if (onTrial(pick.unit.build)) {
            // younger ones look slow for being cold
            if (!isOffered(pick.unit.build) || !pick.unit.olderThan(Span.ofMs(5000), now)) return;
            offer.excessLog.add(now, log - method.logNow.at(now, log, 1e-9));
            return;
        }
        method.took.add(now, ms);
        method.logNow.add(now, log);
        seePace(method, method.logBefore, log, 1);
    }

    private void seePace(Method method, DecayingMean before, double log, double weight) {
        Moment now = host.now();
        if (!longerThan(2000, started, now)) return; // a fleet that just woke has no queues yet
        if (!watched(now) || offer.stage == 0) { // the first stage's few picks slow nothing much yet
            before.add(now, log, weight);
        } else if (before.count(now) >= 2) {
            method.slowness.add(now, log - before.at(now, 0, 1e-9), weight);
        }
    }

    /**
     * (1) Rule 4. A cold unit gets of this relay what a warm one of its size gets, times the share that it
     * surely has by now, and times 0.8 so that no queue builds up (never over half the multiple). What warm
     * units carry is within their capacity, so the sum over relays is within the budget, however uneven they
     * are. A unit on trial gets no more than an earlier one even when warm, so that pairs compare units under
     * the same load.
     */
    private boolean hasRoom(Unit unit, Moment now) {
        if (!onTrial(unit.build) && unit.olderThan(settings.cold, now)) return true;
        double all = 0;
        double warm = 0;
        for (Build build : builds.values()) {
            build.weigh(settings.cold, Span.ofMs(500), now); // no scan for each pick
            all += build.weight;
            if (!onTrial(build)) warm += build.weightOfOlder;
        }
        double carried = homeSends.perSecond(now) * unit.weight / Math.max(warm > 0 ? warm : all, 0.1);
        double age = unit.started == null ? 1 : Math.max(0, now.since(unit.started).per(settings.cold));
        double share = settings.startShare + (1 - settings.startShare) * Math.min(1, age);
        double perSecond = Math.min(0.5 * settings.tipMultiple, 0.8) * share * carried;
        double most = Math.max(1, 0.5 * perSecond * settings.tipAfter.ms() / 1000);
        unit.coldTokens = Math.min(unit.coldTokens + perSecond * now.since(unit.coldAsOf).ms() / 1000, most);
        unit.coldAsOf = now;
        return unit.coldTokens >= 1;
    }

    private void judge(Pair pair) {
        Pick fresh = pair.fresh;
        Pick earlier = pair.earlier;
        if (pair.judged || earlier == null) return;
        // A copy that is overdue beside a primary that is done would be seen too late: it counts as that
        // slow.
        if (fresh.outcome == null && (!fresh.overdue || earlier.outcome == null)) return;
        if (earlier.outcome == null && !earlier.overdue) return;
        pair.judged = true;
        if (trial() != fresh.unit.build || unusable(fresh) || unusable(earlier)) return;
        Evidence seen = offer.evidence;
        seen.pairs++;
        // One sick unit is no sick build: among three or more, one unit gives two mismatches at most.
        boolean few = fresh.unit.build.units.size() < 3;
        if (fresh.erred() && !earlier.erred() && (++fresh.unit.excess <= 2 || few)) seen.freshFailed++;
        if (earlier.erred() && !fresh.erred()) seen.earlierFailed++;
        Moment now = host.now();
        Span settled = Span.ofMs(5000); // the design's age, under which copies look slow for being cold
        boolean alike = fresh.unit.kind == earlier.unit.kind && !fresh.erred() && !earlier.erred()
            && fresh.unit.olderThan(settled, now) && earlier.unit.olderThan(settled, now);
        int n = alike ? seen.time(tookOf(fresh, now), tookOf(earlier, now)) : 0;
        if (n == 20 || n == 40 || n == 80) {
            seen.slower |= seen.slowerSide() > Math.max(0.25, 1.63 * Math.sqrt(2.0 / n));
        }
        consider();
    }

    /** Full, out of reach, called off or cut off says nothing of a build; time-outs are slowness, for KS. */
    private static boolean unusable(Pick pick) {
        return pick.outcome != null && pick.outcome.neverRan || pick.outcome == Outcome.CANCELLED
            || pick.outcome == Outcome.BROKEN;
    }

    private double tookOf(Pick pick, Moment now) {
        double ms = pick.took != null ? pick.took.ms() : now.since(pick.sent).ms();
        return ms / (pick.rpc.hint != null ? Math.max(pick.rpc.hint.ms(), 1) : usualMs(pick.rpc.method));
    }

    /**
     * (6) The release desk's counts show builds bad for methods that are never copied, and to relays that see
     * few RPCs the pace of the earlier build. They hold time-outs too, so an error that a pick or a peer's
     * pair showed must bear them out.
     */
    public void counted(Build build, Method method, double picks, double failed, Span mean) {
        if (!onTrial(build) && quiet() && picks > failed) {
            seePace(method, method.countedBefore, Math.log(Math.max(mean.ms(), 1)), picks - failed);
        }
        if (offer == null || build.number > offer.build.number) return;
        double[] fresh = offer.freshCounts[method.index];
        double[] earlier = offer.earlierCounts[method.index];
        double[] counts = isOffered(build) ? fresh : earlier;
        counts[0] += picks;
        counts[1] += failed;
        int[] pooled = offer.pooled();
        boolean borneOut = standing == Standing.RELEASED ? offer.evidence.errors > 2
            : settings.peers ? pooled[1] > pooled[2] : offer.erred;
        if (fresh[0] < 12 || fresh[1] < 3 || !borneOut) return;
        // 3.5 standard errors: one look in four thousand by chance, and there are tens of looks a day; after
        // the release nothing runs beside it, and up to a fifth of the units may fail for other reasons
        double mark = Math.max(standing == Standing.RELEASED ? 0.25 : 0.05,
            3.5 * Shares.error(fresh[1], fresh[0], earlier[1], earlier[0]));
        offer.evidence.counted |= fresh[1] / fresh[0] - earlier[1] / Math.max(earlier[0], 1) > mark;
        consider();
    }

    /** Sees too few RPCs to judge the pace of a fleet by itself within some seconds. */
    private boolean quiet() {
        return settings.countsEvery.over(Span.ZERO) && arrivals.perSecond(host.now()) < 10;
    }

    /** A wrong answer that a client reported stands as a failed copy beside an ok primary, or the reverse. */
    public void flagged(Unit unit) {
        if (offer != null && isOffered(unit.build)) offer.evidence.freshFailed++;
        else if (offer != null) offer.evidence.earlierFailed++;
        consider();
    }

    /**
     * Relays with few pairs see little alone: peers tell each other what their pairs showed in the stage, a
     * few bytes when that changed and twice a second at most, and add it up.
     */
    private void tellPeers(Moment now) {
        if (!settings.peers || trial() == null || offer.evidence.told(offer.pooled()[0] < 120)) return;
        if (offer.told != null && Span.ofMs(500).over(now.since(offer.told))) return;
        offer.told = now;
        host.tellPeers(offer.evidence.report(offer.build.number, offer.stage));
    }

    public void peerTold(int sender, byte[] contents) {
        if (contents.length < 2) return;
        if (contents[0] == Board.PICK && contents.length == 4) added(contents);
        else if (contents[0] == Board.LOADS) loadsTold(sender, contents);
        else if (offer != null && contents.length == 6) {
            offer.heard(sender, contents);
            consider();
        }
    }

    /**
     * Quiet relays see no queue of a unit. So each tells one relay of its picks as they start and end, and this
     * one tells all, four times a second, which units hold two or more, and the fleet's wait by Little's law.
     * Where it is silent, the next one is told; of several the lowest is believed. With all messages lost, relays
     * go by their own picks.
     */
    private void report(Unit unit, Span endedAt) {
        if (!settings.peers) return;
        Moment now = host.now();
        if (hubSince == null) hubSince = now;
        if (longerThan(2000, hubSince, now)) {
            hubSince = now;
            hub = (hub + 1) % settings.relays;
        }
        byte[] told = board.pick(unit, endedAt);
        if (hub == settings.index) added(told);
        else host.tellPeer(hub, told);
    }

    private void added(byte[] told) {
        Moment now = host.now();
        if (board.add(told, now)) endedAnywhere.add(now, 1);
        if (sumsDue) return;
        sumsDue = true;
        host.wake(now.plus(Span.ofMs(250)), () -> {
            sumsDue = false;
            double waitMs = 1000 * board.out(host.now()) / Math.max(soFar(endedAnywhere), 1);
            byte[] loads = board.loads(2, waitMs / meanSoftMs, host.now());
            host.tellPeers(loads);
            loadsTold(settings.index, loads);
        });
    }

    private void loadsTold(int sender, byte[] told) {
        if (sender > hub && loadsFresh()) return;
        hub = sender;
        hubSince = host.now();
        loadsAt = hubSince;
        fleetWaitMs = board.read(told, loadsAt) * meanSoftMs;
    }

    private boolean loadsFresh() {
        return loadsAt != null && !longerThan(1000, loadsAt, host.now());
    }

    /**
     * How slow units off trial are beside before the offer, a mean of logarithms in which tails count little,
     * and its weight; of three methods or more without the slowest, which may wait alone for what only it needs.
     */
    private double[] paces(Moment now) {
        double[] sums = new double[settings.methods.size()];
        double[] counts = new double[sums.length];
        for (Method method : settings.methods) {
            counts[method.index] = method.slowness.count(now);
            sums[method.index] = method.slowness.at(now, 0, 0.1) * counts[method.index];
        }
        return Shares.withoutHighest(sums, counts);
    }

    private double pace(Moment now) {
        double[] paces = paces(now);
        return paces[0] / (paces[1] + 0.1);
    }

    /** Slower by half, and by three times what chance gives (logarithms of times stray by 0.9). */
    private boolean slowed(Moment now) {
        double count = paces(now)[1];
        return count >= 5 && pace(now) > Math.max(0.4, 2.7 / Math.sqrt(count));
    }

    /**
     * A build may slow old and new units alike, and then every pair matches. So where the earlier build runs
     * slower than before the offer, copies stop for a while: if the pace comes back, and goes again as copies
     * do, twice, it follows exposure and the build is to blame; else the build is excused until the pace is
     * good. All relays see the same, so they stop together. Harms where an outside slowdown comes in step.
     */
    private void watchPace(Moment now) {
        if (pace(now) < 0.2) {
            offer.slowSince = null;
            offer.excused = false;
            if (offer.pausedAt != null && now.since(offer.pausedAt).over(Span.ofMs(500))) {
                offer.pausedAt = null;
                offer.resumedAt = now;
            }
        } else if (offer.slowSince == null && slowed(now)) {
            offer.slowSince = now;
        }
        if (offer.pausedAt == null && !offer.excused && longerThan(700, offer.slowSince, now)) {
            offer.blames += offer.resumedAt != null && !longerThan(5000 + lagMs(), offer.resumedAt, now) ? 1 : 0;
            offer.pausedAt = now;
        }
        if (longerThan(5000 + lagMs(), offer.pausedAt, now)) { // twice what queues of a soft deadline need to drain
            offer.pausedAt = null;
            offer.excused = true;
        }
    }

    /** At the build on trial, against picks at the earlier one of the same method. */
    private boolean paceLost(Moment now) {
        double count = offer.excessLog.count(now);
        return count >= 4 && offer.excessLog.at(now, 0, 1e-9) > Math.max(0.5, strays * 0.9 / Math.sqrt(count));
    }

    private double earlierShare(Moment now) {
        return 0.01 + 1.2 * erredEarlier.at(now, 0, 5);
    }

    private static boolean longerThan(double ms, Moment since, Moment now) {
        return since != null && now.since(since).over(Span.ofMs(ms));
    }

    /** How late counts tell of a change: a period to fill, and one to come. */
    private double lagMs() {
        return quiet() ? 2 * settings.countsEvery.ms() : 0;
    }

    private boolean inDoubt(Moment now) {
        return offer.pausedAt != null || offer.slowSince != null && !offer.excused
            || offer.resumedAt != null && !longerThan(3000 + lagMs(), offer.resumedAt, now);
    }

    /** After the release: failures on many units, or a pace that is gone for longer than most bursts last. */
    private boolean failsAfterRelease(Moment now) {
        Evidence seen = offer.evidence;
        if (pace(now) < 0.6 || !slowed(now)) offer.lost = 0;
        else if (offer.lostAsOf != null) offer.lost += pace(now) * now.since(offer.lostAsOf).ms() / 1000;
        offer.lostAsOf = now;
        boolean many = seen.erring >= Math.max(3, 0.6 * offer.build.units.size());
        return many && seen.errors >= 5 && seen.errors > 0.02 * seen.ended
            || offer.lost > 6 || Shares.tail(seen.errors, seen.ended, 0.25) < 0.01 / settings.relays;
    }

    private void look() {
        Moment now = host.now();
        if (settings.ask && now.since(lastAsked).over(settings.askWithin.times(0.5))) subscribe();
        consider();
        tellPeers(now);
        host.wake(now.plus(Span.ofMs(100)), this::look); // well under a stage's shortest time
    }

    /** On trial, or released under fifteen seconds ago: by then what all traffic shows has shown. */
    private boolean watched(Moment now) {
        boolean fresh = standing == Standing.RELEASED && offer.tried && !longerThan(15000, offer.since, now);
        return standing == Standing.ON_TRIAL || fresh;
    }

    private void consider() {
        Moment now = host.now();
        boolean released = standing == Standing.RELEASED;
        if (!watched(now)) return;
        Evidence seen = offer.evidence;
        int[] pooled = offer.pooled();
        int lead = pooled[1] - pooled[2];
        // Where units of both builds fail, mismatches come both ways and their difference strays by about the
        // root of their number: 1.5 of those beside the design's marks, so that three to none is still
        // enough.
        double stray = 1.5 * (Math.sqrt(pooled[1] + pooled[2]) + Math.sqrt(2 * pooled[2]));
        boolean failing = lead >= 3 && lead > 0.01 * pooled[0] && lead > stray;
        // a few mismatches in each of several stages make a bad build too
        failing |= lead > 0 && lead + offer.carried >= Math.max(5, stray + offer.carriedStray);
        if (alone) failing &= Shares.tail(pooled[1], seen.pairs, earlierShare(now)) < 0.05 / settings.relays;
        if (!released) watchPace(now);
        boolean proven = failing || seen.slower || alone && paceLost(now) || seen.counted || offer.blames > (quiet() ? 0 : 1);
        if (proven || released && failsAfterRelease(now)) {
            vote(Verdict.BACK);
        } else if (!released && settings.control == Settings.Control.CLOCKED) {
            if (lead > 0 || inDoubt(now)) vote(Verdict.HOLD);
            else if (cast != Verdict.NONE) vote(Verdict.NONE);
        } else if (!released && !inDoubt(now) && mayMoveOn(now)) {
            vote(Verdict.ON);
        }
    }

    /**
     * After 20 pairs or at the fallback age. Where one vote moves the stage, relays that saw little leave it
     * to others for two seconds more; the last stage waits for a KS test, or three seconds more.
     */
    private boolean mayMoveOn(Moment now) {
        Evidence seen = offer.evidence;
        boolean single = settings.control == Settings.Control.SINGLE;
        int pairs = offer.pooled()[0];
        boolean untested = single && offer.stage == settings.caps.size() - 1 && seen.timed < 20 && pairs < 100;
        double fallback = untested ? 6000 : single && pairs < 5 ? 5000 : 3000;
        // with nobody to add up with, the busiest of many relays must see enough first: their rates differ tenfold
        if (alone && single) fallback *= Math.max(1, Math.min(3, Math.log(settings.relays) / Math.log(2) / 4));
        return pairs >= 20 && !untested || stageAge(now).over(Span.ofMs(fallback));
    }

    /** By the start times in the list; while the new units of a stage are not listed, none up to 8 s. */
    private Span stageAge(Moment now) {
        Span known = now.since(offer.since);
        Moment newest = offer.build.newest;
        if (newest == null || offer.since.after(newest) && Span.ofMs(8000).over(known)) return Span.ZERO;
        return now.since(newest).atMost(known);
    }

    /** Votes expire, get lost or come early: cast anew at half their life, soon where one did not count. */
    private void vote(Verdict verdict) {
        Moment now = host.now();
        if (verdict == cast) {
            Span retry = castPending ? settings.callTimeout : Span.ofMs(300);
            Span due = castCounts ? settings.voteLife.times(0.5) : retry;
            if (!now.since(castAt).over(due)) return;
        } else {
            host.log("vote " + verdict + " on " + offer + ", pace " + pace(now));
        }
        cast = verdict;
        castAt = now;
        castPending = true;
        castCounts = false;
        host.vote(offer.build, offer.stage, verdict);
    }

    public void voteAnswered(Reply reply) {
        castPending = false;
        castCounts = reply == Reply.COUNTS;
    }
}
