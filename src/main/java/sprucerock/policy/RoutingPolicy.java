package sprucerock.policy;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.ShadowPair;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.policy.evidence.LastVote;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.policy.evidence.RecentEndpoints;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.policy.evidence.TenantArrivals;
import sprucerock.stats.DecayingMean;
import sprucerock.stats.DecayingSum;
import sprucerock.stats.DeterministicRandom;
import sprucerock.stats.KeyedSums;
import sprucerock.stats.Proportions;
import sprucerock.stats.RelativeSlowness;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * All decisions of one relay. The host (bench adapter, later the relay) makes one Policy at start
 * and calls one method for each thing that happens; Policy acts at once through {@link
 * RelayActions}, in sprucerock.host.
 *
 * <p>The ordinary path is the design, "Shadow traffic": an idempotent RPC goes to the earlier build
 * with a copy to the build on trial; pairs are judged by failure match and one-sided KS, stage by
 * stage, and voted on. Beside the design stand six mechanisms: (1) the cold guard, (2) unit health,
 * with the loads that relays tell each other, (3) time-out and further pick under a retry budget,
 * (4) pushback under overload, (5) pinned keys, (6) evidence where pairs can't see.
 */
public final class RoutingPolicy implements RelayEvents {
  private final RelayActions host;
  private final Settings settings;
  private final DeterministicRandom chance;
  private final TreeMap<Integer, Build> builds = new TreeMap<>();
  private final Set<Integer> withdrawn = new TreeSet<>();
  // that discovery may list on
  private CanaryTrial offer;
  private RolloutState standing;
  private double cap;
  private double sharedTokens;
  private int copiesOut;
  private int singles;
  private final boolean alone;
  // neither peers nor the desk's counts add up what relays see
  private final double strays;
  // marks for one unlucky relay among all in twenty days
  private final TreeMap<Integer, DecayingMean> zonePaces = new TreeMap<>();
  private final RelativeSlowness pace;
  private final LoadReports board;
  private final RecentEndpoints met = new RecentEndpoints(8);
  private final DecayingMean noConnection = new DecayingMean(TimeSpan.ofMs(5000));
  private int hub;
  private Timestamp hubSince;
  private Timestamp loadsAt;
  private boolean sumsDue;
  private double fleetWaitMs;
  private final DecayingSum endedAnywhere = new DecayingSum(TimeSpan.ofMs(2000));

  private final DecayingSum arrivals = new DecayingSum(TimeSpan.ofMs(5000));
  private final TenantArrivals tenants;
  private final KeyedSums keyArrivals = new KeyedSums(TimeSpan.ofMs(20000), 4096);
  // of popular keys
  private final DecayingSum homeSends = new DecayingSum(TimeSpan.ofMs(3000));
  private final DecayingSum repeats = new DecayingSum(TimeSpan.ofMs(5000));
  private final DecayingSum answered = new DecayingSum(TimeSpan.ofMs(2000));
  private int timely;
  private double timelySinceMs;
  // the sum of their arrivals

  private final LastVote ballot = new LastVote();
  private Timestamp lastAsked;
  private final Timestamp started;

  public RoutingPolicy(RelayActions host, Settings settings, long seed) {
    this.host = host;
    this.settings = settings;
    chance = new DeterministicRandom(seed);
    started = host.now();
    tenants = new TenantArrivals(settings.tenantShares, TimeSpan.ofMs(5000));
    sharedTokens = settings.free;
    alone = !settings.gossip && !settings.countsEvery.over(TimeSpan.ZERO);
    strays = Math.sqrt(2 * Math.log(20 * settings.relays));
    for (Method method : settings.methods) {
      method.recentLatency = new DecayingMean(TimeSpan.ofMs(10000));
      method.recentLogLatency = new DecayingMean(TimeSpan.ofMs(20000));
      method.canaryTokens = settings.free;
    }
    pace =
        new RelativeSlowness(settings.methods.size(), 2, TimeSpan.ofMs(20000), TimeSpan.ofMs(3000));
    board = new LoadReports(TimeSpan.ofMs(4 * settings.meanLatencyObjectiveMs));
    if (settings.pollsEndpointList) {
      subscribe();
    }
    look();
  }

  public void endpointReady(Endpoint endpoint) {
    if (endpoint.relativeLatency == null) {
      endpoint.relativeLatency = new DecayingMean(TimeSpan.ofMs(4000));
    }
    endpoint.zoneRelativeLatency =
        zonePaces.computeIfAbsent(endpoint.zone, zone -> new DecayingMean(TimeSpan.ofMs(8000)));
    board.addEndpoint(endpoint);
    builds.put(endpoint.build.number, endpoint.build);
    endpoint.warmUpTokens = chance.next();
    // relays learn of a unit together: first tokens come one by one
    endpoint.warmUpTokensAt = host.now();
  }

  public void endpointDraining(Endpoint endpoint) {
    // rule 3: gets nothing new at once; no grace is used
    board.removeEndpoint(endpoint);
    if (endpoint.build.endpoints.isEmpty()) {
      builds.remove(endpoint.build.number);
    }
  }

  public void endpointListFailed() {
    // asked for again after a pause, so that a busy discovery recovers
    host.schedule(host.now().plus(TimeSpan.ofMs(500 + 500 * chance.next())), this::subscribe);
  }

  private void subscribe() {
    lastAsked = host.now();
    host.subscribe();
  }

