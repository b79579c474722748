package sprucerock.lease;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
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
 * A granter's links. It reads the steady clock anew with each ask: a loop's moment stands still
 * within a turn, and a grant that began before its ask was sent would end before its holder expects
 * it.
 */
public final class GrantorListener {
  private static final byte[] NO_BODY = {};
  private static final int MOST_NAME = 64;
  // Of one link: a candidate for 64 leases that renews each at its quickest asks a tenth of that.
  // What is more gets no answer, and a
  // candidate waits for answers no longer than its patience.
  private static final int ASKS_A_SECOND = 2000;

  private final Net net;
  private final LeaseConfig config;
  private final FrameTap tap;
  private final LeaseManager.Log log;
  private final Hello mine;
  private final Map<Integer, Session> sessions = new TreeMap<>();
  private final LeaseGrantor granter;
  private Session asking;
  private Net.Listener listener;
  private long droppedRequests;

  /** The granter that the configuration says this process is. */
  public GrantorListener(
      Net net, LeaseConfig config, String name, FrameTap tap, LeaseManager.Log log) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.log = log;
    mine =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.GRANTER)
            .setNumber(config.grantorNumber())
            .setName(name)
            .build();
    granter =
        new LeaseGrantor(
            LeaseManager.terms(config),
            new LeaseGrantor.Replies() {
              @Override
              public void granted(int candidate, String name, long number, long round) {
                asking.connection.send(
                    FrameKind.LEASE_SAID,
                    LeaseSaid.newBuilder()
                        .setName(name)
                        .setNumber(number)
                        .setRound(round)
                        .setGranted(true)
                        .build(),
                    NO_BODY);
              }

              @Override
              public void rejected(
                  int candidate,
                  String name,
                  long number,
                  long round,
                  long highest,
                  TimeSpan left,
                  LeaseGrantor.Rejection why) {
                asking.connection.send(
                    FrameKind.LEASE_SAID,
                    LeaseSaid.newBuilder()
                        .setName(name)
                        .setNumber(number)
                        .setRound(round)
                        .setHighest(highest)
                        .setLeftUs((long) Math.max(0, left.ms() * 1000))
                        .setHeld(why == LeaseGrantor.Rejection.HELD)
                        .setWhy(why.name())
                        .build(),
                    NO_BODY);
              }

              @Override
              public void available(int candidate, String name) {
                Session session = sessions.get(candidate);
                if (session != null) {
                  session.connection.send(
                      FrameKind.LEASE_FREE, LeaseFree.newBuilder().setName(name).build(), NO_BODY);
                }
              }
            },
            net.readClock());
  }

  /**
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
                  new FrameConnection(net, mine, LeaseManager.LIMITS, tap, session);
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

  /** What is granted runs on; candidates find other granters, or this one's next life. */
  public void stop() {
    listener.close();
    for (Session session : java.util.List.copyOf(sessions.values())) {
      session.connection.finish();
    }
  }

  /** Asks beyond what one link may send, which got no answer. */
  public long droppedRequests() {
    return droppedRequests;
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;
    private int number = -1;
    private Timestamp second;
    private int inSecond;

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (other.getNumber() < 0 || other.getNumber() > 65_535) {
        made.cut("a candidate's number is 0 to 65535");
        return;
      }
      number = other.getNumber();
      sessions.put(number, this);
      // an older link under this number still gets its answers, but is told of nothing
      // that comes free
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      switch (kind) {
        case LEASE_ASK -> ask((LeaseAsk) head);
        case LEASE_BACK -> {
          LeaseBack back = (LeaseBack) head;
          granter.release(
              number,
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

    private void ask(LeaseAsk ask) {
      Timestamp now = net.readClock();
      if (second == null || now.since(second).ms() >= 1000) {
        second = now;
        inSecond = 0;
      }
      if (++inSecond > ASKS_A_SECOND) {
        droppedRequests++;
        return;
      }
      // a candidate that counts other terms would trust in what nobody granted
      if (ask.getTermUs() != (long) (config.term().ms() * 1000)) {
        connection.cut(
            "terms differ: leases/term is "
                + Math.round(config.term().ms())
                + " ms here and "
                + ask.getTermUs() / 1000
                + " ms there");
      } else if (ask.getName().isEmpty()
          || ask.getName().length() > MOST_NAME
          || ask.getNumber() <= 0) {
        connection.cut(
            "a lease has a name of 1 to " + MOST_NAME + " characters and a number above 0");
      } else {
        asking = this;
        granter.request(number, ask.getLife(), ask.getName(), ask.getNumber(), ask.getRound(), now);
      }
    }

    @Override
    public void closed(String why) {
      if (sessions.remove(number, this)) {
        granter.disconnected(number);
      }
    }
  }

  private LeaseListed listed() {
    Timestamp now = net.readClock();
    LeaseListed.Builder all =
        LeaseListed.newBuilder()
            .setGranter(config.grantorNumber())
            .setRefused(granter.rejectedCount())
            .setOpensUs((long) Math.max(0, granter.grantsFrom().since(now).ms() * 1000));
    granter
        .grants()
        .forEach(
            (name, grant) ->
                all.addEntries(
                    LeaseEntry.newBuilder()
                        .setName(name)
                        .setNumber(grant.token())
                        .setHolder(grant.holder())
                        .setLeftUs(
                            grant.open()
                                ? (long) Math.max(0, grant.expiresAt().since(now).ms() * 1000)
                                : 0)
                        .setWaiting(granter.waiters(name).size())));
    return all.build();
  }
}
