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
  public final double overShareWorth;
  public final TimeSpan tick;
  public final boolean ask;
  public final TimeSpan askWithin;
  public final TimeSpan cold;
  public final double startShare;
  public final TimeSpan tipAfter;
  public final double tipMultiple;
  public final int maxAttempts;
  public final boolean secondCopies;
  public final boolean cancel;
  public final boolean peers;
  public final boolean retryAfter;
  public final TimeSpan maxRetryAfter;
  public final Control control;
  public final List<Double> caps;
  public final boolean perMethod;
  public final double free;
  public final int guardedStages;
  public final boolean oneWayKeys;
  public final TimeSpan voteLife;
  public final TimeSpan callTimeout;
  public final int relays;
  public final double mostUtility;
  public final double meanSoftMs;
  public final int index;
  public final TimeSpan countsEvery;

  /** A connection that carries nothing for this long is closed, at either end. */
  public final TimeSpan idle;

  /** What a reader fills in. What has a value here may be left out; the rest must be set. */
  public static final class Draft {
    public int zone;
    public List<Method> methods = new ArrayList<>();
    public List<Double> tenantShares = new ArrayList<>();
    public double overShareWorth = 1;
    public TimeSpan tick;
    public boolean ask;
    public TimeSpan askWithin;
    public TimeSpan cold;
    public double startShare;
    public TimeSpan tipAfter;
    public double tipMultiple;
    public int maxAttempts;
    public boolean secondCopies;
    public boolean cancel;
    public boolean peers;
    public boolean retryAfter;
    public TimeSpan maxRetryAfter;
    public Control control;
    public List<Double> caps = new ArrayList<>();
    public boolean perMethod;
    public double free;
    public int guardedStages;
    public boolean oneWayKeys;
    public TimeSpan voteLife;
    public TimeSpan callTimeout;
    public int relays;
    public int index;
    public TimeSpan countsEvery = TimeSpan.ZERO;
    public TimeSpan idle = TimeSpan.ofMs(30_000);
  }

  public Settings(Draft draft) {
    zone = draft.zone;
    methods = Collections.unmodifiableList(new ArrayList<>(draft.methods));
    tenantShares = Collections.unmodifiableList(new ArrayList<>(draft.tenantShares));
    overShareWorth = draft.overShareWorth;
    tick = draft.tick;
    ask = draft.ask;
    askWithin = draft.askWithin;
    cold = draft.cold;
    startShare = draft.startShare;
    tipAfter = draft.tipAfter;
    tipMultiple = draft.tipMultiple;
    maxAttempts = draft.maxAttempts;
    secondCopies = draft.secondCopies;
    cancel = draft.cancel;
    peers = draft.peers;
    retryAfter = draft.retryAfter;
    maxRetryAfter = draft.maxRetryAfter;
    control = draft.control;
    caps = Collections.unmodifiableList(new ArrayList<>(draft.caps));
    perMethod = draft.perMethod;
    free = draft.free;
    guardedStages = draft.guardedStages;
    oneWayKeys = draft.oneWayKeys;
    voteLife = draft.voteLife;
    callTimeout = draft.callTimeout;
    relays = draft.relays;
    index = draft.index;
    countsEvery = draft.countsEvery;
    idle = draft.idle;
    mostUtility = methods.stream().mapToDouble(method -> method.utility).max().orElse(1);
    meanSoftMs =
        methods.stream().mapToDouble(method -> method.latencyObjective.ms()).average().orElse(1000);
  }
}
