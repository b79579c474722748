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
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.Kind;
import sprucerock.transport.wire.Limits;
import sprucerock.transport.wire.Tap;
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
  private final Limits limits;
  private final Tap tap;
  private final ControllerServer controller;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final RackList rackList;
  private Net.Listener listener;

  RelayListener(Net net, ControllerConfig config, Tap tap, ControllerServer controller) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.controller = controller;
    rackList = new RackList(controller.engine().maintenanceWindows().room().racks());
    limits = new Limits(64 * 1024, Math.max(config.maxUnsentBytes, 64 * 1024), TimeSpan.ofMs(2000));
  }

  InetSocketAddress start() throws IOException {
    listener =
        net.listen(
            config.relayAddress,
            config.maxRelays,
            limits.unsent(),
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
    sendPeriodically();
    return listener.address();
  }

  void stop() {
    listener.close();
    for (Session session : Set.copyOf(sessions)) {
      session.connection.finish();
    }
  }

  /** Relays that are linked, by their numbers. */
  Set<Integer> connectedRelays() {
    Set<Integer> found = new java.util.TreeSet<>();
    for (Session session : sessions) {
      found.add(session.connection.other().getNumber());
    }
    return found;
  }

  private void sendPeriodically() {
    sendNewsToAll();
    net.at(net.now().plus(config.newsInterval), this::sendPeriodically);
  }

  void sendNewsToAll() {
    for (Session session : sessions) {
      session.sendNews();
    }
  }

  /**
   * A freeze was accepted, called off or has begun: whoever asks now is told so. Each asks a moment
   * later, by chance of its own.
   */
  void notifyGrantsChanged() {
    for (Session session : sessions) {
      session.connection.send(Kind.PROMISED, Promised.getDefaultInstance(), NO_BODY);
    }
  }

  private News news() {
    RolloutManager.RolloutStatus news = controller.engine().rollouts().currentStatus();
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
        .setLastedUs(
            Math.max(0, (long) (controller.engine().now().since(news.since()).ms() * 1000)))
        .setEpoch(controller.engine().rollouts().epoch())
        .setSequence(controller.engine().rollouts().sequence())
        .build();
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;
    private Timers.Timer retryTimer;

    @Override
    public void greeted(FrameConnection made, Hello other) {
      if (other.getRole() != Role.RELAY) {
        made.cut("only relays are taken here");
        return;
      }
      sessions.add(this);
      sendNews();
    }

    void sendNews() {
      if (retryTimer != null) {
        return;
      }
      if (connection.unsent()
          > config.maxUnsentBytes / 2) { // it does not read: the newest is told when it does
        retryTimer =
            net.at(
                net.now().plus(TimeSpan.ofMs(100)),
                () -> {
                  retryTimer = null;
                  if (sessions.contains(this)) {
                    sendNews();
                  }
                });
        return;
      }
      connection.send(Kind.NEWS, news(), NO_BODY);
    }

    @Override
    public void frame(Kind kind, MessageLite head, byte[] body) {
      if (kind == Kind.PROMISE_ASK) {
        answerGrantRequest((PromiseAsk) head);
        return;
      }
      if (kind == Kind.WORTH) {
        recordHardwareValue((Worth) head);
        return;
      }
      if (kind != Kind.VOTE) {
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
      if (say == null || connection.other().getNumber() < 0) {
        answerVote(vote, Taken.FAILED_TO_TAKE);
        return;
      }
      controller.submit(
          Input.newBuilder()
              .setCast(
                  Cast.newBuilder()
                      .setRelay(connection.other().getNumber())
                      .setBuild(vote.getBuild())
                      .setStage(vote.getStage())
                      .setSay(say.name())),
          outcome ->
              answerVote(
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
    private void recordHardwareValue(Worth told) {
      try {
        controller.submit(
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
    private void answerGrantRequest(PromiseAsk ask) {
      long now = controller.engine().maintenanceWindows().later(controller.engine().wallMs());
      controller.grants().asked(connection.other().getNumber(), ask.getHolds(), now);
      Promised.Builder promised =
          Promised.newBuilder()
              .setId(ask.getId())
              .setEpoch(controller.engine().rollouts().epoch())
              .setSequence(controller.engine().maintenanceWindows().sequence());
      rackList.writeTo(promised, ask.getList(), controller.grants().shorter(now));
      controller.submitClearedWindows();
      if (ask.getId() > 0 && controller.isLeader()) {
        connection.send(Kind.PROMISED, promised.build(), NO_BODY);
      }
    }

    private void answerVote(Vote vote, Taken taken) {
      connection.send(
          Kind.VOTED, Voted.newBuilder().setId(vote.getId()).setTaken(taken).build(), NO_BODY);
    }

    @Override
    public void closed(String why) {
      sessions.remove(this);
      if (retryTimer != null) {
        retryTimer.cancel();
      }
    }
  }
}
