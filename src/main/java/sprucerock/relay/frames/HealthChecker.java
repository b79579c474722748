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
 * Health-checks endpoints for the whole fleet while this relay holds that lease: a connection of
 * its own, one question under the lease's fencing number, one answer. Results go to the other
 * relays and to this one's policy, which decides what they count for. For the event loop's thread.
 */
final class HealthChecker implements LeaseManager.Listener {
  /** The name of the lease, as on the wire. */
  static final String LEASE = "looks";

  /** An endpoint that is up answers within some milliseconds; a paused one may take longer. */
  private static final TimeSpan PROBE_TIMEOUT = TimeSpan.ofMs(500);

  private static final int MAX_CONCURRENT_PROBES = 16;

  /** What health checks need of the relay. */
  interface ProbeTransport {
    /** Begins a connection to an endpoint, as for any attempt. */
    void openProbeConnection(Endpoint endpoint, FrameListener listener, ConnectionTaker taker);

    /** A result, for this relay's policy and the others'. */
    void probeCompleted(long endpoint, boolean answered, long number);
  }

  /** Gets the connection that was begun, before anything happens on it. */
  interface ConnectionTaker {
    void take(FrameConnection connection);
  }

  private final Net net;
  private final RequestTracker requestTracker;
  private final EventLog eventLog;
  private final TimeSpan interval;
  private final DeterministicRandom random;
  private final ProbeTransport transport;
  private HealthCheckScheduler scheduler;
  private LeaseCheck leaseCheck;
  private int openProbes;

  HealthChecker(
      Net net,
      RequestTracker requestTracker,
      EventLog eventLog,
      TimeSpan every,
      DeterministicRandom random,
      ProbeTransport owner) {
    this.net = net;
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
    this.interval = every;
    this.random = random;
    this.transport = owner;
  }

  @Override
  public void acquired(LeaseCheck by) {
    leaseCheck = by;
    scheduler = new HealthCheckScheduler(random::next);
    for (Endpoint endpoint : requestTracker.endpoints()) {
      endpointChanged(endpoint);
    }
    probeNext(by);
  }

  /**
   * Follows an endpoint as it becomes ready or stops being so, so that no check walks the whole
   * list.
   */
  void endpointChanged(Endpoint endpoint) {
    if (leaseCheck == null) {
      return;
      // whoever holds the lease next goes through the list once
    }
    if (endpoint.ready()) {
      scheduler.add(endpoint.id, net.now());
    } else {
      scheduler.remove(endpoint.id);
    }
  }

  @Override
  public void lost(String why) {
    leaseCheck = null;
  }

  private void probeNext(LeaseCheck by) {
    if (leaseCheck != by) {
      return;
    }
    if (openProbes < MAX_CONCURRENT_PROBES) {
      long next = scheduler.takeNext(net.now());
      Endpoint endpoint = next < 0 ? null : requestTracker.endpoint(next);
      if (endpoint == null || !endpoint.ready()) {
        scheduler.remove(next);
      } else {
        by.runIfHeld(PROBE_TIMEOUT, number -> new Probe(by, endpoint, number).begin());
      }
    }
    net.at(net.now().plus(interval), () -> probeNext(by));
  }

  private final class Probe implements FrameListener {
    private final LeaseCheck leaseAtStart;
    private final Endpoint endpoint;
    private final long fencingNumber;
    private FrameConnection connection;
    private Timer timeout;
    private boolean done;

    Probe(LeaseCheck by, Endpoint endpoint, long number) {
      this.leaseAtStart = by;
      this.endpoint = endpoint;
      this.fencingNumber = number;
    }

    void begin() {
      openProbes++;
      transport.openProbeConnection(endpoint, this, made -> connection = made);
      timeout = net.stallTolerantTimeout(PROBE_TIMEOUT, () -> finish(null));
      // a pause of this relay is not the endpoint's
    }

    /** Ends the probe by its answer; null: there was none. */
    private void finish(Looked looked) {
      if (done) {
        return;
      }
      done = true;
      openProbes--;
      timeout.cancel();
      connection.cut("looked at");
      if (looked != null && !looked.getTaken()) {
        eventLog.warn(
            EventLog.Event.LEASE,
            "a look under "
                + fencingNumber
                + " was refused by unit "
                + endpoint.id
                + ", which saw "
                + looked.getHighest());
        leaseAtStart.tokenRejected(looked.getHighest());
      } else if (leaseCheck == leaseAtStart && leaseAtStart.isHeld()) {
        boolean tell =
            looked != null
                ? scheduler.recordAnswer(
                    endpoint.id, TimeSpan.ofMs(looked.getIdleUs() / 1000.0), net.now())
                : scheduler.recordTimeout(endpoint.id, net.now());
        if (tell) {
          transport.probeCompleted(endpoint.id, looked != null, fencingNumber);
        }
      }
    }

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      // the lease is asked again: to connect took time, in which this process may have stood still
      if (other.getRole() != Role.UNIT
          || Integer.toUnsignedLong(other.getNumber()) != endpoint.id) {
        finish(null);
      } else if (!leaseAtStart.runIfHeld(
          now ->
              made.send(
                  FrameKind.LOOK,
                  Look.newBuilder().setLease(LEASE).setNumber(fencingNumber).build(),
                  FrameClientConnection.NO_BODY))) {
        finish(null);
      }
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      finish(kind == FrameKind.LOOKED ? (Looked) head : null);
    }

    @Override
    public void closed(String why) {
      finish(null);
    }
  }
}
