package sprucerock.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.v1.AgentSays;
import sprucerock.controller.v1.Cast;
import sprucerock.controller.v1.Input;
import sprucerock.time.TimeSpan;

/**
 * What the disk is asked to do for messages that come in one turn, and how large what is kept grows
 * with relays: counted, not timed.
 */
public class StoreScaleTest {
  private static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(new DeploymentPlan.Stage(0.5, 0.1), new DeploymentPlan.Stage(1, 0.01)),
          TimeSpan.ofMs(10_000),
          TimeSpan.ofMs(120_000),
          TimeSpan.ofMs(20_000),
          0.2,
          0.1,
          TimeSpan.ofMs(5000));
  private static final sprucerock.controller.v1.Version OBSERVED_VERSION =
      sprucerock.controller.v1.Version.newBuilder()
          .setProgram("a".repeat(64))
          .setSettings("0".repeat(64))
          .build();

  /** Counts what it is asked. */
  private static final class CountingStorage implements Storage {
    private final TreeMap<String, ByteArrayOutputStream> files = new TreeMap<>();
    private long appends;
    private long appendedBytes;
    private long fsyncs;
    private long snapshots;
    private long snapshotBytes;

    @Override
    public List<String> list() {
      return new ArrayList<>(files.keySet());
    }

    @Override
    public byte[] read(String name) {
      return files.get(name).toByteArray();
    }

    @Override
    public AppendFile openForAppend(String name) {
      ByteArrayOutputStream file = files.computeIfAbsent(name, any -> new ByteArrayOutputStream());
      return new AppendFile() {
        @Override
        public void append(byte[] more) {
          appends++;
          appendedBytes += more.length;
          file.writeBytes(more);
        }

        @Override
        public void fsync() {
          fsyncs++;
        }

        @Override
        public void close() {
          // nothing is held
        }
      };
    }

    @Override
    public void replaceAtomically(String name, byte[] all) {
      snapshots++;
      snapshotBytes = all.length;
      ByteArrayOutputStream file = new ByteArrayOutputStream();
      file.writeBytes(all);
      files.put(name, file);
    }

    @Override
    public void delete(String name) {
      files.remove(name);
    }

    @Override
    public void truncate(String name, long length) {
      throw new IllegalStateException("nothing is torn here");
    }
  }

  private final CountingStorage storage = new CountingStorage();
  private long nowMs = 1000;
  private Engine engine;

  public StoreScaleTest() {
    this(1 << 30);
  }

  private StoreScaleTest(int snapshotEvery) {
    RolloutRules rules =
        new RolloutRules(
            List.of(new RolloutRules.Stage(0.1, 0.12), new RolloutRules.Stage(1, 1)),
            RolloutRules.Control.MAJORITY,
            1 << 20,
            1 << 20,
            1 << 20,
            TimeSpan.ofMs(60_000),
            TimeSpan.ofMs(60_000),
            TimeSpan.ofMs(1000),
            TimeSpan.ofMs(600_000),
            TimeSpan.ofMs(1000),
            TimeSpan.ofMs(60_000),
            10);
    engine =
        new Engine(
            storage,
            snapshotEvery,
            rules,
            10,
            1,
            PLAN,
            new Engine.Clock() {
              @Override
              public long wallMs() {
                return nowMs;
              }

              @Override
              public long steadyMs() {
                return nowMs;
              }
            },
            (release, step) -> {},
            new DeploymentManager.Listener() {
              @Override
              public void transitioned(Deployment deployment, Deployment.Transition step) {
                // not counted
              }

              @Override
              public void desiredStateChanged(ManagedRelay relay) {
                // not counted
              }
            },
            what -> {
              throw new IllegalStateException(what);
            });
  }

  private void reportStatus(int relay, int done) {
    engine.append(
        Input.newBuilder()
            .setAgent(
                AgentSays.newBuilder()
                    .setRelay(relay)
                    .setZone(relay % 3)
                    .setRuns(OBSERVED_VERSION)
                    .setReady(true)
                    .setDone(done)),
        outcome -> assertTrue(outcome instanceof AppendResult.Accepted));
  }

  private void castVote(int relay) {
    engine.append(
        Input.newBuilder()
            .setCast(Cast.newBuilder().setRelay(relay).setBuild(1).setStage(1).setSay("NOTHING")),
        outcome -> assertTrue(outcome instanceof AppendResult.Accepted));
  }

  private static void print(String what, int size, double cost) {
    System.out.printf(Locale.ROOT, "counted: %s: at %d %.2f%n", what, size, cost);
  }

  /** A burst is one force of the disk, whatever its size; each message is a record of its own. */
  @Test
  public void entriesOfOneLoopIterationShareOneFsync() throws Exception {
    for (int burst : new int[] {10, 100, 1000}) {
      StoreScaleTest one = new StoreScaleTest();
      one.engine.start();
      long forces = one.storage.fsyncs;
      long adds = one.storage.appends;
      long bytes = one.storage.appendedBytes;
      for (int i = 0; i < burst; i++) {
        one.castVote(i);
      }
      one.engine.flush();
      print("records for the votes of one turn", burst, one.storage.appends - adds);
      print("bytes of a vote on disk", burst, (one.storage.appendedBytes - bytes) / (double) burst);
      assertEquals(one.storage.fsyncs - forces, 1, "forces for " + burst + " votes");
      assertEquals(one.engine.entryCount(), burst + 1, "each is there");
      assertEquals(
          one.storage.appends - adds, burst, "records for " + burst + " votes of one turn");
    }
  }

  /**
   * A controller that starts again finds each relay as it was: what an agent says again is no
   * record. The door compares; here is what a first word costs.
   */
  @Test
  public void storedBytesGrowWithTheRelays() throws Exception {
    double[] each = new double[2];
    int[] sizes = {100, 400};
    for (int i = 0; i < 2; i++) {
      StoreScaleTest one = new StoreScaleTest(2 * sizes[i]);
      one.engine.start();
      for (int relay = 0; relay < sizes[i]; relay++) {
        one.reportStatus(relay, 0);
      }
      for (int relay = 0; relay < sizes[i]; relay++) {
        one.castVote(relay);
      }
      long bytes = one.storage.appendedBytes;
      one.engine.flush();
      print(
          "bytes of an agent's word and a vote on disk",
          sizes[i],
          (one.storage.appendedBytes - bytes) / (double) sizes[i]);
      assertEquals(one.storage.snapshots, 1);
      each[i] = one.storage.snapshotBytes / (double) sizes[i];
      print("bytes of a relay in a snapshot", sizes[i], each[i]);
    }
    assertTrue(each[1] <= 1.1 * each[0], each[1] + " after " + each[0]);
  }
}
