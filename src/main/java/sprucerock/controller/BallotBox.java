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

/** The votes on the current build and stage: one per relay, each valid for a limited time. */
final class BallotBox {
  /** The most relays whose votes are kept; votes of further relays are rejected. */
  static final int MAX_RELAYS = 10_000;

  private static final double RATE_WINDOW_MS = 1000;

  /** A relay's last vote, and how many votes it cast in the current second. */
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

  /** Ballots by relay number. */
  final TreeMap<Integer, Ballot> ballots = new TreeMap<>();

  // Votes that count for the current build and stage, the first to expire first. A vote is removed
  // when its relay votes again, when the rollout advances and when it expires. Casting a vote and
  // counting the votes, which happens every 50 ms, therefore visit no votes that don't count.
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
   * Returns the ballot of a relay that is about to vote; null if there are too many relays, or if
   * the relay voted more often than {@code maxVotesPerSecond} in the current second.
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

  /** Replaces a relay's last vote with one on the current build. */
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

  /** Returns the number of relays with a counted vote of a kind. */
  int count(Vote vote, Timestamp now) {
    return unexpired(vote, now).size();
  }

  /** Returns the numbers of the relays with a counted vote of a kind, in ascending order. */
  List<Integer> relays(Vote vote, Timestamp now) {
    TreeSet<Integer> relays = new TreeSet<>();
    for (Ballot ballot : unexpired(vote, now)) {
      relays.add(ballot.relay);
    }
    return List.copyOf(relays);
  }

  /** Returns the counted votes of a kind after dropping expired ones; time never goes back. */
  private TreeSet<Ballot> unexpired(Vote vote, Timestamp now) {
    TreeSet<Ballot> counted = countedVotes.get(vote);
    while (!counted.isEmpty()) {
      votesExamined++;
      if (counted.first().expiresAt.after(now)) {
        break;
      }
      counted.pollFirst();
    }
    return counted;
  }

  /**
   * Rebuilds the index of counted votes after the ballots were restored from a snapshot: votes on
   * this build and stage count, and votes to roll back count in any stage.
   */
  void rebuildCountedVotes(int build, int stage) {
    countedVotes.values().forEach(TreeSet::clear);
    for (Ballot ballot : ballots.values()) {
      boolean counts =
          ballot.vote != Vote.NOTHING
              && ballot.build == build
              && (ballot.vote == Vote.BACK || ballot.stage == stage);
      if (counts) {
        countedVotes.get(ballot.vote).add(ballot);
      }
    }
  }

  /**
   * Drops all votes, for a new build or stage, or after the clock was set back. The relays' vote
   * rates are kept.
   */
  void clear() {
    ballots.values().forEach(ballot -> ballot.vote = Vote.NOTHING);
    countedVotes.values().forEach(TreeSet::clear);
  }

  /** Returns how many votes have been examined to count votes; the scale tests limit the number. */
  long votesExamined() {
    return votesExamined;
  }
}
