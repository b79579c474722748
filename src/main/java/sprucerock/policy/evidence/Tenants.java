package sprucerock.policy.evidence;

import java.util.List;
import sprucerock.stats.DecayingSum;
import sprucerock.time.Timestamp;
import sprucerock.time.TimeSpan;

/** What each customer sends of late, beside its share. */
public final class Tenants {
  private final List<Double> shares;
  private final DecayingSum[] sent;
  private final DecayingSum all;

  public Tenants(List<Double> shares, TimeSpan life) {
    this.shares = shares;
    sent = new DecayingSum[shares.size()];
    for (int i = 0; i < sent.length; i++) {
      sent[i] = new DecayingSum(life);
    }
    all = new DecayingSum(life);
  }

  public void add(int customer, Timestamp now) {
    all.add(now, 1);
    if (customer < sent.length) {
      sent[customer].add(now, 1);
    }
  }

  /**
   * How many times its share a customer sends, beside what the others send; 0 where there are no
   * shares.
   */
  public double timesShare(int customer, Timestamp now) {
    if (customer >= sent.length) {
      return 0;
    }
    double own = sent[customer].at(now);
    double share = shares.get(customer);
    return own / Math.max((all.at(now) - own) * share / Math.max(1 - share, 0.01), 1e-9);
  }
}
