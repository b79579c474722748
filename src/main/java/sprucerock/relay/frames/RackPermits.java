package sprucerock.relay.frames;

import java.util.HashMap;
import java.util.Map;
import sprucerock.config.RelayConfig;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.snapshot.RackSnapshot;
import sprucerock.relay.snapshot.SharedSnapshot;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.RackFree;

/**
 * Until when this relay may place work on which rack, as the controller promised. A promise counts
 * from before it was requested, by this relay's clock, shortened by the clocks' possible drift, and
 * work is placed only if the longest RPC ends within it. Before the first promise nothing is
 * placed: the racks are not known, and one may be frozen. Without the controller, the promises hold
 * until they expire, rack by rack. For the event loop's thread.
 */
public final class RackPermits {
  /** What the permits need of the relay, and tell it. */
  public interface PermitListener {
    /** Sends a request to the controller; false where it is away. */
    boolean requestPromise(PromiseAsk ask);

    /** The first promise has come: work may be placed from now on. */
    void firstPromiseReceived();

    /** Permits may have changed; called every 50 ms too, as they expire. */
    void permitsChanged();
  }

  /** In a request: no list is known, one is welcome. */
  private static final long NO_LIST = 1;

  /** Over which the requests of relays that were notified together are spread. */
  private static final TimeSpan REQUEST_JITTER = TimeSpan.ofMs(100);

  /** A fifth of the shortest deadline that is in use; a check is cheap. */
  private static final TimeSpan CHECK_INTERVAL = TimeSpan.ofMs(50);

  private final Net net;
  private final RelayConfig config;
  private final EventLog eventLog;
  private final DeterministicRandom random;
  private final PermitListener listener;
  private final SharedSnapshot snapshots = new SharedSnapshot();
  private final Map<Long, Timestamp> requestedAt = new HashMap<>();
  // The list of racks is sent whole once. By its id a controller then names only racks that are
  // free
  // for less than their notice; one that knows no lists, or has another, names all.
  private long listId = NO_LIST;
  private Map<Integer, TimeSpan> noticeByRack = Map.of();
  private long lastRequestId;
  private long epoch;
  private Timer nextRequest;
  private Timer nextCheck;
  private boolean promiseReceived;
  private boolean stopped;

  /** Requests nothing yet, see {@link #start}. */
  public RackPermits(
      Net net,
      RelayConfig config,
      EventLog eventLog,
      DeterministicRandom random,
      PermitListener listener) {
    this.net = net;
    this.config = config;
    this.eventLog = eventLog;
    this.random = random;
    this.listener = listener;
  }

  /** Begins to request promises, where racks are configured. */
  public void start() {
    if (config.rackPermitInterval != null) {
      requestPromise();
    }
  }

  /** Requests nothing more; later promises are ignored. */
  public void stop() {
    stopped = true;
    if (nextRequest != null) {
      nextRequest.cancel();
    }
    if (nextCheck != null) {
      nextCheck.cancel();
    }
  }

  private void requestPromise() {
    if (stopped) {
      return;
    }
    // an answer that took longer than a round is of no use: the next one is on its way
    requestedAt.clear();
    PromiseAsk ask =
        PromiseAsk.newBuilder()
            .setId(++lastRequestId)
            .setHolds(snapshots.current().sequence())
            .setList(listId)
            .build();
    requestedAt.put(lastRequestId, net.now());
    listener.requestPromise(ask);
    nextRequest =
        net.at(
            net.now().plus(config.rackPermitInterval.times(0.75 + 0.5 * random.next())),
            this::requestPromise);
  }

  /** A promise has come, or, with id 0, the notice that something has changed. */
  public void promiseReceived(Promised promised) {
    if (config.rackPermitInterval == null || stopped) {
      return;
    }
    if (promised.getId() == 0) {
      // something has changed
      nextRequest.cancel();
      nextRequest =
          net.at(net.now().plus(REQUEST_JITTER.times(random.next())), this::requestPromise);
      return;
    }
    Timestamp from = requestedAt.remove(promised.getId());
    if (from == null) {
      return;
    }
    if (promised.getEpoch() < epoch) {
      eventLog.warn(
          EventLog.Event.NEWS_REFUSED,
          "a promise of epoch " + promised.getEpoch() + ", " + epoch + " was heard");
      return;
    }
    if (promised.getRest() && promised.getList() != listId) {
      // never asked for: what it leaves out can't be known
      eventLog.warn(EventLog.Event.NEWS_REFUSED, "a promise by a list of racks that was not told");
      listId = NO_LIST;
      return;
    }
    epoch = promised.getEpoch();
    double driftFactor = (1 - config.rackClockDrift) / (1 + config.rackClockDrift);
    Map<Integer, Timestamp> until = new HashMap<>();
    if (promised.getRest()) {
      noticeByRack.forEach((rack, notice) -> until.put(rack, from.plus(notice.times(driftFactor))));
    } else {
      rememberNotices(promised);
    }
    for (RackFree rack : promised.getRacksList()) {
      until.put(
          RackSnapshot.key(rack.getZone(), rack.getCell()),
          from.plus(TimeSpan.ofMs(rack.getLeftMs() * driftFactor)));
    }
    if (!snapshots.publish(new RackSnapshot(promised.getSequence(), until))) {
      return;
    }
    boolean isFirst = !promiseReceived;
    promiseReceived = true;
    checkPermits();
    if (isFirst) {
      listener.firstPromiseReceived();
    }
  }

  private void rememberNotices(Promised whole) {
    listId = whole.getList() == 0 ? NO_LIST : whole.getList();
    noticeByRack = new HashMap<>();
    if (listId == NO_LIST) {
      return;
    }
    for (RackFree rack : whole.getRacksList()) {
      noticeByRack.put(
          RackSnapshot.key(rack.getZone(), rack.getCell()), TimeSpan.ofMs(rack.getNoticeMs()));
    }
  }

  /** Has endpoints follow the permits, now and at each interval. */
  private void checkPermits() {
    if (nextCheck != null) {
      nextCheck.cancel();
    }
    listener.permitsChanged();
    nextCheck = net.at(net.now().plus(CHECK_INTERVAL), this::checkPermits);
  }

  /**
   * Whether new work may be placed on the endpoint: all that may run there ends before its rack may
   * be frozen.
   */
  boolean mayPlace(Endpoint endpoint) {
    return mayPlace(endpoint.zone, endpoint.cell, net.now(), config.longestDeadline);
  }

  /** The same for a rack, by zone and cell. */
  public boolean mayPlace(int zone, int cell) {
    return mayPlace(zone, cell, net.now(), config.longestDeadline);
  }

  private boolean mayPlace(int zone, int cell, Timestamp now, TimeSpan takes) {
    return mayHavePermits()
        && snapshots.current().mayPlace(RackSnapshot.key(zone, cell), now.ms(), takes.ms());
  }

  /**
   * The same just before an attempt is sent, without time to run: the process may have stood still
   * since the policy decided.
   */
  boolean mayStillPlace(Endpoint endpoint) {
    return mayPlace(endpoint.zone, endpoint.cell, net.readClock(), TimeSpan.ZERO);
  }

  /** Whether a promise has come, or none is needed as racks are not configured. */
  public boolean mayHavePermits() {
    return promiseReceived || config.rackPermitInterval == null;
  }
}
