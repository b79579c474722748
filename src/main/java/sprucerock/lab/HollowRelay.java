package sprucerock.lab;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.helpers.NOPLogger;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.LeaseConfig;
import sprucerock.config.RelayConfig;
import sprucerock.lease.LeaseCheck;
import sprucerock.lease.LeaseManager;
import sprucerock.model.RolloutState;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.frames.ControllerConnection;
import sprucerock.relay.frames.RackPermits;
import sprucerock.stats.DeterministicRandom;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;

/**
 * A relay without requests: its link to the controller, its ledger, what it was promised of racks
 * and its candidacy for the fleet's looks are the relay's own. It says nothing in a log, where
 * thousands would say the same; what it hears of each kind of event is timed here. On one loop's
 * thread.
 */
final class HollowRelay implements RackPermits.PermitListener, FrameTap {
  /** What is in force is timed for. */
  enum Event {
    NEWS,
    FREEZE,
    LINKED,
    CONTROL
  }

  private static final String LEASE = "looks";
  // of relay.Looks
  private static final LeaseManager.Log SILENT =
      new LeaseManager.Log() {
        @Override
        public void info(String what) {}

        @Override
        public void warn(String what) {}
      };
  private static final LeaseManager.Listener NO_LOOKS =
      new LeaseManager.Listener() {
        @Override
        public void acquired(LeaseCheck guard) {}

        @Override
        public void lost(String why) {}
      };

  private final Net net;
  private final RelayConfig config;
  private final int number;
  private final LinkCounts controller;
  private final LinkCounts granters;
  private final Map<Long, Long> votesOut = new HashMap<>();
  private ControllerConnection desk;
  private RackPermits racks;
  private LeaseManager leases;
  private UnresponsivePeer.Told news;
  private int lives;
  private long epoch;
  private long sequence;
  private boolean connected;
  // what is waited for: an event, what is known already, and since when (microseconds of the
  // machine) it is in force; 0: not yet
  private Event event;
  private long beyond;
  private long inForce;
  private int zone = -1;
  private int cell;
  private long votesCast;
  private long votesCounted;
  private long votesRefused;
  private final List<Long> votesTook = new ArrayList<>();

  HollowRelay(Net net, RelayConfig config, int number, LinkCounts controller, LinkCounts granters) {
    this.net = net;
    this.config = config;
    this.number = number;
    this.controller = controller;
    this.granters = granters;
  }

  /** As its process starts: with nothing known of its former life. */
  void start() {
    lives++;
    connected = false;
    news = null;
    votesOut.clear();
    RequestTracker ledger = new RequestTracker(config.settings);
    ledger.setListener(new UnresponsivePeer(this::news));
    EventLog events = new EventLog(net, NOPLogger.NOP_LOGGER);
    DeterministicRandom chance =
        new DeterministicRandom(config.seed ^ number * 0x9e3779b97f4a7c15L + lives);
    Hello mine =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(number)
            .setName("hollow-" + number)
            .build();
    racks = new RackPermits(net, config, events, chance, this);
    RackPermits promised = racks;
    desk =
        new ControllerConnection(
            net,
            config,
            mine,
            this,
            ledger,
            events,
            chance,
            this::answered,
            promised::promiseReceived,
            this::learnt);
    LeaseConfig of = config.leases;
    leases =
        new LeaseManager(
            net,
            new LeaseConfig(
                number,
                -1,
                null,
                of.grantors(),
                of.term(),
                of.maxTerm(),
                of.drift(),
                of.maxConnections(),
                null,
                null),
            "hollow-" + number,
            (long) (chance.next() * Long.MAX_VALUE),
            granters,
            System::currentTimeMillis,
            SILENT);
    desk.start();
    racks.start();
    leases.start();
    leases.campaign(LEASE, NO_LOOKS);
  }

  void stop() {
    connected = false;
    desk.stop();
    racks.stop();
    leases.stop();
  }

