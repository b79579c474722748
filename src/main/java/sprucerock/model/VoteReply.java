package sprucerock.model;

/** How the controller answered a vote; {@link #UNANSWERED} where it did not. */
public enum VoteReply {
  COUNTS,
  MOOT,
  TOO_MANY,
  ERROR,
  UNANSWERED
}
