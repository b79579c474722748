package sprucerock.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Restarted;
import sprucerock.controller.v1.State;
import sprucerock.controller.v1.Tick;
import sprucerock.time.Timestamp;

/**
 * The releases, and the changes of what relays run, with their memory: what comes in a turn goes to
 * the disk together, and only then happens and is answered. So nothing is ever told that a crash
 * could take back. One thread, which waits for the disk.
 */
public final class Engine {
  /** Clocks: the wall's for people and for how long it was down; the other one never goes back. */
  public interface Clock {
    long wallMs();

    long steadyMs();
  }

  private record Waiting(Input.Builder input, Consumer<AppendResult> done) {}

  private static final int SNAPSHOT_EVERY_ENTRIES =
      10_000; // some hundred milliseconds to read back
  private static final int MAX_PENDING = 20_000;

  private final WriteAheadLog log;
  private final Clock clock;
  private final Consumer<String> statusLine;
  private final RolloutManager rollouts;
  private final DeploymentManager deployments;
  private final MaintenanceWindows maintenanceWindows;
  private final StateMachine stateMachine;
  private final List<Waiting> pending = new ArrayList<>();
  private boolean replaying = true;
  private long lastTimeMs;
  private long lastWallMs;
  private long steadyAtStart;
  private long timeAtStart;
  private BooleanSupplier leadershipCheck = () -> true;
  private AppendResult.Rejected failure;
  private boolean storageLost;
  private double smoothedWallMs;
  private long smoothedAtSteadyMs = -1;

  /** One of a fleet without racks. */
  Engine(
      Storage disk,
      int snapshotEvery,
      RolloutRules rules,
      int places,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener host,
      DeploymentManager.Listener ofChanges,
      Consumer<String> say) {
    this(
        disk,
        snapshotEvery,
        rules,
        places,
        first,
        plan,
        clock,
        host,
        ofChanges,
        MaintenanceWindows.none(),
        say);
  }

  /**
   * {@code say} is told in one line what is the matter with the disk. {@code freezes}: empty ones,
   * told nothing yet.
   */
  Engine(
      Storage disk,
      int snapshotEvery,
      RolloutRules rules,
      int places,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener host,
      DeploymentManager.Listener ofChanges,
      MaintenanceWindows freezes,
      Consumer<String> say) {
    this.maintenanceWindows = freezes;
    log = new WriteAheadLog(disk, snapshotEvery);
    this.clock = clock;
    this.statusLine = say;
    rollouts =
        new RolloutManager(
            rules,
            places,
            first,
            Timestamp.ofMs(0),
            (release, step) -> {
              if (!replaying) {
                host.transitioned(release, step);
              }
            });
    deployments =
        new DeploymentManager(
            plan,
            new DeploymentManager.Listener() {
              @Override
              public void transitioned(Deployment change, Deployment.Transition step) {
                if (!replaying) {
                  ofChanges.transitioned(change, step);
                }
              }

              @Override
              public void desiredStateChanged(ManagedRelay relay) {
                if (!replaying) {
                  ofChanges.desiredStateChanged(relay);
                }
              }
            });
    stateMachine = new StateMachine(rollouts, deployments, maintenanceWindows);
  }

  /** One that keeps its files in a folder of the machine's. */
  public static Engine open(
      java.nio.file.Path folder,
      RolloutRules rules,
      int places,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener host,
      DeploymentManager.Listener ofChanges,
      MaintenanceWindows freezes,
      Consumer<String> say)
      throws IOException {
    return new Engine(
        new FileStorage(folder),
        SNAPSHOT_EVERY_ENTRIES,
        rules,
        places,
        first,
        plan,
        clock,
        host,
        ofChanges,
        freezes,
        say);
  }

  /**
   * Comes back to where the last life was, and begins another one.
   *
   * @throws Store.DamagedException if the files are damaged other than at their end
   */
  public void start() throws IOException, WriteAheadLog.DamagedException {
    start(() -> {});
  }

  /** The same; {@code back} is run once it is where it was, before anything new happens. */
  public void start(Runnable back) throws IOException, WriteAheadLog.DamagedException {
    boolean[] before = new boolean[1];
    log.replay(
        new WriteAheadLog.Reader() {
          @Override
          public void snapshot(State state) {
            SnapshotCodec.readSnapshot(state, rollouts, deployments, maintenanceWindows);
            lastTimeMs = state.getAtMs();
            lastWallMs = state.getWallMs();
            before[0] = true;
          }

          @Override
          public void entry(Input input) {
            lastTimeMs = input.getAtMs();
            lastWallMs = input.getWallMs();
            stateMachine.apply(input);
            before[0] = true;
          }
        },
        statusLine);
    // files of its own from here on: what a controller that was replaced still writes into the old
    // ones is never read
    if (before[0]) {
      log.snapshot(
          SnapshotCodec.writeSnapshot(rollouts, deployments, maintenanceWindows, lastTimeMs)
              .toBuilder()
              .setWallMs(lastWallMs)
              .build());
    }
    long wall = clock.wallMs();
    long down = before[0] ? wall - lastWallMs : 0;
    timeAtStart = lastTimeMs + Math.max(0, Math.min(down, 24 * 3_600_000L));
    steadyAtStart = clock.steadyMs();
    Input.Builder restarted =
        Input.newBuilder().setRestarted(Restarted.newBuilder().setDownMs(down));
    Input stamped = timestamped(restarted);
    log.append(stamped);
    log.fsync();
    back.run();
    replaying = false; // what this leads to is news
    stateMachine.apply(stamped);
  }