  public void rolloutChanged(
      Build build, int stage, RolloutState newStanding, double newCap, Timestamp since) {
    if (!isOffered(build)) {
      noteWithdrawn();
      offer = new CanaryTrial(build, settings.methods.size());
    }
    if (offer.evidence == null || stage != offer.stage || newStanding != standing) {
      offer.enterStage(stage, since, newStanding == RolloutState.RELEASED);
      singles = (int) (Math.min(10, 40.0 / settings.relays) + chance.next());
      // 40 by all: each harms
      ballot.verdict = Verdict.NONE;
    }
    standing = newStanding;
    offer.seenOnTrial |= standing == RolloutState.ON_TRIAL;
    cap = newCap;
    if (standing != RolloutState.ON_TRIAL) {
      offer.stickyKeys.clear();
    }
    consider();
  }

  // A build that goes back is off trial once the next is offered, and newer than the one that
  // serves. While
  // discovery is silent its units stay listed, but they drain and stop: all traffic would go there.
  private void noteWithdrawn() {
    withdrawn.retainAll(builds.keySet());
    // no more of them than builds are listed, and one
    boolean goesBack = standing == RolloutState.GOING_BACK || standing == RolloutState.WITHDRAWN;
    if (goesBack) {
      withdrawn.add(offer.build.number);
    }
  }

  private boolean isOffered(Build build) {
    return offer != null && build.number == offer.build.number;
  }

  private boolean onTrial(Build build) {
    if (offer == null) {
      return !builds.isEmpty() && build.number > builds.firstKey();
    }
    return build.number > offer.build.number
        || isOffered(build) && standing != RolloutState.RELEASED;
  }

  /** Rule 5: a build not yet named in the news counts as in the first stage. */
  private boolean mayTry(Build build, Method method, double tokens) {
    if (offer == null) {
      return false;
    }
    double most = isOffered(build) ? cap : settings.caps.get(0);
    int stage = isOffered(build) ? offer.stage : 0;
    return most > 0
        && (settings.perMethod ? method.canaryTokens : sharedTokens) >= tokens
        && (method.idempotent() || stage >= settings.guardedStages);
  }

  private void feedTokens(Method method) {
    // rule 5: a bucket as deep as the free picks
    if (offer == null) {
      return;
    }
    boolean ended = standing == RolloutState.RELEASED || standing == RolloutState.WITHDRAWN;
    double share = (ended ? settings.caps.get(0) : cap) * (1 - 1e-6);
    sharedTokens = Math.min(settings.free, sharedTokens + share);
    method.canaryTokens = Math.min(settings.free, method.canaryTokens + share);
  }

  private Build trial() {
    // that pairs can judge now
    boolean judged =
        offer != null && standing == RolloutState.ON_TRIAL && !offer.build.endpoints.isEmpty();
    return judged ? offer.build : null;
  }

  public void rpcArrived(Rpc rpc) {
    Timestamp now = host.now();
    arrivals.add(now, 1);
    tenants.add(rpc.tenant, now);
    if (settings.oneWayKeys) {
      keyArrivals.add(rpc.key, now, 1);
    }
    feedTokens(rpc.method);
    timely++;
    timelySinceMs += now.ms();
    if (overloaded(rpc)) {
      giveUp(rpc);
    } else {
      route(rpc);
    }
  }

  private void route(Rpc rpc) {
    host.schedule(rpc, host.now().plus(rpc.method.latencyObjective), () -> settle(rpc));
    // Rule 1: two rounds before the client's own deadline, since a timer may come a round late.
    host.schedule(
        rpc,
        rpc.deadline.minus(settings.tick.times(2)),
        () -> {
          if (!rpc.streaming()) {
            giveUp(rpc);
          }
        });
    Build trial = trial();
    // Alone in place of a copy: where second copies are barred, and a few RPCs with an effect.
    Endpoint single = trial != null && maySingle(rpc, trial) ? chooseFitting(rpc, trial) : null;
    if (single != null) {
      ShadowPair pair = new ShadowPair();
      sendCopy(rpc, single, pair);
      offer.evidence.awaitingBaseline.get(rpc.method.index).add(pair);
      offer.evidence.sentAlone[rpc.method.index]++;
      return;
    }
    Endpoint home = chooseAny(rpc);
    if (home == null) {
      giveUp(rpc);
      return;
    }
    Attempt earlier = send(rpc, home, false);
    if (trial == null || home.build == trial) {
      return;
    }
    Endpoint endpoint = mayCopy(rpc, trial) ? chooseFitting(rpc, trial) : null;
    earlier.shadowPair =
        endpoint != null
            ? new ShadowPair()
            : offer.evidence.awaitingBaseline.get(rpc.method.index).poll();
    if (earlier.shadowPair == null) {
      return;
    }
    earlier.shadowPair.baseline = earlier;
    if (endpoint != null) {
      sendCopy(rpc, endpoint, earlier.shadowPair);
    }
    judge(earlier.shadowPair);
  }

  private void sendCopy(Rpc rpc, Endpoint endpoint, ShadowPair pair) {
    pair.canary = send(rpc, endpoint, true);
    pair.canary.shadowPair = pair;
    copiesOut++;
  }

  private boolean breakerOpen() {
    // the design's, and while copies are stopped
    return copiesOut >= 8 || offer.pausedAt != null;
  }

  /**
   * The design's conditions for a copy; where keys get pinned, one token stays for a pinned key's
   * RPC.
   */
  private boolean mayCopy(Rpc rpc, Build trial) {
    double tokens = Math.min(settings.oneWayKeys ? 2 : 1, settings.free);
    return rpc.method.idempotent()
        && settings.hedging
        && !breakerOpen()
        && budgetHasRoom()
        && rpc.attempts.size() < settings.maxAttempts
        && mayTry(trial, rpc.method, tokens);
  }

