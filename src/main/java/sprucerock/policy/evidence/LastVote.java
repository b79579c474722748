package sprucerock.policy.evidence;

import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The vote that this relay cast last, and how the release desk took it. */
public final class LastVote {
  public Verdict verdict = Verdict.NONE;
  private Timestamp castAt;
  private boolean counts;
  private boolean replyPending;

  public void recordCast(Verdict what, Timestamp now) {
    verdict = what;
    castAt = now;
    replyPending = true;
    counts = false;
  }

  public void recordReply(VoteReply reply) {
    replyPending = false;
    counts = reply == VoteReply.COUNTS;
  }

  /**
   * Whether it is due again: after {@code renew} if it counts, {@code wait} unanswered, else {@code
   * retry}.
   */
  public boolean isDue(TimeSpan renew, TimeSpan wait, TimeSpan retry, Timestamp now) {
    return now.since(castAt).over(counts ? renew : replyPending ? wait : retry);
  }
}
