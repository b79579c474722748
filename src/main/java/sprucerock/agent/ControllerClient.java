package sprucerock.agent;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.deployment.Version;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
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
 * Connects an {@link Agent} and its {@link RelaySupervisor} to the controllers, of which one leads
 * at a time: takes desired state, sends status reports, downloads versions and answers settings
 * checks. One loop owns all of it. Without a controller the relay runs on, and reports wait for the
 * next one that connects.
 */
public final class ControllerClient {
  private static final FrameLimits LIMITS = new FrameLimits(1 << 20, 4 << 20, TimeSpan.ofMs(1000));
  private static final TimeSpan STOP_POLL_INTERVAL = TimeSpan.ofMs(20);
  private static final byte[] NO_BODY = {};

  private final Logger log = LoggerFactory.getLogger("sprucerock.agent");
  private final AgentConfig config;
  private final Net loop;
  private final int number;
  private final int zone;
  private final String name;
  private final FrameTap tap;
  private final ArtifactStore artifacts;
  private final RelaySupervisor supervisor;
  private final Agent agent;
  private final List<ReconnectingConnection> connections = new ArrayList<>();
  private final PendingReports pendingReports = new PendingReports();
  private final VersionDownloader downloader;

  /** The deployment whose settings are to be checked here, and the version that it has. */
  private long deploymentToCheck;

  private Version versionToCheck;
  private boolean reportScheduled;

  /**
   * The agent of this machine.
   *
   * @throws IOException if its folder can't be made or read
   */
  public ControllerClient(AgentConfig config, NioLoop loop) throws IOException {
    this(config, loop, artifacts(config));
  }

  private ControllerClient(AgentConfig config, NioLoop loop, ArtifactStore artifacts) {
    this(
        config,
        config.name,
        config.number,
        config.zone,
        loop,
        artifacts,
        FrameTap.NONE,
        (onStateChange, onFailedRun, listener) ->
            new LocalRelaySupervisor(
                config, loop, artifacts, onStateChange, onFailedRun, listener));
  }

  /**
   * One of many agents that share a configuration, a loop and an artifact store; name, number, zone
   * and supervisor are each agent's own.
   */
  public ControllerClient(
      AgentConfig config,
      String name,
      int number,
      int zone,
      Net loop,
      ArtifactStore artifacts,
      FrameTap tap,
      RelaySupervisor.Factory supervisors) {
    this.config = config;
    this.name = name;
    this.number = number;
    this.zone = zone;
    this.loop = loop;
    this.artifacts = artifacts;
    this.tap = tap;
    supervisor =
        supervisors.create(
            this::scheduleReport,
            this::runFailed,
            new RelaySupervisor.VersionListener() {
              @Override
              public void downloadRequested(Version version) {
                downloader.start(version);
              }

              @Override
              public void settingsChecked(Version version, String refusal) {
                ControllerClient.this.settingsChecked(version, refusal);
              }
            });
    agent = new Agent(supervisor, config.timeouts, supervisor.loadState());
    supervisor.attach(agent);
    downloader = new VersionDownloader(artifacts, config.reportInterval, new DownloadCallbacks());
  }

  private static ArtifactStore artifacts(AgentConfig config) throws IOException {
    Files.createDirectories(config.folder);
    return new ArtifactStore(config.folder.resolve("versions"), config.maxArtifactBytes);
  }

