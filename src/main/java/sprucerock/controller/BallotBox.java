package sprucerock.controller;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The relays' votes on the current build and stage: one vote a relay, each for a limited time. */
final class BallotBox {
  /** Relays whose votes are kept; votes of further ones are refused. */
  static final int MAX_RELAYS = 10_000;

  private static final double RATE_WINDOW_MS = 1000;

  /** A relay's last vote, and how many it cast in the current second. */
  static final class Ballot {
    int build;
    int stage;
    Vote vote = Vote.NOTHING;

    /** Null before the first vote that counted. */
    Timestamp expiresAt;

    /** Null before the first vote. */
    Timestamp rateWindowStart;

    int votesInWindow;
    private final int relay;

    Ballot(int relay) {
      this.relay = relay;
    }
  }

  /** By relay. */
  final TreeMap<Integer, Ballot> ballots = new TreeMap<>();

  // Votes that stand for the current build and stage, the first to expire first: all others are
  // taken out as they are cast anew, as the rollout advances and as time passes, so that a vote,
  // and a count each 50 ms, walk no other vote.
  private final Map<Vote, TreeSet<Ballot>> countedVotes = new EnumMap<>(Vote.class);
  private long votesExamined;

  BallotBox() {
    for (Vote vote : Vote.values()) {
      countedVotes.put(
          vote,
          new TreeSet<>(
              Comparator.<Ballot>comparingDouble(ballot -> ballot.expiresAt.ms())
                  .thenComparingInt(ballot -> ballot.relay)));
    }
  }

  /**
   * The ballot of a relay that is about to vote; null where there are too many relays, or it voted
   * more often than {@code maxVotesPerSecond} in the current second.
   */
  Ballot admit(int relay, int maxVotesPerSecond, Timestamp now) {
    Ballot ballot = ballots.get(relay);
    if (ballot == null) {
      if (ballots.size() >= MAX_RELAYS) {
        return null;
      }
      ballot = new Ballot(relay);
      ballots.put(relay, ballot);
    }
    if (ballot.rateWindowStart == null
        || now.since(ballot.rateWindowStart).ms() >= RATE_WINDOW_MS) {
      ballot.rateWindowStart = now;
      ballot.votesInWindow = 0;
    }
    return ++ballot.votesInWindow > maxVotesPerSecond ? null : ballot;
  }

  /** A vote on the current build takes the place of the relay's last one. */
  void cast(Ballot ballot, int build, int stage, Vote vote, TimeSpan validity, Timestamp now) {
    if (ballot.expiresAt != null) {
      countedVotes.get(ballot.vote).remove(ballot);
    }
    ballot.build = build;
    ballot.stage = stage;
    ballot.vote = vote;
    ballot.expiresAt = now.plus(validity);
    if (vote != Vote.NOTHING) {
      countedVotes.get(vote).add(ballot);
    }
  }

  /** How many relays' votes of a kind stand. */
  int count(Vote vote, Timestamp now) {
    return unexpired(vote, now).size();
  }

  /** The relays whose votes of a kind stand, in the order of their numbers. */
  List<Integer> relays(Vote vote, Timestamp now) {
    TreeSet<Integer> found = new TreeSet<>();
    for (Ballot ballot : unexpired(vote, now)) {
      found.add(ballot.relay);
    }
    return List.copyOf(found);
  }

  /** Drops the votes that have expired; time never goes back. */
  private TreeSet<Ballot> unexpired(Vote vote, Timestamp now) {
    TreeSet<Ballot> all = countedVotes.get(vote);
    while (!all.isEmpty()) {
      votesExamined++;
      if (all.first().expiresAt.after(now)) {
        break;
      }
      all.pollFirst();
    }
    return all;
  }

  /** The votes of an earlier incarnation are there; those on the build and stage stand. */
  void rebuildCountedVotes(int build, int stage) {
    countedVotes.values().forEach(TreeSet::clear);
    for (Ballot ballot : ballots.values()) {
      boolean stands =
          ballot.vote != Vote.NOTHING
              && ballot.build == build
              && (ballot.vote == Vote.BACK || ballot.stage == stage);
      if (stands) {
        countedVotes.get(ballot.vote).add(ballot);
      }
    }
  }

  /** Another build or stage is current: no vote stands. */
  void clear() {
    ballots.values().forEach(ballot -> ballot.vote = Vote.NOTHING);
    countedVotes.values().forEach(TreeSet::clear);
  }

  /** Votes looked at so far to count them: what the scale tests bound. */
  long votesExamined() {
    return votesExamined;
  }
}
