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
import sprucerock.lease.LeaseManager;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameTap;

/**
 * The controller: its engine between relays, pipelines and operators, on one loop that also waits
 * for the disk.
 */
public final class ControllerServer implements AutoCloseable {
  private static final TimeSpan LOOK = TimeSpan.ofMs(50);
  // whether time alone has changed anything

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final ControllerConfig config;
  private final NioLoop loop;
  private final Engine engine;
  private final PlacementGrants promises;
  private final RelayListener relays;
  private final HttpServer http;
  private final ArtifactStore vault;
  private AgentListener agents;
  private InetSocketAddress agentsAt;
  private final Leadership seat;
  private LeaseManager leases;
  private GrantorListener granter;
  private final List<WebhookOutbox> outboxes = new ArrayList<>();
  private final Map<String, Long> delivered = new ConcurrentHashMap<>();
  private final Runnable replaced;
  private final InetSocketAddress relaysAt;
  private final AtomicBoolean promisesTold = new AtomicBoolean(true);
  // false: relays are about to be; also set by the thread that starts
  private boolean marked;
  private volatile boolean stopped;
  private volatile boolean lost;

  /**
   * Opens the files and all doors.
   *
   * @throws Exception if a file is damaged or an address can't be had; the message says which
   */
  public ControllerServer(
      ControllerConfig config, Engine.Clock clock, FrameTap tap, Runnable replaced)
      throws Exception {
    this.replaced = replaced;
    this.config = config;
    String holder =
        config.name
            + "-"
            + ProcessHandle.current().pid()
            + "-"
            + Long.toHexString(System.nanoTime());
    loop = new NioLoop("controller", this::broken);
    seat = seat(holder, tap, clock);
    boolean told = false;
    while (!seat.tryAcquire()) {
      if (!told) {
        log.info("STANDBY {} waits for the seat at {}", holder, config.folder);
      }
      told = true;
      Thread.sleep(50);
    }
    loop.post(this::renew);
    // from now on: to come back may take longer than the lease
    MaintenanceWindows freezes =
        config.room == null
            ? MaintenanceWindows.none()
            : new MaintenanceWindows(config.freezes, config.room, ofFreezes());
    engine =
        Engine.open(
            config.folder,
            config.rules,
            config.places,
            config.firstBuild,
            config.plan,
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
            ofChanges(),
            freezes,
            what -> log.error("STORE {}", what));
    // relays are told at the turn's end, after all its steps
    for (WebhookOutbox.Target target : config.tells) {
      outboxes.add(
          new WebhookOutbox(
              target,
              config.folder.resolveSibling(
                  config.folder.getFileName() + "-" + target.name() + ".dead"),
              upTo -> loop.post(() -> delivered(target.name(), upTo)),
              what -> log.error("OUTBOX {}", what)));
    }
    engine.setLeadershipCheck(seat::isHeld);
    engine.start(this::tellAgain);
    promises = new PlacementGrants(freezes, freezes.advanceClock(engine.wallMs()));
    relays = new RelayListener(loop, config, tap, this);
    vault =
        config.agents == null
            ? null
            : new ArtifactStore(
                config.folder.resolveSibling(config.folder.getFileName() + "-versions"),
                config.mostBytes);
    http = new HttpServer(config, this);
    Exception[] wrong = new Exception[1];
    CountDownLatch done = new CountDownLatch(1);
    InetSocketAddress[] at = new InetSocketAddress[1];
    loop.post(
        () -> {
          try {
            at[0] = relays.start();
            if (config.agents != null) {
              agents = new AgentListener(loop, config, tap, this, vault);
              agentsAt = agents.start();
            }
          } catch (IOException e) {
            wrong[0] =
                new IOException(
                    (at[0] == null ? config.relays : config.agents)
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
          config.hooks + " or " + config.api + " can't be listened at: " + e.getMessage());
    }
    outboxes.forEach(WebhookOutbox::start);
    loop.post(this::look);
    relaysAt = at[0];
    log.info(
        "STARTED controller {}, epoch {}, {} inputs; relays at {}, webhooks at {}, operators at {}",
        config.name,
        engine.rollouts().epoch(),
        engine.entryCount(),
        at[0],
        http.hooksAt(),
        http.apiAt());
  }

  /**
   * By the store's folder, or by a lease where granters are configured; this process may be one of
   * them.
   */
  private Leadership seat(String holder, FrameTap tap, Engine.Clock clock) throws Exception {
    if (config.leases == null) {
      return FileLeadership.in(config.folder, clock, config.lease, holder);
    }
    LeaseManager.Log say =
        new LeaseManager.Log() {
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
        new LeaseManager(
            loop,
            config.leases,
            config.name,
            LeaseManager.newIncarnation(),
            tap,
            clock::wallMs,
            say);
    LeadershipMark mark = LeadershipMark.in(config.folder);
    Exception[] wrong = new Exception[1];
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            if (config.leases.grantorNumber() >= 0) {
              granter = new GrantorListener(loop, config.leases, config.name, tap, say);
              granter.start();
            }
            leases.start();
          } catch (IOException e) {
            wrong[0] =
                new IOException(
                    "granter "
                        + config.leases.grantorNumber()
                        + " can't listen: "
                        + e.getMessage());
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
  LeaseManager leases() {
    return leases;
  }

  /** Another controller has taken its place. */
  public boolean isReplaced() {
    return lost;
  }

  public InetSocketAddress relaysAt() {
    return relaysAt;
  }

  public InetSocketAddress agentsAt() {
    return agentsAt;
  }

  public InetSocketAddress hooksAt() {
    return http.hooksAt();
  }

  public InetSocketAddress apiAt() {
    return http.apiAt();
  }

  /**
   * Programs and settings that agents can be told to run; null where this controller has no agents.
   */
  ArtifactStore vault() {
    return vault;
  }

  private DeploymentManager.Listener ofChanges() {
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
        if (agents != null) {
          agents.changed(change);
        }
      }

      @Override
      public void desiredStateChanged(ManagedRelay relay) {
        if (agents != null) {
          agents.wants(relay);
        }
      }
    };
  }

  private MaintenanceWindows.Listener ofFreezes() {
    return new MaintenanceWindows.Listener() {
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
      public void grantsChanged() {
        // a start happens on another thread; a turn that moves many freezes is told once
        if (!engine().replaying() && promisesTold.getAndSet(false)) {
          loop.post(ControllerServer.this::tellPromises);
        }
      }
    };
  }

  private void tellPromises() {
    promisesTold.set(true);
    if (relays != null) {
      relays.promisesChanged();
      // else nobody is linked yet
    }
  }

  /** What relays are promised; on the loop. */
  PlacementGrants promises() {
    return promises;
  }

  /** Whether this controller acts, asked at the last instant before it promises anything. */
  boolean holdsSeat() {
    return seat.isHeld();
  }

  /** A relay has asked: some freeze may be in force by that. */
  void lookAtFreezes() {
    for (long number :
        promises.returned(engine.maintenanceWindows().advanceClock(engine.wallMs()))) {
      submit(
          Input.newBuilder().setFreezeCleared(FreezeCleared.newBuilder().setFreeze(number)),
          outcome -> {});
    }
  }

  Engine engine() {
    return engine;
  }

  Set<Integer> relays() {
    return relays.relays();
  }

  void broken(Throwable why) {
    log.error("BROKEN {}", why.toString(), why);
  }

  /** On the loop, from any thread. */
  void post(Runnable what) {
    loop.post(what);
  }

  /** On the loop: kept at the turn's end, then it happens and is answered. */
  void submit(Input.Builder input, Consumer<AppendResult> done) {
    engine.append(input, done);
    if (marked) {
      return;
    }
    marked = true;
    loop.atTurnsEnd(this::commit);
  }

  private void commit() {
    marked = false;
    long before = engine.rollouts().sequence();
    engine.flush();
    if (engine.rollouts().sequence() != before) {
      relays.tellAll();
    }
  }

  /** Steps of earlier lives that not every listener has taken yet. */
  private void tellAgain() {
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
  private void delivered(String target, long upTo) {
    delivered.put(target, upTo);
    if (delivered.size() < outboxes.size()) {
      return;
    }
    long all = delivered.values().stream().mapToLong(Long::longValue).min().orElse(0);
    if (all > engine.rollouts().webhooksDeliveredUpTo()) {
      submit(
          Input.newBuilder().setDelivered(Delivered.newBuilder().setSequence(all)), outcome -> {});
    }
  }

  private void renew() {
    if (stopped) {
      return;
    }
    boolean holds;
    try {
      holds = seat.renew();
    } catch (IOException e) {
      log.error("LEASE can't be renewed: {}", e.getMessage());
      holds = seat.isHeld();
      // as long as its time is not over
    }
    if (!holds) {
      log.error("LEASE lost: another controller acts, this one ends");
      stopped = true;
      lost = true;
      replaced.run();
      return;
    }
    loop.at(loop.now().plus(Leadership.RENEW_INTERVAL), this::renew);
  }

  private void look() {
    if (stopped) {
      return;
    }
    if (engine.rollouts().transitionDue(engine.now())
        || engine.deployments().transitionDue(engine.now())
        || engine.maintenanceWindows().isDue(engine.wallMs())) {
      commit();
    }
    lookAtFreezes();
    loop.at(loop.now().plus(LOOK), this::look);
  }

  /** Answers what is under way, and ends. */
  @Override
  public void close() throws IOException {
    http.stop();
    stopped = true;
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          relays.stop();
          if (agents != null) {
            agents.stop();
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
    seat.release();
    CountDownLatch gone = new CountDownLatch(1);
    loop.post(
        () -> {
          if (granter != null) {
            granter.stop();
          }
          loop.at(loop.now().plus(TimeSpan.ofMs(100)), gone::countDown);
          // what was given back goes out
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
