package sprucerock.lease;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.config.LeaseConfig;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.LeaseAsk;
import sprucerock.transport.wire.v1.LeaseBack;
import sprucerock.transport.wire.v1.LeaseEntry;
import sprucerock.transport.wire.v1.LeaseFree;
import sprucerock.transport.wire.v1.LeaseListed;
import sprucerock.transport.wire.v1.LeaseSaid;
import sprucerock.transport.wire.v1.Role;

/**
 * The grantor's side on the network: takes connections from lease clients and passes their requests
 * to a {@link LeaseGrantor}. It reads the steady clock anew with each request: a loop's time stands
 * still within a turn, and a grant that began before its request was sent would end before its
 * holder expects it. On one loop's thread.
 */
public final class GrantorListener {
  private static final byte[] NO_BODY = {};
  private static final int MAX_NAME_LENGTH = 64;
  // Of one connection: a client for 64 leases that renews each at its quickest sends a tenth of
  // that. What is more gets no answer, and a client waits for answers no longer than its timeout.
  private static final int MAX_REQUESTS_PER_SECOND = 2000;

  private final Net net;
  private final LeaseConfig config;
  private final FrameTap tap;
  private final LeaseManager.Log log;
  private final Hello hello;
  private final Map<Integer, Session> sessions = new TreeMap<>();
  private final LeaseGrantor grantor;
  private Session requester;
  private Net.Listener listener;
  private long droppedRequests;

  /** The grantor that the configuration says this process is. */
  public GrantorListener(
      Net net, LeaseConfig config, String name, FrameTap tap, LeaseManager.Log log) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.log = log;
    hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.GRANTER)
            .setNumber(config.grantorNumber())
            .setName(name)
            .build();
    grantor = new LeaseGrantor(LeaseManager.terms(config), new Answers(), net.readClock());
  }

  /**
   * Listens for lease clients; says at which address.
   *
   * @throws IOException if its address can't be had
   */
  public InetSocketAddress start() throws IOException {
    InetSocketAddress at = config.grantors().get(config.grantorNumber());
    listener =
        net.listen(
            config.listen() == null ? at : config.listen(),
            config.maxConnections(),
            LeaseManager.LIMITS.maxUnsentBytes(),
            () -> {
              Session session = new Session();
              session.connection =
                  new FrameConnection(net, hello, LeaseManager.LIMITS, tap, session);
              return session.connection;
            });
    log.info(
        "granter "
            + config.grantorNumber()
            + " listens at "
            + listener.address()
            + " and grants after "
            + Math.round(config.maxTerm().ms())
            + " ms, when all that its last life granted is over");
    return listener.address();
  }

  /**
   * Closes all connections. What is granted runs on; clients find other grantors, or this one's
   * next incarnation.
   */
  public void stop() {
    listener.close();
    for (Session session : List.copyOf(sessions.values())) {
      session.connection.finish();
    }
  }

  /** Requests beyond what one connection may send, which got no answer. */
  public long droppedRequests() {
    return droppedRequests;
  }

  /** Answers go to whoever asked last, notifications to the client that waits. */
  private final class Answers implements LeaseGrantor.Replies {
    @Override
    public void sendGranted(int client, String name, long token, long round) {
      answer(
          LeaseSaid.newBuilder().setName(name).setNumber(token).setRound(round).setGranted(true));
    }

    @Override
    public void sendRejected(
        int client,
        String name,
        long token,
        long round,
        long highest,
        TimeSpan left,
        LeaseGrantor.Rejection why) {
      answer(
          LeaseSaid.newBuilder()
              .setName(name)
              .setNumber(token)
              .setRound(round)
              .setHighest(highest)
              .setLeftUs(notNegativeUs(left))
              .setHeld(why == LeaseGrantor.Rejection.HELD)
              .setWhy(why.name()));
    }

    private void answer(LeaseSaid.Builder answer) {
      requester.connection.send(FrameKind.LEASE_SAID, answer.build(), NO_BODY);
    }

    @Override
    public void sendAvailable(int client, String name) {
      Session session = sessions.get(client);
      if (session != null) {
        session.connection.send(
            FrameKind.LEASE_FREE, LeaseFree.newBuilder().setName(name).build(), NO_BODY);
      }
    }
  }

  private static long notNegativeUs(TimeSpan span) {
    return (long) Math.max(0, span.ms() * 1000);
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;
    private int clientNumber = -1; // the client's, once it has greeted
    private Timestamp secondStartedAt;
    private int requestsInSecond;

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (other.getNumber() < 0 || other.getNumber() > 65_535) {
        made.cut("a candidate's number is 0 to 65535");
        return;
      }
      clientNumber = other.getNumber();
      // an older connection under this number still gets its answers, but is notified of nothing
      // that becomes available
      sessions.put(clientNumber, this);
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      switch (kind) {
        case LEASE_ASK -> request((LeaseAsk) head);
        case LEASE_BACK -> {
          LeaseBack back = (LeaseBack) head;
          grantor.release(
              clientNumber,
              back.getLife(),
              back.getName(),
              back.getNumber(),
              back.getHanded() ? back.getHeir() : -1,
              net.readClock());
        }
        case LEASE_LIST -> connection.send(FrameKind.LEASE_LISTED, listed(), NO_BODY);
        default -> connection.cut("a granter takes no " + kind);
      }
    }

    private void request(LeaseAsk request) {
      Timestamp now = net.readClock();
      if (isOverRate(now)) {
        droppedRequests++;
        return;
      }
      // a client that counts other terms would trust in what nobody granted
      if (request.getTermUs() != (long) (config.term().ms() * 1000)) {
        connection.cut(
            "terms differ: leases/term is "
                + Math.round(config.term().ms())
                + " ms here and "
                + request.getTermUs() / 1000
                + " ms there");
      } else if (request.getName().isEmpty()
          || request.getName().length() > MAX_NAME_LENGTH
          || request.getNumber() <= 0) {
        connection.cut(
            "a lease has a name of 1 to " + MAX_NAME_LENGTH + " characters and a number above 0");
      } else {
        requester = this;
        grantor.request(
            clientNumber,
            request.getLife(),
            request.getName(),
            request.getNumber(),
            request.getRound(),
            now);
      }
    }

    private boolean isOverRate(Timestamp now) {
      if (secondStartedAt == null || now.since(secondStartedAt).ms() >= 1000) {
        secondStartedAt = now;
        requestsInSecond = 0;
      }
      return ++requestsInSecond > MAX_REQUESTS_PER_SECOND;
    }

    @Override
    public void closed(String why) {
      if (sessions.remove(clientNumber, this)) {
        grantor.disconnected(clientNumber);
      }
    }
  }

  private LeaseListed listed() {
    Timestamp now = net.readClock();
    LeaseListed.Builder all =
        LeaseListed.newBuilder()
            .setGranter(config.grantorNumber())
            .setRefused(grantor.rejectedCount())
            .setOpensUs(notNegativeUs(grantor.grantsFrom().since(now)));
    grantor.grants().forEach((name, grant) -> all.addEntries(entry(name, grant, now)));
    return all.build();
  }

  private LeaseEntry entry(String name, Grant grant, Timestamp now) {
    return LeaseEntry.newBuilder()
        .setName(name)
        .setNumber(grant.token())
        .setHolder(grant.holder())
        .setLeftUs(grant.outstanding() ? notNegativeUs(grant.expiresAt().since(now)) : 0)
        .setWaiting(grantor.waiters(name).size())
        .build();
  }
}
