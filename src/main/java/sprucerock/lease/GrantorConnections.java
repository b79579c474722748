package sprucerock.lease;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import sprucerock.config.LeaseConfig;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.LeaseAsk;
import sprucerock.transport.wire.v1.LeaseBack;
import sprucerock.transport.wire.v1.LeaseFree;
import sprucerock.transport.wire.v1.LeaseList;
import sprucerock.transport.wire.v1.LeaseListed;
import sprucerock.transport.wire.v1.LeaseSaid;
import sprucerock.transport.wire.v1.Role;

/**
 * A process's connections to all grantors, and the lease messages in both directions. Messages to a
 * grantor that is not connected are lost. Runs only on the loop's thread.
 */
final class GrantorConnections {
  /** Receives the messages of the grantors, on the loop's thread. */
  interface Listener {
    /** A grantor granted or rejected a request. */
    void replied(int grantor, LeaseSaid reply);

    /** A grantor reported that a lease is available. */
    void available(String name);

    /** A grantor answered a query with all its grants. */
    void queryAnswered(int grantor, LeaseListed answer);
  }

  private static final byte[] NO_BODY = {};

  /**
   * The share of the usable term over which the connection attempts of a fleet that starts at the
   * same time are spread.
   */
  private static final double DIAL_SPREAD_SHARE = 0.1;

  private final Net net;
  private final LeaseConfig config;
  private final Hello hello;
  private final long incarnation;
  private final FrameTap tap;
  private final LeaseManager.Log log;
  private final Listener listener;
  private final List<ReconnectingConnection> connections = new ArrayList<>();
  private boolean stopping;

  /** Creates the connections, which are opened by {@link #start}. */
  GrantorConnections(
      Net net,
      LeaseConfig config,
      String processName,
      long incarnation,
      FrameTap tap,
      LeaseManager.Log log,
      Listener listener) {
    this.net = net;
    this.config = config;
    this.incarnation = incarnation;
    this.tap = tap;
    this.log = log;
    this.listener = listener;
    hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(config.memberNumber())
            .setName(processName)
            .build();
  }

  /** Connects to all grantors, spread over a tenth of the usable term. */
  void start(TimeSpan usableTerm, DeterministicRandom random) {
    for (int grantor = 0; grantor < config.grantors().size(); grantor++) {
      ReconnectingConnection connection =
          new ReconnectingConnection(
              net,
              config.grantors().get(grantor),
              hello,
              LeaseManager.FRAME_LIMITS,
              tap,
              random,
              new Session(grantor));
      connections.add(connection);
      net.at(
          net.now().plus(usableTerm.times(DIAL_SPREAD_SHARE * random.next())),
          () -> {
            if (!stopping) {
              connection.connect();
            }
          });
    }
  }

  /**
   * Prepares to stop: closed connections are no longer logged, and connections that are not open
   * yet after {@link #start} are not opened.
   */
  void expectClose() {
    stopping = true;
  }

  /** Closes all connections after the sent messages have gone out. */
  void stop() {
    expectClose();
    connections.forEach(ReconnectingConnection::stop);
  }

  int size() {
    return connections.size();
  }

  void request(int grantor, String name, long token, long round) {
    connections
        .get(grantor)
        .send(
            FrameKind.LEASE_ASK,
            LeaseAsk.newBuilder()
                .setName(name)
                .setNumber(token)
                .setRound(round)
                .setLife(incarnation)
                .setTermUs((long) (config.term().ms() * 1000))
                .build(),
            NO_BODY);
  }

  /**
   * Releases a grant.
   *
   * @param successor the client that gets the lease next; -1: any client
   */
  void release(int grantor, String name, long token, int successor) {
    connections
        .get(grantor)
        .send(
            FrameKind.LEASE_BACK,
            LeaseBack.newBuilder()
                .setName(name)
                .setNumber(token)
                .setLife(incarnation)
                .setHanded(successor >= 0)
                .setHeir(Math.max(successor, 0))
                .build(),
            NO_BODY);
  }

  /** Queries all grantors for their grants. */
  void query() {
    for (ReconnectingConnection connection : connections) {
      connection.send(FrameKind.LEASE_LIST, LeaseList.getDefaultInstance(), NO_BODY);
    }
  }

  /** Receives the frames of one grantor, over all successive connections to it. */
  private final class Session implements FrameListener {
    private final int grantor;
    private boolean established;

    Session(int grantor) {
      this.grantor = grantor;
    }

    @Override
    public void helloReceived(FrameConnection connection, Hello other) {
      if (other.getRole() != Role.GRANTER || other.getNumber() != grantor) {
        connection.cut(
            "expected lease grantor "
                + grantor
                + ", but the peer is "
                + other.getRole()
                + " "
                + other.getNumber());
        return;
      }
      established = true;
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      switch (kind) {
        case LEASE_SAID -> listener.replied(grantor, (LeaseSaid) head);
        case LEASE_FREE -> listener.available(((LeaseFree) head).getName());
        case LEASE_LISTED -> listener.queryAnswered(grantor, (LeaseListed) head);
        default -> connections.get(grantor).cut("unexpected frame from a lease grantor: " + kind);
      }
    }

    @Override
    public void closed(String reason) {
      if (established && !stopping) {
        log.warn(
            "lost the connection to lease grantor "
                + grantor
                + " at "
                + config.grantors().get(grantor)
                + ": "
                + reason);
      }
      established = false;
    }
  }
}
