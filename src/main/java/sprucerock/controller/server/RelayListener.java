package sprucerock.controller.server;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import sprucerock.controller.AppendResult;
import sprucerock.controller.RolloutManager;
import sprucerock.controller.v1.Cast;
import sprucerock.controller.v1.FamiliesWorth;
import sprucerock.controller.v1.Input;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Worth;

/**
 * The relays' links: each is told the news as it stands when it comes, at each change and now and
 * then; of a relay that does not read nothing is kept but that it is behind, and the newest state
 * is told once it reads. Votes are recorded before they are answered.
 */
final class RelayListener {
  private static final byte[] NO_BODY = {};

  private final Net net;
  private final ControllerConfig config;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final ControllerServer desk;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final RackList racks;
  private Net.Listener listener;

  RelayListener(Net net, ControllerConfig config, FrameTap tap, ControllerServer desk) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.desk = desk;
    racks = new RackList(desk.engine().maintenanceWindows().capacity().racks());
    limits = new FrameLimits(64 * 1024, Math.max(config.unsent, 64 * 1024), TimeSpan.ofMs(2000));
  }

  InetSocketAddress start() throws IOException {
    listener =
        net.listen(
            config.relays,
            config.mostRelays,
            limits.maxUnsentBytes(),
            () -> {
              Session session = new Session();
              session.connection =
                  new FrameConnection(
                      net,
                      Hello.newBuilder()
                          .setVersion(FrameConnection.VERSION)
                          .setRole(Role.DESK)
                          .setName(config.name)
                          .build(),
                      limits,
                      tap,
                      session);
              return session.connection;
            });
    push();
    return listener.address();
  }

  void stop() {
    listener.close();
    for (Session session : Set.copyOf(sessions)) {
      session.connection.finish();
    }
  }

  /** Relays that are linked, by their numbers. */
  Set<Integer> relays() {
    Set<Integer> found = new java.util.TreeSet<>();
    for (Session session : sessions) {
      found.add(session.connection.remoteHello().getNumber());
    }
    return found;
  }

  private void push() {
    tellAll();
    net.at(net.now().plus(config.tellEvery), this::push);
  }

  void tellAll() {
    for (Session session : sessions) {
      session.tell();
    }
  }

  /**
   * A freeze was accepted, called off or has begun: whoever asks now is told so. Each asks a moment
   * later, by chance of its own.
   */
  void promisesChanged() {
    for (Session session : sessions) {
      session.connection.send(FrameKind.PROMISED, Promised.getDefaultInstance(), NO_BODY);
    }
  }

  private News news() {
    RolloutManager.RolloutStatus news = desk.engine().rollouts().currentStatus();
    Stand stand =
        switch (news.state()) {
          case ON_TRIAL -> Stand.ON_TRIAL;
          case GOING_BACK -> Stand.GOING_BACK;
          case RELEASED -> Stand.RELEASED;
          default -> Stand.WITHDRAWN;
        };
    return News.newBuilder()
        .setBuild(news.build())
        .setStage(news.stage())
        .setStanding(stand)
        .setCap(news.exposureCap())
        .setLastedUs(Math.max(0, (long) (desk.engine().now().since(news.since()).ms() * 1000)))
        .setEpoch(desk.engine().rollouts().epoch())
        .setSequence(desk.engine().rollouts().sequence())
        .build();
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;
    private Timers.Timer behind;

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (other.getRole() != Role.RELAY) {
        made.cut("only relays are taken here");
        return;
      }
      sessions.add(this);
      tell();
    }

    void tell() {
      if (behind != null) {
        return;
      }
      if (connection.unsentBytes() > config.unsent / 2) {
        // it does not read: the newest is told when it does
        behind =
            net.at(
                net.now().plus(TimeSpan.ofMs(100)),
                () -> {
                  behind = null;
                  if (sessions.contains(this)) {
                    tell();
                  }
                });
        return;
      }
      connection.send(FrameKind.NEWS, news(), NO_BODY);
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind == FrameKind.PROMISE_ASK) {
        promise((PromiseAsk) head);
        return;
      }
      if (kind == FrameKind.WORTH) {
        worth((Worth) head);
        return;
      }
      if (kind != FrameKind.VOTE) {
        connection.cut("a controller takes no " + kind);
        return;
      }
      Vote vote = (Vote) head;
      RolloutManager.Vote say =
          switch (vote.getSay()) {
            case NOTHING -> RolloutManager.Vote.NOTHING;
            case ON -> RolloutManager.Vote.ON;
            case HOLD -> RolloutManager.Vote.HOLD;
            case BACK -> RolloutManager.Vote.BACK;
            default -> null;
          };
      if (say == null || connection.remoteHello().getNumber() < 0) {
        answer(vote, Taken.FAILED_TO_TAKE);
        return;
      }
      desk.submit(
          Input.newBuilder()
              .setCast(
                  Cast.newBuilder()
                      .setRelay(connection.remoteHello().getNumber())
                      .setBuild(vote.getBuild())
                      .setStage(vote.getStage())
                      .setSay(say.name())),
          outcome ->
              answer(
                  vote,
                  outcome instanceof AppendResult.Accepted accepted
                          && accepted.value() instanceof AppendResult.Voted voted
                      ? switch (voted.result()) {
                        case COUNTS -> Taken.COUNTS;
                        case MOOT -> Taken.MOOT;
                        case TOO_MANY -> Taken.TOO_MANY;
                      }
                      : Taken.FAILED_TO_TAKE));
    }

    /**
     * Field by field as it is recorded; one of a relay that was replaced is refused by its number,
     * by the core.
     */
    private void worth(Worth told) {
      try {
        desk.submit(
            Input.newBuilder().setWorth(FamiliesWorth.parseFrom(told.toByteArray())),
            outcome -> {});
      } catch (com.google.protobuf.InvalidProtocolBufferException e) {
        connection.cut("what hardware is worth can't be read");
      }
    }

    /**
     * What a former holder of the seat would promise, nobody waits for to run out: so it is asked
     * last, and says nothing.
     */
    private void promise(PromiseAsk ask) {
      long now = desk.engine().maintenanceWindows().advanceClock(desk.engine().wallMs());
      desk.promises().request(connection.remoteHello().getNumber(), ask.getHolds(), now);
      Promised.Builder promised =
          Promised.newBuilder()
              .setId(ask.getId())
              .setEpoch(desk.engine().rollouts().epoch())
              .setSequence(desk.engine().maintenanceWindows().sequence());
      racks.into(promised, ask.getList(), desk.promises().shortened(now));
      desk.lookAtFreezes();
      if (ask.getId() > 0 && desk.holdsSeat()) {
        connection.send(FrameKind.PROMISED, promised.build(), NO_BODY);
      }
    }

    private void answer(Vote vote, Taken taken) {
      connection.send(
          FrameKind.VOTED, Voted.newBuilder().setId(vote.getId()).setTaken(taken).build(), NO_BODY);
    }

    @Override
    public void closed(String why) {
      sessions.remove(this);
      if (behind != null) {
        behind.cancel();
      }
    }
  }
}
