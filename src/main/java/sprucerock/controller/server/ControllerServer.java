package sprucerock.controller.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.AppendResult;
import sprucerock.controller.Engine;
import sprucerock.controller.FileLeadership;
import sprucerock.controller.Leadership;
import sprucerock.controller.LeadershipMark;
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
import sprucerock.lease.GrantorListener;
import sprucerock.lease.Leases;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.Tap;

/**
 * The controller: its engine between relays, pipelines and operators, on one loop that also waits
 * for the disk.
 */
public final class ControllerServer implements AutoCloseable {
  private static final TimeSpan TIMER_INTERVAL =
      TimeSpan.ofMs(50); // whether time alone has changed anything

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final ControllerConfig config;
  private final NioLoop loop;
  private final Engine engine;
  private final PlacementGrants grants;
  private final RelayListener relayListener;
  private final HttpServer http;
  private final ArtifactStore artifacts;
  private AgentListener agentListener;
  private InetSocketAddress agentAddress;
  private final Leadership leadership;
  private Leases leases;
  private GrantorListener grantorListener;
  private final List<WebhookOutbox> outboxes = new ArrayList<>();
  private final Map<String, Long> deliveredByTarget = new ConcurrentHashMap<>();
  private final Runnable onLeadershipLost;
  private final InetSocketAddress relayAddress;
  private final AtomicBoolean grantsAnnounced =
      new AtomicBoolean(true); // false: relays are about to be; also set by the thread that starts
  private boolean commitScheduled;
  private volatile boolean stopped;
  private volatile boolean leadershipLost;

  /**
   * Opens the files and all doors.
   *
   * @throws Exception if a file is damaged or an address can't be had; the message says which
   */
  public ControllerServer(ControllerConfig config, Engine.Clock clock, Tap tap, Runnable replaced)
      throws Exception {
    this.onLeadershipLost = replaced;
    this.config = config;
    String holder =
        config.name
            + "-"
            + ProcessHandle.current().pid()
            + "-"
            + Long.toHexString(System.nanoTime());
    loop = new NioLoop("controller", this::reportFault);
    leadership = leadership(holder, tap, clock);
    boolean told = false;
    while (!leadership.take()) {
      if (!told) {
        log.info("STANDBY {} waits for the seat at {}", holder, config.storeFolder);
      }
      told = true;
      Thread.sleep(50);
    }
    loop.post(this::renewLeadership); // from now on: to come back may take longer than the lease
    MaintenanceWindows freezes =
        config.capacityCheck == null
            ? MaintenanceWindows.none()
            : new MaintenanceWindows(
                config.maintenanceRules, config.capacityCheck, maintenanceHost());
    engine =
        Engine.open(
            config.storeFolder,
            config.rolloutRules,
            config.endpointCount,
            config.firstBuild,
            config.deploymentPlan,
            clock,
            (release, step) -> {
              log.info(
                  "STEP {} build {} {} stage {}: {}",
                  step.sequence(),
                  release.build,
                  step.state(),
                  step.stage(),
                  step.cause());
              outboxes.forEach(outbox -> outbox.add(release, step));
            },
            deploymentHost(),
            freezes,
            what ->
                log.error(
                    "STORE {}", what)); // relays are told at the turn's end, after all its steps
    for (WebhookOutbox.Target target : config.outboxTargets) {
      outboxes.add(
          new WebhookOutbox(
              target,
              config.storeFolder.resolveSibling(
                  config.storeFolder.getFileName() + "-" + target.name() + ".dead"),
              upTo -> loop.post(() -> deliveredByTarget(target.name(), upTo)),
              what -> log.error("OUTBOX {}", what)));
    }
    engine.setLeadershipCheck(leadership::holds);
    engine.start(this::requeueUndeliveredSteps);
    grants = new PlacementGrants(freezes, freezes.later(engine.wallMs()));
    relayListener = new RelayListener(loop, config, tap, this);
    artifacts =
        config.agentAddress == null
            ? null
            : new ArtifactStore(
                config.storeFolder.resolveSibling(config.storeFolder.getFileName() + "-versions"),
                config.maxArtifactBytes);
    http = new HttpServer(config, this);
    Exception[] wrong = new Exception[1];
    CountDownLatch done = new CountDownLatch(1);
    InetSocketAddress[] at = new InetSocketAddress[1];
    loop.post(
        () -> {
          try {
            at[0] = relayListener.start();
            if (config.agentAddress != null) {
              agentListener = new AgentListener(loop, config, tap, this, artifacts);
              agentAddress = agentListener.start();
            }
          } catch (IOException e) {
            wrong[0] =
                new IOException(
                    (at[0] == null ? config.relayAddress : config.agentAddress)
                        + " can't be listened at: "
                        + e.getMessage());
          } finally {
            done.countDown();
          }
        });
    done.await();
    if (wrong[0] != null) {
      throw wrong[0];
    }
    try {
      http.start();
    } catch (RuntimeException e) {
      throw new IOException(
          config.webhookAddress
              + " or "
              + config.apiAddress
              + " can't be listened at: "
              + e.getMessage());
    }
    outboxes.forEach(WebhookOutbox::start);
    loop.post(this::checkTimers);
    relayAddress = at[0];
    log.info(
        "STARTED controller {}, epoch {}, {} inputs; relays at {}, webhooks at {}, operators at {}",
        config.name,
        engine.rollouts().epoch(),
        engine.entryCount(),
        at[0],
        http.webhookAddress(),
        http.apiAddress());
  }