  private boolean maySingle(Rpc rpc, Build trial) {
    if (breakerOpen() || !mayTry(trial, rpc.method, 1) || offer.stickyKeys.containsKey(rpc.key)) {
      return false;
    }
    StageEvidence seen = offer.evidence;
    // every other one of a method at most: each has its like at the earlier build
    if (rpc.method.idempotent()) {
      return !settings.hedging && seen.isBalanced(rpc.method);
    }
    // (6) A build bad for one method with effects shows in no copy: a few such RPCs go there alone
    return offer.stage > 0 && seen.sentAlone[rpc.method.index] < singles;
  }

  /**
   * (5) An ok copy binds its key to the new build: half the cap must carry what such keys bring.
   */
  private Endpoint chooseFitting(Rpc rpc, Build trial) {
    Endpoint endpoint = chooseIn(rpc, trial);
    if (endpoint == null || !settings.oneWayKeys || rpc.key == 0) {
      return endpoint;
    }
    Timestamp now = host.now();
    double share = keyArrivals.perSecond(rpc.key, now) / Math.max(arrivals.perSecond(now), 1e-9);
    if (offer.stickyShare + share > 0.5 * cap) {
      return null;
    }
    offer.stickyShare += share;
    return endpoint;
  }

  private Attempt send(Rpc rpc, Endpoint endpoint, boolean copy) {
    Timestamp now = host.now();
    int tried = onTrial(endpoint.build) ? 1 : 0;
    sharedTokens -= tried;
    rpc.method.canaryTokens -= tried;
    homeSends.add(now, 1 - tried);
    endpoint.warmUpTokens--;
    TimeSpan overdue = overdueAfter(rpc);
    // Where one pick must end before the next, it is cut only when lost: its work so far is thrown
    // away.
    TimeSpan lost = overdue.times(2);
    boolean cut =
        !settings.hedging
            && !rpc.method.mustNotBeCutShort()
            && rpc.attempts.size() + 1 < settings.maxAttempts
            && rpc.deadline.since(now).over(lost.times(1.5));
    Attempt attempt = new Attempt(rpc, endpoint, now, cut ? lost : null);
    attempt.shadow = copy;
    // rule 2: a repeat that waits for a connection must not come up after its window
    Attempt first = rpc.firstThatMayHaveRun();
    boolean binds = first != null && rpc.method.idempotency == Method.Idempotency.KEYED;
    attempt.writeBy = binds ? first.sent.plus(rpc.method.keyLifetime).minus(settings.tick) : null;
    host.send(attempt);
    report(endpoint, null);
    host.schedule(attempt, now.plus(overdue), () -> overdue(attempt));
    return attempt;
  }

  /**
   * (3) At thrice the method's mean, which grows as all slows; at 0.45 another can still be in
   * time.
   */
  private TimeSpan overdueAfter(Rpc rpc) {
    TimeSpan usual = TimeSpan.ofMs(3 * usualMs(rpc.method)).atLeast(rpc.hintedWork().times(3));
    return rpc.method.latencyObjective.times(0.45).atLeast(usual);
  }

  private double usualMs(Method method) {
    return method.recentLatency.at(host.now(), method.latencyObjective.ms() / 6, 1);
    // a guess until answers come
  }

  /**
   * Silence, no answer from the unit since: it is marked and, where copies may run, picked past.
   */
  private void overdue(Attempt attempt) {
    attempt.overdue = true;
    boolean silent =
        attempt.endpoint.lastAnsweredAt == null
            || attempt.sent.after(attempt.endpoint.lastAnsweredAt);
    if (silent) {
      note(attempt.endpoint, false);
    }
    attempt.endpoint.relativeLatency.add(host.now(), 3);
    attempt.endpoint.zoneRelativeLatency.add(host.now(), 3);
    if (attempt.shadowPair != null) {
      judge(attempt.shadowPair);
    }
    if (silent && settings.hedging && attempt.rpc.inFlight() == 1) {
      tryAgain(attempt.rpc);
    }
  }

  private boolean budgetHasRoom() {
    // one in twenty: enough to find a lost unit, no storm
    return repeats.at(host.now()) < 1 + 0.05 * arrivals.at(host.now());
  }

  private boolean mayRepeat(Rpc rpc) {
    // rule 2
    boolean barred =
        !settings.hedging && rpc.inFlight() > 0 || rpc.attempts.size() >= settings.maxAttempts;
    if (rpc.ended() || rpc.streaming() || barred) {
      return false;
    }
    Attempt first = rpc.firstThatMayHaveRun();
    if (first == null || rpc.method.idempotent()) {
      return true;
    }
    return rpc.method.idempotency == Method.Idempotency.KEYED
        && rpc.method.keyLifetime.minus(settings.tick).over(host.now().since(first.sent));
  }

  private boolean tryAgain(Rpc rpc) {
    boolean late = settings.tick.times(4).over(rpc.deadline.since(host.now()));
    if (late || !mayRepeat(rpc) || !budgetHasRoom()) {
      return false;
    }
    Endpoint endpoint = chooseAny(rpc);
    if (endpoint == null) {
      return false;
    }
    repeats.add(host.now(), 1);
    send(rpc, endpoint, false);
    return true;
  }

  public void streamStarted(Attempt attempt) {
    settle(attempt.rpc);
  }

