package sprucerock.policy.evidence;

import java.util.List;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The recent request rate of each tenant, compared with its quota. */
public final class TenantArrivals {
  private final List<Double> quotas;
  private final DecayingSum[] byTenant;
  private final DecayingSum total;

  /**
   * Creates arrivals without requests.
   *
   * @param quotas the share of all requests, from 0 to 1, of each tenant
   * @param decayTime the time in which the weight of an arrival falls to 1/e
   */
  public TenantArrivals(List<Double> quotas, TimeSpan decayTime) {
    this.quotas = quotas;
    byTenant = new DecayingSum[quotas.size()];
    for (int i = 0; i < byTenant.length; i++) {
      byTenant[i] = new DecayingSum(decayTime);
    }
    total = new DecayingSum(decayTime);
  }

  /** Counts a request of the tenant. Requests of a tenant without a quota add to the total only. */
  public void add(int tenant, Timestamp now) {
    total.add(now, 1);
    if (tenant < byTenant.length) {
      byTenant[tenant].add(now, 1);
    }
  }

  /**
   * The tenant's request rate as a multiple of the rate that its quota permits at the present
   * traffic of all other tenants; 0 if the tenant has no quota.
   */
  public double quotaMultiple(int tenant, Timestamp now) {
    if (tenant >= byTenant.length) {
      return 0;
    }
    double own = byTenant[tenant].at(now);
    double quota = quotas.get(tenant);
    return own / Math.max((total.at(now) - own) * quota / Math.max(1 - quota, 0.01), 1e-9);
  }
}
