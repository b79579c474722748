package sprucerock.policy.evidence;

import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The vote that this relay cast last, and how the controller took it. */
public final class LastVote {
  private Verdict verdict = Verdict.NONE;
  private Timestamp castAt;
  private boolean counted;
  private boolean replyPending;

  /** What was voted in this stage; NONE before the first vote. */
  public Verdict verdict() {
    return verdict;
  }

  /** A new stage begins, in which nothing was voted yet. */
  public void reset() {
    verdict = Verdict.NONE;
  }

  /** Notes that a vote was sent. */
  public void recordCast(Verdict cast, Timestamp now) {
    verdict = cast;
    castAt = now;
    replyPending = true;
    counted = false;
  }

  /** Notes the controller's reply to it. */
  public void recordReply(VoteReply reply) {
    replyPending = false;
    counted = reply == VoteReply.COUNTS;
  }

  /**
   * Whether it is due again: after {@code renew} if it counts, {@code wait} unanswered, else {@code
   * retry}. Only to be asked once a vote was cast.
   */
  public boolean isDue(TimeSpan renew, TimeSpan wait, TimeSpan retry, Timestamp now) {
    return now.since(castAt).over(counted ? renew : replyPending ? wait : retry);
  }
}