  /** A pick ended; {@code answers} says that it ended its RPC too. */
  public void attemptEnded(Attempt attempt, boolean answers) {
    Timestamp now = host.now();
    Rpc rpc = attempt.rpc;
    boolean ok = attempt.outcome() == AttemptOutcome.OK;
    if (answers) {
      settle(rpc);
    }
    if (answers && ok) {
      answered.add(now, 1);
    }
    if (attempt.shadow) {
      copiesOut--;
    }
    report(attempt.endpoint, now.since(attempt.sent));
    boolean tells =
        attempt.outcome() != AttemptOutcome.CANCELLED && attempt.outcome() != AttemptOutcome.MOOT;
    if (tells && (ok || !attempt.overdue)) {
      note(attempt.endpoint, ok);
    }
    if (ok || attempt.answeredWithError()) {
      attempt.endpoint.lastAnsweredAt = now;
    }
    noConnection.add(now, attempt.outcome() == AttemptOutcome.NOT_CONNECTED ? 1 : 0);
    if (ok) {
      met.add(attempt.endpoint);
    }
    if (attempt.outcome() == AttemptOutcome.NOT_CONNECTED
        || attempt.outcome() == AttemptOutcome.BROKEN) {
      met.remove(attempt.endpoint);
    }
    if (ok || attempt.outcome() == AttemptOutcome.TIMED_OUT) {
      learnPace(attempt);
    }
    if (isOffered(attempt.endpoint.build)) {
      offer.errorSeen |= attempt.answeredWithError();
      if (standing == RolloutState.RELEASED) {
        offer.evidence.attemptEnded(attempt);
      }
      boolean binds = standing == RolloutState.ON_TRIAL && settings.oneWayKeys && rpc.key != 0;
      if (ok && binds) {
        offer.stickyKeys.put(rpc.key, offer.build);
      }
    }
    if (attempt.shadowPair != null) {
      judge(attempt.shadowPair);
    }
    if (!rpc.ended() && !rpc.streaming() && rpc.inFlight() == 0 && !tryAgain(rpc)) {
      giveUp(rpc);
    }
  }

  public void clientDisconnected(Rpc rpc) {
    settle(rpc);
    cancelOut(rpc);
  }

  /**
   * The final answer once nothing more can be done; at once, so that the client can use its time.
   */
  private void giveUp(Rpc rpc) {
    settle(rpc);
    if (rpc.firstThatMayHaveRun() == null || rpc.method.repeatableAnywhere()) {
      // half a soft deadline: about what a queue that long needs to drain
      TimeSpan wait = rpc.method.latencyObjective.times(0.5).atMost(settings.maxRetryAfter);
      host.reject(rpc, settings.retryAfter ? wait : TimeSpan.ZERO);
    } else {
      host.fail(rpc);
    }
    cancelOut(rpc);
  }

  private void cancelOut(Rpc rpc) {
    if (!settings.cancellation) {
      return;
    }
    for (Attempt attempt : rpc.attempts) {
      if (attempt.outcome() == null && attempt.shadowPair == null) {
        host.cancel(attempt);
      }
    }
  }

  private void settle(Rpc rpc) {
    // no longer in the queue: answered, or past its soft deadline
    if (!rpc.settled) {
      timely--;
      timelySinceMs -= rpc.arrived.ms();
    }
    rpc.settled = true;
  }

  // (4) Little's law: RPCs out and not yet late, over answers a second, is the wait that a new one
  // faces;
  // past its mark it is pushed back unseen. Guards against bursts, slow dependencies and lost units
  // alike;
  // a few stuck RPCs cannot keep the door shut. A relay that sees too little goes by the fleet's
  // wait, if
  // told.
  private boolean overloaded(Rpc rpc) {
    Timestamp now = host.now();
    double queue = timely - 3;
    // three more is chance
    double waitMs = 1000 * queue / Math.max(answered.perSecond(started, now), 0.5);
    // Answers lag behind traffic that has just come; but who waits long is also old: in a queue of
    // W the
    // RPCs are W/2 old. Guards against doors shut on a relay that starts, or whose traffic comes
    // back.
    waitMs = Math.min(waitMs, 2 * (now.ms() - timelySinceMs / Math.max(timely, 1)));
    boolean byFleet = loadsFresh() && arrivals.perSecond(now) < 10;
    double worth = rpc.method.priorityWeight / settings.maxPriorityWeight;
    double over = tenants.timesShare(rpc.tenant, now);
    // of a customer at thrice its share, two RPCs in three are over it
    if (over > 1.2 && chance.next() > 1 / over) {
      worth *= settings.overQuotaWeight;
    }
    // what is left must hold the long tail; the fleet's wait holds the work itself
    return byFleet
        ? chance.next() > 0.05
            && fleetWaitMs > settings.meanLatencyObjectiveMs * (0.4 + 0.3 * worth)
        : waitMs > settings.meanLatencyObjectiveMs * (0.25 + 0.3 * worth);
  }

  /**
   * Of the newest build not on trial, else of an earlier one, else of one on trial or withdrawn.
   */
  private Endpoint chooseAny(Rpc rpc) {
    Endpoint endpoint = choose(rpc, false);
    return endpoint != null ? endpoint : choose(rpc, true);
  }

  private Endpoint choose(Rpc rpc, boolean trialToo) {
    boolean keyed = offer != null && settings.oneWayKeys && rpc.key != 0;
    // once released, a build has every key: earlier units may be listed before news that it goes
    // back
    Build pin =
        !keyed
            ? null
            : standing == RolloutState.RELEASED ? offer.build : offer.stickyKeys.get(rpc.key);
    Endpoint endpoint = null;
    for (Build build : builds.descendingMap().values()) {
      if (endpoint != null || pin != null && build.number < pin.number) {
        break;
      }
      boolean mayUse = trialToo || pin != null && build.number == pin.number;
      boolean mayServe =
          onTrial(build)
              ? mayUse && mayTry(build, rpc.method, 1)
              : trialToo || !withdrawn.contains(build.number);
      if (mayServe) {
        endpoint = chooseIn(rpc, build);
      }
    }
    return endpoint;
  }

