package sprucerock.controller.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.AppendResult;
import sprucerock.controller.Engine;
import sprucerock.controller.Leadership;
import sprucerock.controller.Rollout;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.maintenance.PlacementGrants;
import sprucerock.controller.v1.Delivered;
import sprucerock.controller.v1.FreezeCleared;
import sprucerock.controller.v1.Input;
import sprucerock.lease.LeaseManager;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameTap;

/**
 * Runs the release controller's engine and connects it to relays, agents, build pipelines and
 * operators. The engine and the connections of relays and agents run on one loop; the loop's thread
 * also blocks while log entries are flushed to disk.
 */
public final class ControllerServer implements AutoCloseable {
  /** How often the engine is checked for transitions that are due by time alone. */
  private static final TimeSpan TIMER_INTERVAL = TimeSpan.ofMs(50);

  /** How long connections stay open during shutdown, so that the last messages are sent. */
  private static final TimeSpan LINGER = TimeSpan.ofMs(100);

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final ControllerConfig config;
  private final FrameTap tap;
  private final NioLoop loop;
  private final LeadershipProvider leadershipProvider;
  private final Leadership leadership;
  private final Runnable onLeadershipLost;
  private final WebhookOutboxes outboxes;
  private final Engine engine;
  private final PlacementGrants grants;
  private final ArtifactStore artifacts;
  private final RelayListener relayListener;
  private final HttpServer http;
  private InetSocketAddress relayAddress;
  private AgentListener agentListener;
  private InetSocketAddress agentAddress;

  /**
   * False while a notification of the relays about changed grants is scheduled. Atomic, because the
   * thread that starts the controller accesses it too.
   */
  private final AtomicBoolean relaysNotifiedOfGrants = new AtomicBoolean(true);

  private boolean commitScheduled;
  private volatile boolean stopped;
  private volatile boolean leadershipLost;

  /**
   * Waits until this controller is the leader, replays the log and opens all listeners.
   *
   * @param onLeadershipLost runs on the loop once this controller has lost leadership
   * @throws Exception if a file is damaged or an address can't be bound; the message names the file
   *     or the address
   */
  public ControllerServer(
      ControllerConfig config, Engine.Clock clock, FrameTap tap, Runnable onLeadershipLost)
      throws Exception {
    this.config = config;
    this.tap = tap;
    this.onLeadershipLost = onLeadershipLost;
    loop = new NioLoop("controller", this::reportFault);
    leadershipProvider = new LeadershipProvider(loop, config, tap, clock);
    leadership = leadershipProvider.acquire();
    // renewal starts before the replay, which may take longer than the lease
    loop.post(this::renewLeadership);
    MaintenanceWindows windows =
        config.capacityCheck == null
            ? MaintenanceWindows.withoutRacks()
            : new MaintenanceWindows(
                config.maintenanceRules, config.capacityCheck, maintenanceListener());
    outboxes = new WebhookOutboxes(loop, this::recordDeliveredSteps);
    engine = openEngine(clock, windows);
    outboxes.addTargets(config);
    engine.setLeadershipCheck(leadership::isHeld);
    engine.start(() -> outboxes.requeueUndelivered(engine().rollouts()));
    grants = new PlacementGrants(windows, windows.advanceClock(engine.wallMs()));
    relayListener = new RelayListener(loop, config, tap, this);
    artifacts = openArtifacts(config);
    http = new HttpServer(config, this);
    LoopTasks.runAndWait(loop, this::startListeners);
    startHttp();
    outboxes.start();
    loop.post(this::checkTimers);
    log.info(
        "STARTED controller {}, epoch {}, {} inputs; relays at {}, webhooks at {}, operators at {}",
        config.name,
        engine.rollouts().epoch(),
        engine.entryCount(),
        relayAddress,
        http.webhookAddress(),
        http.apiAddress());
  }

