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
 * grantor that is not connected are lost. On the loop's thread alone.
 */
final class GrantorConnections {
  /** What grantors send. On the loop's thread. */
  interface Listener {
    /** A grantor answered a request: granted or rejected. */
    void replied(int grantor, LeaseSaid vote);

    /** A grantor says that a lease may be had. */
    void available(String name);

    /** A grantor answered a query with all that it knows. */
    void queryAnswered(int grantor, LeaseListed known);
  }

  private static final byte[] NO_BODY = {};

  /** A fleet that starts together does not dial its grantors in one instant. */
  private static final double DIAL_SPREAD = 0.1;

  private final Net net;
  private final LeaseConfig config;
  private final Hello hello;
  private final long incarnation;
  private final FrameTap tap;
  private final LeaseManager.Log log;
  private final Listener listener;
  private final List<ReconnectingConnection> connections = new ArrayList<>();
  private boolean stopping;

  /** Connects to nobody before {@link #start}. */
  GrantorConnections(
      Net net,
      LeaseConfig config,
      String name,
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
            .setName(name)
            .build();
  }

  /** Dials all grantors, spread over a tenth of the usable term. */
  void start(TimeSpan usableTerm, DeterministicRandom random) {
    for (int i = 0; i < config.grantors().size(); i++) {
      ReconnectingConnection connection =
          new ReconnectingConnection(
              net,
              config.grantors().get(i),
              hello,
              LeaseManager.LIMITS,
              tap,
              random,
              new Session(i));
      connections.add(connection);
      net.at(
          net.now().plus(usableTerm.times(DIAL_SPREAD * random.next())),
          () -> {
            if (!stopping) {
              connection.connect();
            }
          });
    }
  }

  /** From now on a connection that is lost is no news. */
  void expectClose() {
    stopping = true;
  }

  /** Closes all, once what was sent has gone out. */
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

  /** {@code successor}: the client that should have it next; -1: anybody. */
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

  /** Asks all grantors what they know. */
  void query() {
    for (ReconnectingConnection one : connections) {
      one.send(FrameKind.LEASE_LIST, LeaseList.getDefaultInstance(), NO_BODY);
    }
  }

  private final class Session implements FrameListener {
    private final int grantor;
    private boolean established;

    Session(int grantor) {
      this.grantor = grantor;
    }

    @Override
    public void helloReceived(FrameConnection connection, Hello other) {
      if (other.getRole() != Role.GRANTER || other.getNumber() != grantor) {
        connection.cut("granter " + grantor + " is not who answers there");
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
        default -> connections.get(grantor).cut("a granter sends no " + kind);
      }
    }

    @Override
    public void closed(String why) {
      if (established && !stopping) {
        log.warn(
            "granter " + grantor + " at " + config.grantors().get(grantor) + " is lost: " + why);
      }
      established = false;
    }
  }
}
