package sprucerock.model;

import java.util.Objects;
import sprucerock.stats.DecayingMean;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One process that serves requests: a restart, or another machine under the same id, is another
 * endpoint. Facts are written by the request tracker, public fields that aren't final by the
 * routing policy.
 */
public final class Endpoint {
  /** As discovery has it. */
  public final long id;

  /** Where it stands. */
  public final int zone;

  /** Its kind of hardware. */
  public final int hardwareFamily;

  /** Endpoints of one cell share what they know of idempotency keys. */
  public final int cell;

  /** The software that it runs. */
  public final Build build;

  /** When the process started; null where that was long ago. */
  public final Timestamp startedAt;

  /** What the relay's connection pool keeps with it; no other code reads it. */
  public Object attachment;

  private double weight;
  private boolean ready;
  private int inFlight;
  private int row;

  /** Its place in its build's list. */
  int positionInBuild;

  /** The last results, the newest in the lowest bit; 1: ok. */
  private int results;

  private int resultCount;

  /** While it is ejected, no attempt tests it before then. */
  public Timestamp nextProbeAt;

  /** When it answered last; null: never. */
  public Timestamp lastAnsweredAt;

  /** Its latencies as multiples of the methods' usual ones. */
  public DecayingMean relativeLatency;

  /** The same, shared by all endpoints of its zone. */
  public DecayingMean zoneRelativeLatency;

  /** Attempts that it may be sent now while it is warming up. */
  public double warmUpTokens;

  /** When these were refilled last. */
  public Timestamp warmUpTokensRefilledAt;

  /** Failures counted against it in the present canary trial. */
  public int trialFailures;

  /** Attempts of all relays in flight at it, where this relay adds them up. */
  public DecayingSum fleetInFlight;

  /** How many attempts it reported in flight. */
  public int reportedInFlight;

  /** When it reported them; null: never. */
  public Timestamp reportedAt;

  /** An endpoint that is not ready yet. */
  public Endpoint(
      long id, int zone, int kind, int cell, Build build, Timestamp started, double weight) {
    this.id = id;
    this.zone = zone;
    this.hardwareFamily = kind;
    this.cell = cell;
    this.build = build;
    this.startedAt = started;
    this.weight = weight;
  }

  /** Its capacity relative to others'. */
  public double weight() {
    return weight;
  }

  /** Whether it may get new work. */
  public boolean ready() {
    return ready;
  }

  /** Sets whether it may get new work. */
  @WrittenByRequestTracker
  public void setReady(boolean mayGetWork) {
    ready = mayGetWork;
  }

  /** How many attempts of this relay are in flight at it. */
  public int inFlight() {
    return inFlight;
  }

  /** Its row in the accounts of endpoints. */
  public int row() {
    return row;
  }

  /** Sets its row in the accounts. */
  @WrittenByRequestTracker
  public void setRow(int inAccounts) {
    row = inAccounts;
  }

  /** Sets its capacity relative to others'. */
  @WrittenByRequestTracker
  public void setWeight(double newWeight) {
    weight = newWeight;
  }

  /** One more attempt is in flight. */
  @WrittenByRequestTracker
  public void attemptStarted() {
    inFlight++;
  }

  /** One attempt less is in flight. */
  @WrittenByRequestTracker
  public void attemptEnded() {
    inFlight--;
  }

  /** Adds a result for {@link #failedResults}. Called by the routing policy. */
  public void recordResult(boolean ok) {
    results = results << 1 | (ok ? 1 : 0);
    resultCount++;
  }

  /** How many of the last results are known, of {@code max} at most; that is up to 31. */
  public int knownResults(int max) {
    return Math.min(resultCount, max);
  }

  /** How many of the last {@code max} results were no success; {@code max} is up to 31. */
  public int failedResults(int max) {
    int known = knownResults(max);
    return known - Integer.bitCount(results & (1 << known) - 1);
  }

  /** Whether it is the process that started then with that build. */
  public boolean isSameProcess(int build, Timestamp started) {
    return this.build.number == build && Objects.equals(this.startedAt, started);
  }

  /** Whether its process has run for longer than {@code age}. */
  public boolean olderThan(TimeSpan age, Timestamp now) {
    return startedAt == null || now.since(startedAt).over(age);
  }
}
