package sprucerock.controller.server;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import sprucerock.controller.AppendResult;
import sprucerock.controller.RolloutManager;
import sprucerock.controller.v1.Cast;
import sprucerock.controller.v1.FamiliesWorth;
import sprucerock.controller.v1.Input;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.MemoryLimit;
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
 * Listens for relays. Each relay gets the rollout's status when it connects, after each transition
 * and periodically. Nothing is queued for a relay that does not read; it gets the newest status
 * once it reads again. Votes are recorded before they are answered. On the loop only.
 */
final class RelayListener {
  private static final byte[] NO_BODY = {};

  /** Of the heap's size, for incomplete frames of all connections together. */
  private static final double FRAME_MEMORY_SHARE = 1.0 / 16;

  private static final int MAX_FRAME_BYTES = 64 * 1024;
  private static final TimeSpan HEARTBEAT_INTERVAL = TimeSpan.ofMs(2000);
  private static final TimeSpan STATUS_RETRY_INTERVAL = TimeSpan.ofMs(100);
  private static final int US_PER_MS = 1000;

  private final Net net;
  private final ControllerConfig config;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final MemoryLimit frameMemory = MemoryLimit.ofHeap(FRAME_MEMORY_SHARE, () -> 0);
  private final ControllerServer controller;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final RackList rackList;
  private Net.Listener listener;