  private Engine openEngine(Engine.Clock clock, MaintenanceWindows windows) throws IOException {
    return Engine.open(
        config.storeFolder,
        config.rolloutRules,
        config.endpointCount,
        config.firstBuild,
        config.deploymentPlan,
        clock,
        this::rolloutTransitioned,
        deploymentListener(),
        windows,
        failure -> log.error("STORE {}", failure));
  }

  private static ArtifactStore openArtifacts(ControllerConfig config) throws IOException {
    return config.agentAddress == null
        ? null
        : new ArtifactStore(
            config.storeFolder.resolveSibling(config.storeFolder.getFileName() + "-versions"),
            config.maxArtifactBytes);
  }

  private void startListeners() throws IOException {
    try {
      relayAddress = relayListener.start();
    } catch (IOException e) {
      throw cannotListen(config.relayAddress, e);
    }
    if (config.agentAddress != null) {
      agentListener = new AgentListener(loop, config, tap, this, artifacts);
      try {
        agentAddress = agentListener.start();
      } catch (IOException e) {
        throw cannotListen(config.agentAddress, e);
      }
    }
  }

  private void startHttp() throws IOException {
    try {
      http.start();
    } catch (RuntimeException e) {
      throw cannotListen(config.webhookAddress + " or " + config.apiAddress, e);
    }
  }

  private static IOException cannotListen(Object address, Exception cause) {
    return new IOException(
        address + ": cannot listen on this address: " + cause.getMessage(), cause);
  }

  /** The lease client; null if no grantors of leases are configured. */
  LeaseManager leases() {
    return leadershipProvider.leases();
  }

  /** Whether this controller has lost leadership, which it never acquires again. */
  public boolean isReplaced() {
    return leadershipLost;
  }

  /** The address where relays connect, with the port that is bound. */
  public InetSocketAddress relayAddress() {
    return relayAddress;
  }

  /** The address where agents connect, with the port that is bound; null if there are none. */
  public InetSocketAddress agentAddress() {
    return agentAddress;
  }

  /** The address that receives webhooks, with the port that is bound. */
  public InetSocketAddress webhookAddress() {
    return http.webhookAddress();
  }

  /** The address of the operators' API, with the port that is bound. */
  public InetSocketAddress apiAddress() {
    return http.apiAddress();
  }

  /** The store of programs and settings that relays can run; null if there are no agents. */
  ArtifactStore artifacts() {
    return artifacts;
  }

  /**
   * Logs a transition of a rollout and queues its webhooks. Relays are notified at the end of the
   * loop iteration, after all its transitions.
   */
  private void rolloutTransitioned(Rollout rollout, Rollout.Transition step) {
    log.info(
        "STEP {} build {} {} stage {}: {}",
        step.sequence(),
        rollout.build,
        step.state(),
        step.stage(),
        step.cause());
    outboxes.add(rollout, step);
  }

  private DeploymentManager.Listener deploymentListener() {
    return new DeploymentManager.Listener() {
      @Override
      public void transitioned(Deployment deployment, Deployment.Transition step) {
        log.info(
            "CHANGE {} step {}: {}, stage {}: {}",
            deployment.number,
            step.sequence(),
            step.state(),
            step.stage(),
            step.cause());
        if (agentListener != null) {
          agentListener.deploymentChanged(deployment);
        }
      }

      @Override
      public void desiredStateChanged(ManagedRelay relay) {
        if (agentListener != null) {
          agentListener.desiredStateChanged(relay);
        }
      }
    };
  }

