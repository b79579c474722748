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
 * The controller's durable state: a write-ahead log with group commit, and the state machine that
 * is replayed from it. The entries of one loop iteration are synced together, and only then applied
 * and answered, so that a crash never takes back what was sent to a relay or an operator. An engine
 * belongs to one thread, which blocks while the storage writes.
 */
public final class Engine {
  /** The machine's clocks, in milliseconds. */
  public interface Clock {
    /** Time since 1970, for people and for measuring downtime; the clock may jump. */
    long wallMs();

    /** Time since an arbitrary moment; it never goes back. */
    long steadyMs();
  }

  private record PendingEntry(Input.Builder entry, Consumer<AppendResult> onResult) {}

  /**
   * What became of a batch: its first entries are durable, of the next ones nobody can tell, and
   * the rest is not in the log.
   */
  private record Commit(int durable, int unknown) {}

  /** Replaying this many entries takes a few hundred milliseconds. */
  private static final int SNAPSHOT_EVERY_ENTRIES = 10_000;

  private static final int MAX_PENDING_ENTRIES = 20_000;

  private static final String LEADERSHIP_LOST =
      "this controller may have lost leadership; send the request to the leader";

  /** The fraction of the elapsed time by which the smoothed wall clock may be corrected. */
  private static final double MAX_SLEW = 0.005;

  /** Downtime beyond this does not count, as the wall clock may have jumped. */
  private static final long MAX_DOWNTIME_MS = 24 * 3_600_000L;

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
  private long steadyAtStartMs;
  private long timeAtStartMs;
  private BooleanSupplier leadershipCheck = () -> true;

  /**
   * The last failed write, sync or snapshot, or the loss of leadership; null once a whole batch was
   * accepted after it.
   */
  private AppendResult.Rejected failure;

  /** Set for the rest of the incarnation once a sync failed or leadership was lost. */
  private boolean closedToEntries;

  private double smoothedWallMs;

  /** The steady time at which {@link #smoothedWallMs} was computed; -1 before the first time. */
  private long smoothedAtSteadyMs = -1;

  /** Creates an engine for a fleet without racks, and so without maintenance windows. */
  Engine(
      Storage storage,
      int snapshotEveryEntries,
      RolloutRules rules,
      int fleetSize,
      int firstBuild,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener rolloutListener,
      DeploymentManager.Listener deploymentListener,
      Consumer<String> statusLine) {
    this(
        storage,
        snapshotEveryEntries,
        rules,
        fleetSize,
        firstBuild,
        plan,
        clock,
        rolloutListener,
        deploymentListener,
        MaintenanceWindows.withoutRacks(),
        statusLine);
  }

