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
 * Until when this relay may place work on which rack, as the controller promised. It counts from
 * before it asked, by its own clock, shortened by what clocks may differ, and stops as long before
 * as the longest RPC may run. Before the first promise it places nothing: it can't know which racks
 * there are, and one may be frozen while it starts. Cut off from the controller it goes on by what
 * it was promised, and stops rack by rack as that runs out.
 */
public final class RackPermits {
  /** What it needs of the relay. */
  public interface PermitListener {
    /** False where nobody can be asked. */
    boolean requestPromise(PromiseAsk ask);

    /** It may place work from now on, where it was promised to. */
    void firstPromiseReceived();

    /** Some rack is free that was not, or the other way round. */
    void permitsChanged();
  }

  private static final long NO_LIST = 1; // of the protocol: one is welcome
  private static final TimeSpan REQUEST_JITTER =
      TimeSpan.ofMs(100); // over which relays that were told together ask

  private final Net net;
  private final RelayConfig config;
  private final EventLog events;
  private final DeterministicRandom random;
  private final PermitListener listener;
  private final SharedSnapshot snapshots = new SharedSnapshot();
  private final Map<Long, Timestamp> requestedAt = new HashMap<>();
  // Told whole once; by its number a controller names only racks that are free for less than their
  // notice. One that knows of no lists
  // tells all each time, and so does one whose racks are others.
  private long listId = NO_LIST;
  private Map<Integer, TimeSpan> noticeByRack = Map.of();
  private long lastRequestId;
  private long epoch;
  private Timer nextRequest;
  private Timer nextCheck;
  private boolean promiseReceived;
  private boolean stopped;

  /** It asks nobody yet, see {@link #start}. */
  public RackPermits(
      Net net,
      RelayConfig config,
      EventLog events,
      DeterministicRandom chance,
      PermitListener owner) {
    this.net = net;
    this.config = config;
    this.events = events;
    this.random = chance;
    this.listener = owner;
  }

  public void start() {
    if (config.racksEvery != null) {
      requestPromise();
    }
  }

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
    requestedAt
        .clear(); // an answer that took longer than a round is of no use: the next one is on its
    // way
    PromiseAsk ask =
        PromiseAsk.newBuilder()
            .setId(++lastRequestId)
            .setHolds(snapshots.take().sequence())
            .setList(listId)
            .build();
    requestedAt.put(lastRequestId, net.now());
    listener.requestPromise(ask);
    nextRequest =
        net.at(
            net.now().plus(config.racksEvery.times(0.75 + 0.5 * random.next())),
            this::requestPromise);
  }

  /** An answer, or word that something has changed. */
  public void promiseReceived(Promised promised) {
    if (config.racksEvery == null || stopped) {
      return;
    }
    if (promised.getId() == 0) { // something has changed
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
      events.warn(
          EventLog.Event.NEWS_REFUSED,
          "a promise of epoch " + promised.getEpoch() + ", " + epoch + " was heard");
      return;
    }
    if (promised.getRest()
        && promised.getList() != listId) { // never asked for: what it leaves out can't be known
      events.warn(EventLog.Event.NEWS_REFUSED, "a promise by a list of racks that was not told");
      listId = NO_LIST;
      return;
    }
    epoch = promised.getEpoch();
    double shorter = (1 - config.racksDrift) / (1 + config.racksDrift);
    Map<Integer, Timestamp> until = new HashMap<>();
    if (promised.getRest()) {
      noticeByRack.forEach((rack, notice) -> until.put(rack, from.plus(notice.times(shorter))));
    } else {
      rememberNotices(promised);
    }
    for (RackFree rack : promised.getRacksList()) {
      until.put(
          RackSnapshot.key(rack.getZone(), rack.getCell()),
          from.plus(TimeSpan.ofMs(rack.getLeftMs() * shorter)));
    }
    if (!snapshots.put(new RackSnapshot(promised.getSequence(), until))) {
      return;
    }
    boolean first = !promiseReceived;
    promiseReceived = true;
    checkPermits();
    if (first) {
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

  /** Now, and when the next rack has to be left. */
  private void checkPermits() {
    if (nextCheck != null) {
      nextCheck.cancel();
    }
    listener.permitsChanged();
    nextCheck =
        net.at(
            net.now().plus(TimeSpan.ofMs(50)),
            this::checkPermits); // a fifth of the shortest deadline that is in use, and cheap
  }

  /**
   * Whether new work may be placed on the unit: all that may run there is over before its rack may
   * be frozen.
   */
  boolean mayPlace(Endpoint endpoint) {
    return mayPlace(endpoint.zone, endpoint.cell, net.now(), config.longestDeadline);
  }

  /** The same for a rack by its place. */
  public boolean mayPlace(int zone, int cell) {
    return mayPlace(zone, cell, net.now(), config.longestDeadline);
  }

  /**
   * The same at the last instant before it goes out: this process may have stood still since the
   * module chose.
   */
  boolean mayStillPlace(Endpoint endpoint) {
    return mayPlace(endpoint.zone, endpoint.cell, net.clock(), TimeSpan.ZERO);
  }

  /** Racks are nothing to it, or it was promised something. */
  public boolean mayHavePermits() {
    return promiseReceived || config.racksEvery == null;
  }

  private boolean mayPlace(int zone, int cell, Timestamp now, TimeSpan takes) {
    return mayHavePermits()
        && snapshots.take().mayPlace(RackSnapshot.key(zone, cell), now.ms(), takes.ms());
  }
}
