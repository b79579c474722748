package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One build of the servers' software, with the endpoints that run it and may get new attempts.
 * Builds are ordered by number; the newest build has the highest number.
 */
public final class Build {
  /** The build number; a later build has a higher number. */
  public final int number;

  private final List<Endpoint> readyEndpoints = new ArrayList<>();

  /**
   * The endpoints that may get new attempts; read-only. {@link #draw} changes their order, and each
   * endpoint stores its position in this list.
   */
  public final List<Endpoint> endpoints = Collections.unmodifiableList(readyEndpoints);

  private Timestamp latestStart;
  private int row;

  /** Creates a build without endpoints. */
  public Build(int number) {
    this.number = number;
  }

  /**
   * Returns the latest known start time of all endpoints that have been ready so far; null if there
   * is none, because no endpoint was ready yet or all of them started long ago.
   */
  public Timestamp latestStart() {
    return latestStart;
  }

  private Timestamp weightsComputedAt;

  /** The sum of all endpoints' weights at the last {@link #refreshWeights}. */
  public double weight;

  /**
   * The sum of the weights of the endpoints whose process was older than {@code minWarmAge} at the
   * last {@link #refreshWeights}.
   */
  public double warmWeight;

  /**
   * Recomputes {@link #weight} and {@link #warmWeight} if they are older than {@code maxAge} or an
   * endpoint was added or removed since.
   *
   * @param minWarmAge the age above which a process counts in {@link #warmWeight}
   */
  public void refreshWeights(TimeSpan minWarmAge, TimeSpan maxAge, Timestamp now) {
    if (weightsComputedAt != null && !now.since(weightsComputedAt).over(maxAge)) {
      return;
    }
    weightsComputedAt = now;
    weight = 0;
    warmWeight = 0;
    for (Endpoint endpoint : endpoints) {
      weight += endpoint.weight();
      if (endpoint.olderThan(minWarmAge, now)) {
        warmWeight += endpoint.weight();
      }
    }
  }

  /** Returns this build's row in the accounts. */
  public int row() {
    return row;
  }

  /** Sets this build's row in the accounts. */
  @WrittenByRequestTracker
  public void setRow(int accountRow) {
    row = accountRow;
  }

  /** Adds an endpoint that may get new attempts. */
  @WrittenByRequestTracker
  public void add(Endpoint endpoint) {
    weightsComputedAt = null;
    endpoint.positionInBuild = readyEndpoints.size();
    readyEndpoints.add(endpoint);
    if (endpoint.startedAt != null
        && (latestStart == null || endpoint.startedAt.after(latestStart))) {
      latestStart = endpoint.startedAt;
    }
  }

  /** Removes an endpoint that gets no new attempts any more. */
  @WrittenByRequestTracker
  public void remove(Endpoint endpoint) {
    weightsComputedAt = null;
    swap(endpoint.positionInBuild, readyEndpoints.size() - 1);
    readyEndpoints.remove(readyEndpoints.size() - 1);
  }

  /**
   * Draws a random endpoint without replacement. The endpoints drawn in one series of calls move to
   * the front of {@link #endpoints}, in the order in which they are drawn.
   *
   * @param drawnBefore how many endpoints this series has drawn, from 0; less than the number of
   *     endpoints
   * @param random uniformly distributed, from 0 (inclusive) to 1 (exclusive)
   */
  public Endpoint draw(int drawnBefore, double random) {
    swap(drawnBefore, drawnBefore + (int) (random * (readyEndpoints.size() - drawnBefore)));
    return readyEndpoints.get(drawnBefore);
  }

  private void swap(int firstPosition, int secondPosition) {
    Endpoint first = readyEndpoints.get(firstPosition);
    Endpoint second = readyEndpoints.get(secondPosition);
    readyEndpoints.set(firstPosition, second);
    readyEndpoints.set(secondPosition, first);
    second.positionInBuild = firstPosition;
    first.positionInBuild = secondPosition;
  }
}
