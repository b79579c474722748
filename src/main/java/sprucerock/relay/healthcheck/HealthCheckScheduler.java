package sprucerock.relay.healthcheck;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Which unit is to be looked at next by the one relay that looks for the whole fleet, and what
 * changed by it. A look asks a unit's process for a sign and runs no work, so that it costs a cold
 * unit nothing of its budget. What a unit that is called by somebody is worth, its callers know
 * better; it is looked at seldom. Nothing here outlives its holder: the next one begins anew, at
 * chance places.
 */
public final class HealthCheckScheduler {
  private static final TimeSpan BUSY =
      TimeSpan.ofMs(2000); // called within this: those who call see for themselves
  private static final TimeSpan SELDOM = TimeSpan.ofMs(10_000);
  private static final TimeSpan QUIET =
      TimeSpan.ofMs(2000); // about as long as silence of a link takes to be noticed
  private static final TimeSpan AGAIN =
      TimeSpan.ofMs(1000); // the module gives a sick unit one look a second by itself

  private static final class Known {
    private final long endpoint;
    private Timestamp due; // changed by due(...) alone, as the order hangs on it
    private Boolean answered; // null: not looked at yet

    Known(long endpoint) {
      this.endpoint = endpoint;
    }
  }

  /**
   * Whose turn comes first, first; of those due at one moment the one of the highest number, so
   * that the order is one of all.
   */
  private static final Comparator<Known> BY_TURN =
      Comparator.<Known, Timestamp>comparing(known -> known.due)
          .thenComparing(known -> known.endpoint, Comparator.reverseOrder());

  private final DoubleSupplier chance;
  private final Map<Long, Known> endpoints = new HashMap<>();

  /** The same units, by turn: a look asks for the first one, and walks none. */
  private final TreeSet<Known> byTurn = new TreeSet<>(BY_TURN);

  /** {@code chance} gives numbers from 0 to under 1. */
  public HealthCheckScheduler(DoubleSupplier chance) {
    this.chance = chance;
  }

  /** It is listed, and may get work. */
  public void add(long endpoint, Timestamp now) {
    if (endpoints.containsKey(endpoint)) {
      return;
    }
    Known known = new Known(endpoint);
    endpoints.put(endpoint, known);
    due(known, now.plus(QUIET.times(chance.getAsDouble())));
  }

  private void due(Known known, Timestamp when) {
    if (known.due != null) {
      byTurn.remove(known);
    }
    known.due = when;
    byTurn.add(known);
  }

  /** It is not any more. */
  public void remove(long endpoint) {
    Known known = endpoints.remove(endpoint);
    if (known != null) {
      byTurn.remove(known);
    }
  }

  /** Whose turn it is; -1: nobody's yet. It counts as looked at from now on. */
  public long next(Timestamp now) {
    if (byTurn.isEmpty() || byTurn.first().due.after(now)) {
      return -1;
    }
    Known first = byTurn.first();
    due(first, now.plus(SELDOM));
    return first.endpoint;
  }

  /** It gave a sign, and said how long nobody called it; true where others should be told. */
  public boolean answered(long endpoint, TimeSpan idle, Timestamp now) {
    Known known = endpoints.get(endpoint);
    if (known == null) {
      return false;
    }
    due(
        known,
        now.plus((BUSY.over(idle) ? SELDOM : QUIET).times(0.75 + 0.5 * chance.getAsDouble())));
    boolean news = Boolean.FALSE.equals(known.answered);
    known.answered = true;
    return news;
  }

  /** It gave none in time; others should be told. */
  public boolean timedOut(long endpoint, Timestamp now) {
    Known known = endpoints.get(endpoint);
    if (known == null) {
      return false;
    }
    due(known, now.plus(AGAIN.times(0.75 + 0.5 * chance.getAsDouble())));
    known.answered = false;
    return true;
  }

  /** Units that are known. */
  public int size() {
    return endpoints.size();
  }
}
