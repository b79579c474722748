package sprucerock.model;

/** The controller's reply to a vote. */
public enum VoteReply {
  /** The vote counts. */
  COUNTS,

  /** The vote is about another build or stage, or of a kind that does not count now. */
  MOOT,

  /** The controller accepts no more votes at present. */
  TOO_MANY,

  /** The controller replied with another error, or the vote was not sent. */
  ERROR,

  /** No valid reply came; the vote may count or not. */
  UNANSWERED
}
