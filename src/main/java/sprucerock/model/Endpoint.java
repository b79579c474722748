package sprucerock.model;

import sprucerock.stats.DecayingMean;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One run of one machine's process: a restart, or another machine under the same id, is another
 * unit.
 */
public final class Endpoint {
  public final long id;
  public final int zone;
  public final int kind;
  public final int cell;
  public final Build build;

  /** When the process started; null where that was long ago. */
  public final Timestamp started;

  /** What the relay's pool keeps with it; nobody else looks at it. */
  public Object attachment;

  private double weight;
  private boolean ready;
  private int inFlight;
  private int row;

  /** Where it stands in its build's list. */
  int position;

  /** What the module notes about the unit, from here on. */
  private int outcomes;

  private int seen;
  public Timestamp retryAt;
  public Timestamp lastAnsweredAt;
  public DecayingMean relativeLatency;

  /** The same for all units of its zone. */
  public DecayingMean zoneRelativeLatency;

  public double warmUpTokens;
  public Timestamp warmUpTokensAt;
  public int excess;

  /** Picks of all relays that are out, where this relay adds them up. */
  public sprucerock.stats.DecayingSum fleetInFlight;

  /** How many it was said to hold, and when. */
  public int reportedInFlight;

  public Timestamp reportedAt;

  public Endpoint(
      long id, int zone, int kind, int cell, Build build, Timestamp started, double weight) {
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    this.cell = cell;
    this.build = build;
    this.started = started;
    this.weight = weight;
  }

  /** Its size beside others', with no unit. */
  public double weight() {
    return weight;
  }

  /** May get new work. */
  public boolean ready() {
    return ready;
  }

  /** How many picks of this relay are out at it. */
  public int inFlight() {
    return inFlight;
  }

  /** Its row in the accounts. */
  public int row() {
    return row;
  }

  @WrittenByRequestTracker
  public void row(int inAccounts) {
    row = inAccounts;
  }

  @WrittenByRequestTracker
  public void setWeight(double now) {
    weight = now;
  }

  @WrittenByRequestTracker
  public void ready(boolean may) {
    ready = may;
  }

  @WrittenByRequestTracker
  public void attemptStarted() {
    inFlight++;
  }

  @WrittenByRequestTracker
  public void attemptEnded() {
    inFlight--;
  }

  public void recordResult(boolean ok) {
    outcomes = outcomes << 1 | (ok ? 1 : 0);
    seen++;
  }

  /** How many of the last outcomes are known, of so many at most. */
  public int knownResults(int most) {
    return Math.min(seen, most);
  }

  /** How many of the last so many outcomes were no success. */
  public int failedResults(int most) {
    int known = knownResults(most);
    return known - Integer.bitCount(outcomes & (1 << known) - 1);
  }

  public boolean sameRun(int build, Timestamp started) {
    return this.build.number == build && java.util.Objects.equals(this.started, started);
  }

  public boolean olderThan(TimeSpan age, Timestamp now) {
    return started == null || now.since(started).over(age);
  }
}
