package sprucerock.model;

/** How the release desk took a vote. */
public enum VoteReply {
  COUNTS,
  MOOT,
  TOO_MANY,
  ERROR,
  UNANSWERED
}