  /**
   * By the store's folder, or by a lease where granters are configured; this process may be one of
   * them.
   */
  private Leadership leadership(String holder, Tap tap, Engine.Clock clock) throws Exception {
    if (config.leaseConfig == null) {
      return FileLeadership.in(config.storeFolder, clock, config.leaseDuration, holder);
    }
    Leases.Log say =
        new Leases.Log() {
          @Override
          public void info(String what) {
            log.info("LEASE {}", what);
          }

          @Override
          public void warn(String what) {
            log.warn("LEASE {}", what);
          }
        };
    leases =
        new Leases(
            loop, config.leaseConfig, config.name, Leases.newLife(), tap, clock::wallMs, say);
    LeadershipMark mark = LeadershipMark.in(config.storeFolder);
    Exception[] wrong = new Exception[1];
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            if (config.leaseConfig.granter() >= 0) {
              grantorListener =
                  new GrantorListener(loop, config.leaseConfig, config.name, tap, say);
              grantorListener.start();
            }
            leases.start();
          } catch (IOException e) {
            wrong[0] =
                new IOException(
                    "granter " + config.leaseConfig.granter() + " can't listen: " + e.getMessage());
          } finally {
            done.countDown();
          }
        });
    done.await();
    if (wrong[0] != null) {
      throw wrong[0];
    }
    return new LeaseLeadership(loop, leases, mark, "controller");
  }

  /** What the granters know; null: none are configured. */
  Leases leases() {
    return leases;
  }

  /** Another controller has taken its place. */
  public boolean isReplaced() {
    return leadershipLost;
  }

  public InetSocketAddress relayAddress() {
    return relayAddress;
  }

  public InetSocketAddress agentAddress() {
    return agentAddress;
  }

  public InetSocketAddress webhookAddress() {
    return http.webhookAddress();
  }

  public InetSocketAddress apiAddress() {
    return http.apiAddress();
  }

  /**
   * Programs and settings that agents can be told to run; null where this controller has no agents.
   */
  ArtifactStore artifacts() {
    return artifacts;
  }

  private DeploymentManager.Listener deploymentHost() {
    return new DeploymentManager.Listener() {
      @Override
      public void transitioned(Deployment change, Deployment.Transition step) {
        log.info(
            "CHANGE {} step {}: {}, stage {}: {}",
            change.number,
            step.sequence(),
            step.state(),
            step.stage(),
            step.cause());
        if (agentListener != null) {
          agentListener.deploymentChanged(change);
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

  private MaintenanceWindows.Host maintenanceHost() {
    return new MaintenanceWindows.Host() {
      @Override
      public void changed(MaintenanceWindow freeze, MaintenanceWindow.Step step) {
        if (!engine().replaying()) {
          log.info(
              "FREEZE {} of {} step {}: {}: {}",
              freeze.number,
              freeze.racks,
              step.sequence(),
              step.state(),
              step.cause());
        }
      }

      @Override
      public void promisesChanged() {
        // a start happens on another thread; a turn that moves many freezes is told once
        if (!engine().replaying() && grantsAnnounced.getAndSet(false)) {
          loop.post(ControllerServer.this::announceGrants);
        }
      }
    };
  }

  private void announceGrants() {
    grantsAnnounced.set(true);
    if (relayListener != null) {
      relayListener.notifyGrantsChanged(); // else nobody is linked yet
    }
  }

  /** What relays are promised; on the loop. */
  PlacementGrants grants() {
    return grants;
  }

  /** Whether this controller acts, asked at the last instant before it promises anything. */
  boolean isLeader() {
    return leadership.holds();
  }

  /** A relay has asked: some freeze may be in force by that. */
  void submitClearedWindows() {
    for (long number : grants.cleared(engine.maintenanceWindows().later(engine.wallMs()))) {
      submit(
          Input.newBuilder().setFreezeCleared(FreezeCleared.newBuilder().setFreeze(number)),
          outcome -> {});
    }
  }

  Engine engine() {
    return engine;
  }

  /** Numbers of the relays that are connected. */
  Set<Integer> connectedRelays() {
    return relayListener.connectedRelays();
  }

  void reportFault(Throwable why) {
    log.error("BROKEN {}", why.toString(), why);
  }

  /** On the loop, from any thread. */
  void runOnLoop(Runnable what) {
    loop.post(what);
  }

  /** On the loop: kept at the turn's end, then it happens and is answered. */
  void submit(Input.Builder input, Consumer<AppendResult> done) {
    engine.append(input, done);
    if (commitScheduled) {
      return;
    }
    commitScheduled = true;
    loop.atTurnsEnd(this::commit);
  }

  private void commit() {
    commitScheduled = false;
    long before = engine.rollouts().sequence();
    engine.flush();
    if (engine.rollouts().sequence() != before) {
      relayListener.sendNewsToAll();
    }
  }

  /** Steps of earlier lives that not every listener has taken yet. */
  private void requeueUndeliveredSteps() {
    List<Map.Entry<Rollout, Rollout.Transition>> again = new ArrayList<>();
    for (Rollout release : engine.rollouts().rollouts()) {
      for (Rollout.Transition step : release.transitions()) {
        if (step.sequence() > engine.rollouts().webhooksDeliveredUpTo()) {
          again.add(Map.entry(release, step));
        }
      }
    }
    again.sort(Comparator.comparingLong(one -> one.getValue().sequence()));
    again.forEach(one -> outboxes.forEach(outbox -> outbox.add(one.getKey(), one.getValue())));
  }

  /** Steps are done with once every listener has them, or they were given up. */
  private void deliveredByTarget(String target, long upTo) {
    deliveredByTarget.put(target, upTo);
    if (deliveredByTarget.size() < outboxes.size()) {
      return;
    }
    long all = deliveredByTarget.values().stream().mapToLong(Long::longValue).min().orElse(0);
    if (all > engine.rollouts().webhooksDeliveredUpTo()) {
      submit(
          Input.newBuilder().setDelivered(Delivered.newBuilder().setSequence(all)), outcome -> {});
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
      log.error("LEASE can't be renewed: {}", e.getMessage());
      holds = leadership.holds(); // as long as its time is not over
    }
    if (!holds) {
      log.error("LEASE lost: another controller acts, this one ends");
      stopped = true;
      leadershipLost = true;
      onLeadershipLost.run();
      return;
    }
    loop.at(loop.now().plus(Leadership.RENEW), this::renewLeadership);
  }

  private void checkTimers() {
    if (stopped) {
      return;
    }
    if (engine.rollouts().transitionDue(engine.now())
        || engine.deployments().transitionDue(engine.now())
        || engine.maintenanceWindows().due(engine.wallMs())) {
      commit();
    }
    submitClearedWindows();
    loop.at(loop.now().plus(TIMER_INTERVAL), this::checkTimers);
  }

  /** Answers what is under way, and ends. */
  @Override
  public void close() throws IOException {
    http.stop();
    stopped = true;
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          relayListener.stop();
          if (agentListener != null) {
            agentListener.stop();
          }
          loop.at(loop.now().plus(TimeSpan.ofMs(100)), done::countDown);
        });
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    outboxes.forEach(WebhookOutbox::close);
    engine.close();
    leadership.release();
    CountDownLatch gone = new CountDownLatch(1);
    loop.post(
        () -> {
          if (grantorListener != null) {
            grantorListener.stop();
          }
          loop.at(
              loop.now().plus(TimeSpan.ofMs(100)), gone::countDown); // what was given back goes out
        });
    try {
      gone.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    loop.close();
    log.info("FINISHED");
  }
}
