package sprucerock.relay.healthcheck;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The schedule of the one relay that checks the health of endpoints for the whole fleet: which
 * endpoint is checked next, and which results the other relays have to know. A health check only
 * asks whether an endpoint's process responds and runs no work, so it does not load an endpoint
 * that is warming up. Endpoints that get requests are checked seldom, because their callers know
 * their health better. The schedule is lost with the lease holder; the next holder starts a new one
 * with random due times. Not thread-safe.
 */
public final class HealthCheckScheduler {
  /** An endpoint that was called within this time span is busy: its callers observe its health. */
  private static final TimeSpan BUSY_IF_CALLED_WITHIN = TimeSpan.ofMs(2000);

  private static final TimeSpan BUSY_INTERVAL = TimeSpan.ofMs(10_000);

  /** About as long as it takes to detect a silent connection. */
  private static final TimeSpan IDLE_INTERVAL = TimeSpan.ofMs(2000);

  /** The routing policy also sends a failing endpoint one check a second. */
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.ofMs(1000);

  /** An interval is multiplied by a random factor from 0.75 to under 1.25. */
  private static final double JITTER_FLOOR = 0.75;

  private static final double JITTER_WIDTH = 0.5;

  private static final class Entry {
    private final long endpoint;

    /** When the next check is due. Changed only by schedule(...), as the order depends on it. */
    private Timestamp due;

    /** Whether the endpoint answered its last check; null: it has not been checked. */
    private Boolean answered;

    Entry(long endpoint) {
      this.endpoint = endpoint;
    }
  }

  /** Orders by due time, and endpoints due at the same time by descending id: a total order. */
  private static final Comparator<Entry> BY_DUE_TIME =
      Comparator.<Entry, Timestamp>comparing(entry -> entry.due)
          .thenComparing(entry -> entry.endpoint, Comparator.reverseOrder());

  private final DoubleSupplier random;
  private final Map<Long, Entry> entries = new HashMap<>();

  /** The same entries by due time, so that finding the next endpoint needs no scan. */
  private final TreeSet<Entry> byDueTime = new TreeSet<>(BY_DUE_TIME);

  /**
   * Creates an empty schedule.
   *
   * @param random returns numbers from 0 to under 1
   */
  public HealthCheckScheduler(DoubleSupplier random) {
    this.random = random;
  }

  /** Adds an endpoint of the endpoint list. Without effect if it is known. */
  public void add(long endpoint, Timestamp now) {
    if (entries.containsKey(endpoint)) {
      return;
    }
    Entry entry = new Entry(endpoint);
    entries.put(endpoint, entry);
    schedule(entry, now.plus(IDLE_INTERVAL.times(random.getAsDouble())));
  }

  private void schedule(Entry entry, Timestamp due) {
    if (entry.due != null) {
      byDueTime.remove(entry);
    }
    entry.due = due;
    byDueTime.add(entry);
  }

  private TimeSpan jittered(TimeSpan interval) {
    return interval.times(JITTER_FLOOR + JITTER_WIDTH * random.getAsDouble());
  }

  /** Removes an endpoint that left the endpoint list. Without effect if it is not known. */
  public void remove(long endpoint) {
    Entry entry = entries.remove(endpoint);
    if (entry != null) {
      byDueTime.remove(entry);
    }
  }

  /**
   * Returns the endpoint to check now; -1: none is due. Its next check is due after {@link
   * #BUSY_INTERVAL}, until an answer or a timeout is recorded.
   */
  public long takeNext(Timestamp now) {
    if (byDueTime.isEmpty() || byDueTime.first().due.after(now)) {
      return -1;
    }
    Entry first = byDueTime.first();
    schedule(first, now.plus(BUSY_INTERVAL));
    return first.endpoint;
  }

  /**
   * Records that an endpoint answered its health check.
   *
   * @param idle the time span since the last call of the endpoint, as the endpoint reports it
   * @return whether to notify the other relays: true if the endpoint is known and did not answer
   *     its previous check
   */
  public boolean recordAnswer(long endpoint, TimeSpan idle, Timestamp now) {
    Entry entry = entries.get(endpoint);
    if (entry == null) {
      return false;
    }
    TimeSpan interval = BUSY_IF_CALLED_WITHIN.over(idle) ? BUSY_INTERVAL : IDLE_INTERVAL;
    schedule(entry, now.plus(jittered(interval)));
    boolean recovered = Boolean.FALSE.equals(entry.answered);
    entry.answered = true;
    return recovered;
  }

  /**
   * Records that an endpoint did not answer its health check in time.
   *
   * @return whether to notify the other relays: true if the endpoint is known
   */
  public boolean recordTimeout(long endpoint, Timestamp now) {
    Entry entry = entries.get(endpoint);
    if (entry == null) {
      return false;
    }
    schedule(entry, now.plus(jittered(RETRY_INTERVAL)));
    entry.answered = false;
    return true;
  }

  /** Returns the number of known endpoints. */
  public int size() {
    return entries.size();
  }
}
