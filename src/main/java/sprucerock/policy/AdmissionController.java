package sprucerock.policy;

import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.policy.evidence.TenantArrivals;
import sprucerock.stats.DecayingSum;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Sheds load before it is sent anywhere. Little's law: requests out and not yet late, over answers
 * a second, is the wait that a new one faces; past its mark it is rejected unseen. Guards against
 * bursts, slow dependencies and lost endpoints alike; a few stuck requests cannot keep all others
 * out. A relay that sees too little goes by the fleet's wait, if told.
 */
final class AdmissionController {
  private static final double QUEUE_TOLERANCE_REQUESTS = 3; // three more in the queue is chance
  private static final double OVER_QUOTA_MULTIPLE = 1.2;

  private final RelayActions actions;
  private final Settings settings;
  private final DeterministicRandom random;
  private final ArrivalRate arrivals;
  private final LoadGossip gossip;
  private final Timestamp startedAt;
  private final TenantArrivals tenantArrivals;
  private final DecayingSum answered = new DecayingSum(TimeSpan.ofMs(2000));
  private int queued;
  private double queuedArrivalSumMs; // the sum of their arrivals

  AdmissionController(
      RelayActions actions,
      Settings settings,
      DeterministicRandom random,
      ArrivalRate arrivals,
      LoadGossip gossip,
      Timestamp started) {
    this.actions = actions;
    this.settings = settings;
    this.random = random;
    this.arrivals = arrivals;
    this.gossip = gossip;
    this.startedAt = started;
    tenantArrivals = new TenantArrivals(settings.tenantShares, TimeSpan.ofMs(5000));
  }

  void requestArrived(Rpc rpc, Timestamp now) {
    tenantArrivals.add(rpc.tenant, now);
    queued++;
    queuedArrivalSumMs += now.ms();
  }

  void answered(Timestamp now) {
    answered.add(now, 1);
  }

  /** No longer in the queue: answered, or past its latency objective. */
  void settle(Rpc rpc) {
    if (!rpc.leftQueue) {
      queued--;
      queuedArrivalSumMs -= rpc.arrivedAt.ms();
    }
    rpc.leftQueue = true;
  }

  /** Whether the request, which has just arrived, must be rejected. */
  boolean shouldReject(Rpc rpc) {
    Timestamp now = actions.now();
    double queue = queued - QUEUE_TOLERANCE_REQUESTS;
    double waitMs = 1000 * queue / Math.max(answered.perSecond(startedAt, now), 0.5);
    // Answers lag behind traffic that has just come; but who waits long is also old: in a queue of
    // W the requests are W/2 old. Guards against rejections by a relay that starts, or whose
    // traffic comes back.
    waitMs = Math.min(waitMs, 2 * (now.ms() - queuedArrivalSumMs / Math.max(queued, 1)));
    boolean byFleet = gossip.areLoadsFresh() && arrivals.isLow(now);
    double weight = priorityWeight(rpc, now);
    // what is left must hold the long tail; the fleet's wait holds the work itself
    return byFleet
        ? random.next() > 0.05
            && gossip.fleetWaitMs() > settings.meanLatencyObjectiveMs * (0.4 + 0.3 * weight)
        : waitMs > settings.meanLatencyObjectiveMs * (0.25 + 0.3 * weight);
  }

  private double priorityWeight(Rpc rpc, Timestamp now) {
    double weight = rpc.method.priorityWeight / settings.maxPriorityWeight;
    double over = tenantArrivals.quotaMultiple(rpc.tenant, now);
    // of a tenant at thrice its quota, two requests in three are over it
    if (over > OVER_QUOTA_MULTIPLE && random.next() > 1 / over) {
      weight *= settings.overQuotaWeight;
    }
    return weight;
  }
}