  private Endpoint chooseIn(Rpc rpc, Build build) {
    Timestamp now = host.now();
    Attempt first = rpc.firstThatMayHaveRun();
    boolean mayLook = rpc.method.idempotent() && rpc.attempts.isEmpty();
    Endpoint one = null;
    Endpoint rest = null;
    // no scan of a large fleet: 24 draws miss the usable third of a build once in 17,000 times
    // Where connections fail, units that answered lately come first: their connections are open.
    List<Endpoint> open =
        noConnection.at(now, 0, 2) > 0.15 ? met.ofBuild(build, chance.next()) : List.of();
    for (int i = 0; i < open.size() + Math.min(build.endpoints.size(), 24); i++) {
      Endpoint endpoint =
          i < open.size() ? open.get(i) : build.draw(i - open.size(), chance.next());
      if (!mayTake(rpc, first, endpoint, now)) {
        continue;
      }
      if (sick(endpoint) && mayLook && now.after(endpoint.retryAt) && budgetHasRoom()) {
        endpoint.retryAt = now.plus(TimeSpan.ofMs(1000));
        // a look a second shows recovery at little cost
        repeats.add(now, 1);
        return endpoint;
      }
      if (sick(endpoint) || farOff(endpoint)) {
        rest = endpoint;
      } else if (one == null) {
        one = endpoint;
      } else {
        return sparingly(rpc, first, cost(one) <= cost(endpoint) ? one : endpoint, now);
        // two choices
      }
    }
    return one != null ? one : rest;
  }

  private boolean mayTake(Rpc rpc, Attempt first, Endpoint endpoint, Timestamp now) {
    if (first != null && !rpc.method.dropsRepeats(first.endpoint, endpoint)) {
      return false;
    }
    return !rpc.triedAt(endpoint) && hasRoom(endpoint, now);
  }

  // A new connection costs its unit a handshake. Where hundreds of relays see little each, most
  // units drawn
  // are ones that this relay has no connection to: one that answered lately and is no dearer stands
  // in for
  // it. Not on trial, where pairs shall meet many units.
  private Endpoint sparingly(Rpc rpc, Attempt first, Endpoint drawn, Timestamp now) {
    if (connected(drawn, now) || onTrial(drawn.build)) {
      return drawn;
    }
    for (Endpoint endpoint : met.ofBuild(drawn.build, chance.next())) {
      boolean well = connected(endpoint, now) && !sick(endpoint) && !farOff(endpoint);
      if (well && mayTake(rpc, first, endpoint, now) && cost(endpoint) <= cost(drawn)) {
        return endpoint;
      }
    }
    return drawn;
  }

  private boolean connected(Endpoint endpoint, Timestamp now) {
    // by half the idle time neither end has closed it
    return endpoint.lastAnsweredAt != null
        && settings.idleTimeout.times(0.5).over(now.since(endpoint.lastAnsweredAt));
  }

  private boolean farOff(Endpoint endpoint) {
    // a slow or lossy link: about twice the own zone's times
    if (endpoint.zone == settings.zone || !zonePaces.containsKey(settings.zone)) {
      return false;
    }
    Timestamp now = host.now();
    return endpoint.zoneRelativeLatency.at(now, 1, 1)
        > 1.8 * zonePaces.get(settings.zone).at(now, 1, 1);
  }

  private double cost(Endpoint endpoint) {
    double far = endpoint.zone == settings.zone ? 1 : 1.1;
    // a tie goes to the relay's own zone
    int out =
        endpoint.reportedAt == loadsAt && loadsFresh()
            ? Math.max(endpoint.inFlight(), endpoint.reportedInFlight)
            : endpoint.inFlight();
    double load = 1 + out / Math.max(endpoint.weight(), 0.1);
    return load
        * endpoint.relativeLatency.at(host.now(), 1, 2)
        * (1 + endpoint.failedResults(6))
        * far;
  }

  /**
   * (2) By the successes among its last six outcomes: under half of at least three, it is left
   * alone.
   */
  private static boolean sick(Endpoint endpoint) {
    return endpoint.knownResults(6) >= 3
        && 2 * endpoint.failedResults(6) > endpoint.knownResults(6);
  }

  private void note(Endpoint endpoint, boolean ok) {
    boolean before = sick(endpoint);
    endpoint.recordResult(ok);
    if (!before && sick(endpoint)) {
      endpoint.retryAt = host.now().plus(TimeSpan.ofMs(1000));
    }
  }

  private void learnPace(Attempt attempt) {
    Timestamp now = host.now();
    Method method = attempt.rpc.method;
    double ms = Math.max(attempt.latency().ms(), 1);
    double times = Math.min(ms / usualMs(method), 8);
    attempt.endpoint.relativeLatency.add(now, times);
    attempt.endpoint.zoneRelativeLatency.add(now, times);
    double log = Math.log(ms / Math.max(attempt.rpc.hintedWork().ms(), 1));
    if (onTrial(attempt.endpoint.build)) {
      // younger ones look slow for being cold
      if (!isOffered(attempt.endpoint.build)
          || !attempt.endpoint.olderThan(TimeSpan.ofMs(5000), now)) {
        return;
      }
      offer.logExcess.add(now, log - method.recentLogLatency.at(now, log, 1e-9));
      return;
    }
    method.recentLatency.add(now, ms);
    method.recentLogLatency.add(now, log);
    seePace(0, method, Math.exp(log), 1);
  }

  private void seePace(int source, Method method, double ms, double weight) {
    Timestamp now = host.now();
    if (!longerThan(2000, started, now)) {
      return;
      // a fleet that just woke has no queues yet
    }
    boolean before = !watched(now) || offer.stage == 0;
    // a first stage's few picks slow nothing much
    if (before) {
      pace.addBaseline(source, method.index, ms, weight, now);
    } else {
      pace.add(source, method.index, ms, weight, now);
    }
  }