  /** Adopts or starts the relay and connects to the controllers; called once, on the loop. */
  public void start() {
    Hello hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.AGENT)
            .setNumber(number)
            .setName(name)
            .build();
    DeterministicRandom random = new DeterministicRandom(number);
    for (InetSocketAddress to : config.controllers) {
      ControllerListener listener = new ControllerListener(to);
      ReconnectingConnection connection =
          new ReconnectingConnection(loop, to, hello, LIMITS, tap, random, listener);
      listener.connection = connection;
      connections.add(connection);
    }
    supervisor.adoptRunningRelay();
    agent.resume();
    if (config.initialProgram != null) {
      try {
        agent.offerInitialVersion(
            new Version(
                artifacts.store(config.initialProgram), artifacts.store(config.initialSettings)));
      } catch (IOException e) {
        supervisor.log("what it is to begin with can't be read: " + e.getMessage());
      }
    }
    connections.forEach(ReconnectingConnection::connect);
    // drawn from the number, so that agents that were started together do not report together
    loop.at(loop.now().plus(config.reportInterval.times(random.next())), this::reportRegularly);
  }

  private void reportRegularly() {
    sendReport();
    downloader.tick();
    loop.at(loop.now().plus(config.reportInterval), this::reportRegularly);
  }

  /** Several changes within one turn of the loop make one report. */
  private void scheduleReport() {
    if (reportScheduled) {
      return;
    }
    reportScheduled = true;
    loop.atTurnsEnd(
        () -> {
          reportScheduled = false;
          sendReport();
        });
  }

  private void runFailed(Version version, String how) {
    pendingReports.add(
        Failure.newBuilder()
            .setProgram(version.program())
            .setSettings(version.settings())
            .setHow(how)
            .setTurn(agent.state().generation())
            .build());
    scheduleReport();
  }

  private void sendReport() {
    // read also where nobody listens: it ends a relay that is over its limits
    RelaySums sums = supervisor.readSums();
    if (connections.stream().noneMatch(ReconnectingConnection::isReady)) {
      return;
    }
    AgentSays.Builder report =
        AgentSays.newBuilder()
            .setZone(zone)
            .setProgram(agent.runningVersion().program())
            .setSettings(agent.runningVersion().settings())
            .setReady(agent.isReady())
            .setDone(agent.completedGeneration())
            .setEpoch(agent.epoch())
            .setLife(supervisor.incarnation())
            .setStarts(agent.starts())
            .setCores(config.cores);
    pendingReports.drainInto(report);
    if (sums != null) {
      report.setSums(sums);
    }
    sendToControllers(FrameKind.AGENT, report.build());
  }

  private void sendToControllers(FrameKind kind, MessageLite head) {
    for (ReconnectingConnection connection : connections) {
      if (connection.isReady()) {
        connection.send(kind, head, NO_BODY);
      }
    }
  }

  private final class DownloadCallbacks implements VersionDownloader.Callbacks {
    @Override
    public void request(Fetch fetch) {
      sendToControllers(FrameKind.FETCH, fetch);
    }

    @Override
    public void downloaded(Version version) {
      evictOldVersions(version);
      if (version.equals(versionToCheck)) {
        supervisor.checkSettings(version);
      }
      agent.downloadSucceeded(version);
    }

    @Override
    public void failed(Version version, String reason) {
      if (version.equals(versionToCheck)) {
        settingsChecked(version, reason);
      }
      agent.downloadFailed(version, reason);
    }
  }

  private void evictOldVersions(Version downloaded) {
    Set<String> needed = new HashSet<>();
    for (Version version :
        List.of(
            downloaded,
            agent.state().lastGood(),
            agent.state().desired(),
            agent.runningVersion())) {
      needed.add(version.program());
      needed.add(version.settings());
    }
    try {
      artifacts.evictOldest(needed, 2 * config.versionsKept);
    } catch (IOException | UncheckedIOException e) {
      supervisor.log("old versions can't be deleted: " + e.getMessage());
    }
  }

  private void settingsChecked(Version version, String refusal) {
    if (!version.equals(versionToCheck)) {
      return;
    }
    versionToCheck = null;
    pendingReports.add(
        Readable.newBuilder().setChange(deploymentToCheck).setRefusal(refusal).build());
    if (!refusal.isEmpty()) {
      supervisor.log("change " + deploymentToCheck + " can't be run here: " + refusal);
    }
    scheduleReport();
  }

  /** Ends the relay, then closes the connections; {@code onStopped} runs on the loop. */
  public void stop(Runnable onStopped) {
    agent.stop();
    awaitStopped(onStopped);
  }

  private void awaitStopped(Runnable onStopped) {
    if (!agent.isStopped()) {
      loop.at(loop.now().plus(STOP_POLL_INTERVAL), () -> awaitStopped(onStopped));
      return;
    }
    connections.forEach(ReconnectingConnection::stop);
    onStopped.run();
  }

  /** What comes from one controller. */
  private final class ControllerListener implements FrameListener {
    private final InetSocketAddress address;
    private ReconnectingConnection connection;
    private boolean connected;

    ControllerListener(InetSocketAddress address) {
      this.address = address;
    }

    @Override
    public void helloReceived(FrameConnection greeted, Hello other) {
      if (other.getRole() != Role.DESK) {
        greeted.cut("no controller");
        return;
      }
      connected = true;
      pendingReports.resendFailures();
      log.info("CONTROLLER at {} is heard", address);
      scheduleReport();
      if (downloader.isActive()) {
        downloader.requestChunk();
      }
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind == FrameKind.PIECE) {
        downloader.chunkReceived((Piece) head, body);
      } else if (kind == FrameKind.WANTS) {
        desiredStateReceived((Wants) head);
      } else {
        connection.cut("an agent takes no " + kind);
      }
    }

    private void desiredStateReceived(Wants desired) {
      try {
        if (!desired.getProgram().isEmpty()) {
          agent.applyDesiredState(
              desired.getEpoch(),
              desired.getTurn(),
              new Version(desired.getProgram(), desired.getSettings()));
        }
        if (desired.getChange() == 0 || desired.getEpoch() < agent.epoch()) {
          return;
        }
        versionToCheck = new Version(desired.getCheckProgram(), desired.getCheckSettings());
        deploymentToCheck = desired.getChange();
        if (supervisor.hasArtifacts(versionToCheck)) {
          supervisor.checkSettings(versionToCheck);
        } else if (!downloader.isActive()) {
          downloader.start(versionToCheck);
        }
      } catch (IllegalArgumentException e) {
        connection.cut(e.getMessage());
      }
    }

    @Override
    public void closed(String why) {
      if (connected) {
        log.warn("CONTROLLER at {} is lost: {}; the relay runs on", address, why);
      }
      connected = false;
    }
  }
}
