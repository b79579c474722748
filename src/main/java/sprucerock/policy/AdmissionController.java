package sprucerock.policy;

import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.TenantArrivals;
import sprucerock.stats.DecayingSum;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Rejects requests before any attempt is made, to shed load.
 *
 * <p>By Little's law, a new request will wait for about the number of requests that are unanswered
 * and not yet late, divided by the answers per second. A request whose wait exceeds its threshold
 * is rejected. The same test covers bursts, slow dependencies and lost endpoints. Requests that are
 * past their latency objective do not count, so a few stuck requests cannot block all others. A
 * relay with too little traffic for an estimate uses the wait of the whole fleet, if peers report
 * it.
 */
final class AdmissionController {
  // A queue of this length may arise by chance.
  private static final double QUEUE_TOLERANCE_REQUESTS = 3;
  private static final double OVER_QUOTA_MULTIPLE = 1.2;

  private final RelayActions actions;
  private final Settings settings;
  private final DeterministicRandom random;
  private final ArrivalRate arrivals;
  private final LoadGossip gossip;
  private final Timestamp startedAt;
  private final TenantArrivals tenantArrivals;
  private final DecayingSum recentAnswers = new DecayingSum(TimeSpan.ofMs(2000));
  private int queued;
  private double queuedArrivalSumMs; // sum of the arrival times

  AdmissionController(
      RelayActions actions,
      Settings settings,
      DeterministicRandom random,
      ArrivalRate arrivals,
      LoadGossip gossip,
      Timestamp startedAt) {
    this.actions = actions;
    this.settings = settings;
    this.random = random;
    this.arrivals = arrivals;
    this.gossip = gossip;
    this.startedAt = startedAt;
    tenantArrivals = new TenantArrivals(settings.tenantShares, TimeSpan.ofMs(5000));
  }

  void requestArrived(Rpc rpc, Timestamp now) {
    tenantArrivals.add(rpc.tenant, now);
    queued++;
    queuedArrivalSumMs += now.ms();
  }

  void requestAnswered(Timestamp now) {
    recentAnswers.add(now, 1);
  }

  /**
   * Removes from the queue a request that ended, began to be answered, or is past its latency
   * objective. Further calls for the same request have no effect.
   */
  void settle(Rpc rpc) {
    if (!rpc.leftQueue) {
      queued--;
      queuedArrivalSumMs -= rpc.arrivedAt.ms();
    }
    rpc.leftQueue = true;
  }

  /** Whether a request that has just arrived must be rejected. */
  boolean shouldReject(Rpc rpc) {
    Timestamp now = actions.now();
    double excessQueue = queued - QUEUE_TOLERANCE_REQUESTS;
    double waitMs = 1000 * excessQueue / Math.max(recentAnswers.perSecond(startedAt, now), 0.5);
    // Answers lag behind traffic that has just begun, so their rate alone overstates the wait, and
    // a relay that starts or whose traffic returns would reject requests. At a real wait of W,
    // queued requests are W/2 old on average, so twice their mean age limits the estimate.
    waitMs = Math.min(waitMs, 2 * (now.ms() - queuedArrivalSumMs / Math.max(queued, 1)));
    boolean useFleetWait = gossip.areLoadsFresh() && arrivals.isLow(now);
    double weight = priorityWeight(rpc, now);
    // The threshold is a share of the latency objective, since the remaining time must cover the
    // long tail of latencies. The fleet's wait includes the time at the endpoint, so its threshold
    // is higher. One request in twenty passes whatever the fleet's wait is.
    return useFleetWait
        ? random.next() > 0.05
            && gossip.fleetWaitMs() > settings.meanLatencyObjectiveMs * (0.4 + 0.3 * weight)
        : waitMs > settings.meanLatencyObjectiveMs * (0.25 + 0.3 * weight);
  }

  private double priorityWeight(Rpc rpc, Timestamp now) {
    double weight = rpc.method.priorityWeight / settings.maxPriorityWeight;
    double quotaMultiple = tenantArrivals.quotaMultiple(rpc.tenant, now);
    // Lowers the weight of the share of requests that exceeds the quota: of a tenant at three times
    // its quota, two requests in three.
    if (quotaMultiple > OVER_QUOTA_MULTIPLE && random.next() > 1 / quotaMultiple) {
      weight *= settings.overQuotaWeight;
    }
    return weight;
  }
}
