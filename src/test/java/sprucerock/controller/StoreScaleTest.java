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
 * Counts the storage operations for messages that arrive in one loop iteration, and the growth of
 * the stored bytes with the number of relays. Nothing is timed.
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

  /** Storage in memory that counts its operations. */
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
      ByteArrayOutputStream file = files.computeIfAbsent(name, key -> new ByteArrayOutputStream());
      return new AppendFile() {
        @Override
        public void append(byte[] chunk) {
          appends++;
          appendedBytes += chunk.length;
          file.writeBytes(chunk);
        }

        @Override
        public void fsync() {
          fsyncs++;
        }

        @Override
        public void close() {
          // There is nothing to close.
        }
      };
    }

    @Override
    public void replaceAtomically(String name, byte[] content) {
      snapshots++;
      snapshotBytes = content.length;
      ByteArrayOutputStream file = new ByteArrayOutputStream();
      file.writeBytes(content);
      files.put(name, file);
    }

    @Override
    public void delete(String name) {
      files.remove(name);
    }

    @Override
    public void truncate(String name, long length) {
      throw new IllegalStateException("truncate was called, but no record is torn");
    }
  }

  private final CountingStorage storage = new CountingStorage();
  private long nowMs = 1000;
  private Engine engine;

  public StoreScaleTest() {
    this(1 << 30);
  }

  private StoreScaleTest(int snapshotEveryEntries) {
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
            snapshotEveryEntries,
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
            (rollout, transition) -> {},
            new DeploymentManager.Listener() {
              @Override
              public void transitioned(Deployment deployment, Deployment.Transition transition) {
                // Transitions and desired states are not counted.
              }

              @Override
              public void desiredStateChanged(ManagedRelay relay) {
                // Transitions and desired states are not counted.
              }
            },
            failure -> {
              throw new IllegalStateException(failure);
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
        result -> assertTrue(result instanceof AppendResult.Accepted));
  }

  private void castVote(int relay) {
    engine.append(
        Input.newBuilder()
            .setCast(Cast.newBuilder().setRelay(relay).setBuild(1).setStage(1).setSay("NOTHING")),
        result -> assertTrue(result instanceof AppendResult.Accepted));
  }

  private static void print(String what, int size, double cost) {
    System.out.printf(Locale.ROOT, "counted: %s: at %d %.2f%n", what, size, cost);
  }

  /** A burst of any size needs one fsync; each message is a record of its own. */
  @Test
  public void entriesOfOneLoopIterationShareOneFsync() throws Exception {
    for (int burst : new int[] {10, 100, 1000}) {
      StoreScaleTest fixture = new StoreScaleTest();
      fixture.engine.start();
      long fsyncsBefore = fixture.storage.fsyncs;
      long appendsBefore = fixture.storage.appends;
      long bytesBefore = fixture.storage.appendedBytes;
      for (int i = 0; i < burst; i++) {
        fixture.castVote(i);
      }
      fixture.engine.flush();
      print("records for the votes of one turn", burst, fixture.storage.appends - appendsBefore);
      print(
          "bytes of a vote on disk",
          burst,
          (fixture.storage.appendedBytes - bytesBefore) / (double) burst);
      assertEquals(fixture.storage.fsyncs - fsyncsBefore, 1, "fsyncs for " + burst + " votes");
      assertEquals(fixture.engine.entryCount(), burst + 1, "number of log entries");
      assertEquals(
          fixture.storage.appends - appendsBefore,
          burst,
          "records for " + burst + " votes of one loop iteration");
    }
  }

  /**
   * Measures what the first status report of a relay costs. After a restart of the controller a
   * repeated report adds no record, as the controller's server compares it with the known status.
   */
  @Test
  public void storedBytesGrowWithTheRelays() throws Exception {
    double[] bytesPerRelay = new double[2];
    int[] sizes = {100, 400};
    for (int i = 0; i < 2; i++) {
      StoreScaleTest fixture = new StoreScaleTest(2 * sizes[i]);
      fixture.engine.start();
      for (int relay = 0; relay < sizes[i]; relay++) {
        fixture.reportStatus(relay, 0);
      }
      for (int relay = 0; relay < sizes[i]; relay++) {
        fixture.castVote(relay);
      }
      long bytesBefore = fixture.storage.appendedBytes;
      fixture.engine.flush();
      print(
          "bytes of an agent's word and a vote on disk",
          sizes[i],
          (fixture.storage.appendedBytes - bytesBefore) / (double) sizes[i]);
      assertEquals(fixture.storage.snapshots, 1);
      bytesPerRelay[i] = fixture.storage.snapshotBytes / (double) sizes[i];
      print("bytes of a relay in a snapshot", sizes[i], bytesPerRelay[i]);
    }
    assertTrue(
        bytesPerRelay[1] <= 1.1 * bytesPerRelay[0],
        bytesPerRelay[1] + " after " + bytesPerRelay[0]);
  }
}
