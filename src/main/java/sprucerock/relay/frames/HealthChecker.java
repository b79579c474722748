package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import sprucerock.accounting.RequestTracker;
import sprucerock.lease.LeaseCheck;
import sprucerock.lease.LeaseManager;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.healthcheck.HealthCheckScheduler;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Look;
import sprucerock.transport.wire.v1.Looked;
import sprucerock.transport.wire.v1.Role;

/**
 * Looks at units for the whole fleet while this relay holds that lease: a connection of its own,
 * one question under the lease's number, one answer. What it finds is told to the other relays and
 * to this one's module, which says what it is worth.
 */
final class HealthChecker implements LeaseManager.Listener {
  static final String LEASE = "looks";
  private static final TimeSpan PATIENCE =
      TimeSpan.ofMs(
          500); // a unit that is there answers within some milliseconds; a paused one may take
  // longer
  private static final int AT_ONCE = 16;

  /** What it needs of the relay. */
  interface Owner {
    /** A connection to a unit, as any pick's. */
    void look(Endpoint endpoint, FrameListener user, LinkTaker taker);

    /** What was found, for this relay's module and the others'. */
    void seen(long endpoint, boolean answered, long number);
  }

  /** Gets the link that was begun. */
  interface LinkTaker {
    void take(FrameConnection connection);
  }

  private final Net net;
  private final RequestTracker ledger;
  private final EventLog events;
  private final TimeSpan every;
  private final DeterministicRandom chance;
  private final Owner owner;
  private HealthCheckScheduler lookout;
  private LeaseCheck guard;
  private int open;

  HealthChecker(
      Net net,
      RequestTracker ledger,
      EventLog events,
      TimeSpan every,
      DeterministicRandom chance,
      Owner owner) {
    this.net = net;
    this.ledger = ledger;
    this.events = events;
    this.every = every;
    this.chance = chance;
    this.owner = owner;
  }

  @Override
  public void acquired(LeaseCheck by) {
    guard = by;
    lookout = new HealthCheckScheduler(chance::next);
    for (Endpoint endpoint : ledger.endpoints()) {
      listed(endpoint);
    }
    turn(by);
  }

  /**
   * A unit may get work or may not, as it stands now; told as it changes, so that a turn walks no
   * list.
   */
  void listed(Endpoint endpoint) {
    if (guard == null) {
      return; // whoever holds the lease next goes through the list once
    }
    if (endpoint.ready()) {
      lookout.add(endpoint.id, net.now());
    } else {
      lookout.remove(endpoint.id);
    }
  }

  @Override
  public void lost(String why) {
    guard = null;
  }

  private void turn(LeaseCheck by) {
    if (guard != by) {
      return;
    }
    if (open < AT_ONCE) {
      long next = lookout.next(net.now());
      Endpoint endpoint = next < 0 ? null : ledger.endpoint(next);
      if (endpoint == null || !endpoint.ready()) {
        lookout.remove(next);
      } else {
        by.runIfHeld(PATIENCE, number -> new One(by, endpoint, number).begin());
      }
    }
    net.at(net.now().plus(every), () -> turn(by));
  }

  private final class One implements FrameListener {
    private final LeaseCheck by;
    private final Endpoint endpoint;
    private final long number;
    private FrameConnection connection;
    private Timer late;
    private boolean done;

    One(LeaseCheck by, Endpoint endpoint, long number) {
      this.by = by;
      this.endpoint = endpoint;
      this.number = number;
    }

    void begin() {
      open++;
      owner.look(endpoint, this, made -> connection = made);
      late =
          net.stallTolerantTimeout(
              PATIENCE, () -> end(null)); // this relay's own standing still is not the unit's
    }

    /** {@code looked}: null where it gave no sign. */
    private void end(Looked looked) {
      if (done) {
        return;
      }
      done = true;
      open--;
      late.cancel();
      connection.cut("looked at");
      if (looked != null && !looked.getTaken()) {
        events.warn(
            EventLog.Event.LEASE,
            "a look under "
                + number
                + " was refused by unit "
                + endpoint.id
                + ", which saw "
                + looked.getHighest());
        by.tokenRejected(looked.getHighest());
      } else if (guard == by && by.isHeld()) {
        boolean tell =
            looked != null
                ? lookout.answered(
                    endpoint.id, TimeSpan.ofMs(looked.getIdleUs() / 1000.0), net.now())
                : lookout.timedOut(endpoint.id, net.now());
        if (tell) {
          owner.seen(endpoint.id, looked != null, number);
        }
      }
    }

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (other.getRole() != Role.UNIT
          || Integer.toUnsignedLong(other.getNumber()) != endpoint.id) {
        end(null);
      }
      // to connect took time, in which this process may have stood still
      else if (!by.runIfHeld(
          now ->
              made.send(
                  FrameKind.LOOK,
                  Look.newBuilder().setLease(LEASE).setNumber(number).build(),
                  FrameClientConnection.NO_BODY))) {
        end(null);
      }
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      end(kind == FrameKind.LOOKED ? (Looked) head : null);
    }

    @Override
    public void closed(String why) {
      end(null);
    }
  }
}
