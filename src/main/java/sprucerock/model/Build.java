package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One version of the servers' software, with the endpoints that run it and may get new work. */
public final class Build {
  /** Its number; a later build has a higher one. */
  public final int number;

  private final List<Endpoint> listed = new ArrayList<>();

  /** Those that may get new work, in an order that draws change; each knows its position. */
  public final List<Endpoint> endpoints = Collections.unmodifiableList(listed);

  private Timestamp latestStart;
  private int row;

  /** A build without endpoints; builds are compared by number, the newest is the highest. */
  public Build(int number) {
    this.number = number;
  }

  /**
   * The latest start of an endpoint's process, of all that were ready so far; null where all
   * started long ago.
   */
  public Timestamp latestStart() {
    return latestStart;
  }

  private Timestamp weighedAt;

  /** The weight of all endpoints, when it was added up last. */
  public double weight;

  /** The weight of those that had run for long enough, when it was added up last. */
  public double warmWeight;

  /**
   * Adds the weights up, if that was longer ago than {@code maxAge} or endpoints came or went
   * since.
   *
   * @param olderThan an endpoint that has run for longer counts in {@link #warmWeight}
   */
  public void refreshWeights(TimeSpan olderThan, TimeSpan maxAge, Timestamp now) {
    if (weighedAt != null && !now.since(weighedAt).over(maxAge)) {
      return;
    }
    weighedAt = now;
    weight = 0;
    warmWeight = 0;
    for (Endpoint endpoint : endpoints) {
      weight += endpoint.weight();
      if (endpoint.olderThan(olderThan, now)) {
        warmWeight += endpoint.weight();
      }
    }
  }

  /** Its row in the accounts of builds. */
  public int row() {
    return row;
  }

  /** Sets its row in the accounts. */
  @WrittenByRequestTracker
  public void setRow(int inAccounts) {
    row = inAccounts;
  }

  /** An endpoint is ready for new work. */
  @WrittenByRequestTracker
  public void add(Endpoint endpoint) {
    weighedAt = null;
    endpoint.positionInBuild = listed.size();
    listed.add(endpoint);
    if (endpoint.startedAt != null
        && (latestStart == null || endpoint.startedAt.after(latestStart))) {
      latestStart = endpoint.startedAt;
    }
  }

  /** An endpoint gets no new work any more. */
  @WrittenByRequestTracker
  public void remove(Endpoint endpoint) {
    weighedAt = null;
    swap(endpoint.positionInBuild, listed.size() - 1);
    listed.remove(listed.size() - 1);
  }

  /**
   * Draws an endpoint without replacement.
   *
   * @param done how many were drawn before; less than there are
   * @param random uniform, from 0 to under 1
   */
  public Endpoint draw(int done, double random) {
    swap(done, done + (int) (random * (listed.size() - done)));
    return listed.get(done);
  }

  private void swap(int one, int two) {
    Endpoint first = listed.get(one);
    Endpoint second = listed.get(two);
    listed.set(one, second);
    listed.set(two, first);
    second.positionInBuild = one;
    first.positionInBuild = two;
  }
}