  // (1) Rule 4. A cold unit gets of this relay what a warm one of its size gets, times the share
  // that it
  // surely has by now, times 0.8 so that no queue builds up. Warm units carry what they can, so the
  // sum
  // over relays is within the budget, however uneven they are. On trial it holds for warm ones too:
  // like
  // loads.
  private boolean hasRoom(Endpoint endpoint, Timestamp now) {
    if (!onTrial(endpoint.build) && endpoint.olderThan(settings.warmUp, now)) {
      return true;
    }
    double all = 0;
    double warm = 0;
    for (Build build : builds.values()) {
      build.refreshWeights(settings.warmUp, TimeSpan.ofMs(500), now);
      // no scan for each pick
      all += build.weight;
      if (!onTrial(build)) {
        warm += build.weightOfOlder;
      }
    }
    double carried =
        homeSends.perSecond(now) * endpoint.weight() / Math.max(warm > 0 ? warm : all, 0.1);
    double age =
        endpoint.started == null
            ? 1
            : Math.max(0, now.since(endpoint.started).per(settings.warmUp));
    double share = settings.startShare + (1 - settings.startShare) * Math.min(1, age);
    double perSecond = Math.min(0.5 * settings.tipMultiple, 0.8) * share * carried;
    double most = Math.max(1, 0.5 * perSecond * settings.tipAfter.ms() / 1000);
    endpoint.warmUpTokens =
        Math.min(
            endpoint.warmUpTokens + perSecond * now.since(endpoint.warmUpTokensAt).ms() / 1000,
            most);
    endpoint.warmUpTokensAt = now;
    return endpoint.warmUpTokens >= 1;
  }

  private void judge(ShadowPair pair) {
    Attempt fresh = pair.canary;
    Attempt earlier = pair.baseline;
    if (pair.judged || earlier == null) {
      return;
    }
    // an overdue one beside one that is done would be seen too late: it counts as that slow
    if (fresh.outcome() == null && (!fresh.overdue || earlier.outcome() == null)) {
      return;
    }
    if (earlier.outcome() == null && !earlier.overdue) {
      return;
    }
    pair.judged = true;
    // Full, out of reach, called off or cut off says nothing of a build; time-outs are slowness,
    // for KS.
    if (trial() != fresh.endpoint.build || fresh.voidsPair() || earlier.voidsPair()) {
      return;
    }
    StageEvidence seen = offer.evidence;
    seen.pairs++;
    boolean few = fresh.endpoint.build.endpoints.size() < 3;
    // else one unit gives two mismatches at most
    boolean freshOnly = fresh.answeredWithError() && !earlier.answeredWithError();
    if (freshOnly && (++fresh.endpoint.excess <= 2 || few)) {
      seen.canaryFailed(fresh.endpoint);
    }
    if (earlier.answeredWithError() && !fresh.answeredWithError()) {
      seen.baselineFailures++;
    }
    Timestamp now = host.now();
    TimeSpan settled = TimeSpan.ofMs(5000);
    // the design's age, under which copies look slow for being cold
    boolean alike =
        fresh.endpoint.kind == earlier.endpoint.kind
            && !fresh.answeredWithError()
            && !earlier.answeredWithError()
            && fresh.endpoint.olderThan(settled, now)
            && earlier.endpoint.olderThan(settled, now);
    int n = alike ? seen.addTimes(tookOf(fresh, now), tookOf(earlier, now)) : 0;
    boolean test = n == 20 || n == 40 || n == 80;
    seen.slowerByTimes |= test && seen.slowerSide() > Math.max(0.25, 1.63 * Math.sqrt(2.0 / n));
    consider();
  }

  private double tookOf(Attempt attempt, Timestamp now) {
    return attempt.latency(now).ms()
        / (attempt.rpc.workHint != null ? attempt.rpc.workHint.ms() : usualMs(attempt.rpc.method));
  }

