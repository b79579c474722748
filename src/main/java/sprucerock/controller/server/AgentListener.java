package sprucerock.controller.server;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.DeploymentMonitor;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Verdict;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Judged;
import sprucerock.controller.v1.Room;
import sprucerock.controller.v1.Silent;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Failure;
import sprucerock.transport.wire.v1.Fetch;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Readable;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Wants;

/**
 * Listens for agents. An agent's status is recorded if it differs from the recorded state of its
 * relay. The desired state is sent when an agent connects and whenever the desired state changes.
 * On the loop only.
 */
final class AgentListener implements DeploymentMonitor.Listener {
  private static final byte[] NO_BODY = {};

  /** Of the heap's size, for incomplete frames of all connections together. */
  private static final double FRAME_MEMORY_SHARE = 1.0 / 16;

  private static final int MAX_AGENT_NUMBER = 65_534;
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final long MAX_UNSENT_BYTES = 4L << 20;
  private static final TimeSpan HEARTBEAT_INTERVAL = TimeSpan.ofMs(1000);

  /** Length of a comparison window; each agent sends at least two statuses within it. */
  private static final TimeSpan WINDOW_LENGTH = TimeSpan.ofMs(2000);

  private static final TimeSpan ABSENCE_CHECK_INTERVAL = TimeSpan.ofMs(500);

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final Net net;
  private final ControllerConfig config;
  private final FrameLimits limits;
  private final FrameTap tap;
  private final ControllerServer controller;
  private final ArtifactSender artifactSender;
  private final MemoryLimit frameMemory = MemoryLimit.ofHeap(FRAME_MEMORY_SHARE, () -> 0);
  private final DeploymentMonitor monitor;
  private final TreeMap<Integer, Session> sessions = new TreeMap<>();
  private final DisconnectedAgents disconnected = new DisconnectedAgents();
  private Net.Listener listener;

  AgentListener(
      Net net,
      ControllerConfig config,
      FrameTap tap,
      ControllerServer controller,
      ArtifactStore artifacts) {
    this.net = net;
    this.config = config;
    this.tap = tap;
    this.controller = controller;
    artifactSender = new ArtifactSender(net, artifacts, config.maxPiecesPerSecond);
    limits = new FrameLimits(MAX_FRAME_BYTES, MAX_UNSENT_BYTES, HEARTBEAT_INTERVAL);
    monitor = new DeploymentMonitor(deployments(), this);
    for (ManagedRelay relay : deployments().relays()) {
      // agents known from the log get the full timeout to connect, from now on
      disconnected.add(relay.number, net.now());
    }
  }

  private DeploymentManager deployments() {
    return controller.engine().deployments();
  }

  /**
   * Opens the listener.
   *
   * @throws IOException if the address can't be bound
   */
  InetSocketAddress start() throws IOException {
    listener =
        net.listen(
            config.agentAddress,
            config.maxAgents,
            limits.maxUnsentBytes(),
            () -> new Session().connection);
    reportAbsentAgents();
    net.at(net.now().plus(WINDOW_LENGTH), this::closeWindow);
    artifactSender.start();
    return listener.address();
  }

  /** Closes the listener, and each connection once its unsent bytes are sent. */
  void stop() {
    listener.close();
    for (Session session : List.copyOf(sessions.values())) {
      session.connection.finish();
    }
  }

  private void closeWindow() {
    monitor.closeWindow(WINDOW_LENGTH.ms());
    net.at(net.now().plus(WINDOW_LENGTH), this::closeWindow);
  }

  /**
   * Records as unreachable the relays whose agents have been silent for too long. Agents that have
   * not connected since the controller's start count as silent from that start on.
   */
  private void reportAbsentAgents() {
    for (int number :
        disconnected.silentLongerThan(config.deploymentPlan.unreachableAfter(), net.now())) {
      ManagedRelay relay = deployments().relay(number);
      if (relay == null || relay.unreachable()) {
        disconnected.remove(number);
      } else {
        controller.submit(
            Input.newBuilder().setSilent(Silent.newBuilder().setRelay(number)),
            // a rejected input is submitted again by the next check
            result -> {});
      }
    }
    net.at(net.now().plus(ABSENCE_CHECK_INTERVAL), this::reportAbsentAgents);
  }

  /** Sends a relay's changed desired state to its agent. */
  void desiredStateChanged(ManagedRelay relay) {
    Session session = sessions.get(relay.number);
    if (session != null) {
      session.sendDesiredState(relay);
    }
  }

