package sprucerock.policy.evidence;

import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The last vote of this relay, and the controller's answer to it. */
public final class LastVote {
  private Verdict verdict = Verdict.NONE;
  private Timestamp castAt;
  private boolean counted;
  private boolean replyPending;

  /** The verdict voted for in this stage; NONE before the first vote. */
  public Verdict verdict() {
    return verdict;
  }

  /** Forgets the verdict, as a new stage begins. */
  public void reset() {
    verdict = Verdict.NONE;
  }

  /** Records that a vote was sent. */
  public void recordCast(Verdict cast, Timestamp now) {
    verdict = cast;
    castAt = now;
    replyPending = true;
    counted = false;
  }

  /** Records the controller's answer to the last vote. */
  public void recordReply(VoteReply reply) {
    replyPending = false;
    counted = reply == VoteReply.COUNTS;
  }

  /**
   * Whether to cast the last vote again. Must not be called before a vote was cast.
   *
   * @param renewAfter time after which a vote that counts is renewed
   * @param answerTimeout time to wait for the controller's answer
   * @param retryAfter time after which a vote that does not count is repeated
   */
  public boolean isDue(
      TimeSpan renewAfter, TimeSpan answerTimeout, TimeSpan retryAfter, Timestamp now) {
    return now.since(castAt).over(counted ? renewAfter : replyPending ? answerTimeout : retryAfter);
  }
}