  public MaintenanceWindows maintenanceWindows() {
    return maintenanceWindows;
  }

  /** Whether what is done now, after a restart, is news; before, it happened in a former life. */
  public boolean replaying() {
    return replaying;
  }

  /**
   * The wall's clock as freezes go by it: with this life's steady clock, and by half a hundredth of
   * it towards the machine's, which may jump.
   */
  public long wallMs() {
    long steady = clock.steadyMs();
    if (smoothedAtSteadyMs < 0) {
      smoothedWallMs = clock.wallMs();
    } else {
      double passed = steady - smoothedAtSteadyMs;
      smoothedWallMs += passed;
      smoothedWallMs +=
          Math.max(-0.005 * passed, Math.min(0.005 * passed, clock.wallMs() - smoothedWallMs));
    }
    smoothedAtSteadyMs = steady;
    return Math.round(smoothedWallMs);
  }

  public DeploymentManager deployments() {
    return deployments;
  }

  public RolloutManager rollouts() {
    return rollouts;
  }

  /** The controller's time: goes on through restarts, and never back. */
  public Timestamp now() {
    return Timestamp.ofMs(atMs());
  }

  private long atMs() {
    return Math.max(lastTimeMs, timeAtStart + clock.steadyMs() - steadyAtStart);
  }

  private Input timestamped(Input.Builder input) {
    lastTimeMs = atMs();
    lastWallMs = wallMs();
    return input.setAtMs(lastTimeMs).setWallMs(lastWallMs).build();
  }

  /** What it is that the disk does not take; null while all is well. */
  public String storageFailure() {
    return failure == null ? null : failure.text();
  }

  /**
   * Something came in; {@code done} is told once it has happened, or was refused. It waits for the
   * turn's end.
   */
  public void append(Input.Builder input, Consumer<AppendResult> done) {
    if (pending.size() >= MAX_PENDING) {
      done.accept(
          new AppendResult.Rejected(AppendResult.Reason.QUEUE_FULL, "so much waits already"));
    } else {
      pending.add(new Waiting(input, done));
    }
  }

  /** Asked before anything is kept, and again before it happens. */
  public void setLeadershipCheck(BooleanSupplier holds) {
    leadershipCheck = holds;
  }

  /** At a turn's end: what came is kept, then happens. */
  public void flush() {
    if (!leadershipCheck.getAsBoolean()) {
      for (Waiting one : List.copyOf(pending)) {
        one.done.accept(
            new AppendResult.Rejected(
                AppendResult.Reason.NOT_LEADER, "another controller may act by now"));
      }
      pending.clear();
      return;
    }
    if ((rollouts.transitionDue(now())
            || deployments.transitionDue(now())
            || maintenanceWindows.due(wallMs()))
        && pending.isEmpty()) {
      append(Input.newBuilder().setTick(Tick.getDefaultInstance()), outcome -> {});
    }
    if (pending.isEmpty()) {
      return;
    }
    List<Waiting> turn = List.copyOf(pending);
    pending.clear();
    int kept = 0;
    try {
      for (Waiting one : turn) {
        log.append(timestamped(one.input));
        kept++;
      }
    } catch (IOException e) {
      reportFailure(AppendResult.Reason.STORAGE_FAILED, "it takes no more: " + e.getMessage());
    }
    if (kept > 0 && !fsync()) {
      kept = 0;
    }
    if (!leadershipCheck
        .getAsBoolean()) { // held up meanwhile: what was kept is in files that the other one does
      // not read
      reportFailure(AppendResult.Reason.NOT_LEADER, "another controller may act by now");
      kept = 0;
      storageLost = true;
    }
    if (kept == turn.size()) {
      failure = null;
    }
    for (int i = 0; i < turn.size(); i++) {
      Waiting one = turn.get(i);
      one.done.accept(
          i < kept ? new AppendResult.Accepted(stateMachine.apply(one.input.build())) : failure);
    }
    if (kept > 0 && log.snapshotDue()) {
      snapshot();
    }
  }

  /**
   * A disk that did not force may have lost what it took: nothing more can be promised in this
   * life.
   */
  private boolean fsync() {
    if (storageLost) {
      return false;
    }
    try {
      log.fsync();
      return true;
    } catch (IOException e) {
      storageLost = true;
      reportFailure(
          AppendResult.Reason.STORAGE_FAILED,
          "what was written may be lost: "
              + e.getMessage()
              + "; nothing more is taken until the controller is restarted");
      return false;
    }
  }

  private void reportFailure(AppendResult.Reason reason, String what) {
    if (failure == null || !what.equals(failure.text())) {
      statusLine.accept("the store: " + what);
    }
    failure = new AppendResult.Rejected(reason, what);
  }

  private void snapshot() {
    try {
      log.snapshot(
          SnapshotCodec.writeSnapshot(rollouts, deployments, maintenanceWindows, lastTimeMs)
              .toBuilder()
              .setWallMs(lastWallMs)
              .build());
    } catch (IOException e) {
      reportFailure(
          AppendResult.Reason.STORAGE_FAILED,
          "no snapshot: "
              + e.getMessage()); // the inputs are there: it is tried again with the next
    }
  }

  /** Inputs kept so far, over all lives. */
  public long entryCount() {
    return log.lastIndex();
  }

  public void close() throws IOException {
    log.close();
  }
}
