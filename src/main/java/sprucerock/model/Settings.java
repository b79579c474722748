package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * The start settings that the module reads. Each form in which they are written has a reader that
 * fills {@link Draft}.
 */
public final class Settings {
  public enum Control {
    SINGLE,
    MAJORITY,
    CLOCKED
  }

  public final int zone;
  public final List<Method> methods;
  public final List<Double> tenantShares;
  public final double overQuotaWeight;
  public final TimeSpan tick;
  public final boolean pollsEndpointList;
  public final TimeSpan pollWithin;
  public final TimeSpan warmUp;
  public final double startShare;
  public final TimeSpan tipAfter;
  public final double tipMultiple;
  public final int maxAttempts;
  public final boolean hedging;
  public final boolean cancellation;
  public final boolean gossip;
  public final boolean retryAfter;
  public final TimeSpan maxRetryAfter;
  public final Control control;
  public final List<Double> caps;
  public final boolean perMethod;
  public final double free;
  public final int guardedStages;
  public final boolean oneWayKeys;
  public final TimeSpan voteLifetime;
  public final TimeSpan callTimeout;
  public final int relays;
  public final double maxPriorityWeight;
  public final double meanLatencyObjectiveMs;
  public final int index;
  public final TimeSpan countsEvery;

  /** A connection that carries nothing for this long is closed, at either end. */
  public final TimeSpan idleTimeout;

  /** What a reader fills in. What has a value here may be left out; the rest must be set. */
  public static final class Draft {
    public int zone;
    public List<Method> methods = new ArrayList<>();
    public List<Double> tenantShares = new ArrayList<>();
    public double overQuotaWeight = 1;
    public TimeSpan tick;
    public boolean pollsEndpointList;
    public TimeSpan pollWithin;
    public TimeSpan warmUp;
    public double startShare;
    public TimeSpan tipAfter;
    public double tipMultiple;
    public int maxAttempts;
    public boolean hedging;
    public boolean cancellation;
    public boolean gossip;
    public boolean retryAfter;
    public TimeSpan maxRetryAfter;
    public Control control;
    public List<Double> caps = new ArrayList<>();
    public boolean perMethod;
    public double free;
    public int guardedStages;
    public boolean oneWayKeys;
    public TimeSpan voteLifetime;
    public TimeSpan callTimeout;
    public int relays;
    public int index;
    public TimeSpan countsEvery = TimeSpan.ZERO;
    public TimeSpan idleTimeout = TimeSpan.ofMs(30_000);
  }

  public Settings(Draft draft) {
    zone = draft.zone;
    methods = Collections.unmodifiableList(new ArrayList<>(draft.methods));
    tenantShares = Collections.unmodifiableList(new ArrayList<>(draft.tenantShares));
    overQuotaWeight = draft.overQuotaWeight;
    tick = draft.tick;
    pollsEndpointList = draft.pollsEndpointList;
    pollWithin = draft.pollWithin;
    warmUp = draft.warmUp;
    startShare = draft.startShare;
    tipAfter = draft.tipAfter;
    tipMultiple = draft.tipMultiple;
    maxAttempts = draft.maxAttempts;
    hedging = draft.hedging;
    cancellation = draft.cancellation;
    gossip = draft.gossip;
    retryAfter = draft.retryAfter;
    maxRetryAfter = draft.maxRetryAfter;
    control = draft.control;
    caps = Collections.unmodifiableList(new ArrayList<>(draft.caps));
    perMethod = draft.perMethod;
    free = draft.free;
    guardedStages = draft.guardedStages;
    oneWayKeys = draft.oneWayKeys;
    voteLifetime = draft.voteLifetime;
    callTimeout = draft.callTimeout;
    relays = draft.relays;
    index = draft.index;
    countsEvery = draft.countsEvery;
    idleTimeout = draft.idleTimeout;
    maxPriorityWeight =
        methods.stream().mapToDouble(method -> method.priorityWeight).max().orElse(1);
    meanLatencyObjectiveMs =
        methods.stream().mapToDouble(method -> method.latencyObjective.ms()).average().orElse(1000);
  }
}