  RelayListener(Net net, ControllerConfig config, FrameTap tap, ControllerServer controller) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.controller = controller;
    rackList = new RackList(controller.engine().maintenanceWindows().capacityCheck().racks());
    limits =
        new FrameLimits(
            MAX_FRAME_BYTES, Math.max(config.maxUnsentBytes, MAX_FRAME_BYTES), HEARTBEAT_INTERVAL);
  }

  /**
   * Opens the listener.
   *
   * @throws IOException if the address can't be bound
   */
  InetSocketAddress start() throws IOException {
    listener =
        net.listen(
            config.relayAddress,
            config.maxRelays,
            limits.maxUnsentBytes(),
            () -> new Session().connection);
    sendStatusPeriodically();
    return listener.address();
  }

  /** Closes the listener, and each connection once its unsent bytes are sent. */
  void stop() {
    listener.close();
    for (Session session : Set.copyOf(sessions)) {
      session.connection.finish();
    }
  }

  /** Numbers of the relays that are connected. */
  Set<Integer> connectedRelays() {
    Set<Integer> found = new TreeSet<>();
    for (Session session : sessions) {
      found.add(session.connection.remoteHello().getNumber());
    }
    return found;
  }

  private void sendStatusPeriodically() {
    sendStatusToAll();
    net.at(net.now().plus(config.statusInterval), this::sendStatusPeriodically);
  }

  /** Sends the rollout's status to all relays. */
  void sendStatusToAll() {
    for (Session session : sessions) {
      session.sendStatus();
    }
  }

  /**
   * Notifies all relays that placement grants have changed, because a maintenance window was
   * accepted, called off or has begun. The message has no id and no grants; each relay then
   * requests its grants after a random delay.
   */
  void notifyGrantsChanged() {
    for (Session session : sessions) {
      session.connection.send(FrameKind.PROMISED, Promised.getDefaultInstance(), NO_BODY);
    }
  }

  private News statusMessage() {
    RolloutManager rollouts = controller.engine().rollouts();
    RolloutManager.RolloutStatus status = rollouts.currentStatus();
    double statusAgeMs = controller.engine().now().since(status.since()).ms();
    return News.newBuilder()
        .setBuild(status.build())
        .setStage(status.stage())
        .setStanding(
            switch (status.state()) {
              case ON_TRIAL -> Stand.ON_TRIAL;
              case GOING_BACK -> Stand.GOING_BACK;
              case RELEASED -> Stand.RELEASED;
              default -> Stand.WITHDRAWN;
            })
        .setCap(status.exposureCap())
        .setLastedUs(Math.max(0, (long) (statusAgeMs * US_PER_MS)))
        .setEpoch(rollouts.epoch())
        .setSequence(rollouts.sequence())
        .build();
  }

  private final class Session implements FrameListener {
    private final FrameConnection connection =
        new FrameConnection(
            net,
            Hello.newBuilder()
                .setVersion(FrameConnection.VERSION)
                .setRole(Role.DESK)
                .setName(config.name)
                .build(),
            limits,
            frameMemory,
            tap,
            this);
    private Timers.Timer retryTimer;

    @Override
    public void helloReceived(FrameConnection established, Hello remoteHello) {
      if (remoteHello.getRole() != Role.RELAY) {
        established.cut("only relays may connect to this address");
        return;
      }
      sessions.add(this);
      sendStatus();
    }

    /** Sends the status, or retries later while the relay does not read. */
    void sendStatus() {
      if (retryTimer != null) {
        return;
      }
      if (connection.unsentBytes() > config.maxUnsentBytes / 2) {
        retryTimer =
            net.at(
                net.now().plus(STATUS_RETRY_INTERVAL),
                () -> {
                  retryTimer = null;
                  if (sessions.contains(this)) {
                    sendStatus();
                  }
                });
        return;
      }
      connection.send(FrameKind.NEWS, statusMessage(), NO_BODY);
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      switch (kind) {
        case VOTE -> recordVote((Vote) head);
        case PROMISE_ASK -> answerGrantRequest((PromiseAsk) head);
        case WORTH -> recordHardwareValue((Worth) head);
        default -> connection.cut("a controller accepts no " + kind + " from a relay");
      }
    }

    private void recordVote(Vote message) {
      RolloutManager.Vote vote =
          switch (message.getSay()) {
            case NOTHING -> RolloutManager.Vote.NOTHING;
            case ON -> RolloutManager.Vote.ON;
            case HOLD -> RolloutManager.Vote.HOLD;
            case BACK -> RolloutManager.Vote.BACK;
            default -> null;
          };
      if (vote == null || connection.remoteHello().getNumber() < 0) {
        answerVote(message, Taken.FAILED_TO_TAKE);
        return;
      }
      controller.submit(
          Input.newBuilder()
              .setCast(
                  Cast.newBuilder()
                      .setRelay(connection.remoteHello().getNumber())
                      .setBuild(message.getBuild())
                      .setStage(message.getStage())
                      .setSay(vote.name())),
          result -> {
            // of an unknown result no answer is right: the relay's own time for it runs out
            if (!(result instanceof AppendResult.Unknown)) {
              answerVote(message, voteAnswer(result));
            }
          });
    }

    private static Taken voteAnswer(AppendResult result) {
      return result instanceof AppendResult.Accepted accepted
              && accepted.value() instanceof AppendResult.Voted voted
          ? switch (voted.result()) {
            case COUNTS -> Taken.COUNTS;
            case MOOT -> Taken.MOOT;
            case TOO_MANY -> Taken.TOO_MANY;
          }
          : Taken.FAILED_TO_TAKE;
    }

    /**
     * Records the reported values of the hardware families. {@code Worth} and {@code FamiliesWorth}
     * have the same fields, so the bytes are only reparsed. The engine rejects a report that is not
     * newer than the recorded one; a relay that was replaced as reporter has a lower fencing token.
     */
    private void recordHardwareValue(Worth message) {
      try {
        controller.submit(
            Input.newBuilder().setWorth(FamiliesWorth.parseFrom(message.toByteArray())),
            result -> {});
      } catch (InvalidProtocolBufferException e) {
        connection.cut("the values of the hardware families can't be parsed");
      }
    }

    /**
     * Answers a request for placement grants. Leadership is checked last, and without it no answer
     * is sent, because a new leader does not wait for grants that a former leader still sends.
     */
    private void answerGrantRequest(PromiseAsk request) {
      long now =
          controller.engine().maintenanceWindows().advanceClock(controller.engine().wallMs());
      controller
          .grants()
          .recordRequest(connection.remoteHello().getNumber(), request.getHolds(), now);
      Promised.Builder promised =
          Promised.newBuilder()
              .setId(request.getId())
              .setEpoch(controller.engine().rollouts().epoch())
              .setSequence(controller.engine().maintenanceWindows().sequence());
      rackList.writeTo(promised, request.getList(), controller.grants().shortenedPermits(now));
      controller.submitClearedWindows();
      if (request.getId() > 0 && controller.isLeader()) {
        connection.send(FrameKind.PROMISED, promised.build(), NO_BODY);
      }
    }

    private void answerVote(Vote message, Taken answer) {
      connection.send(
          FrameKind.VOTED,
          Voted.newBuilder().setId(message.getId()).setTaken(answer).build(),
          NO_BODY);
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