  boolean connected() {
    return connected;
  }

  /**
   * From now on it is noted when this is in force; {@code of}: a build for news, zone and cell of a
   * rack for a freeze.
   */
  void expect(Event what, int... of) {
    event = what;
    inForce = 0;
    beyond = what == Event.NEWS ? of[0] : what == Event.FREEZE ? sequence : epoch;
    if (what == Event.FREEZE) {
      zone = of[0];
      cell = of[1];
    }
  }

  /** Microseconds of the machine; 0: it is not in force here. */
  long inForce() {
    return inForce;
  }

  /** It places nothing new on the rack of the freeze that was expected last. */
  boolean keepsOff() {
    return zone >= 0 && !racks.mayPlace(zone, cell);
  }

  private void now(Event what) {
    if (event == what && inForce == 0) {
      inForce = NioLoop.monotonicMicros();
    }
  }

  private void news(UnresponsivePeer.Told told) {
    news = told;
    if (event == Event.NEWS
        && told.build().number == beyond
        && told.standing() == RolloutState.ON_TRIAL) {
      now(Event.NEWS);
    }
  }

  /** As relay.Relay lets its clients in: once news and a first promise are there. */
  private void learnt() {
    if (connected || !desk.hasNews() || !racks.mayHavePermits()) {
      return;
    }
    connected = true;
    now(Event.LINKED);
  }

  /** Votes on what it was told of last; false where it was told of no trial. */
  boolean vote() {
    if (news == null || news.standing() != RolloutState.ON_TRIAL || !connected) {
      return false;
    }
    votesCast++;
    desk.vote(news.build(), news.stage(), Verdict.ON);
    return true;
  }

  private void answered(VoteReply reply) {
    if (reply == VoteReply.COUNTS) {
      votesCounted++;
    } else {
      votesRefused++;
    }
  }

  long votesCast() {
    return votesCast;
  }

  long votesCounted() {
    return votesCounted;
  }

  long votesRefused() {
    return votesRefused;
  }

  /** Cast and neither answered nor given up. */
  long votesOpen() {
    return votesCast - votesCounted - votesRefused;
  }

  /** Microseconds from each vote that counts to its answer. */
  List<Long> votesTook() {
    return votesTook;
  }

  void begin() {
    votesCast = 0;
    votesCounted = 0;
    votesRefused = 0;
    votesTook.clear();
  }

  // What the racks' core asks of its relay.

  @Override
  public boolean requestPromise(PromiseAsk ask) {
    return desk.requestPromise(ask);
  }

  @Override
  public void firstPromiseReceived() {
    learnt();
  }

  @Override
  public void permitsChanged() {
    // it has no units whose readiness would change
  }

  // What crosses the link to the controller.

  @Override
  public void frame(
      FrameConnection connection, boolean out, FrameKind kind, MessageLite head, byte[] body) {
    controller.frame(connection, out, kind, head, body);
    if (kind == FrameKind.VOTE) {
      votesOut.put(((Vote) head).getId(), NioLoop.monotonicMicros());
    } else if (kind == FrameKind.VOTED) {
      Long sent = votesOut.remove(((Voted) head).getId());
      if (sent != null && ((Voted) head).getTaken() == Taken.COUNTS) {
        votesTook.add(NioLoop.monotonicMicros() - sent);
      }
    } else if (kind == FrameKind.PROMISED && ((Promised) head).getId() != 0) {
      if (event == Event.FREEZE && ((Promised) head).getSequence() > beyond) {
        now(Event.FREEZE);
      }
      sequence = ((Promised) head).getSequence();
    } else if (kind == FrameKind.NEWS) {
      epoch = ((News) head).getEpoch();
      if (event == Event.CONTROL && epoch > beyond) {
        now(Event.CONTROL);
      }
    }
  }

  @Override
  public void closed(FrameConnection connection, String why) {
    controller.closed(connection, why);
  }
}