  /**
   * Creates an engine that has not started.
   *
   * @param snapshotEveryEntries the number of log entries between two snapshots
   * @param firstBuild the build that serves before the first rollout
   * @param maintenanceWindows maintenance windows to which no entry has been applied yet
   * @param statusLine receives a line if a torn tail of the log is truncated, and a line for each
   *     new failure of the storage and for lost leadership
   */
  Engine(
      Storage storage,
      int snapshotEveryEntries,
      RolloutRules rules,
      int fleetSize,
      int firstBuild,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Listener rolloutListener,
      DeploymentManager.Listener deploymentListener,
      MaintenanceWindows maintenanceWindows,
      Consumer<String> statusLine) {
    this.maintenanceWindows = maintenanceWindows;
    log = new WriteAheadLog(storage, snapshotEveryEntries);
    this.clock = clock;
    this.statusLine = statusLine;
    rollouts =
        new RolloutManager(
            rules,
            fleetSize,
            firstBuild,
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

  /** Creates an engine that keeps its log and snapshots in a folder. */
  public static Engine open(
      java.nio.file.Path folder,
      RolloutRules rules,
      int fleetSize,
      int firstBuild,
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
        firstBuild,
        plan,
        clock,
        rolloutListener,
        deploymentListener,
        maintenanceWindows,
        statusLine);
  }

  /**
   * Replays the state of earlier incarnations and begins a new one.
   *
   * @throws WriteAheadLog.DamagedException if the files are damaged anywhere but at their end
   */
  public void start() throws IOException, WriteAheadLog.DamagedException {
    start(() -> {});
  }

  /**
   * Replays the state of earlier incarnations and begins a new one.
   *
   * @param onReplayed runs once the state is restored, before any new entry is applied
   * @throws WriteAheadLog.DamagedException if the files are damaged anywhere but at their end
   */
  public void start(Runnable onReplayed) throws IOException, WriteAheadLog.DamagedException {
    boolean[] stateFound = new boolean[1];
    log.replay(
        new WriteAheadLog.Reader() {
          @Override
          public void snapshot(State state) {
            SnapshotCodec.restoreSnapshot(state, rollouts, deployments, maintenanceWindows);
            lastTimeMs = state.getAtMs();
            lastWallMs = state.getWallMs();
            stateFound[0] = true;
          }

          @Override
          public void entry(Input input) {
            lastTimeMs = input.getAtMs();
            lastWallMs = input.getWallMs();
            stateMachine.apply(input);
            stateFound[0] = true;
          }
        },
        statusLine);
    // Begins new files: entries that a replaced leader still writes into the old files are never
    // read.
    if (stateFound[0]) {
      log.snapshot(
          SnapshotCodec.writeSnapshot(rollouts, deployments, maintenanceWindows, lastTimeMs)
              .toBuilder()
              .setWallMs(lastWallMs)
              .build());
    }
    long wallMs = clock.wallMs();
    long downMs = stateFound[0] ? wallMs - lastWallMs : 0;
    timeAtStartMs = lastTimeMs + Math.max(0, Math.min(downMs, MAX_DOWNTIME_MS));
    steadyAtStartMs = clock.steadyMs();
    Input.Builder restarted =
        Input.newBuilder().setRestarted(Restarted.newBuilder().setDownMs(downMs));
    Input entry = timestamped(restarted);
    log.append(entry);
    log.fsync();
    onReplayed.run();
    replaying = false;
    // Listeners are notified from here on.
    stateMachine.apply(entry);
  }

  /** Returns the maintenance windows; only log entries may change them. */
  public MaintenanceWindows maintenanceWindows() {
    return maintenanceWindows;
  }

  /** Whether the engine is applying the entries of earlier incarnations. */
  public boolean replaying() {
    return replaying;
  }

  /**
   * Returns the smoothed wall clock in milliseconds, which maintenance windows use. It advances
   * with the steady clock, and is corrected towards the machine's wall clock, which may jump, by at
   * most 0.5% of the time that has passed.
   */
  public long wallMs() {
    long steadyNowMs = clock.steadyMs();
    if (smoothedAtSteadyMs < 0) {
      smoothedWallMs = clock.wallMs();
    } else {
      double passedMs = steadyNowMs - smoothedAtSteadyMs;
      smoothedWallMs += passedMs;
      smoothedWallMs +=
          Math.max(
              -MAX_SLEW * passedMs, Math.min(MAX_SLEW * passedMs, clock.wallMs() - smoothedWallMs));
    }
    smoothedAtSteadyMs = steadyNowMs;
    return Math.round(smoothedWallMs);
  }

  /** Returns the deployments; only log entries may change them. */
  public DeploymentManager deployments() {
    return deployments;
  }

  /** Returns the rollouts; only log entries may change them. */
  public RolloutManager rollouts() {
    return rollouts;
  }

  /** Returns the controller's time, which continues over restarts and never goes back. */
  public Timestamp now() {
    return Timestamp.ofMs(timeMs());
  }

  private long timeMs() {
    return Math.max(lastTimeMs, timeAtStartMs + clock.steadyMs() - steadyAtStartMs);
  }

  private Input timestamped(Input.Builder entry) {
    lastTimeMs = timeMs();
    lastWallMs = wallMs();
    return entry.setAtMs(lastTimeMs).setWallMs(lastWallMs).build();
  }

  /**
   * Describes the last failure of the storage, or the loss of leadership, in one line; null once
   * entries were accepted after it.
   */
  public String storageFailure() {
    return failure == null ? null : failure.message();
  }

  /**
   * Queues an entry for the next {@link #flush}. {@code onResult} is called on this thread once the
   * entry was applied or rejected.
   */
  public void append(Input.Builder entry, Consumer<AppendResult> onResult) {
    if (pending.size() >= MAX_PENDING_ENTRIES) {
      onResult.accept(
          new AppendResult.Rejected(
              AppendResult.Reason.QUEUE_FULL,
              "too many entries wait to be written (at most "
                  + MAX_PENDING_ENTRIES
                  + "); try again later"));
    } else {
      pending.add(new PendingEntry(entry, onResult));
    }
  }

  /** Sets the check that is made before entries are written and again before they are applied. */
  public void setLeadershipCheck(BooleanSupplier check) {
    leadershipCheck = check;
  }

  /**
   * Commits all pending entries as a group at the end of a loop iteration: the entries are written
   * and synced together, then each is applied and answered in the order in which it was appended.
   */
  public void flush() {
    if (closedToEntries) {
      rejectPending(failure);
      return;
    }
    if (!leadershipCheck.getAsBoolean()) {
      rejectPending(new AppendResult.Rejected(AppendResult.Reason.NOT_LEADER, LEADERSHIP_LOST));
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
    Commit commit = commit(batch);
    if (commit.durable == batch.size()) {
      failure = null;
    }
    for (int i = 0; i < batch.size(); i++) {
      PendingEntry entry = batch.get(i);
      entry.onResult.accept(
          i < commit.durable
              ? new AppendResult.Accepted(stateMachine.apply(entry.entry.build()))
              : i < commit.durable + commit.unknown
                  ? new AppendResult.Unknown("it may take effect later: " + failure.message())
                  : failure);
    }
    if (commit.durable > 0 && log.snapshotDue()) {
      snapshot();
    }
  }

  private void rejectPending(AppendResult.Rejected result) {
    List<PendingEntry> rejected = List.copyOf(pending);
    pending.clear();
    for (PendingEntry entry : rejected) {
      entry.onResult.accept(result);
    }
  }

  /**
   * Writes and syncs a batch. Guards against an entry whose caller is told that it was rejected,
   * and that a replay or a new leader finds in the log.
   */
  private Commit commit(List<PendingEntry> batch) {
    int written = write(batch);
    int torn = written < batch.size() && log.isTailTorn() ? 1 : 0;
    boolean synced = written == 0 || fsync();
    if (!leadershipCheck.getAsBoolean()) {
      // Leadership may have been lost during a long sync. A new leader may have read what is in
      // these files by then; it does not read what is written to them after its replay.
      closedToEntries = true;
      reportFailure(AppendResult.Reason.NOT_LEADER, LEADERSHIP_LOST);
      return new Commit(0, written + torn);
    }
    if (!synced) {
      boolean discarded = discardUnsynced() && leadershipCheck.getAsBoolean();
      return new Commit(0, discarded ? 0 : written + torn);
    }
    return new Commit(written, torn);
  }

  /** Writes a batch, and returns how many of its first entries were written. */
  private int write(List<PendingEntry> batch) {
    int written = 0;
    try {
      for (PendingEntry entry : batch) {
        log.append(timestamped(entry.entry));
        written++;
      }
    } catch (IOException e) {
      reportFailure(AppendResult.Reason.STORAGE_FAILED, "write failed: " + e.getMessage());
    }
    return written;
  }

  private boolean discardUnsynced() {
    try {
      log.discardUnsynced();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Syncs the log. A storage whose sync failed may have lost entries that it had accepted, so no
   * further entry is accepted in this incarnation.
   */
  private boolean fsync() {
    try {
      log.fsync();
      return true;
    } catch (IOException e) {
      closedToEntries = true;
      reportFailure(
          AppendResult.Reason.STORAGE_FAILED,
          "sync failed, written entries may be lost: "
              + e.getMessage()
              + "; all entries are rejected until the controller is restarted");
      return false;
    }
  }

  private void reportFailure(AppendResult.Reason reason, String message) {
    if (failure == null || !message.equals(failure.message())) {
      statusLine.accept("storage: " + message);
    }
    failure = new AppendResult.Rejected(reason, message);
  }

  private void snapshot() {
    try {
      log.snapshot(
          SnapshotCodec.writeSnapshot(rollouts, deployments, maintenanceWindows, lastTimeMs)
              .toBuilder()
              .setWallMs(lastWallMs)
              .build());
    } catch (IOException e) {
      // The entries are in the log. The snapshot is tried again after the next flush.
      reportFailure(AppendResult.Reason.STORAGE_FAILED, "snapshot failed: " + e.getMessage());
    }
  }

  /** Returns the number of entries logged so far by all incarnations. */
  public long entryCount() {
    return log.lastIndex();
  }

  /** Closes the log file; pending entries are dropped without an answer. */
  public void close() throws IOException {
    log.close();
  }
}
