package sprucerock.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.v1.AgentSays;
import sprucerock.controller.v1.Announced;
import sprucerock.controller.v1.Cast;
import sprucerock.controller.v1.Checked;
import sprucerock.controller.v1.Failed;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Judged;
import sprucerock.controller.v1.Proposed;
import sprucerock.controller.v1.Ready;
import sprucerock.controller.v1.Word;
import sprucerock.time.TimeSpan;

/**
 * Tests that the controller's state survives crashes at every write, full disks and damaged files.
 */
public class EngineTest {
  private static final class SimulatedCrash extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /**
   * Storage that crashes at its n-th write operation, and keeps a random part of the bytes not yet
   * synced.
   */
  private static final class SimulatedStorage implements Storage {
    private final TreeMap<String, byte[]> durableFiles = new TreeMap<>();
    private final TreeMap<String, ByteArrayOutputStream> currentFiles = new TreeMap<>();
    private long steps;
    private long crashAtStep = Long.MAX_VALUE;
    private boolean full;
    private boolean syncFails;
    private boolean truncateFails;

    /** Whether a restart finds all bytes that were appended, synced or not. */
    private boolean keepsUnsynced;

    private final SplittableRandom random = new SplittableRandom(5);

    /**
     * Restarts after a crash with the synced bytes and a random part of the bytes appended since.
     */
    void restart(long nextCrashAtStep) {
      for (String name : List.copyOf(currentFiles.keySet())) {
        byte[] durable = durableFiles.getOrDefault(name, new byte[0]);
        byte[] current = currentFiles.get(name).toByteArray();
        if (keepsUnsynced) {
          durableFiles.put(name, current);
        } else if (current.length > durable.length) {
          durableFiles.put(
              name,
              Arrays.copyOf(
                  current, durable.length + random.nextInt(current.length - durable.length + 1)));
        }
      }
      currentFiles.clear();
      durableFiles.forEach(
          (name, bytes) ->
              currentFiles
                  .computeIfAbsent(name, key -> new ByteArrayOutputStream())
                  .writeBytes(bytes));
      steps = 0;
      crashAtStep = nextCrashAtStep;
    }

    private void step() {
      if (steps++ >= crashAtStep) {
        throw new SimulatedCrash();
      }
    }

    @Override
    public List<String> list() {
      return new ArrayList<>(currentFiles.keySet());
    }

    @Override
    public byte[] read(String name) {
      return currentFiles.containsKey(name) ? currentFiles.get(name).toByteArray() : new byte[0];
    }

    @Override
    public AppendFile openForAppend(String name) {
      step();
      ByteArrayOutputStream file =
          currentFiles.computeIfAbsent(name, key -> new ByteArrayOutputStream());
      durableFiles.putIfAbsent(name, new byte[0]);
      return new AppendFile() {
        @Override
        public void append(byte[] bytes) throws IOException {
          if (full) {
            file.write(bytes, 0, bytes.length / 2);
            throw new IOException("No space left on device");
          }
          step();
          file.writeBytes(bytes);
        }

        @Override
        public void fsync() throws IOException {
          step();
          if (syncFails) {
            throw new IOException("Input/output error");
          }
          durableFiles.put(name, file.toByteArray());
        }

        @Override
        public void close() {}
      };
    }

    @Override
    public void replaceAtomically(String name, byte[] bytes) {
      step();
      ByteArrayOutputStream file = new ByteArrayOutputStream();
      file.writeBytes(bytes);
      currentFiles.put(name, file);
      durableFiles.put(name, bytes);
    }

    @Override
    public void delete(String name) {
      step();
      currentFiles.remove(name);
      durableFiles.remove(name);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
      step();
      if (truncateFails) {
        throw new IOException("Input/output error");
      }
      byte[] truncated = Arrays.copyOf(read(name), (int) length);
      currentFiles.get(name).reset();
      currentFiles.get(name).writeBytes(truncated);
      durableFiles.put(name, truncated);
    }
  }

  private long wallMs = 1_000_000;
  private long steadyMs;
  private final Engine.Clock clock =
      new Engine.Clock() {
        @Override
        public long wallMs() {
          return wallMs;
        }

        @Override
        public long steadyMs() {
          return steadyMs;
        }
      };
  private final List<String> notified = new ArrayList<>();
  private final List<String> statusLines = new ArrayList<>();

