package sprucerock.policy.evidence;

import sprucerock.model.Reply;
import sprucerock.model.Verdict;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/** The vote that this relay cast last, and how the release desk took it. */
public final class Ballot {
  public Verdict verdict = Verdict.NONE;
  private Moment castAt;
  private boolean counts;
  private boolean pending;

  public void cast(Verdict what, Moment now) {
    verdict = what;
    castAt = now;
    pending = true;
    counts = false;
  }

  public void answered(Reply reply) {
    pending = false;
    counts = reply == Reply.COUNTS;
  }

  /**
   * Whether it is due again: after {@code renew} if it counts, {@code wait} unanswered, else {@code
   * retry}.
   */
  public boolean due(Span renew, Span wait, Span retry, Moment now) {
    return now.since(castAt).over(counts ? renew : pending ? wait : retry);
  }
}
