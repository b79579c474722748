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
 * The controller's replicated state: a write-ahead log with group commit, and the state machine
 * that is replayed from it. The entries of a turn of the loop are synced together, and only then
 * applied and answered, so that nothing is ever told that a crash could take back. It belongs to
 * one thread, which waits for the storage.
 */
public final class Engine {
  /** The machine's clocks, in milliseconds. */
  public interface Clock {
    /** Since 1970, for people and for how long the controller was down; it may jump. */
    long wallMs();

    /** Since any moment; it never goes back. */
    long steadyMs();
  }

  private record PendingEntry(Input.Builder entry, Consumer<AppendResult> done) {}

  private static final int SNAPSHOT_EVERY_ENTRIES = 10_000;
  // some hundred milliseconds to replay
  private static final int MAX_PENDING = 20_000;
  // entries between two flushes
  private static final double MAX_SLEW = 0.005;
  // of the time that passes
  private static final long MAX_DOWNTIME_MS = 24 * 3_600_000L;
  // what the clock may have jumped

  private final WriteAheadLog log;
  private final Clock clock;
  private final Consumer<String> statusLine;
  private final RolloutManager rollouts;
  private final DeploymentManager deployments;
  private final MaintenanceWindows maintenanceWindows;
  private final StateMachine stateMachine;
  private final List<PendingEntry> pending = new ArrayList<>();
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

  /** An engine of a fleet without racks, thus without maintenance windows. */
  Engine(
      Storage storage,
      int snapshotEvery,
      RolloutRules rules,
      int fleetSize,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener rolloutListener,
      DeploymentManager.Listener deploymentListener,
      Consumer<String> statusLine) {
    this(
        storage,
        snapshotEvery,
        rules,
        fleetSize,
        first,
        plan,
        clock,
        rolloutListener,
        deploymentListener,
        MaintenanceWindows.withoutRacks(),
        statusLine);
  }

  /**
   * An engine that has not started.
   *
   * @param statusLine is given one line on each failure of the storage
   * @param maintenanceWindows that have seen nothing yet
   */
  Engine(
      Storage storage,
      int snapshotEvery,
      RolloutRules rules,
      int fleetSize,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener rolloutListener,
      DeploymentManager.Listener deploymentListener,
      MaintenanceWindows maintenanceWindows,
      Consumer<String> statusLine) {
    this.maintenanceWindows = maintenanceWindows;
    log = new WriteAheadLog(storage, snapshotEvery);
    this.clock = clock;
    this.statusLine = statusLine;
    rollouts =
        new RolloutManager(
            rules,
            fleetSize,
            first,
            Timestamp.ofMs(0),
            (rollout, transition) -> {
              if (!replaying) {
                rolloutListener.transitioned(rollout, transition);
              }
            });
    deployments =
        new DeploymentManager(
            plan,
            new DeploymentManager.Listener() {
              @Override
              public void transitioned(Deployment deployment, Deployment.Transition transition) {
                if (!replaying) {
                  deploymentListener.transitioned(deployment, transition);
                }
              }

              @Override
              public void desiredStateChanged(ManagedRelay relay) {
                if (!replaying) {
                  deploymentListener.desiredStateChanged(relay);
                }
              }
            });
    stateMachine = new StateMachine(rollouts, deployments, maintenanceWindows);
  }

  /** An engine that keeps its log and snapshots in a folder. */
  public static Engine open(
      java.nio.file.Path folder,
      RolloutRules rules,
      int fleetSize,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener rolloutListener,
      DeploymentManager.Listener deploymentListener,
      MaintenanceWindows maintenanceWindows,
      Consumer<String> statusLine)
      throws IOException {
    return new Engine(
        new FileStorage(folder),
        SNAPSHOT_EVERY_ENTRIES,
        rules,
        fleetSize,
        first,
        plan,
        clock,
        rolloutListener,
        deploymentListener,
        maintenanceWindows,
        statusLine);
  }

  /**
   * Replays the last incarnation's state, and begins another one.
   *
   * @throws WriteAheadLog.DamagedException if the files are damaged other than at their end
   */
  public void start() throws IOException, WriteAheadLog.DamagedException {
    start(() -> {});
  }

  /** The same; {@code restored} is run once the state is back, before anything new is applied. */
  public void start(Runnable restored) throws IOException, WriteAheadLog.DamagedException {
    boolean[] found = new boolean[1];
    log.replay(
        new WriteAheadLog.Reader() {
          @Override
          public void snapshot(State state) {
            SnapshotCodec.readSnapshot(state, rollouts, deployments, maintenanceWindows);
            lastTimeMs = state.getAtMs();
            lastWallMs = state.getWallMs();
            found[0] = true;
          }

          @Override
          public void entry(Input input) {
            lastTimeMs = input.getAtMs();
            lastWallMs = input.getWallMs();
            stateMachine.apply(input);
            found[0] = true;
          }
        },
        statusLine);
    // new files from here on: what a controller that was replaced still writes into the old ones is
    // never read
    if (found[0]) {
      log.snapshot(
          SnapshotCodec.writeSnapshot(rollouts, deployments, maintenanceWindows, lastTimeMs)
              .toBuilder()
              .setWallMs(lastWallMs)
              .build());
    }
    long wall = clock.wallMs();
    long down = found[0] ? wall - lastWallMs : 0;
    timeAtStart = lastTimeMs + Math.max(0, Math.min(down, MAX_DOWNTIME_MS));
    steadyAtStart = clock.steadyMs();
    Input.Builder restarted =
        Input.newBuilder().setRestarted(Restarted.newBuilder().setDownMs(down));
    Input entry = timestamped(restarted);
    log.append(entry);
    log.fsync();
    restored.run();
    replaying = false;
    // listeners hear of what follows from here on
    stateMachine.apply(entry);
  }

