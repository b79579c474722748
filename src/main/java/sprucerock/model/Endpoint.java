package sprucerock.model;

import java.util.Objects;
import sprucerock.stats.DecayingMean;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One process that serves requests. A restarted process, or another machine under the same id, is
 * another endpoint. The request tracker writes the private fields except the recent results; the
 * routing policy writes the recent results and the public fields that are not final, except {@link
 * #attachment}.
 */
public final class Endpoint {
  /** The endpoint's id in discovery. */
  public final long id;

  /** The zone that the endpoint runs in. */
  public final int zone;

  /** The hardware family that the endpoint runs on. */
  public final int hardwareFamily;

  /** The cell; endpoints of one cell share their store of idempotency keys. */
  public final int cell;

  /** The build that the endpoint runs. */
  public final Build build;

  /** When the process started; null if that was long ago, so that it is older than any age. */
  public final Timestamp startedAt;

  /** Data of the relay's connection pool about this endpoint; no other code reads it. */
  public Object attachment;

  private double weight;
  private boolean ready;
  private int inFlight;
  private int row;

  /** The endpoint's position in {@link Build#endpoints}. */
  int positionInBuild;

  /** The last results as bits, the newest in the lowest bit; a set bit is a success. */
  private int recentResults;

  /** How many results were recorded in all, including those that are no longer stored. */
  private int resultCount;

  /** While the endpoint is ejected as an outlier: when an RPC may next be sent to it as a test. */
  public Timestamp nextProbeAt;

  /** When the endpoint last answered an attempt, ok or with an error; null if never. */
  public Timestamp lastAnsweredAt;

  /** The endpoint's latency as a multiple of each method's usual latency. */
  public DecayingMean relativeLatency;

  /** The relative latency of the endpoint's zone; one object that all its endpoints share. */
  public DecayingMean zoneRelativeLatency;

  /** How many attempts the endpoint may be sent now while slow start limits it. */
  public double warmUpTokens;

  /** When {@link #warmUpTokens} was last refilled. */
  public Timestamp warmUpTokensRefilledAt;

  /**
   * Failures of this endpoint of a canary in the current stage: shadow pairs in which only the
   * canary answered with an error or, after the release, all attempts answered with an error.
   */
  public int trialFailures;

  /**
   * Attempts of all relays in flight at this endpoint; only kept up to date while this relay is the
   * one that aggregates load reports. Null until the endpoint was ready for the first time.
   */
  public DecayingSum fleetInFlight;

  /** Attempts of all relays in flight here, as last summed by the relay that aggregates reports. */
  public int reportedInFlight;

  /** When another relay last sent {@link #reportedInFlight} to this one; null if never. */
  public Timestamp reportedAt;

  /** Creates an endpoint that is not ready yet. */
  public Endpoint(
      long id,
      int zone,
      int hardwareFamily,
      int cell,
      Build build,
      Timestamp startedAt,
      double weight) {
    this.id = id;
    this.zone = zone;
    this.hardwareFamily = hardwareFamily;
    this.cell = cell;
    this.build = build;
    this.startedAt = startedAt;
    this.weight = weight;
  }

  /** Returns the endpoint's capacity relative to other endpoints. */
  public double weight() {
    return weight;
  }

  /** Returns whether the endpoint may get new attempts. */
  public boolean ready() {
    return ready;
  }

  /** Sets whether the endpoint may get new attempts. */
  @WrittenByRequestTracker
  public void setReady(boolean isReady) {
    ready = isReady;
  }

  /** Returns how many attempts of this relay are in flight at this endpoint. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns this endpoint's row in the accounts. */
  public int row() {
    return row;
  }

  /** Sets this endpoint's row in the accounts. */
  @WrittenByRequestTracker
  public void setRow(int accountRow) {
    row = accountRow;
  }

  /** Sets the endpoint's capacity relative to other endpoints. */
  @WrittenByRequestTracker
  public void setWeight(double newWeight) {
    weight = newWeight;
  }

  /** Counts one more attempt in flight. */
  @WrittenByRequestTracker
  public void attemptStarted() {
    inFlight++;
  }

  /** Counts one attempt in flight less. */
  @WrittenByRequestTracker
  public void attemptEnded() {
    inFlight--;
  }

  /** Adds a result to the recent results. Called by the routing policy. */
  public void recordResult(boolean ok) {
    recentResults = recentResults << 1 | (ok ? 1 : 0);
    resultCount++;
  }

  /** Returns how many of the last {@code max} results there have been; {@code max} is up to 31. */
  public int knownResults(int max) {
    return Math.min(resultCount, max);
  }

  /** Returns how many of the last {@code max} results were failures; {@code max} is up to 31. */
  public int failedResults(int max) {
    int known = knownResults(max);
    return known - Integer.bitCount(recentResults & (1 << known) - 1);
  }

  /** Returns whether this endpoint is the process with the given build and start time. */
  public boolean isSameProcess(int buildNumber, Timestamp processStart) {
    return this.build.number == buildNumber && Objects.equals(this.startedAt, processStart);
  }

  /** Returns whether the process has run for longer than {@code age}. */
  public boolean olderThan(TimeSpan age, Timestamp now) {
    return startedAt == null || now.since(startedAt).over(age);
  }
}
