package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One version of the servers' software, with the units that run it and may get new work. */
public final class Build {
  public final int number;
  private final List<Endpoint> listed = new ArrayList<>();

  /** Those that may get new work, in an order that draws change; each unit knows its place. */
  public final List<Endpoint> endpoints = Collections.unmodifiableList(listed);

  private Timestamp newestStart;
  private int row;

  public Build(int number) {
    this.number = number;
  }

  /**
   * When the process of a unit started last, of all that were ready so far; null where all did long
   * ago.
   */
  public Timestamp newestStart() {
    return newestStart;
  }

  private Timestamp weighedAt;

  /** The weights of all units and of those older than asked for, when they were added up last. */
  public double weight;

  public double weightOfOlder;

  /** Adds the weights up, if that was longer ago than {@code keep} or units came or went since. */
  public void refreshWeights(TimeSpan age, TimeSpan keep, Timestamp now) {
    if (weighedAt != null && !now.since(weighedAt).over(keep)) {
      return;
    }
    weighedAt = now;
    weight = 0;
    weightOfOlder = 0;
    for (Endpoint endpoint : endpoints) {
      weight += endpoint.weight();
      if (endpoint.olderThan(age, now)) {
        weightOfOlder += endpoint.weight();
      }
    }
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
  public void add(Endpoint endpoint) {
    weighedAt = null;
    endpoint.position = listed.size();
    listed.add(endpoint);
    if (endpoint.started != null && (newestStart == null || endpoint.started.after(newestStart))) {
      newestStart = endpoint.started;
    }
  }

  @WrittenByRequestTracker
  public void remove(Endpoint endpoint) {
    weighedAt = null;
    swap(endpoint.position, listed.size() - 1);
    listed.remove(listed.size() - 1);
  }

  /**
   * The unit of a draw without return: {@code done} draws came before, {@code dice} is from 0 to
   * under 1.
   */
  public Endpoint draw(int done, double dice) {
    swap(done, done + (int) (dice * (listed.size() - done)));
    return listed.get(done);
  }

  private void swap(int one, int two) {
    Endpoint first = listed.get(one);
    Endpoint second = listed.get(two);
    listed.set(one, second);
    listed.set(two, first);
    second.position = one;
    first.position = two;
  }
}
