package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The start settings that the routing policy reads; immutable. Each form in which they are written
 * has a reader that fills {@link Draft}.
 */
public final class Settings {
  /** How the controller counts votes on a canary. */
  public enum Control {
    /** One vote decides. */
    SINGLE,
    /** A majority of the relays decides. */
    MAJORITY,
    /** Time decides, unless votes are against it. */
    CLOCKED
  }

  /** The relay's own zone. */
  public final int zone;

  /** All methods, by their index. */
  public final List<Method> methods;

  /** Each tenant's quota, as a share from 0 to 1. */
  public final List<Double> tenantShares;

  /** Factor on the weight of RPCs beyond their tenant's quota; 1: none. */
  public final double overQuotaWeight;

  /** How late a timer may come. */
  public final TimeSpan maxTimerDelay;

  /** Whether the endpoint list has to be asked for; else it is pushed. */
  public final boolean pollsEndpointList;

  /** How old a polled endpoint list may become. */
  public final TimeSpan maxEndpointListAge;

  /** How long an endpoint is warming up after its start. */
  public final TimeSpan warmUp;

  /** Share of its capacity that an endpoint has at its start, from 0 to 1. */
  public final double initialCapacityShare;

  /** Over how long an endpoint that is warming up may be overloaded before it tips over. */
  public final TimeSpan warmUpOverloadTolerance;

  /** Load, as a multiple of its capacity, at which an endpoint that is warming up tips over. */
  public final double warmUpOverloadMultiple;

  /** How many attempts an RPC may have. */
  public final int maxAttempts;

  /** Whether hedged requests are allowed. */
  public final boolean hedgingAllowed;

  /** Whether attempts may be cancelled. */
  public final boolean cancellationAllowed;

  /** Whether relays may send each other messages. */
  public final boolean gossipAllowed;

  /** Whether a rejection may say when to retry. */
  public final boolean retryAfterAllowed;

  /** The longest advice for a retry. */
  public final TimeSpan maxRetryAfter;

  /** How the controller counts votes on a canary. */
  public final Control control;

  /** A canary's greatest share of traffic in each stage, from 0 to 1. */
  public final List<Double> exposureCaps;

  /** Whether caps hold for each method by itself. */
  public final boolean capsPerMethod;

  /** Attempts at a canary that no cap counts. */
  public final double uncappedCanaryAttempts;

  /** Stages in which a canary gets idempotent methods only. */
  public final int guardedStages;

  /** Whether a key that a canary served isn't served by the baseline again. */
  public final boolean oneWayKeys;

  /** How long a vote counts. */
  public final TimeSpan voteLifetime;

  /** How long the answer to a call of the controller may take. */
  public final TimeSpan controllerCallTimeout;

  /** How many relays there are. */
  public final int relayCount;

  /** The greatest priority weight of all methods; 1 without methods. */
  public final double maxPriorityWeight;

  /** The mean latency objective of all methods, in milliseconds; 1000 without methods. */
  public final double meanLatencyObjectiveMs;

  /** The relay's own number, from 0. */
  public final int relayIndex;

  /** The period of the controller's counts; zero: there are none. */
  public final TimeSpan fleetCountsPeriod;

  /** A connection that carries nothing for this long is closed, at either end. */
  public final TimeSpan idleTimeout;

  /**
   * What a reader fills in. What has a value here may be left out; the rest must be set. The fields
   * are those of {@link Settings}.
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
   * A copy of the draft.
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
