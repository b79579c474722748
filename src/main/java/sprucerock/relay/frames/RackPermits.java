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

  private static final long NO_LIST = 1;
  // of the protocol: one is welcome
  private static final TimeSpan SPREAD = TimeSpan.ofMs(100);
  // over which relays that were told together ask

  private final Net net;
  private final RelayConfig config;
  private final EventLog events;
  private final DeterministicRandom chance;
  private final PermitListener owner;
  private final SharedSnapshot shared = new SharedSnapshot();
  private final Map<Long, Timestamp> asked = new HashMap<>();
  // Told whole once; by its number a controller names only racks that are free for less than their
  // notice. One that knows of no lists
  // tells all each time, and so does one whose racks are others.
  private long list = NO_LIST;
  private Map<Integer, TimeSpan> notices = Map.of();
  private long lastAsk;
  private long epoch;
  private Timer next;
  private Timer turns;
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
    this.chance = chance;
    this.owner = owner;
  }

  public void start() {
    if (config.rackPermitInterval != null) {
      ask();
    }
  }

  public void stop() {
    stopped = true;
    if (next != null) {
      next.cancel();
    }
    if (turns != null) {
      turns.cancel();
    }
  }

  private void ask() {
    if (stopped) {
      return;
    }
    asked.clear();
    // an answer that took longer than a round is of no use: the next one is on its
    // way
    PromiseAsk ask =
        PromiseAsk.newBuilder()
            .setId(++lastAsk)
            .setHolds(shared.current().sequence())
            .setList(list)
            .build();
    asked.put(lastAsk, net.now());
    owner.requestPromise(ask);
    next =
        net.at(
            net.now().plus(config.rackPermitInterval.times(0.75 + 0.5 * chance.next())), this::ask);
  }

  /** An answer, or word that something has changed. */
  public void promiseReceived(Promised promised) {
    if (config.rackPermitInterval == null || stopped) {
      return;
    }
    if (promised.getId() == 0) {
      // something has changed
      next.cancel();
      next = net.at(net.now().plus(SPREAD.times(chance.next())), this::ask);
      return;
    }
    Timestamp from = asked.remove(promised.getId());
    if (from == null) {
      return;
    }
    if (promised.getEpoch() < epoch) {
      events.warn(
          EventLog.Event.NEWS_REFUSED,
          "a promise of epoch " + promised.getEpoch() + ", " + epoch + " was heard");
      return;
    }
    if (promised.getRest() && promised.getList() != list) {
      // never asked for: what it leaves out can't be known
      events.warn(EventLog.Event.NEWS_REFUSED, "a promise by a list of racks that was not told");
      list = NO_LIST;
      return;
    }
    epoch = promised.getEpoch();
    double shorter = (1 - config.rackClockDrift) / (1 + config.rackClockDrift);
    Map<Integer, Timestamp> until = new HashMap<>();
    if (promised.getRest()) {
      notices.forEach((rack, notice) -> until.put(rack, from.plus(notice.times(shorter))));
    } else {
      keep(promised);
    }
    for (RackFree rack : promised.getRacksList()) {
      until.put(
          RackSnapshot.key(rack.getZone(), rack.getCell()),
          from.plus(TimeSpan.ofMs(rack.getLeftMs() * shorter)));
    }
    if (!shared.publish(new RackSnapshot(promised.getSequence(), until))) {
      return;
    }
    boolean first = !promiseReceived;
    promiseReceived = true;
    look();
    if (first) {
      owner.firstPromiseReceived();
    }
  }

  private void keep(Promised whole) {
    list = whole.getList() == 0 ? NO_LIST : whole.getList();
    notices = new HashMap<>();
    if (list == NO_LIST) {
      return;
    }
    for (RackFree rack : whole.getRacksList()) {
      notices.put(
          RackSnapshot.key(rack.getZone(), rack.getCell()), TimeSpan.ofMs(rack.getNoticeMs()));
    }
  }

  /** Now, and when the next rack has to be left. */
  private void look() {
    if (turns != null) {
      turns.cancel();
    }
    owner.permitsChanged();
    turns = net.at(net.now().plus(TimeSpan.ofMs(50)), this::look);
    // a fifth of the shortest deadline that is in use, and cheap
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
    return mayPlace(endpoint.zone, endpoint.cell, net.readClock(), TimeSpan.ZERO);
  }

  /** Racks are nothing to it, or it was promised something. */
  public boolean mayHavePermits() {
    return promiseReceived || config.rackPermitInterval == null;
  }

  private boolean mayPlace(int zone, int cell, Timestamp now, TimeSpan takes) {
    return mayHavePermits()
        && shared.current().mayPlace(RackSnapshot.key(zone, cell), now.ms(), takes.ms());
  }
}
