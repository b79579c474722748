package sprucerock.relay.engine;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers;

/**
 * What a relay says in its log: each kind of event at most once a second, with how many were left
 * out in between.
 */
public final class EventLog {
  /** The kinds, as docs/operators/relay.md explains them one by one. */
  public enum Event {
    STARTED,
    FIGURES,
    FINISHING,
    FINISHED,
    MODULE,
    CLIENT_CUT,
    CLIENT_REFUSED,
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

  private static final TimeSpan EVERY =
      TimeSpan.ofMs(1000); // readable while it streams by, and a bound for disks

  private final Logger log;
  private final Timers timers;
  private final Map<Event, Timestamp> said = new EnumMap<>(Event.class);
  private final Map<Event, Integer> leftOut = new EnumMap<>(Event.class);

  public EventLog(Timers timers) {
    this(timers, LoggerFactory.getLogger("sprucerock.relay"));
  }

  /** Says it elsewhere. */
  public EventLog(Timers timers, Logger log) {
    this.timers = timers;
    this.log = log;
  }

  public void info(Event kind, String text) {
    if (due(kind)) {
      log.info("{} {}", kind, text(kind, text));
    }
  }

  public void warn(Event kind, String text) {
    if (due(kind)) {
      log.warn("{} {}", kind, text(kind, text));
    }
  }

  public void error(Event kind, String text) {
    if (due(kind)) {
      log.error("{} {}", kind, text(kind, text));
    }
  }

  /** Something in the program itself went wrong; always said. */
  public void internalError(Throwable why) {
    log.error("{} {}", Event.BROKEN, why.toString(), why);
  }

  private boolean due(Event kind) {
    Timestamp now = timers.now();
    Timestamp last = said.get(kind);
    if (last != null && !now.since(last).over(EVERY)) {
      leftOut.merge(kind, 1, Integer::sum);
      return false;
    }
    said.put(kind, now);
    return true;
  }

  private String text(Event kind, String text) {
    Integer more = leftOut.remove(kind);
    return more == null ? text : text + " (and " + more + " more of these since the last line)";
  }
}
