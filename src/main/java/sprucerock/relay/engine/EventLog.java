package sprucerock.relay.engine;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers;

/**
 * A relay's log, rate limited: each event is logged at most once a second, with the number of those
 * suppressed since. Not thread-safe; for the event loop's thread.
 */
public final class EventLog {
  /**
   * The events. Their names stand in log lines, alerts search for them: they are never renamed.
   * docs/operators/relay.md explains them one by one.
   */
  public enum Event {
    STARTED,
    FIGURES,
    FINISHING,
    FINISHED,
    MODULE,
    CLIENT_CUT,
    CLIENT_REFUSED,
    CLIENT_LEFT,
    CLIENTS,
    TURNED_AWAY,
    UNIT_LOST,
    UNIT_MISNAMED,
    LISTING_REFUSED,
    ROSTER_LOST,
    ROSTER_BACK,
    DESK_LOST,
    DESK_BACK,
    NEWS_REFUSED,
    PEER_LOST,
    VOTE_UNANSWERED,
    DRIFT,
    FIGURES_FILE,
    UNIT_REFUSED,
    TLS_FILES,
    SETTINGS,
    PLATFORM_UNREADABLE,
    HELD_UP,
    LEASE,
    GRANTER_LOST,
    BROKEN
  }

  /** Few enough lines to be read as they scroll by, and a bound for the disk. */
  private static final TimeSpan MIN_INTERVAL = TimeSpan.ofMs(1000);

  private final Logger log;
  private final Timers timers;
  private final Map<Event, Timestamp> lastLogged = new EnumMap<>(Event.class);
  private final Map<Event, Integer> suppressed = new EnumMap<>(Event.class);

  /** Logs to the logger {@code sprucerock.relay}, by the clock of {@code timers}. */
  public EventLog(Timers timers) {
    this(timers, LoggerFactory.getLogger("sprucerock.relay"));
  }

  /** Logs to another logger. */
  public EventLog(Timers timers, Logger log) {
    this.timers = timers;
    this.log = log;
  }

  /** Logs something expected, unless the event was logged within the last second. */
  public void info(Event event, String text) {
    if (isDue(event)) {
      log.info("{} {}", event, withSuppressed(event, text));
    }
  }

  /**
   * Logs something that the relay copes with, unless the event was logged within the last second.
   */
  public void warn(Event event, String text) {
    if (isDue(event)) {
      log.warn("{} {}", event, withSuppressed(event, text));
    }
  }

  /**
   * Logs something that an operator has to act on, unless the event was logged within the last
   * second.
   */
  public void error(Event event, String text) {
    if (isDue(event)) {
      log.error("{} {}", event, withSuppressed(event, text));
    }
  }

  /** Logs a fault of the program itself, with its stack trace; never suppressed. */
  public void internalError(Throwable fault) {
    log.error("{} {}", Event.BROKEN, fault.toString(), fault);
  }

  private boolean isDue(Event event) {
    Timestamp now = timers.now();
    Timestamp last = lastLogged.get(event);
    if (last != null && !now.since(last).over(MIN_INTERVAL)) {
      suppressed.merge(event, 1, Integer::sum);
      return false;
    }
    lastLogged.put(event, now);
    return true;
  }

  private String withSuppressed(Event event, String text) {
    Integer count = suppressed.remove(event);
    return count == null ? text : text + " (and " + count + " more of these since the last line)";
  }
}