  // (6) The release desk's counts show builds bad for methods that are never copied, and quiet
  // relays the
  // pace of the earlier build. They hold time-outs too: errors that picks or pairs showed must bear
  // them
  // out.
  public void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean) {
    if (!onTrial(build) && quiet() && attempts > failed) {
      seePace(1, method, mean.ms(), attempts - failed);
    }
    if (offer == null || build.number > offer.build.number) {
      return;
    }
    double[] fresh = offer.canaryCounts[method.index];
    double[] earlier = offer.baselineCounts[method.index];
    double[] counts = isOffered(build) ? fresh : earlier;
    counts[0] += attempts;
    counts[1] += failed;
    boolean released = standing == RolloutState.RELEASED;
    int lead = offer.failureLead();
    boolean led = settings.gossip ? lead > 0.01 * offer.pooledCounts()[0] : offer.errorSeen;
    if (fresh[0] < 12
        || fresh[1] < 3
        || !(released ? offer.evidence.errorsAfterRelease > 2 : led)) {
      return;
    }
    // 3.5 standard errors: one look in 4,000 by chance; once released a fifth of units may fail
    // anyway
    double mark = 3.5 * Proportions.error(fresh[1], fresh[0], earlier[1], earlier[0]);
    double excess = fresh[1] / fresh[0] - earlier[1] / Math.max(earlier[0], 1);
    offer.evidence.worseByCounts |= excess > Math.max(released ? 0.25 : 0.05, mark);
    consider();
  }

  private boolean quiet() {
    // sees too few RPCs to judge a fleet by itself within some seconds
    return settings.countsEvery.over(TimeSpan.ZERO) && arrivals.perSecond(host.now()) < 10;
  }

  /**
   * A wrong answer that a client reported stands as a failed copy beside an ok primary, or the
   * reverse.
   */
  public void answerReportedWrong(Endpoint endpoint) {
    if (offer == null) {
      return;
    }
    if (isOffered(endpoint.build)) {
      offer.evidence.canaryFailed(endpoint);
    } else {
      offer.evidence.baselineFailures++;
    }
    consider();
  }

  /**
   * A sign makes a sick unit worth its look at once; silence counts like that of a pick, so three
   * in a row leave it alone.
   */
  public void healthChecked(Endpoint endpoint, boolean answered) {
    if (!answered) {
      note(endpoint, false);
    } else if (sick(endpoint)) {
      endpoint.retryAt = host.now();
    }
  }

  public void peerMessageReceived(int sender, byte[] contents) {
    if (contents.length < 2) {
      return;
    }
    if (contents[0] == LoadReports.ATTEMPT && contents.length == 4) {
      added(contents);
    } else if (contents[0] == LoadReports.LOADS) {
      loadsTold(sender, contents);
    } else if (offer != null && contents.length == 8) {
      offer.receiveReport(sender, contents);
      consider();
    }
  }

  // Quiet relays see no queue of a unit. So each tells one relay of its picks as they start and
  // end, and
  // that one tells all, four times a second, which units hold two or more, and the fleet's wait.
  // Where it
  // is silent the next one is told; the lowest is believed. With all messages lost, own picks must
  // do.
  private void report(Endpoint endpoint, TimeSpan endedAt) {
    if (!settings.gossip) {
      return;
    }
    Timestamp now = host.now();
    if (hubSince == null) {
      hubSince = now;
    }
    if (longerThan(2000, hubSince, now)) {
      hubSince = now;
      hub = (hub + 1) % settings.relays;
    }
    byte[] told = board.encodeAttempt(endpoint, endedAt);
    if (hub == settings.index) {
      added(told);
    } else {
      host.sendToPeer(hub, told);
    }
  }

  private void added(byte[] told) {
    Timestamp now = host.now();
    if (board.applyAttempt(told, now)) {
      endedAnywhere.add(now, 1);
    }
    if (sumsDue) {
      return;
    }
    sumsDue = true;
    host.schedule(
        now.plus(TimeSpan.ofMs(250)),
        () -> {
          sumsDue = false;
          Timestamp at = host.now();
          double waitMs =
              1000 * board.outstanding(at) / Math.max(endedAnywhere.perSecond(started, at), 1);
          byte[] loads = board.encodeLoads(2, waitMs / settings.meanLatencyObjectiveMs, at);
          host.sendToPeers(loads);
          loadsTold(settings.index, loads);
        });
  }

  private void loadsTold(int sender, byte[] told) {
    if (sender > hub && loadsFresh()) {
      return;
    }
    hub = sender;
    hubSince = host.now();
    loadsAt = hubSince;
    fleetWaitMs = board.applyLoads(told, loadsAt) * settings.meanLatencyObjectiveMs;
  }

  private boolean loadsFresh() {
    return loadsAt != null && !longerThan(1000, loadsAt, host.now());
  }

  private boolean slowed(Timestamp now) {
    // by half and thrice what chance gives; logarithms stray by 0.9
    double count = pace.weight(now);
    return count >= 2 && pace.mean(now) > Math.max(0.4, 2.7 / Math.sqrt(count));
  }

  // A build may slow old and new units alike, and then every pair matches. So where the earlier
  // build runs
  // slower than before the offer, copies stop for a while: if the pace comes back, and goes again
  // as copies
  // do, it follows exposure and the build is to blame; else the build is excused until the pace is
  // good.
  // All relays see the same, so they stop together. Harms where an outside slowdown comes in step.
  private void watchPace(Timestamp now) {
    if (pace.mean(now) < 0.2) {
      offer.slowSince = null;
      offer.slowdownExcused = false;
      if (offer.pausedAt != null && now.since(offer.pausedAt).over(TimeSpan.ofMs(500))) {
        offer.pausedAt = null;
        offer.resumedAt = now;
      }
    } else if (offer.slowSince == null && slowed(now)) {
      offer.slowSince = now;
    }
    if (offer.pausedAt == null && !offer.slowdownExcused && longerThan(700, offer.slowSince, now)) {
      if (offer.resumedAt != null && !longerThan(5000 + lagMs(), offer.resumedAt, now)) {
        offer.slowdownsBlamed++;
      }
      offer.pausedAt = now;
    }
    if (longerThan(5000 + lagMs(), offer.pausedAt, now)) {
      // twice what a queue needs to drain
      offer.pausedAt = null;
      offer.slowdownExcused = true;
    }
  }

  private boolean paceLost(Timestamp now) {
    // at the build, against the earlier one by method
    double count = offer.logExcess.count(now);
    double mark = Math.max(0.5, strays * 0.9 / Math.sqrt(count));
    return count >= 4 && offer.logExcess.at(now, 0, 1e-9) > mark;
  }

  private static boolean longerThan(double ms, Timestamp since, Timestamp now) {
    return since != null && now.since(since).over(TimeSpan.ofMs(ms));
  }

  private double lagMs() {
    // how late counts tell of a change: a period to fill, one to come
    return quiet() ? 2 * settings.countsEvery.ms() : 0;
  }

  private boolean inDoubt(Timestamp now) {
    return offer.pausedAt != null
        || offer.slowSince != null && !offer.slowdownExcused
        || offer.resumedAt != null && !longerThan(3000 + lagMs(), offer.resumedAt, now);
  }

  /**
   * After the release: failures on many units, or a pace that is gone for longer than most bursts
   * last.
   */
  private boolean failsAfterRelease(Timestamp now) {
    StageEvidence seen = offer.evidence;
    if (pace.mean(now) < 0.6 || !slowed(now)) {
      offer.lostPaceSeconds = 0;
    } else if (offer.lostPaceAsOf != null) {
      offer.lostPaceSeconds += pace.mean(now) * now.since(offer.lostPaceAsOf).ms() / 1000;
    }
    offer.lostPaceAsOf = now;
    // more than a fifth of the units that fail for other reasons; or a few errors on most units
    boolean share =
        alone
            && seen.failingAfterRelease >= 3
            && seen.errorsAfterRelease > Math.max(3, 0.25 * seen.attemptEnded);
    boolean many =
        seen.failingAfterRelease >= Math.max(3, 0.6 * offer.build.endpoints.size())
            && seen.errorsAfterRelease >= 5;
    return share
        || many && seen.errorsAfterRelease > 0.02 * seen.attemptEnded
        || offer.lostPaceSeconds > (quiet() ? 4 : 6);
  }

  private void look() {
    Timestamp now = host.now();
    if (settings.pollsEndpointList && now.since(lastAsked).over(settings.pollWithin.times(0.5))) {
      subscribe();
    }
    consider();
    // (6) peers tell each other their pairs, twice a second at most, and add them up
    boolean news = settings.gossip && trial() != null && !offer.evidence.isReported();
    if (news && (offer.reportSentAt == null || longerThan(500, offer.reportSentAt, now))) {
      offer.reportSentAt = now;
      host.sendToPeers(offer.evidence.encodeReport(offer.build.number, offer.stage));
    }
    host.schedule(now.plus(TimeSpan.ofMs(100)), this::look);
    // well under a stage's shortest time
  }

  private boolean watched(Timestamp now) {
    // for 15 s after release all traffic shows what it shows
    boolean released = standing == RolloutState.RELEASED && offer.seenOnTrial;
    return standing == RolloutState.ON_TRIAL
        || released && !longerThan(15000 + lagMs(), offer.since, now);
  }

  private void consider() {
    Timestamp now = host.now();
    boolean released = standing == RolloutState.RELEASED;
    if (!watched(now)) {
      return;
    }
    StageEvidence seen = offer.evidence;
    int[] pooled = offer.pooledCounts();
    int lead = offer.failureLead();
    // Three to none is enough, ten to three is not; one sick unit of several is no sick build.
    boolean spread = offer.failingEndpoints() >= Math.min(2, offer.build.endpoints.size());
    double few = alone ? strays / 2 : 1.5;
    boolean failing =
        spread && lead >= 3 && lead > 0.01 * pooled[0] && lead > few * offer.leadDeviation()
            || spread
                && lead > 0
                && lead + offer.carriedLead
                    >= Math.max(5, few * (offer.leadDeviation() + offer.carriedDeviation));
    if (!released) {
      watchPace(now);
    }
    boolean blamed = offer.slowdownsBlamed > (quiet() ? 0 : 1);
    // the desk's counts stray less than own picks
    boolean proven =
        failing || blamed || seen.slowerByTimes || seen.worseByCounts || alone && paceLost(now);
    if (proven || released && failsAfterRelease(now)) {
      vote(Verdict.BACK);
    } else if (!released && settings.control == Settings.Control.CLOCKED) {
      if (lead > 0 || inDoubt(now)) {
        vote(Verdict.HOLD);
      } else if (ballot.verdict != Verdict.NONE) {
        vote(Verdict.NONE);
      }
    } else if (!released && !inDoubt(now) && mayMoveOn(now)) {
      vote(Verdict.ON);
    }
  }

  // After 20 pairs or at the fallback age. Where one vote moves the stage, relays that saw little
  // leave it
  // to others for two seconds more; the last stage waits for a KS test or many pairs, or three
  // seconds
  // more.
  private boolean mayMoveOn(Timestamp now) {
    StageEvidence seen = offer.evidence;
    boolean single = settings.control == Settings.Control.SINGLE;
    int pairs = offer.pooledCounts()[0];
    boolean last = offer.stage == settings.caps.size() - 1;
    boolean untested = single && last && seen.timedPairs < 20 && pairs < 100;
    double fallback = untested ? 6000 : single && pairs < 5 ? 5000 : 3000;
    // alone, the busiest of many relays must see enough first
    if (single && alone) {
      fallback *= Math.max(1, Math.min(3, Math.log(settings.relays) / Math.log(16)));
    }
    // by the start times in the list; while the new units of a stage are not listed, none up to 8 s
    TimeSpan known = now.since(offer.since);
    Timestamp newest = offer.build.newestStart();
    boolean missing =
        newest == null || offer.since.after(newest) && TimeSpan.ofMs(8000).over(known);
    boolean old = !missing && now.since(newest).atMost(known).over(TimeSpan.ofMs(fallback));
    return pairs >= 20 && !untested || old;
  }

  /**
   * Votes expire, get lost or come early: cast anew at half their life, soon where one did not
   * count.
   */
  private void vote(Verdict verdict) {
    Timestamp now = host.now();
    boolean anew = verdict != ballot.verdict;
    TimeSpan renew = settings.voteLifetime.times(0.5);
    if (!anew && !ballot.isDue(renew, settings.callTimeout, TimeSpan.ofMs(300), now)) {
      return;
    }
    boolean told = anew && (verdict != Verdict.ON || settings.index == 0);
    // hundreds say the same
    if (told) {
      host.log("vote " + verdict + " on " + offer + ", pace " + pace.mean(now));
    }
    ballot.recordCast(verdict, now);
    host.vote(offer.build, offer.stage, verdict);
  }

  public void voteAnswered(VoteReply reply) {
    ballot.recordReply(reply);
  }
}
