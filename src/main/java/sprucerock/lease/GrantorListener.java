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
import sprucerock.transport.net.MemoryLimit;
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
 * The network side of a grantor. It accepts connections from lease clients and passes their
 * requests to a {@link LeaseGrantor}. It reads the monotonic clock again for each request: the
 * loop's time does not advance within a loop iteration, and a grant that began before its request
 * was sent would end before its holder expects. Runs on one loop's thread.
 */
public final class GrantorListener {
  private static final byte[] NO_BODY = {};
  private static final int MAX_NAME_LENGTH = 64;
  // The limit of one connection. A client with 64 leases that renews each as fast as it can sends a
  // tenth of this number. Requests beyond the limit get no answer: the client's rounds time out.
  private static final int MAX_REQUESTS_PER_SECOND = 2000;

  /** Of the heap's size, for incomplete frames of all connections together. */
  private static final double FRAME_MEMORY_SHARE = 1.0 / 16;

  private final MemoryLimit frameMemory = MemoryLimit.ofHeap(FRAME_MEMORY_SHARE, () -> 0);
  private final Net net;
  private final LeaseConfig config;
  private final FrameTap tap;
  private final LeaseManager.Log log;
  private final Hello hello;
  private final Map<Integer, Session> sessions = new TreeMap<>();
  private final LeaseGrantor grantor;

  /** The connection whose request the grantor handles now, or handled last. */
  private Session requester;

  private Net.Listener listener;
  private long droppedRequests;

  /** Creates the grantor that the configuration assigns to this process. */
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
   * Listens for lease clients.
   *
   * @return the address of the listener
   * @throws IOException if the address is not available
   */
  public InetSocketAddress start() throws IOException {
    InetSocketAddress ownAddress = config.grantors().get(config.grantorNumber());
    listener =
        net.listen(
            config.listen() == null ? ownAddress : config.listen(),
            config.maxConnections(),
            LeaseManager.FRAME_LIMITS.maxUnsentBytes(),
            () -> {
              Session session = new Session();
              session.connection =
                  new FrameConnection(
                      net, hello, LeaseManager.FRAME_LIMITS, frameMemory, tap, session);
              return session.connection;
            });
    log.info(
        "lease grantor "
            + config.grantorNumber()
            + " listens at "
            + listener.address()
            + "; it grants leases after "
            + Math.round(config.maxTerm().ms())
            + " ms, when all grants of its previous incarnation have expired");
    return listener.address();
  }

  /**
   * Closes all connections. Grants remain valid. Clients use the other grantors, or the next
   * incarnation of this one.
   */
  public void stop() {
    listener.close();
    for (Session session : List.copyOf(sessions.values())) {
      session.connection.finish();
    }
  }

  /** Returns the number of requests that were dropped because a connection sent too many. */
  public long droppedRequests() {
    return droppedRequests;
  }

  /** Sends answers to the requester, and notifications over the client's latest connection. */
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
        TimeSpan minWait,
        LeaseGrantor.Rejection reason) {
      answer(
          LeaseSaid.newBuilder()
              .setName(name)
              .setNumber(token)
              .setRound(round)
              .setHighest(highest)
              .setLeftUs(notNegativeUs(minWait))
              .setHeld(reason == LeaseGrantor.Rejection.HELD)
              .setWhy(reason.name()));
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

  /** One connection of a lease client. */
  private final class Session implements FrameListener {
    private FrameConnection connection;

    /** The client's number; -1: its hello has not been received. */
    private int clientNumber = -1;

    private Timestamp secondStartedAt;
    private int requestsInSecond;

    @Override
    public void helloReceived(FrameConnection helloConnection, Hello other) {
      if (other.getNumber() < 0 || other.getNumber() > 65_535) {
        helloConnection.cut("lease client number must be 0 to 65535, not " + other.getNumber());
        return;
      }
      clientNumber = other.getNumber();
      // An older connection of this client still gets answers, but no notifications of available
      // leases.
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
        default -> connection.cut("unexpected frame to a lease grantor: " + kind);
      }
    }

    private void request(LeaseAsk request) {
      Timestamp now = net.readClock();
      if (isOverRate(now)) {
        droppedRequests++;
        return;
      }
      // A client with a longer term would act after its grants have expired.
      if (request.getTermUs() != (long) (config.term().ms() * 1000)) {
        connection.cut(
            "the lease terms of client and grantor must be equal: leases/term is "
                + Math.round(config.term().ms())
                + " ms at this grantor and "
                + request.getTermUs() / 1000
                + " ms at the client");
      } else if (request.getName().isEmpty()
          || request.getName().length() > MAX_NAME_LENGTH
          || request.getNumber() <= 0) {
        connection.cut(
            "a lease request must have a name of 1 to "
                + MAX_NAME_LENGTH
                + " characters and a fencing token above 0, not a name of "
                + request.getName().length()
                + " characters and token "
                + request.getNumber());
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

    /** Counts a request. Returns whether the connection has exceeded its limit in this second. */
    private boolean isOverRate(Timestamp now) {
      if (secondStartedAt == null || now.since(secondStartedAt).ms() >= 1000) {
        secondStartedAt = now;
        requestsInSecond = 0;
      }
      return ++requestsInSecond > MAX_REQUESTS_PER_SECOND;
    }

    @Override
    public void closed(String reason) {
      if (sessions.remove(clientNumber, this)) {
        grantor.disconnected(clientNumber);
      }
    }
  }

  private LeaseListed listed() {
    Timestamp now = net.readClock();
    LeaseListed.Builder list =
        LeaseListed.newBuilder()
            .setGranter(config.grantorNumber())
            .setRefused(grantor.rejectedCount())
            .setOpensUs(notNegativeUs(grantor.grantsFrom().since(now)));
    grantor.grants().forEach((name, grant) -> list.addEntries(entry(name, grant, now)));
    return list.build();
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
