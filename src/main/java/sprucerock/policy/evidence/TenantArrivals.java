package sprucerock.policy.evidence;

import java.util.List;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What each tenant sends of late, beside its quota. */
public final class TenantArrivals {
  private final List<Double> quotas;
  private final DecayingSum[] byTenant;
  private final DecayingSum all;

  /**
   * Quotas are shares of all requests, 0 to 1, by tenant; arrivals count less as they age, over
   * some {@code life}.
   */
  public TenantArrivals(List<Double> quotas, TimeSpan life) {
    this.quotas = quotas;
    byTenant = new DecayingSum[quotas.size()];
    for (int i = 0; i < byTenant.length; i++) {
      byTenant[i] = new DecayingSum(life);
    }
    all = new DecayingSum(life);
  }

  /** A request of the tenant arrived; unknown tenants count as others. */
  public void add(int tenant, Timestamp now) {
    all.add(now, 1);
    if (tenant < byTenant.length) {
      byTenant[tenant].add(now, 1);
    }
  }

  /**
   * How many times its quota a tenant sends, beside what the others send; 0 where it has no quota.
   */
  public double quotaMultiple(int tenant, Timestamp now) {
    if (tenant >= byTenant.length) {
      return 0;
    }
    double own = byTenant[tenant].at(now);
    double quota = quotas.get(tenant);
    return own / Math.max((all.at(now) - own) * quota / Math.max(1 - quota, 0.01), 1e-9);
  }
}
