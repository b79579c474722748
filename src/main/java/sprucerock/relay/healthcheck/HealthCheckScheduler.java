package sprucerock.relay.healthcheck;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Which endpoint the one relay that checks for the whole fleet checks next, and what changed by it.
 * A check asks an endpoint's process for a sign of life and runs no work, so that it costs an
 * endpoint that is warming up nothing. The health of an endpoint that gets requests its callers
 * know better; it is checked seldom. The schedule is lost with its holder: the next one begins
 * anew, at random places. Not thread-safe.
 */
public final class HealthCheckScheduler {
  /** Called within this: those who call see for themselves. */
  private static final TimeSpan BUSY_IF_CALLED_WITHIN = TimeSpan.ofMs(2000);

  private static final TimeSpan BUSY_INTERVAL = TimeSpan.ofMs(10_000);

  /** About as long as the silence of a connection takes to be noticed. */
  private static final TimeSpan IDLE_INTERVAL = TimeSpan.ofMs(2000);

  /** The routing policy gives a failing endpoint one check a second by itself. */
  private static final TimeSpan RETRY_INTERVAL = TimeSpan.ofMs(1000);

  /** Intervals are drawn from 0.75 to under 1.25 of themselves. */
  private static final double JITTER_FLOOR = 0.75;

  private static final double JITTER_WIDTH = 0.5;

  private static final class Entry {
    private final long endpoint;
    private Timestamp due; // changed by schedule(...) alone, as the order depends on it
    private Boolean answered; // null: not checked yet

    Entry(long endpoint) {
      this.endpoint = endpoint;
    }
  }

  /**
   * The earliest first; of those due at one time the highest number, so that the order is total.
   */
  private static final Comparator<Entry> BY_DUE_TIME =
      Comparator.<Entry, Timestamp>comparing(entry -> entry.due)
          .thenComparing(entry -> entry.endpoint, Comparator.reverseOrder());

  private final DoubleSupplier random;
  private final Map<Long, Entry> entries = new HashMap<>();

  /** The same entries: a check asks for the first one, and walks none. */
  private final TreeSet<Entry> byDueTime = new TreeSet<>(BY_DUE_TIME);

  /** An empty one; {@code random} gives numbers from 0 to under 1. */
  public HealthCheckScheduler(DoubleSupplier random) {
    this.random = random;
  }

  /** The endpoint is listed, and may get requests; without effect if it is known. */
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

  /** The endpoint is listed no more; without effect if it isn't known. */
  public void remove(long endpoint) {
    Entry entry = entries.remove(endpoint);
    if (entry != null) {
      byDueTime.remove(entry);
    }
  }

  /** The endpoint to check now; -1: none is due. It counts as checked from now on. */
  public long takeNext(Timestamp now) {
    if (byDueTime.isEmpty() || byDueTime.first().due.after(now)) {
      return -1;
    }
    Entry first = byDueTime.first();
    schedule(first, now.plus(BUSY_INTERVAL));
    return first.endpoint;
  }

  /**
   * An endpoint answered its check.
   *
   * @param idle for how long nobody has called it, as it says
   * @return true where others should be notified: it had not answered the last one
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

  /** An endpoint didn't answer its check in time; true where others should be notified. */
  public boolean recordTimeout(long endpoint, Timestamp now) {
    Entry entry = entries.get(endpoint);
    if (entry == null) {
      return false;
    }
    schedule(entry, now.plus(jittered(RETRY_INTERVAL)));
    entry.answered = false;
    return true;
  }

  /** Endpoints that are known. */
  public int size() {
    return entries.size();
  }
}