  private static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(new DeploymentPlan.Stage(0.3, 0.1), new DeploymentPlan.Stage(1, 0.1)),
          TimeSpan.ofMs(500),
          TimeSpan.ofMs(20_000),
          TimeSpan.ofMs(3000),
          0.5,
          0.3,
          TimeSpan.ofMs(1000));
  private static final Version[] VERSIONS = {
    new Version("a".repeat(64), "0".repeat(64)), new Version("b".repeat(64), "0".repeat(64))
  };

  /**
   * The desired version of each relay by generation, over all incarnations, and notifications that
   * contradict an earlier one of the same generation.
   */
  private final TreeMap<Integer, TreeMap<Integer, Version>> desiredVersions = new TreeMap<>();

  private final List<String> contradictions = new ArrayList<>();

  private Engine engine(Storage storage, int snapshotEveryEntries) {
    return new Engine(
        storage,
        snapshotEveryEntries,
        RolloutManagerProperties.RULES,
        10,
        1,
        PLAN,
        clock,
        (rollout, transition) ->
            notified.add(
                transition.sequence()
                    + ": "
                    + rollout.build
                    + " "
                    + transition.state()
                    + " "
                    + transition.stage()),
        new DeploymentManager.Listener() {
          @Override
          public void transitioned(Deployment deployment, Deployment.Transition transition) {
            notified.add(
                "change "
                    + transition.sequence()
                    + ": "
                    + deployment.number
                    + " "
                    + transition.state()
                    + " "
                    + transition.stage());
          }

          @Override
          public void desiredStateChanged(ManagedRelay relay) {
            Version before =
                desiredVersions
                    .computeIfAbsent(relay.number, key -> new TreeMap<>())
                    .putIfAbsent(relay.generation(), relay.desiredVersion());
            if (before != null && !before.equals(relay.desiredVersion())) {
              contradictions.add(
                  "relay "
                      + relay.number
                      + ", generation "
                      + relay.generation()
                      + ": "
                      + before
                      + ", but then "
                      + relay.desiredVersion());
            }
          }
        },
        statusLines::add);
  }

  private static Input.Builder statusReport(int relay, Version runs, boolean ready, int done) {
    return Input.newBuilder()
        .setAgent(
            AgentSays.newBuilder()
                .setRelay(relay)
                .setZone(relay % 2)
                .setRuns(DeploymentCodec.version(runs))
                .setReady(ready)
                .setDone(done));
  }

  /** Returns a random log entry about deployments. */
  private static Input.Builder randomDeploymentEntry(Engine engine, SplittableRandom random) {
    DeploymentManager deployments = engine.deployments();
    int number = random.nextInt(6);
    ManagedRelay relay = deployments.relay(number);
    Deployment open = deployments.active() != null ? deployments.active() : deployments.pending();
    boolean hasDesiredVersion = relay != null && relay.desiredVersion() != null;
    return switch (random.nextInt(8)) {
      case 0 ->
          open != null
              ? Input.newBuilder()
                  .setChecked(Checked.newBuilder().setRelay(number).setChange(open.number))
              : Input.newBuilder()
                  .setProposed(
                      Proposed.newBuilder()
                          .setWho("ann")
                          .setWhy("why")
                          .setVersion(DeploymentCodec.version(VERSIONS[random.nextInt(2)])));
      case 1 ->
          open == null
              ? statusReport(number, VERSIONS[0], true, 0)
              : Input.newBuilder()
                  .setJudged(
                      Judged.newBuilder()
                          .setChange(open.number)
                          .setStage(open.stage())
                          .setVerdict(random.nextInt(8) == 0 ? "WORSE" : "NO_WORSE"));
      case 2 ->
          open == null || random.nextInt(6) > 0
              ? statusReport(
                  number,
                  hasDesiredVersion ? relay.desiredVersion() : VERSIONS[0],
                  true,
                  hasDesiredVersion ? relay.generation() : 0)
              : Input.newBuilder()
                  .setFailed(
                      Failed.newBuilder()
                          .setRelay(number)
                          .setVersion(DeploymentCodec.version(open.toVersion))
                          .setHow("ended"));
      default ->
          statusReport(
              number,
              hasDesiredVersion ? relay.desiredVersion() : VERSIONS[0],
              random.nextInt(5) > 0,
              hasDesiredVersion ? relay.generation() : 0);
    };
  }

  private void advanceTime(long ms) {
    steadyMs += ms;
    wallMs += ms;
  }

  private static Input.Builder announce(String delivery, int build) {
    return Input.newBuilder()
        .setAnnounced(
            Announced.newBuilder()
                .setDelivery(delivery)
                .setBuild(build)
                .setArtifact("a" + build)
                .setSource("ci"));
  }

  private static Input.Builder vote(int relay, int build, int stage, String vote) {
    return Input.newBuilder()
        .setCast(Cast.newBuilder().setRelay(relay).setBuild(build).setStage(stage).setSay(vote));
  }

  private static Input.Builder endpointsReady(int build, int endpoints) {
    return Input.newBuilder().setReady(Ready.newBuilder().setBuild(build).setUnits(endpoints));
  }

  /**
   * Appends random log entries, flushes after each loop iteration, and collects the builds whose
   * announcement was answered as taken.
   */
  private void appendRandomEntries(
      Engine engine, SplittableRandom random, List<Integer> taken, int iterations) {
    for (int i = 0; i < iterations; i++) {
      advanceTime(random.nextInt(400));
      int build = engine.rollouts().current().build;
      int stage = engine.rollouts().current().stage();
      for (int j = random.nextInt(3); j >= 0; j--) {
        int next = build + 1 + random.nextInt(2);
        switch (random.nextInt(10)) {
          case 6, 7, 8, 9 -> engine.append(randomDeploymentEntry(engine, random), result -> {});
          case 0 ->
              engine.append(
                  announce("d" + next, next),
                  result -> {
                    if (isTaken(result)) {
                      taken.add(next);
                    }
                  });
          case 1 -> engine.append(endpointsReady(build, 10), result -> {});
          case 2 ->
              engine.append(
                  Input.newBuilder()
                      .setWord(
                          Word.newBuilder()
                              .setAction(random.nextBoolean() ? "HOLD" : "RESUME")
                              .setBuild(build)
                              .setWho("ann")
                              .setReason("why")),
                  result -> {});
          default ->
              engine.append(
                  vote(random.nextInt(4), build, stage, random.nextInt(9) == 0 ? "BACK" : "ON"),
                  result -> {});
        }
      }
      engine.flush();
    }
  }

  @Test
  public void aCrashAtAnyStepLosesNothingThatWasAnswered() throws Exception {
    int crashes = 0;
    for (int snapshotEveryEntries : new int[] {7, 1000}) {
      for (long crashAtStep = 0; ; crashAtStep++) {
        SimulatedStorage storage = new SimulatedStorage();
        storage.crashAtStep = crashAtStep;
        notified.clear();
        desiredVersions.clear();
        List<Integer> taken = new ArrayList<>();
        Engine engine = engine(storage, snapshotEveryEntries);
        boolean crashed = false;
        try {
          engine.start();
          appendRandomEntries(engine, new SplittableRandom(crashAtStep % 11), taken, 60);
        } catch (SimulatedCrash e) {
          crashed = true;
        }
        List<String> before = List.copyOf(notified);
        storage.restart(Long.MAX_VALUE);
        notified.clear();
        advanceTime(100);
        Engine next = engine(storage, snapshotEveryEntries);
        next.start();
        List<String> transitions = new ArrayList<>();
        next.rollouts()
            .rollouts()
            .forEach(
                rollout ->
                    rollout
                        .transitions()
                        .forEach(
                            transition ->
                                transitions.add(
                                    transition.sequence()
                                        + ": "
                                        + rollout.build
                                        + " "
                                        + transition.state()
                                        + " "
                                        + transition.stage())));
        next.deployments()
            .deployments()
            .forEach(
                deployment ->
                    deployment
                        .transitions()
                        .forEach(
                            transition ->
                                transitions.add(
                                    "change "
                                        + transition.sequence()
                                        + ": "
                                        + deployment.number
                                        + " "
                                        + transition.state()
                                        + " "
                                        + transition.stage())));
        for (ManagedRelay relay : next.deployments().relays()) {
          if (desiredVersions.get(relay.number) == null) {
            continue;
          }
          assertTrue(
              relay.generation() >= desiredVersions.get(relay.number).lastKey(),
              "a generation that the relay was notified of was lost by the crash at step "
                  + crashAtStep);
        }
        assertTrue(
            next.deployments().relays().size() >= desiredVersions.size(),
            "a relay that was notified was lost");
        assertTrue(
            transitions.containsAll(before),
            "transitions notified before the crash at step "
                + crashAtStep
                + " were lost: "
                + before
                + " / "
                + transitions);
        for (int build : taken) {
          assertTrue(
              next.rollouts().rollout(build) != null,
              "an answered announcement was lost: build " + build);
        }
        assertTrue(
            next.rollouts().epoch() > engine.rollouts().epoch(), "the epoch did not increase");
        // The restarted engine continues to accept entries.
        appendRandomEntries(next, new SplittableRandom(1), taken, 5);
        assertEquals(contradictions, List.of());
        if (!crashed) {
          break;
        }
        crashes++;
      }
    }
    assertTrue(crashes > 300, crashes + " crashes");
  }

  @Test
  public void replayRestoresTheState() throws Exception {
    for (int snapshotEveryEntries : new int[] {5, 100_000}) {
      SimulatedStorage storage = new SimulatedStorage();
      Engine engine = engine(storage, snapshotEveryEntries);
      engine.start();
      appendRandomEntries(engine, new SplittableRandom(3), new ArrayList<>(), 300);
      while (engine.rollouts().transitionDue(engine.now())
          || engine.deployments().transitionDue(engine.now())) {
        // A restart would make these transitions at once.
        engine.flush();
      }
      var before =
          SnapshotCodec.writeSnapshot(
                  engine.rollouts(), engine.deployments(), engine.maintenanceWindows(), 0)
              .toBuilder()
              .clearEpoch()
              .build();
      storage.restart(Long.MAX_VALUE);
      Engine next = engine(storage, snapshotEveryEntries);
      next.start();
      assertEquals(
          SnapshotCodec.writeSnapshot(
                  next.rollouts(), next.deployments(), next.maintenanceWindows(), 0)
              .toBuilder()
              .clearEpoch()
              .build(),
          before);
      assertTrue(snapshotEveryEntries > 5 || storage.list().size() <= 6, storage.list().toString());
    }
  }

  private static RolloutManager.AnnouncementResult announcementResult(AppendResult result) {
    AppendResult.Value value = ((AppendResult.Accepted) result).value();
    return ((AppendResult.Announced) value).result();
  }

  private static boolean isTaken(AppendResult result) {
    return result instanceof AppendResult.Accepted
        && announcementResult(result) == RolloutManager.AnnouncementResult.TAKEN;
  }

  @Test
  public void aRepeatedDeliveryAfterARestartHasOneEffect() throws Exception {
    SimulatedStorage storage = new SimulatedStorage();
    List<Object> answers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Engine engine = engine(storage, 2);
      engine.start();
      engine.append(announce("d", 2), result -> answers.add(announcementResult(result)));
      engine.append(announce("d", 2), result -> answers.add(announcementResult(result)));
      engine.flush();
      storage.restart(Long.MAX_VALUE);
    }
    assertEquals(
        answers.subList(0, 2),
        List.of(RolloutManager.AnnouncementResult.TAKEN, RolloutManager.AnnouncementResult.AGAIN));
    assertEquals(
        answers.stream().filter(RolloutManager.AnnouncementResult.TAKEN::equals).count(), 1);
  }

  @Test
  public void fullStorageRejectsEntriesUntilThereIsSpace() throws Exception {
    statusLines.clear();
    notified.clear();
    SimulatedStorage storage = new SimulatedStorage();
    Engine engine = engine(storage, 1000);
    engine.start();
    engine.append(announce("d", 2), result -> {});
    engine.flush();
    storage.full = true;
    int before = notified.size();
    List<String> rejections = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      engine.append(
          announce("e", 3), result -> rejections.add(((AppendResult.Rejected) result).message()));
      engine.flush();
    }
    assertEquals(notified.size(), before);
    assertEquals(statusLines, List.of("storage: write failed: No space left on device"));
    assertEquals(
        rejections, java.util.Collections.nCopies(3, "write failed: No space left on device"));
    storage.full = false;
    engine.append(announce("e", 3), result -> assertTrue(isTaken(result)));
    engine.flush();
    assertEquals(engine.storageFailure(), null);
    storage.restart(Long.MAX_VALUE);
    Engine next = engine(storage, 1000);
    next.start();
    assertEquals(next.rollouts().current().build, 3);
  }

  /**
   * A storage that keeps what was written though its sync failed, and an engine that runs on it.
   */
  private SimulatedStorage storageThatKeepsAll() {
    SimulatedStorage storage = new SimulatedStorage();
    storage.keepsUnsynced = true;
    return storage;
  }

  private List<AppendResult> appendAndFlush(Engine engine, Input.Builder... entries) {
    List<AppendResult> results = new ArrayList<>();
    for (Input.Builder entry : entries) {
      engine.append(entry, results::add);
    }
    engine.flush();
    return results;
  }

  /** Guards against an entry that was answered as rejected and takes effect after a restart. */
  @Test
  public void anEntryRejectedForAFailedSyncNeverTakesEffect() throws Exception {
    SimulatedStorage storage = storageThatKeepsAll();
    Engine engine = engine(storage, 1000);
    engine.start();
    assertTrue(isTaken(appendAndFlush(engine, announce("a", 2)).get(0)));
    storage.syncFails = true;
    for (AppendResult result : appendAndFlush(engine, announce("b", 3), announce("c", 4))) {
      assertTrue(result instanceof AppendResult.Rejected, result.toString());
    }
    storage.syncFails = false;
    AppendResult later = appendAndFlush(engine, announce("d", 5)).get(0);
    assertTrue(later instanceof AppendResult.Rejected, later.toString());
    storage.restart(Long.MAX_VALUE);
    Engine next = engine(storage, 1000);
    next.start();
    assertEquals(next.rollouts().current().build, 2);
    for (int rejected : new int[] {3, 4, 5}) {
      assertEquals(next.rollouts().rollout(rejected), null);
    }
  }

  /** Guards against a "no" that nobody can know to be right. */
  @Test
  public void anEntryThatMayStayInTheLogIsNotAnsweredAsRejected() throws Exception {
    SimulatedStorage storage = storageThatKeepsAll();
    Engine engine = engine(storage, 1000);
    engine.start();
    storage.syncFails = true;
    storage.truncateFails = true;
    AppendResult result = appendAndFlush(engine, announce("b", 3)).get(0);
    assertTrue(result instanceof AppendResult.Unknown, result.toString());
    AppendResult later = appendAndFlush(engine, announce("d", 5)).get(0);
    assertTrue(later instanceof AppendResult.Rejected, later.toString());
    storage.truncateFails = false;
    storage.syncFails = false;
    storage.restart(Long.MAX_VALUE);
    Engine next = engine(storage, 1000);
    next.start();
    assertTrue(next.rollouts().rollout(3) != null, "the storage has kept it");
    assertEquals(next.rollouts().rollout(5), null);
  }

  /** Guards against a "no" for an entry that the next leader has read. */
  @Test
  public void anEntryWrittenAsLeadershipIsLostIsNotAnsweredAsRejected() throws Exception {
    SimulatedStorage storage = storageThatKeepsAll();
    Engine engine = engine(storage, 1000);
    engine.start();
    boolean[] asked = new boolean[1];
    engine.setLeadershipCheck(
        () -> {
          boolean isFirst = !asked[0];
          asked[0] = true;
          return isFirst;
        });
    AppendResult result = appendAndFlush(engine, announce("b", 3)).get(0);
    assertTrue(result instanceof AppendResult.Unknown, result.toString());
    AppendResult later = appendAndFlush(engine, announce("d", 5)).get(0);
    assertTrue(later instanceof AppendResult.Rejected, later.toString());
    storage.restart(Long.MAX_VALUE);
    Engine next = engine(storage, 1000);
    next.start();
    assertTrue(next.rollouts().rollout(3) != null, "the next leader has read it");
    assertEquals(next.rollouts().rollout(5), null);
  }

  @Test
  public void aTornTailIsTruncatedAndAHoleStopsTheStart() throws Exception {
    Path folder = Files.createTempDirectory("store");
    Engine engine = engine(new FileStorage(folder), 1000);
    engine.start();
    for (int i = 2; i < 12; i++) {
      engine.append(announce("d" + i, i), result -> {});
      engine.flush();
    }
    engine.close();
    Path log = folder.resolve("inputs-0000000000000000");
    byte[] good = Files.readAllBytes(log);
    statusLines.clear();
    Engine cut = engine(new FileStorage(folderWithLog(Arrays.copyOf(good, good.length - 3))), 1000);
    cut.start();
    cut.close();
    assertEquals(statusLines.size(), 1);
    assertTrue(
        statusLines
            .get(0)
            .contains("bytes of an unfinished record are cut off; its entry was never answered"),
        statusLines.get(0));
    assertEquals(cut.rollouts().current().build, 10);
    byte[] hole = good.clone();
    hole[good.length / 2] ^= 1;
    Path holed = folderWithLog(hole);
    String message =
        expectThrows(
                WriteAheadLog.DamagedException.class,
                () -> engine(new FileStorage(holed), 1000).start())
            .getMessage();
    assertTrue(
        message.startsWith("inputs-0000000000000000 is damaged at byte ")
            && message.endsWith("nothing was changed"),
        message);
    assertEquals(Files.readAllBytes(holed.resolve("inputs-0000000000000000")), hole);
    byte[] gap = new byte[good.length - 60];
    System.arraycopy(good, 0, gap, 0, 30);
    System.arraycopy(good, 90, gap, 30, good.length - 90);
    Path gapped = folderWithLog(gap);
    expectThrows(
        WriteAheadLog.DamagedException.class, () -> engine(new FileStorage(gapped), 1000).start());
  }

  /** Creates a folder that contains one log file. */
  private static Path folderWithLog(byte[] log) throws Exception {
    Path folder = Files.createTempDirectory("store");
    Files.write(folder.resolve("inputs-0000000000000000"), log);
    return folder;
  }

  @Test
  public void entriesOfAReplacedLeaderAreNeverReplayed() throws Exception {
    Path folder = Files.createTempDirectory("store");
    Engine old = engine(new FileStorage(folder), 1000);
    old.start();
    old.append(announce("a", 2), result -> {});
    old.flush();
    Engine next = engine(new FileStorage(folder), 1000);
    next.start();
    // The old leader was stalled and does not know that it was replaced.
    old.append(announce("b", 9), result -> {});
    old.flush();
    next.append(announce("c", 3), result -> {});
    next.flush();
    Engine third = engine(new FileStorage(folder), 1000);
    third.start();
    assertEquals(third.rollouts().current().build, 3);
    assertEquals(third.rollouts().rollout(9), null);
    // The old leader finds that its lease has expired.
    old.setLeadershipCheck(() -> false);
    List<String> rejections = new ArrayList<>();
    old.append(
        announce("d", 10), result -> rejections.add(((AppendResult.Rejected) result).message()));
    old.flush();
    assertEquals(
        rejections,
        List.of("this controller may have lost leadership; send the request to the leader"));
  }

  @Test
  public void timeNeverGoesBackThroughRestarts() throws Exception {
    SimulatedStorage storage = new SimulatedStorage();
    Engine engine = engine(storage, 1000);
    engine.start();
    advanceTime(5000);
    engine.append(announce("d", 2), result -> {});
    engine.flush();
    double last = engine.now().ms();
    // The wall clock is set back.
    wallMs -= 3_600_000;
    // Another process has another steady clock.
    steadyMs = 7;
    storage.restart(Long.MAX_VALUE);
    Engine back = engine(storage, 1000);
    back.start();
    assertTrue(back.now().ms() >= last);
    double beforeJump = back.now().ms();
    // The wall clock is set forward by months.
    wallMs += 100L * 24 * 3_600_000;
    storage.restart(Long.MAX_VALUE);
    Engine forward = engine(storage, 1000);
    forward.start();
    assertTrue(forward.now().ms() - beforeJump <= 24 * 3_600_000.0);
  }
}
