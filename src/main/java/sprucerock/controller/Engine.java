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

  /** What an input came to: an answer, or why the disk did not take it. */
  public record Outcome(Object answer, String refused) {}

  private record Waiting(Input.Builder input, Consumer<Outcome> done) {}

  private static final int SNAPSHOT_EVERY = 10_000; // some hundred milliseconds to read back
  private static final int MOST_WAITING = 20_000;

  private final WriteAheadLog store;
  private final Clock clock;
  private final Consumer<String> say;
  private final RolloutManager core;
  private final DeploymentManager changes;
  private final MaintenanceWindows freezes;
  private final List<Waiting> waiting = new ArrayList<>();
  private boolean replaying = true;
  private long lastAtMs;
  private long lastWallMs;
  private long steadyAtStart;
  private long atStart;
  private BooleanSupplier mayAct = () -> true;
  private String failed;
  private boolean lost;
  private double wall;
  private long wallAsOf = -1;

  /** One of a fleet without racks. */
  Engine(
      Storage disk,
      int snapshotEvery,
      RolloutRules rules,
      int places,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Host host,
      DeploymentManager.Host ofChanges,
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
      RolloutManager.Host host,
      DeploymentManager.Host ofChanges,
      MaintenanceWindows freezes,
      Consumer<String> say) {
    this.freezes = freezes;
    store = new WriteAheadLog(disk, snapshotEvery);
    this.clock = clock;
    this.say = say;
    core =
        new RolloutManager(
            rules,
            places,
            first,
            Timestamp.ofMs(0),
            (release, step) -> {
              if (!replaying) {
                host.changed(release, step);
              }
            });
    changes =
        new DeploymentManager(
            plan,
            new DeploymentManager.Host() {
              @Override
              public void changed(Deployment change, Deployment.Step step) {
                if (!replaying) {
                  ofChanges.changed(change, step);
                }
              }

              @Override
              public void wants(ManagedRelay relay) {
                if (!replaying) {
                  ofChanges.wants(relay);
                }
              }
            });
  }

  /** One that keeps its files in a folder of the machine's. */
  public static Engine in(
      java.nio.file.Path folder,
      RolloutRules rules,
      int places,
      int first,
      DeploymentPlan plan,
      Clock clock,
      RolloutManager.Host host,
      DeploymentManager.Host ofChanges,
      MaintenanceWindows freezes,
      Consumer<String> say)
      throws IOException {
    return new Engine(
        new FileStorage(folder),
        SNAPSHOT_EVERY,
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
    store.open(
        new WriteAheadLog.Reader() {
          @Override
          public void state(State state) {
            Codec.read(state, core, changes, freezes);
            lastAtMs = state.getAtMs();
            lastWallMs = state.getWallMs();
            before[0] = true;
          }

          @Override
          public void input(Input input) {
            lastAtMs = input.getAtMs();
            lastWallMs = input.getWallMs();
            Codec.apply(core, changes, freezes, input);
            before[0] = true;
          }
        },
        say);
    // files of its own from here on: what a controller that was replaced still writes into the old
    // ones is never read
    if (before[0]) {
      store.snapshot(
          Codec.write(core, changes, freezes, lastAtMs).toBuilder().setWallMs(lastWallMs).build());
    }
    long wall = clock.wallMs();
    long down = before[0] ? wall - lastWallMs : 0;
    atStart = lastAtMs + Math.max(0, Math.min(down, 24 * 3_600_000L));
    steadyAtStart = clock.steadyMs();
    Input.Builder restarted =
        Input.newBuilder().setRestarted(Restarted.newBuilder().setDownMs(down));
    Input stamped = stamped(restarted);
    store.add(stamped);
    store.force();
    back.run();
    replaying = false; // what this leads to is news
    Codec.apply(core, changes, freezes, stamped);
  }

  public MaintenanceWindows freezes() {
    return freezes;
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
    if (wallAsOf < 0) {
      wall = clock.wallMs();
    } else {
      double passed = steady - wallAsOf;
      wall += passed;
      wall += Math.max(-0.005 * passed, Math.min(0.005 * passed, clock.wallMs() - wall));
    }
    wallAsOf = steady;
    return Math.round(wall);
  }

  public DeploymentManager changes() {
    return changes;
  }

  public RolloutManager releases() {
    return core;
  }

  /** The controller's time: goes on through restarts, and never back. */
  public Timestamp now() {
    return Timestamp.ofMs(atMs());
  }

  private long atMs() {
    return Math.max(lastAtMs, atStart + clock.steadyMs() - steadyAtStart);
  }

  private Input stamped(Input.Builder input) {
    lastAtMs = atMs();
    lastWallMs = wallMs();
    return input.setAtMs(lastAtMs).setWallMs(lastWallMs).build();
  }

  /** What it is that the disk does not take; null while all is well. */
  public String failed() {
    return failed;
  }

  /**
   * Something came in; {@code done} is told once it has happened, or was refused. It waits for the
   * turn's end.
   */
  public void submit(Input.Builder input, Consumer<Outcome> done) {
    if (waiting.size() >= MOST_WAITING) {
      done.accept(new Outcome(null, "so much waits already"));
    } else {
      waiting.add(new Waiting(input, done));
    }
  }

  /** Asked before anything is kept, and again before it happens. */
  public void onlyWhile(BooleanSupplier holds) {
    mayAct = holds;
  }

  /** At a turn's end: what came is kept, then happens. */
  public void commit() {
    if (!mayAct.getAsBoolean()) {
      for (Waiting one : List.copyOf(waiting)) {
        one.done.accept(new Outcome(null, "another controller may act by now"));
      }
      waiting.clear();
      return;
    }
    if ((core.due(now()) || changes.due(now()) || freezes.isDue(wallMs())) && waiting.isEmpty()) {
      submit(Input.newBuilder().setTick(Tick.getDefaultInstance()), outcome -> {});
    }
    if (waiting.isEmpty()) {
      return;
    }
    List<Waiting> turn = List.copyOf(waiting);
    waiting.clear();
    int kept = 0;
    try {
      for (Waiting one : turn) {
        store.add(stamped(one.input));
        kept++;
      }
    } catch (IOException e) {
      complain("it takes no more: " + e.getMessage());
    }
    if (kept > 0 && !force()) {
      kept = 0;
    }
    if (!mayAct
        .getAsBoolean()) { // held up meanwhile: what was kept is in files that the other one does
      // not read
      complain("another controller may act by now");
      kept = 0;
      lost = true;
    }
    if (kept == turn.size()) {
      failed = null;
    }
    for (int i = 0; i < turn.size(); i++) {
      Waiting one = turn.get(i);
      one.done.accept(
          i < kept
              ? new Outcome(Codec.apply(core, changes, freezes, one.input.build()), null)
              : new Outcome(null, failed));
    }
    if (kept > 0 && store.full()) {
      snapshot();
    }
  }

  /**
   * A disk that did not force may have lost what it took: nothing more can be promised in this
   * life.
   */
  private boolean force() {
    if (lost) {
      return false;
    }
    try {
      store.force();
      return true;
    } catch (IOException e) {
      lost = true;
      complain(
          "what was written may be lost: "
              + e.getMessage()
              + "; nothing more is taken until the controller is restarted");
      return false;
    }
  }

  private void complain(String what) {
    if (!what.equals(failed)) {
      say.accept("the store: " + what);
    }
    failed = what;
  }

  private void snapshot() {
    try {
      store.snapshot(
          Codec.write(core, changes, freezes, lastAtMs).toBuilder().setWallMs(lastWallMs).build());
    } catch (IOException e) {
      complain(
          "no snapshot: "
              + e.getMessage()); // the inputs are there: it is tried again with the next
    }
  }

  /** Inputs kept so far, over all lives. */
  public long inputs() {
    return store.number();
  }

  public void close() throws IOException {
    store.close();
  }
}