  /** The maintenance windows; to be changed by entries alone. */
  public MaintenanceWindows maintenanceWindows() {
    return maintenanceWindows;
  }

  /** Whether the entries being applied are those of an earlier incarnation. */
  public boolean replaying() {
    return replaying;
  }

  /**
   * The wall clock that maintenance windows go by, in milliseconds: it runs with the steady clock,
   * and by half a hundredth of the time that passes towards the machine's wall clock, which may
   * jump.
   */
  public long wallMs() {
    long steady = clock.steadyMs();
    if (smoothedAtSteadyMs < 0) {
      smoothedWallMs = clock.wallMs();
    } else {
      double passed = steady - smoothedAtSteadyMs;
      smoothedWallMs += passed;
      smoothedWallMs +=
          Math.max(
              -MAX_SLEW * passed, Math.min(MAX_SLEW * passed, clock.wallMs() - smoothedWallMs));
    }
    smoothedAtSteadyMs = steady;
    return Math.round(smoothedWallMs);
  }

  /** The deployments; to be changed by entries alone. */
  public DeploymentManager deployments() {
    return deployments;
  }

  /** The rollouts; to be changed by entries alone. */
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

  private Input timestamped(Input.Builder entry) {
    lastTimeMs = atMs();
    lastWallMs = wallMs();
    return entry.setAtMs(lastTimeMs).setWallMs(lastWallMs).build();
  }

  /** What is the matter with the storage, in one line; null while all is well. */
  public String storageFailure() {
    return failure == null ? null : failure.text();
  }

  /**
   * Gives an entry to the next {@link #flush}; {@code done} is told, on this thread, once it was
   * applied or rejected.
   */
  public void append(Input.Builder entry, Consumer<AppendResult> done) {
    if (pending.size() >= MAX_PENDING) {
      done.accept(
          new AppendResult.Rejected(AppendResult.Reason.QUEUE_FULL, "so much waits already"));
    } else {
      pending.add(new PendingEntry(entry, done));
    }
  }

  /** Asked before entries are written, and again before they are applied. */
  public void setLeadershipCheck(BooleanSupplier check) {
    leadershipCheck = check;
  }

  /**
   * Group commit, at the end of a turn of the loop: all pending entries are written and synced
   * together; then each is applied and answered, in the order in which they were appended.
   */
  public void flush() {
    if (!leadershipCheck.getAsBoolean()) {
      rejectPending();
      return;
    }
    boolean tickDue =
        rollouts.transitionDue(now())
            || deployments.transitionDue(now())
            || maintenanceWindows.isDue(wallMs());
    if (tickDue && pending.isEmpty()) {
      append(Input.newBuilder().setTick(Tick.getDefaultInstance()), result -> {});
    }
    if (pending.isEmpty()) {
      return;
    }
    List<PendingEntry> batch = List.copyOf(pending);
    pending.clear();
    int durable = makeDurable(batch);
    if (durable == batch.size()) {
      failure = null;
    }
    for (int i = 0; i < batch.size(); i++) {
      PendingEntry one = batch.get(i);
      one.done.accept(
          i < durable ? new AppendResult.Accepted(stateMachine.apply(one.entry.build())) : failure);
    }
    if (durable > 0 && log.snapshotDue()) {
      snapshot();
    }
  }

  private void rejectPending() {
    for (PendingEntry one : List.copyOf(pending)) {
      one.done.accept(
          new AppendResult.Rejected(
              AppendResult.Reason.NOT_LEADER, "another controller may act by now"));
    }
    pending.clear();
  }

  /** How many entries of a batch, from its beginning, are durable and may be applied. */
  private int makeDurable(List<PendingEntry> batch) {
    int written = 0;
    try {
      for (PendingEntry one : batch) {
        log.append(timestamped(one.entry));
        written++;
      }
    } catch (IOException e) {
      reportFailure(AppendResult.Reason.STORAGE_FAILED, "it takes no more: " + e.getMessage());
    }
    if (written > 0 && !fsync()) {
      written = 0;
    }
    if (!leadershipCheck.getAsBoolean()) {
      // the sync took long: what was written is in files that the other controller does not read
      reportFailure(AppendResult.Reason.NOT_LEADER, "another controller may act by now");
      written = 0;
      storageLost = true;
    }
    return written;
  }

  /**
   * Storage that did not sync may have lost what it took: nothing more can be promised in this
   * incarnation.
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
      reportFailure(AppendResult.Reason.STORAGE_FAILED, "no snapshot: " + e.getMessage());
      // the entries are in the log: it is tried again with the next
    }
  }

  /** Entries logged so far, over all incarnations. */
  public long entryCount() {
    return log.lastIndex();
  }

  /** Closes the log's file; what is pending is dropped unanswered. */
  public void close() throws IOException {
    log.close();
  }
}