  private MaintenanceWindows.Listener maintenanceListener() {
    return new MaintenanceWindows.Listener() {
      @Override
      public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
        if (!engine().replaying()) {
          log.info(
              "FREEZE {} of {} step {}: {}: {}",
              window.number,
              window.racks,
              step.sequence(),
              step.state(),
              step.cause());
        }
      }

      @Override
      public void permitsChanged() {
        // No relay is connected during replay, which runs on the constructor's thread. Relays are
        // notified once, however many windows change in a loop iteration.
        if (!engine().replaying() && relaysNotifiedOfGrants.getAndSet(false)) {
          loop.post(ControllerServer.this::notifyRelaysOfGrants);
        }
      }
    };
  }

  private void notifyRelaysOfGrants() {
    relaysNotifiedOfGrants.set(true);
    // null while the controller starts: no relay is connected yet
    if (relayListener != null) {
      relayListener.notifyGrantsChanged();
    }
  }

  /** The permits to place work on racks that relays hold. On the loop only. */
  PlacementGrants grants() {
    return grants;
  }

  /** Whether this controller is the leader. To be checked immediately before a grant is sent. */
  boolean isLeader() {
    return leadership.isHeld();
  }

  /**
   * Submits an input for each window on whose racks no relay may place work any more. On the loop
   * only.
   */
  void submitClearedWindows() {
    for (long number :
        grants.windowsWithPermitsReturned(
            engine.maintenanceWindows().advanceClock(engine.wallMs()))) {
      submit(
          Input.newBuilder().setFreezeCleared(FreezeCleared.newBuilder().setFreeze(number)),
          result -> {});
    }
  }

  /** The engine. On the loop only. */
  Engine engine() {
    return engine;
  }

  /** Numbers of the relays that are connected. On the loop only. */
  Set<Integer> connectedRelays() {
    return relayListener.connectedRelays();
  }

  /** Logs an unexpected fault; the controller keeps running. */
  void reportFault(Throwable fault) {
    log.error("BROKEN {}", fault.toString(), fault);
  }

  /** Runs a task on the loop. May be called from any thread. */
  void runOnLoop(Runnable task) {
    loop.post(task);
  }

  /**
   * Appends an input, which is made durable together with all others of the loop iteration and then
   * applied. On the loop only.
   */
  void submit(Input.Builder input, Consumer<AppendResult> onResult) {
    engine.append(input, onResult);
    if (!commitScheduled) {
      commitScheduled = true;
      loop.atTurnsEnd(this::commit);
    }
  }

  private void commit() {
    commitScheduled = false;
    long sequenceBefore = engine.rollouts().sequence();
    engine.flush();
    if (engine.rollouts().sequence() != sequenceBefore) {
      relayListener.sendStatusToAll();
    }
  }

  private void recordDeliveredSteps(long sequence) {
    if (sequence > engine.rollouts().webhooksDeliveredUpTo()) {
      submit(
          Input.newBuilder().setDelivered(Delivered.newBuilder().setSequence(sequence)),
          result -> {});
    }
  }

  private void renewLeadership() {
    if (stopped) {
      return;
    }
    boolean holds;
    try {
      holds = leadership.renew();
    } catch (IOException e) {
      log.error("LEASE cannot be renewed: {}", e.getMessage());
      // the lease stays valid until it expires
      holds = leadership.isHeld();
    }
    if (!holds) {
      log.error("LEASE lost: another controller is the leader; this one ends");
      stopped = true;
      leadershipLost = true;
      onLeadershipLost.run();
      return;
    }
    loop.at(loop.now().plus(Leadership.RENEW_INTERVAL), this::renewLeadership);
  }

  private void checkTimers() {
    if (stopped) {
      return;
    }
    if (engine.rollouts().transitionDue(engine.now())
        || engine.deployments().transitionDue(engine.now())
        || engine.maintenanceWindows().isDue(engine.wallMs())) {
      commit();
    }
    submitClearedWindows();
    loop.at(loop.now().plus(TIMER_INTERVAL), this::checkTimers);
  }

  /** Finishes the requests in progress, releases leadership and ends. */
  @Override
  public void close() throws IOException {
    http.stop();
    stopped = true;
    LoopTasks.runAndLinger(loop, this::stopListeners, LINGER);
    outboxes.close();
    engine.close();
    leadership.release();
    LoopTasks.runAndLinger(loop, leadershipProvider::stopGrantor, LINGER);
    loop.close();
    log.info("FINISHED");
  }

  private void stopListeners() {
    relayListener.stop();
    if (agentListener != null) {
      agentListener.stop();
    }
  }
}
