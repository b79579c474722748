package sprucerock.controller.server;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.DeploymentMonitor;
import sprucerock.controller.comparison.Window;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Verdict;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.v1.Checked;
import sprucerock.controller.v1.Failed;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Judged;
import sprucerock.controller.v1.Room;
import sprucerock.controller.v1.Silent;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.Kind;
import sprucerock.transport.wire.Limits;
import sprucerock.transport.wire.Tap;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Failure;
import sprucerock.transport.wire.v1.Fetch;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Piece;
import sprucerock.transport.wire.v1.Readable;
import sprucerock.transport.wire.v1.RelaySums;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Wants;

/**
 * The agents' links. What an agent says is recorded where it says something new; what is wanted of
 * it is told when it comes, and at each change. Pieces of versions go out at a bounded pace, to one
 * agent after another, so that a thousand that fetch at once neither fill memory nor hold up what
 * is said.
 */
final class AgentListener implements DeploymentMonitor.Listener {
  private static final byte[] NO_BODY = {};
  private static final int PIECE_BYTES = 128 * 1024;
  private static final int MAX_PENDING_FETCHES = 20_000; // fetches; an agent has one or two
  private static final TimeSpan WINDOW_LENGTH =
      TimeSpan.ofMs(2000); // two words of an agent at least
  private static final TimeSpan ABSENCE_CHECK_INTERVAL = TimeSpan.ofMs(500);
  private static final TimeSpan PIECE_INTERVAL = TimeSpan.ofMs(10);

  private record PendingFetch(Session session, Fetch fetch) {}

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final Net net;
  private final ControllerConfig config;
  private final Limits limits;
  private final Tap tap;
  private final ControllerServer controller;
  private final ArtifactStore artifacts;
  private final DeploymentMonitor watcher;
  private final TreeMap<Integer, Session> sessions = new TreeMap<>();
  private final DisconnectedAgents disconnected = new DisconnectedAgents();
  private final Deque<PendingFetch> fetches = new ArrayDeque<>();
  private Net.Listener listener;

