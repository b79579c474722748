package sprucerock.policy.evidence;

import java.util.List;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What each customer sends of late, beside its share. */
public final class TenantArrivals {
  private final List<Double> shares;
  private final DecayingSum[] sent;
  private final DecayingSum all;

  public TenantArrivals(List<Double> shares, TimeSpan life) {
    this.shares = shares;
    sent = new DecayingSum[shares.size()];
    for (int i = 0; i < sent.length; i++) {
      sent[i] = new DecayingSum(life);
    }
    all = new DecayingSum(life);
  }

  public void add(int tenant, Timestamp now) {
    all.add(now, 1);
    if (tenant < sent.length) {
      sent[tenant].add(now, 1);
    }
  }

  /**
   * How many times its share a customer sends, beside what the others send; 0 where there are no
   * shares.
   */
  public double timesShare(int tenant, Timestamp now) {
    if (tenant >= sent.length) {
      return 0;
    }
    double own = sent[tenant].at(now);
    double share = shares.get(tenant);
    return own / Math.max((all.at(now) - own) * share / Math.max(1 - share, 0.01), 1e-9);
  }
}
