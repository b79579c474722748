package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The start settings of the routing policy; immutable. Each configuration format has a reader that
 * fills a {@link Draft}.
 */
public final class Settings {
  /** How the controller decides about a canary. */
  public enum Control {
    /** A single vote decides. */
    SINGLE,
    /** A majority of the relays decides. */
    MAJORITY,
    /** The canary advances by the clock, unless votes oppose it. */
    CLOCKED
  }

  /** The zone of this relay. */
  public final int zone;

  /** All methods, by {@link Method#index}. */
  public final List<Method> methods;

  /** The quota of each tenant by its number, as a share from 0 to 1. */
  public final List<Double> tenantShares;

  /** The factor on the priority weight of RPCs beyond their tenant's quota; 1 for no effect. */
  public final double overQuotaWeight;

  /** How late a timer may fire. */
  public final TimeSpan maxTimerDelay;

  /** Whether the relay polls the endpoint list; if false, discovery pushes it. */
  public final boolean pollsEndpointList;

  /** The maximum age of a polled endpoint list. */
  public final TimeSpan maxEndpointListAge;

  /** How long an endpoint is warming up after its start. */
  public final TimeSpan warmUp;

  /** The share of its full capacity that an endpoint has at its start, from 0 to 1. */
  public final double initialCapacityShare;

  /** How long an endpoint that is warming up tolerates overload before it collapses. */
  public final TimeSpan warmUpOverloadTolerance;

  /**
   * The load, as a multiple of its current capacity, at which an endpoint that is warming up
   * collapses.
   */
  public final double warmUpOverloadMultiple;

  /** The maximum number of attempts of an RPC. */
  public final int maxAttempts;

  /** Whether an RPC may have a second attempt in flight: a hedged or shadow request. */
  public final boolean hedgingAllowed;

  /** Whether attempts may be cancelled. */
  public final boolean cancellationAllowed;

  /** Whether relays may send each other gossip messages. */
  public final boolean gossipAllowed;

  /** Whether a rejection may carry a Retry-After time. */
  public final boolean retryAfterAllowed;

  /** The longest Retry-After time. */
  public final TimeSpan maxRetryAfter;

  /** How the controller decides about a canary. */
  public final Control control;

  /** The exposure cap of each stage: the largest share of traffic for a canary, from 0 to 1. */
  public final List<Double> exposureCaps;

  /** Whether exposure caps apply to each method separately. */
  public final boolean capsPerMethod;

  /** How many attempts at a canary may exceed the exposure cap: the size of its token bucket. */
  public final double uncappedCanaryAttempts;

  /** The number of first stages in which a canary gets only idempotent methods. */
  public final int guardedStages;

  /** Whether the baseline no longer serves a key that a canary has served. */
  public final boolean oneWayKeys;

  /** How long a vote counts. */
  public final TimeSpan voteLifetime;

  /** The timeout of a call to the controller. */
  public final TimeSpan controllerCallTimeout;

  /** The number of relays. */
  public final int relayCount;

  /** The highest priority weight of all methods; 1 without methods. */
  public final double maxPriorityWeight;

  /** The mean latency objective of all methods, in milliseconds; 1000 without methods. */
  public final double meanLatencyObjectiveMs;

  /** The number of this relay, from 0. */
  public final int relayIndex;

  /** The period of the fleet counts that the controller sends; zero if it sends none. */
  public final TimeSpan fleetCountsPeriod;

  /** How long a connection may carry nothing before either end closes it. */
  public final TimeSpan idleTimeout;

  /**
   * Settings under construction by a reader, with the fields of {@link Settings}. A reader may
   * leave out fields that have an initial value here and must set all others.
   */
  public static final class Draft {
    public int zone;
    public List<Method> methods = new ArrayList<>();
    public List<Double> tenantShares = new ArrayList<>();
    public double overQuotaWeight = 1;
    public TimeSpan maxTimerDelay;
    public boolean pollsEndpointList;
    public TimeSpan maxEndpointListAge;
    public TimeSpan warmUp;
    public double initialCapacityShare;
    public TimeSpan warmUpOverloadTolerance;
    public double warmUpOverloadMultiple;
    public int maxAttempts;
    public boolean hedgingAllowed;
    public boolean cancellationAllowed;
    public boolean gossipAllowed;
    public boolean retryAfterAllowed;
    public TimeSpan maxRetryAfter;
    public Control control;
    public List<Double> exposureCaps = new ArrayList<>();
    public boolean capsPerMethod;
    public double uncappedCanaryAttempts;
    public int guardedStages;
    public boolean oneWayKeys;
    public TimeSpan voteLifetime;
    public TimeSpan controllerCallTimeout;
    public int relayCount;
    public int relayIndex;
    public TimeSpan fleetCountsPeriod = TimeSpan.ZERO;
    public TimeSpan idleTimeout = TimeSpan.ofMs(30_000);
  }

  /**
   * Copies the draft.
   *
   * @throws NullPointerException if a list in it is null
   */
  public Settings(Draft draft) {
    zone = draft.zone;
    methods = Collections.unmodifiableList(new ArrayList<>(draft.methods));
    tenantShares = Collections.unmodifiableList(new ArrayList<>(draft.tenantShares));
    overQuotaWeight = draft.overQuotaWeight;
    maxTimerDelay = draft.maxTimerDelay;
    pollsEndpointList = draft.pollsEndpointList;
    maxEndpointListAge = draft.maxEndpointListAge;
    warmUp = draft.warmUp;
    initialCapacityShare = draft.initialCapacityShare;
    warmUpOverloadTolerance = draft.warmUpOverloadTolerance;
    warmUpOverloadMultiple = draft.warmUpOverloadMultiple;
    maxAttempts = draft.maxAttempts;
    hedgingAllowed = draft.hedgingAllowed;
    cancellationAllowed = draft.cancellationAllowed;
    gossipAllowed = draft.gossipAllowed;
    retryAfterAllowed = draft.retryAfterAllowed;
    maxRetryAfter = draft.maxRetryAfter;
    control = draft.control;
    exposureCaps = Collections.unmodifiableList(new ArrayList<>(draft.exposureCaps));
    capsPerMethod = draft.capsPerMethod;
    uncappedCanaryAttempts = draft.uncappedCanaryAttempts;
    guardedStages = draft.guardedStages;
    oneWayKeys = draft.oneWayKeys;
    voteLifetime = draft.voteLifetime;
    controllerCallTimeout = draft.controllerCallTimeout;
    relayCount = draft.relayCount;
    relayIndex = draft.relayIndex;
    fleetCountsPeriod = draft.fleetCountsPeriod;
    idleTimeout = draft.idleTimeout;
    maxPriorityWeight =
        methods.stream().mapToDouble(method -> method.priorityWeight).max().orElse(1);
    meanLatencyObjectiveMs =
        methods.stream().mapToDouble(method -> method.latencyObjective.ms()).average().orElse(1000);
  }
}
