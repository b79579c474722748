package sprucerock.model;

/** The controller's reply to a vote; {@link #UNANSWERED} if no reply came. */
public enum VoteReply {
  COUNTS,
  MOOT,
  TOO_MANY,
  ERROR,
  UNANSWERED
}
