package sprucerock.lease;

import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One process's side of one lease: asks all granters, holds it while a majority granted it in one
 * round, asks again in time, and gives it back. It counts its time from before it asked, by its own
 * clock, shortened by what clocks may differ; so it stops before any granter can give it to
 * another. Whether it holds is asked at the last instant, through {@link LeaseCheck}.
 */
class LeaseClient {
  /** What it can do; messages may get lost. */
  interface Transport {
    void request(int granter, String name, long number, long round);

    /** {@code heir}: who is to have it next; -1: anybody. */
    void release(int granter, String name, long number, int heir);

    void acquired(String name, long number);

    void lost(String name, long number, String why);
  }

  private static final int NUMBER_BITS =
      16; // of a lease's number: who chose it; the rest counts up
  // Of the usable term. Renewed after a third, with up to a sixth of chance, so that a fleet's
  // renewals spread and two lost rounds
  // still leave a third one; an answer is waited for a sixth, far over a round trip wherever a term
  // makes sense.
  private static final double RENEW = 1.0 / 3;
  private static final double SPREAD = 1.0 / 6;
  private static final double PATIENCE = 1.0 / 6;
  private static final int MOST_DOUBLINGS = 4;

  private final String name;
  private final LeaseTerms terms;
  private final Transport host;
  private final DoubleSupplier chance;
  private final int me;
  private final long incarnation;

  private boolean wanted;
  private long token; // 0: none is asked for
  private long round;
  private Timestamp askedAt;
  private long granters; // of this round, as bits
  private long refusers;
  private TimeSpan shortest; // what they said is left
  private boolean inTheWay; // somebody else has it, so that asking sooner is of no use
  private Timestamp until; // null: not held
  private Timestamp nextTick; // null: nothing is to be done by time
  private long seen;
  private int fails;

  /**
   * {@code me}: its number in the fleet, 0 to 65535; {@code life}: another one with each start of
   * the process.
   */
  LeaseClient(
      String name, LeaseTerms terms, Transport host, DoubleSupplier chance, int me, long life) {
    if (me < 0 || me >= 1 << NUMBER_BITS) {
      throw new IllegalArgumentException("a candidate's number is 0 to 65535, not " + me);
    }
    this.name = name;
    this.terms = terms;
    this.host = host;
    this.chance = chance;
    this.me = me;
    this.incarnation = life;
  }

  /** All that the other one knows, so that a search can go on from there more than once. */
  void copyStateFrom(LeaseClient other) {
    wanted = other.wanted;
    token = other.token;
    round = other.round;
    askedAt = other.askedAt;
    granters = other.granters;
    refusers = other.refusers;
    shortest = other.shortest;
    inTheWay = other.inTheWay;
    until = other.until;
    nextTick = other.nextTick;
    seen = other.seen;
    fails = other.fails;
  }

  /** All that it knows but for which granters said what: {@link #has}. */
  String stateWithoutVotes() {
    return name
        + " by "
        + me
        + (wanted ? "" : ", not wanted")
        + ", number "
        + token
        + ", round "
        + round
        + " of "
        + askedAt
        + ", "
        + shortest
        + (inTheWay ? " in the way" : "")
        + ", until "
        + until
        + ", due "
        + nextTick
        + ", seen "
        + seen
        + ", fails "
        + fails;
  }

  /** What a granter said in this round: 1 that it is granted, 2 that it isn't, 0 nothing. */
  int voteOf(int granter) {
    return (int) (granters >> granter & 1 | (refusers >> granter & 1) << 1);
  }

  String name() {
    return name;
  }

  long incarnation() {
    return incarnation;
  }

  /** It is to be had from now on. {@code floorMs}: see {@link #fresh}. */
  void acquire(Timestamp now, long floorMs) {
    if (wanted) {
      return;
    }
    wanted = true;
    ask(now, floorMs);
  }

  /**
   * It is given back, if it is held, and not asked for any more; {@code heir}: who is to have it
   * next, -1: anybody.
   */
  void release(int heir) {
    wanted = false;
    nextTick = null;
    drop("left", heir);
  }

  boolean wanted() {
    return wanted;
  }

  /**
   * A number higher than all that were seen, ending in whose it is, so that no two candidates can
   * ask under one. Granters forget numbers when they start anew; so it is not below the wall's
   * clock either, where {@code floorMs} tells it. A wall clock that is wrong costs nothing but
   * numbers: nobody's safety hangs on it while one granter of a majority remembers.
   */
  private long fresh(long floorMs) {
    return Math.max((seen >>> NUMBER_BITS) + 1, floorMs) << NUMBER_BITS | me;
  }

  private void ask(Timestamp now, long floorMs) {
    token = fresh(floorMs);
    seen = token;
    round(now);
  }