  /**
   * Called after a deployment's transition. A deployment that was just proposed is sent to all
   * agents, which validate it.
   */
  void deploymentChanged(Deployment deployment) {
    if (deployment.state() == Deployment.State.PROPOSED) {
      for (Session session : sessions.values()) {
        session.sendDesiredState(deployments().relay(session.number));
      }
    }
  }

  @Override
  public void verdictChanged(Deployment deployment, Verdict verdict, String reason) {
    log.info(
        "JUDGED change {} in stage {}: {}: {}",
        deployment.number,
        deployment.stage(),
        verdict,
        reason);
    controller.submit(
        Input.newBuilder()
            .setJudged(
                Judged.newBuilder()
                    .setChange(deployment.number)
                    .setStage(deployment.stage())
                    .setVerdict(verdict.name())
                    .setReason(reason)),
        result -> {});
  }

  @Override
  public void restartBudgetChanged(Map<Integer, Integer> byZone, String reason) {
    controller.submit(
        Input.newBuilder().setRoom(Room.newBuilder().putAllByZone(byZone).setWhy(reason)),
        result -> {});
  }

  @Override
  public void busyChanged(int number, boolean busy) {
    Session session = sessions.get(number);
    if (session != null && session.lastStatus != null) {
      session.recordStatus(busy);
    }
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
    private int number;
    private Timestamp lastMessageTime;
    private AgentSays lastStatus;

    @Override
    public void helloReceived(FrameConnection established, Hello remoteHello) {
      if (remoteHello.getRole() != Role.AGENT
          || remoteHello.getNumber() < 0
          || remoteHello.getNumber() > MAX_AGENT_NUMBER) {
        established.cut("only agents numbered 0 to 65534 may connect to this address");
        return;
      }
      number = remoteHello.getNumber();
      Session replaced = sessions.put(number, this);
      if (replaced != null) {
        replaced.connection.cut("another agent connected with number " + number);
      }
      lastMessageTime = net.now();
      disconnected.remove(number);
    }

    void sendDesiredState(ManagedRelay relay) {
      Wants wants =
          AgentMessages.desiredState(
              controller.engine().rollouts().epoch(), relay, deployments().pending());
      connection.send(FrameKind.WANTS, wants, NO_BODY);
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      lastMessageTime = net.now();
      if (kind == FrameKind.AGENT) {
        statusReceived((AgentSays) head);
      } else if (kind == FrameKind.FETCH) {
        artifactSender.add(connection, (Fetch) head);
      } else {
        connection.cut("a controller accepts no " + kind + " from an agent");
      }
    }

    private void statusReceived(AgentSays status) {
      final boolean firstStatus = lastStatus == null;
      lastStatus = status;
      try {
        submitStatus(status);
      } catch (IllegalArgumentException e) {
        connection.cut(e.getMessage());
        return;
      }
      long epoch = controller.engine().rollouts().epoch();
      if (status.getEpoch() > epoch) {
        log.error(
            "BEHIND relay {}'s agent knows epoch {}, this controller has epoch {}: "
                + "its store may be an old copy",
            number,
            status.getEpoch(),
            epoch);
      }
      if (status.hasSums()) {
        monitor.reportTotals(
            number, status.getLife(), status.getCores(), AgentMessages.totals(status.getSums()));
      }
      if (firstStatus) {
        sendDesiredState(deployments().relay(number));
      }
    }

    private void submitStatus(AgentSays status) {
      ManagedRelay recorded = deployments().relay(number);
      if (AgentMessages.differsFromRecorded(status, recorded)) {
        recordStatus(recorded != null && recorded.busy());
      }
      for (Failure failure : status.getFailuresList()) {
        log.warn("FAILED relay {} {}", number, failure.getHow());
        controller.submit(AgentMessages.failureEntry(number, failure), result -> {});
      }
      for (Readable validation : status.getReadablesList()) {
        controller.submit(AgentMessages.validationEntry(number, validation), result -> {});
      }
    }

    void recordStatus(boolean busy) {
      controller.submit(AgentMessages.statusEntry(number, lastStatus, busy), result -> {});
    }

    @Override
    public void closed(String why) {
      if (sessions.remove(number, this)) {
        disconnected.add(number, lastMessageTime);
      }
    }
  }
}