  AgentListener(
      Net net, ControllerConfig config, Tap tap, ControllerServer controller, ArtifactStore vault) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.controller = controller;
    this.artifacts = vault;
    limits = new Limits(1 << 20, 4L << 20, TimeSpan.ofMs(1000));
    watcher = new DeploymentMonitor(deployments(), this);
    for (ManagedRelay relay : deployments().relays()) {
      disconnected.disconnected(
          relay.number,
          net.now()); // a start: they have as long to come as if they had just been heard
    }
  }

  private DeploymentManager deployments() {
    return controller.engine().deployments();
  }

  InetSocketAddress start() throws IOException {
    listener =
        net.listen(
            config.agentAddress,
            config.maxAgents,
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
    reportAbsentAgents();
    net.at(net.now().plus(WINDOW_LENGTH), this::cutWindows);
    sendPieces();
    return listener.address();
  }

  void stop() {
    listener.close();
    for (Session session : java.util.List.copyOf(sessions.values())) {
      session.connection.finish();
    }
  }

  private void cutWindows() {
    watcher.closeWindow(WINDOW_LENGTH.ms());
    net.at(net.now().plus(WINDOW_LENGTH), this::cutWindows);
  }

  /** Who is not heard any more; and, after a start of the controller, who was not heard at all. */
  private void reportAbsentAgents() {
    for (int number :
        disconnected.unheardLongerThan(config.deploymentPlan.unreachableAfter(), net.now())) {
      ManagedRelay relay = deployments().relay(number);
      if (relay == null || relay.unreachable()) {
        disconnected.remove(number);
      } else {
        controller.submit(
            Input.newBuilder().setSilent(Silent.newBuilder().setRelay(number)),
            outcome -> {}); // refused: again with the next look
      }
    }
    net.at(net.now().plus(ABSENCE_CHECK_INTERVAL), this::reportAbsentAgents);
  }

  /** What is wanted of a relay has changed. */
  void desiredStateChanged(ManagedRelay relay) {
    Session session = sessions.get(relay.number);
    if (session != null) {
      session.sendDesiredState(relay);
    }
  }

  /** A change made a step: one that was just proposed is to be read through by all. */
  void deploymentChanged(Deployment change) {
    if (change.state() == Deployment.State.PROPOSED) {
      for (Session session : sessions.values()) {
        session.sendDesiredState(deployments().relay(session.number));
      }
    }
  }

  /** So many pieces in each turn of the pump, each to another agent. */
  private void sendPieces() {
    int most = (int) Math.max(1, config.maxPiecesPerSecond * PIECE_INTERVAL.ms() / 1000);
    for (int i = fetches.size(); i > 0 && most > 0; i--) {
      PendingFetch next = fetches.pollFirst();
      if (!next.session.connection.usable()) {
        continue;
      }
      if (next.session.connection.unsent() > PIECE_BYTES) {
        fetches.addLast(next); // it has not read the last one
        continue;
      }
      next.session.sendPiece(next.fetch);
      most--;
    }
    net.at(net.now().plus(PIECE_INTERVAL), this::sendPieces);
  }

  // What the comparison finds.

  @Override
  public void verdictChanged(Deployment change, Verdict verdict, String reason) {
    log.info(
        "JUDGED change {} in stage {}: {}: {}", change.number, change.stage(), verdict, reason);
    controller.submit(
        Input.newBuilder()
            .setJudged(
                Judged.newBuilder()
                    .setChange(change.number)
                    .setStage(change.stage())
                    .setVerdict(verdict.name())
                    .setReason(reason)),
        outcome -> {});
  }

  @Override
  public void restartBudgetChanged(java.util.Map<Integer, Integer> byZone, String why) {
    controller.submit(
        Input.newBuilder().setRoom(Room.newBuilder().putAllByZone(byZone).setWhy(why)),
        outcome -> {});
  }

  @Override
  public void busyChanged(int number, boolean is) {
    Session session = sessions.get(number);
    if (session != null && session.lastStatus != null) {
      session.record(is);
    }
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;
    private int number;
    private Timestamp lastHeard;
    private AgentSays lastStatus;

    @Override
    public void greeted(FrameConnection made, Hello other) {
      if (other.getRole() != Role.AGENT || other.getNumber() < 0 || other.getNumber() > 65_534) {
        made.cut("only agents are taken here");
        return;
      }
      number = other.getNumber();
      Session before = sessions.put(number, this);
      if (before != null) {
        before.connection.cut("another agent came under number " + number);
      }
      lastHeard = net.now();
      disconnected.remove(number);
    }

    void sendDesiredState(ManagedRelay relay) {
      Wants.Builder wants = Wants.newBuilder().setEpoch(controller.engine().rollouts().epoch());
      if (relay != null
          && relay.desiredVersion() != null
          && !relay.desiredVersion().equals(Version.NONE)) {
        wants
            .setTurn(relay.generation())
            .setProgram(relay.desiredVersion().program())
            .setSettings(relay.desiredVersion().settings());
      }
      Deployment waits = deployments().pending();
      if (waits != null && waits.state() == Deployment.State.PROPOSED) {
        wants
            .setChange(waits.number)
            .setCheckProgram(waits.toVersion.program())
            .setCheckSettings(waits.toVersion.settings());
      }
      connection.send(Kind.WANTS, wants.build(), NO_BODY);
    }

    @Override
    public void frame(Kind kind, MessageLite head, byte[] body) {
      lastHeard = net.now();
      if (kind == Kind.AGENT) {
        statusReceived((AgentSays) head);
      } else if (kind == Kind.FETCH) {
        if (fetches.size() < MAX_PENDING_FETCHES) {
          fetches.addLast(new PendingFetch(this, (Fetch) head)); // else it asks again
        }
      } else {
        connection.cut("a controller takes no " + kind + " of an agent");
      }
    }

    private void statusReceived(AgentSays says) {
      boolean first = lastStatus == null;
      lastStatus = says;
      try {
        ManagedRelay known = deployments().relay(number);
        Version runs = new Version(says.getProgram(), says.getSettings());
        boolean news =
            known == null
                || known.unreachable()
                || known.zone() != says.getZone()
                || !known.observedVersion().equals(runs)
                || known.ready() != says.getReady()
                || known.observedGeneration() != says.getDone();
        if (news) {
          record(known != null && known.busy());
        }
        for (Failure one : says.getFailuresList()) {
          log.warn("FAILED relay {} {}", number, one.getHow());
          Version version = new Version(one.getProgram(), one.getSettings());
          controller.submit(
              Input.newBuilder()
                  .setFailed(
                      Failed.newBuilder()
                          .setRelay(number)
                          .setVersion(toMessage(version))
                          .setHow(one.getHow())
                          .setTurn(one.getTurn())),
              outcome -> {});
        }
        for (Readable one : says.getReadablesList()) {
          controller.submit(
              Input.newBuilder()
                  .setChecked(
                      Checked.newBuilder()
                          .setRelay(number)
                          .setChange(one.getChange())
                          .setRefusal(one.getRefusal())),
              outcome -> {});
        }
      } catch (IllegalArgumentException e) {
        connection.cut(e.getMessage());
        return;
      }
      if (says.getEpoch() > controller.engine().rollouts().epoch()) {
        log.error(
            "BEHIND relay {}'s agent was told by epoch {}, this is {}: the store may be an old one",
            number,
            says.getEpoch(),
            controller.engine().rollouts().epoch());
      }
      if (says.hasSums()) {
        watcher.reportTotals(number, says.getLife(), says.getCores(), toWindow(says.getSums()));
      }
      if (first) {
        sendDesiredState(deployments().relay(number));
      }
    }

    void record(boolean busy) {
      controller.submit(
          Input.newBuilder()
              .setAgent(
                  sprucerock.controller.v1.AgentSays.newBuilder()
                      .setRelay(number)
                      .setZone(lastStatus.getZone())
                      .setBusy(busy)
                      .setRuns(
                          toMessage(new Version(lastStatus.getProgram(), lastStatus.getSettings())))
                      .setReady(lastStatus.getReady())
                      .setDone(lastStatus.getDone())),
          outcome -> {});
    }

    void sendPiece(Fetch fetch) {
      Piece.Builder piece =
          Piece.newBuilder().setDigest(fetch.getDigest()).setFrom(fetch.getFrom());
      byte[] body = NO_BODY;
      try {
        if (Version.isDigest(fetch.getDigest()) && artifacts.has(fetch.getDigest())) {
          piece.setSize(artifacts.size(fetch.getDigest()));
          body = artifacts.piece(fetch.getDigest(), fetch.getFrom(), PIECE_BYTES);
        }
      } catch (IOException e) {
        log.error("VERSIONS {} can't be read: {}", fetch.getDigest(), e.getMessage());
      }
      connection.send(Kind.PIECE, piece.setMissing(body.length == 0).build(), body);
    }

    @Override
    public void closed(String why) {
      if (sessions.remove(number, this)) {
        disconnected.disconnected(number, lastHeard);
      }
    }
  }

  private static sprucerock.controller.v1.Version toMessage(Version version) {
    return sprucerock.controller.v1.Version.newBuilder()
        .setProgram(version.program())
        .setSettings(version.settings())
        .build();
  }

  private static Window toWindow(RelaySums told) {
    return new Window(
        told.getRpcs(),
        told.getWorth(),
        told.getInTime(),
        told.getRefused(),
        told.getAborted(),
        told.getLost(),
        told.getAnswered(),
        told.getAnsweredMs(),
        told.getWorkMs(),
        told.getMemoryMb(),
        told.getConnections(),
        told.getMessages());
  }
}