  private void round(Timestamp now) {
    round++;
    askedAt = now;
    granters = 0;
    refusers = 0;
    shortest = null;
    inTheWay = false;
    nextTick = now.plus(terms.usableTerm().times(PATIENCE));
    for (int each = 0; each < terms.grantors(); each++) {
      host.request(each, name, token, round);
    }
  }

  void granted(int granter, long ofNumber, long ofRound, Timestamp now) {
    if (ofNumber
        != token) { // of a number that was given up; what told the granter so may have been lost
      host.release(granter, name, ofNumber, -1);
      return;
    }
    if (!isCurrentRound(ofRound)) {
      return;
    }
    granters |= 1L << granter;
    if (Long.bitCount(granters) < requiredGrants()) {
      return;
    }
    Timestamp end = termStart(now).plus(usableTerm());
    if (!end.after(now)) {
      return; // so late that it is over; the round ends by its patience
    }
    boolean first = until == null;
    until = end;
    fails = 0;
    nextTick =
        askedAt.plus(terms.usableTerm().times(RENEW + SPREAD * chance.getAsDouble())).later(now);
    if (first) {
      host.acquired(name, token);
    }
  }

  void rejected(
      int granter,
      long ofNumber,
      long ofRound,
      long highest,
      TimeSpan left,
      boolean held,
      Timestamp now) {
    seen = Math.max(seen, highest);
    if (ofNumber != token || ofRound != round) {
      return;
    }
    refusers |= 1L << granter;
    shortest = shortest == null ? left : shortest.atMost(left);
    inTheWay |= held;
    if (until == null && Long.bitCount(refusers) > terms.grantors() - terms.quorum()) {
      fail(now);
    }
  }

  // What keeps two from holding it stands alone, so that tests can take it out and show that their
  // checker finds it missing.

  /** An answer to an earlier round says nothing of when this one began. */
  boolean isCurrentRound(long ofRound) {
    return ofRound == round;
  }

  int requiredGrants() {
    return terms.quorum();
  }

  /**
   * The moment from which the term counts: nobody knows when a granter began to count, but not
   * before it was asked.
   */
  Timestamp termStart(Timestamp now) {
    return askedAt;
  }

  TimeSpan usableTerm() {
    return terms.usableTerm();
  }

  /** A granter has said that it may be had. */
  void available(Timestamp now, long floorMs) {
    if (wanted && until == null && token == 0) {
      ask(now, floorMs);
    }
  }

  /**
   * No majority: what was granted is given back at once, so that two who were granted a part do not
   * block each other.
   */
  private void fail(Timestamp now) {
    long given = token;
    token = 0;
    for (int each = 0; each < terms.grantors(); each++) {
      if ((refusers >> each & 1) == 0) {
        host.release(each, name, given, -1);
      }
    }
    fails = Math.min(fails + 1, MOST_DOUBLINGS);
    // Somebody has it: asked again when it may have ended. Else two asked at once, or granters are
    // away: a pause that doubles. Each
    // is drawn, so that those who asked together do not ask together again.
    TimeSpan pause =
        inTheWay && shortest != null
            ? shortest.plus(terms.usableTerm().times(PATIENCE * chance.getAsDouble()))
            : terms.usableTerm().times(PATIENCE * (1 << fails - 1) * (0.5 + chance.getAsDouble()));
    nextTick = now.plus(pause);
  }

  /** When {@link #tick} is to be called next; null: not before something else happens. */
  Timestamp nextTick() {
    return nextTick;
  }

  void tick(Timestamp now, long floorMs) {
    if (until != null && !isHeldAt(now)) {
      drop("it ran out, not renewed in time", -1);
      if (wanted) {
        ask(now, floorMs);
      }
      return;
    }
    if (nextTick == null || nextTick.after(now)) {
      return;
    }
    if (until != null) {
      round(now); // to hold on to it; until then it is held as before
    } else if (token != 0) {
      fail(now);
    } else if (wanted) {
      ask(now, floorMs);
    } else {
      nextTick = null;
    }
    if (until != null) {
      nextTick = nextTick.earlier(until);
    }
  }

  private void drop(String why, int heir) {
    if (token == 0) {
      return;
    }
    long given = token;
    boolean held = until != null;
    token = 0;
    until = null;
    for (int each = 0; each < terms.grantors(); each++) {
      host.release(each, name, given, heir);
    }
    if (held) {
      host.lost(name, given, why);
    }
  }

  /** Whether it is held for certain at that moment of this process's clock. */
  boolean isHeldAt(Timestamp at) {
    return until != null && until.after(at);
  }

  /** How long it is held for certain from then on; zero where it isn't. */
  TimeSpan remaining(Timestamp at) {
    return isHeldAt(at) ? until.since(at) : TimeSpan.ZERO;
  }

  /** By which acts are stamped; 0 where it is not held. */
  long token() {
    return until == null ? 0 : token;
  }

  /** The place where an act landed has seen this number; the next one is higher. */
  void observeToken(long higher) {
    seen = Math.max(seen, higher);
  }
}
