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

/** The controller's memory through crashes at every write, full disks and damage of every kind. */
public class EngineTest {
  private static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /** A disk that crashes at its n-th step; of what was not forced a part stays, drawn. */
  private static final class SimDisk implements Storage {
    private final TreeMap<String, byte[]> forced = new TreeMap<>();
    private final TreeMap<String, ByteArrayOutputStream> now = new TreeMap<>();
    private long steps;
    private long most = Long.MAX_VALUE;
    private boolean full;
    private final SplittableRandom random = new SplittableRandom(5);

    /** After a crash: what was forced, and a part of what was added since. */
    void restart(long mostSteps) {
      for (String name : List.copyOf(now.keySet())) {
        byte[] was = forced.getOrDefault(name, new byte[0]);
        byte[] is = now.get(name).toByteArray();
        if (is.length > was.length) {
          forced.put(
              name, Arrays.copyOf(is, was.length + random.nextInt(is.length - was.length + 1)));
        }
      }
      now.clear();
      forced.forEach(
          (name, bytes) ->
              now.computeIfAbsent(name, key -> new ByteArrayOutputStream()).writeBytes(bytes));
      steps = 0;
      most = mostSteps;
    }

    private void step() {
      if (steps++ >= most) {
        throw new Crash();
      }
    }

    @Override
    public List<String> list() {
      return new ArrayList<>(now.keySet());
    }

    @Override
    public byte[] read(String name) {
      return now.containsKey(name) ? now.get(name).toByteArray() : new byte[0];
    }

    @Override
    public AppendFile openForAppend(String name) {
      step();
      ByteArrayOutputStream file = now.computeIfAbsent(name, key -> new ByteArrayOutputStream());
      forced.putIfAbsent(name, new byte[0]);
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
        public void fsync() {
          step();
          forced.put(name, file.toByteArray());
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
      now.put(name, file);
      forced.put(name, bytes);
    }

    @Override
    public void delete(String name) {
      step();
      now.remove(name);
      forced.remove(name);
    }

    @Override
    public void truncate(String name, long length) {
      step();
      byte[] cut = Arrays.copyOf(read(name), (int) length);
      now.get(name).reset();
      now.get(name).writeBytes(cut);
      forced.put(name, cut);
    }
  }

  private long wall = 1_000_000;
  private long steady;
  private final Engine.Clock clock =
      new Engine.Clock() {
        @Override
        public long wallMs() {
          return wall;
        }

        @Override
        public long steadyMs() {
          return steady;
        }
      };
  private final List<String> told = new ArrayList<>();
  private final List<String> said = new ArrayList<>();

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
   * What each relay was told to run, by its turn, in all lives; and a word that contradicts an
   * earlier one.
   */
  private final TreeMap<Integer, TreeMap<Integer, Version>> wanted = new TreeMap<>();

  private final List<String> contradictions = new ArrayList<>();

  private Engine engine(Storage disk, int snapshotEvery) {
    return new Engine(
        disk,
        snapshotEvery,
        ReleasesProperties.RULES,
        10,
        1,
        PLAN,
        clock,
        (release, step) ->
            told.add(
                step.sequence() + ": " + release.build + " " + step.state() + " " + step.stage()),
        new DeploymentManager.Listener() {
          @Override
          public void transitioned(Deployment change, Deployment.Transition step) {
            told.add(
                "change "
                    + step.sequence()
                    + ": "
                    + change.number
                    + " "
                    + step.state()
                    + " "
                    + step.stage());
          }

          @Override
          public void desiredStateChanged(ManagedRelay relay) {
            Version before =
                wanted
                    .computeIfAbsent(relay.number, any -> new TreeMap<>())
                    .putIfAbsent(relay.generation(), relay.desiredVersion());
            if (before != null && !before.equals(relay.desiredVersion())) {
              contradictions.add(
                  "relay "
                      + relay.number
                      + ", turn "
                      + relay.generation()
                      + ": "
                      + before
                      + ", then "
                      + relay.desiredVersion());
            }
          }
        },
        said::add);
  }

  private static Input.Builder says(int relay, Version runs, boolean ready, int done) {
    return Input.newBuilder()
        .setAgent(
            AgentSays.newBuilder()
                .setRelay(relay)
                .setZone(relay % 2)
                .setRuns(DeploymentCodec.version(runs))
                .setReady(ready)
                .setDone(done));
  }

  /** Something befalls what relays run. */
  private static Input.Builder ofChange(Engine engine, SplittableRandom random) {
    DeploymentManager changes = engine.deployments();
    int number = random.nextInt(6);
    ManagedRelay relay = changes.relay(number);
    Deployment any = changes.active() != null ? changes.active() : changes.pending();
    boolean begun = relay != null && relay.desiredVersion() != null;
    return switch (random.nextInt(8)) {
      case 0 ->
          any != null
              ? Input.newBuilder()
                  .setChecked(Checked.newBuilder().setRelay(number).setChange(any.number))
              : Input.newBuilder()
                  .setProposed(
                      Proposed.newBuilder()
                          .setWho("ann")
                          .setWhy("why")
                          .setVersion(DeploymentCodec.version(VERSIONS[random.nextInt(2)])));
      case 1 ->
          any == null
              ? says(number, VERSIONS[0], true, 0)
              : Input.newBuilder()
                  .setJudged(
                      Judged.newBuilder()
                          .setChange(any.number)
                          .setStage(any.stage())
                          .setVerdict(random.nextInt(8) == 0 ? "WORSE" : "NO_WORSE"));
      case 2 ->
          any == null || random.nextInt(6) > 0
              ? says(
                  number,
                  begun ? relay.desiredVersion() : VERSIONS[0],
                  true,
                  begun ? relay.generation() : 0)
              : Input.newBuilder()
                  .setFailed(
                      Failed.newBuilder()
                          .setRelay(number)
                          .setVersion(DeploymentCodec.version(any.toVersion))
                          .setHow("ended"));
      default ->
          says(
              number,
              begun ? relay.desiredVersion() : VERSIONS[0],
              random.nextInt(5) > 0,
              begun ? relay.generation() : 0);
    };
  }

  private void pass(long ms) {
    steady += ms;
    wall += ms;
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

  private static Input.Builder vote(int relay, int build, int stage, String say) {
    return Input.newBuilder()
        .setCast(Cast.newBuilder().setRelay(relay).setBuild(build).setStage(stage).setSay(say));
  }

  private static Input.Builder ready(int build, int endpoints) {
    return Input.newBuilder().setReady(Ready.newBuilder().setBuild(build).setUnits(endpoints));
  }

  /** Some inputs as a day brings them, and what each was answered. */
  private void live(Engine engine, SplittableRandom random, List<Integer> taken, int turns) {
    for (int i = 0; i < turns; i++) {
      pass(random.nextInt(400));
      int build = engine.rollouts().current().build;
      int stage = engine.rollouts().current().stage();
      for (int j = random.nextInt(3); j >= 0; j--) {
        int next = build + 1 + random.nextInt(2);
        switch (random.nextInt(10)) {
          case 6, 7, 8, 9 -> engine.append(ofChange(engine, random), outcome -> {});
          case 0 ->
              engine.append(
                  announce("d" + next, next),
                  outcome -> {
                    if (isTaken(outcome)) {
                      taken.add(next);
                    }
                  });
          case 1 -> engine.append(ready(build, 10), outcome -> {});
          case 2 ->
              engine.append(
                  Input.newBuilder()
                      .setWord(
                          Word.newBuilder()
                              .setAction(random.nextBoolean() ? "HOLD" : "RESUME")
                              .setBuild(build)
                              .setWho("ann")
                              .setReason("why")),
                  outcome -> {});
          default ->
              engine.append(
                  vote(random.nextInt(4), build, stage, random.nextInt(9) == 0 ? "BACK" : "ON"),
                  outcome -> {});
        }
      }
      engine.flush();
    }
  }

  @Test
  public void aCrashAtAnyStepTakesBackNothingThatWasTold() throws Exception {
    int crashes = 0;
    for (int every : new int[] {7, 1000}) {
      for (long most = 0; ; most++) {
        SimDisk disk = new SimDisk();
        disk.most = most;
        told.clear();
        wanted.clear();
        List<Integer> taken = new ArrayList<>();
        Engine engine = engine(disk, every);
        boolean crashed = false;
        try {
          engine.start();
          live(engine, new SplittableRandom(most % 11), taken, 60);
        } catch (Crash e) {
          crashed = true;
        }
        List<String> before = List.copyOf(told);
        disk.restart(Long.MAX_VALUE);
        told.clear();
        pass(100);
        Engine next = engine(disk, every);
        next.start();
        List<String> steps = new ArrayList<>();
        next.rollouts()
            .rollouts()
            .forEach(
                release ->
                    release
                        .transitions()
                        .forEach(
                            step ->
                                steps.add(
                                    step.sequence()
                                        + ": "
                                        + release.build
                                        + " "
                                        + step.state()
                                        + " "
                                        + step.stage())));
        next.deployments()
            .deployments()
            .forEach(
                change ->
                    change
                        .transitions()
                        .forEach(
                            step ->
                                steps.add(
                                    "change "
                                        + step.sequence()
                                        + ": "
                                        + change.number
                                        + " "
                                        + step.state()
                                        + " "
                                        + step.stage())));
        for (ManagedRelay relay : next.deployments().relays()) {
          if (wanted.get(relay.number) == null) {
            continue;
          }
          assertTrue(
              relay.generation() >= wanted.get(relay.number).lastKey(),
              "a turn that was told is forgotten, crash at " + most);
        }
        assertTrue(
            next.deployments().relays().size() >= wanted.size(),
            "a relay that was told something is forgotten");
        assertTrue(
            steps.containsAll(before),
            "told and forgotten, crash at " + most + ": " + before + " / " + steps);
        for (int build : taken) {
          assertTrue(next.rollouts().rollout(build) != null, "answered and forgotten: " + build);
        }
        assertTrue(
            next.rollouts().epoch() > engine.rollouts().epoch(), "what it tells now is not newer");
        live(next, new SplittableRandom(1), taken, 5); // and it goes on
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
  public void theStateAfterARestartIsThatBefore() throws Exception {
    for (int every : new int[] {5, 100_000}) {
      SimDisk disk = new SimDisk();
      Engine engine = engine(disk, every);
      engine.start();
      live(engine, new SplittableRandom(3), new ArrayList<>(), 300);
      while (engine.rollouts().transitionDue(engine.now())
          || engine.deployments().transitionDue(engine.now())) {
        engine.flush(); // what a restart would do at once
      }
      var before =
          SnapshotCodec.writeSnapshot(
                  engine.rollouts(), engine.deployments(), engine.maintenanceWindows(), 0)
              .toBuilder()
              .clearEpoch()
              .build();
      disk.restart(Long.MAX_VALUE);
      Engine next = engine(disk, every);
      next.start();
      assertEquals(
          SnapshotCodec.writeSnapshot(
                  next.rollouts(), next.deployments(), next.maintenanceWindows(), 0)
              .toBuilder()
              .clearEpoch()
              .build(),
          before);
      assertTrue(every > 5 || disk.list().size() <= 6, disk.list().toString());
    }
  }

  private static RolloutManager.AnnouncementResult announced(AppendResult result) {
    AppendResult.Value value = ((AppendResult.Accepted) result).value();
    return ((AppendResult.Announced) value).result();
  }

  private static boolean isTaken(AppendResult result) {
    return result instanceof AppendResult.Accepted
        && announced(result) == RolloutManager.AnnouncementResult.TAKEN;
  }

  @Test
  public void theSameWebhookAfterARestartHasOneEffect() throws Exception {
    SimDisk disk = new SimDisk();
    List<Object> answers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Engine engine = engine(disk, 2);
      engine.start();
      engine.append(announce("d", 2), outcome -> answers.add(announced(outcome)));
      engine.append(announce("d", 2), outcome -> answers.add(announced(outcome)));
      engine.flush();
      disk.restart(Long.MAX_VALUE);
    }
    assertEquals(
        answers.subList(0, 2),
        List.of(RolloutManager.AnnouncementResult.TAKEN, RolloutManager.AnnouncementResult.AGAIN));
    assertEquals(
        answers.stream().filter(RolloutManager.AnnouncementResult.TAKEN::equals).count(), 1);
  }

  @Test
  public void aFullDiskRefusesAndToldStaysTrueUntilThereIsRoom() throws Exception {
    said.clear();
    told.clear();
    SimDisk disk = new SimDisk();
    Engine engine = engine(disk, 1000);
    engine.start();
    engine.append(announce("d", 2), outcome -> {});
    engine.flush();
    disk.full = true;
    int before = told.size();
    List<String> refused = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      engine.append(
          announce("e", 3), outcome -> refused.add(((AppendResult.Rejected) outcome).text()));
      engine.flush();
    }
    assertEquals(told.size(), before);
    assertEquals(said, List.of("the store: it takes no more: No space left on device"));
    assertEquals(
        refused, java.util.Collections.nCopies(3, "it takes no more: No space left on device"));
    disk.full = false;
    engine.append(announce("e", 3), outcome -> assertTrue(isTaken(outcome)));
    engine.flush();
    assertEquals(engine.storageFailure(), null);
    disk.restart(Long.MAX_VALUE);
    Engine next = engine(disk, 1000);
    next.start();
    assertEquals(next.rollouts().current().build, 3);
  }

  @Test
  public void aTornTailIsCutOffWithALineAndAHoleStopsTheStart() throws Exception {
    Path folder = Files.createTempDirectory("store");
    Engine engine = engine(new FileStorage(folder), 1000);
    engine.start();
    for (int i = 2; i < 12; i++) {
      engine.append(announce("d" + i, i), outcome -> {});
      engine.flush();
    }
    engine.close();
    Path log = folder.resolve("inputs-0000000000000000");
    byte[] good = Files.readAllBytes(log);
    said.clear();
    Engine cut = engine(new FileStorage(only(Arrays.copyOf(good, good.length - 3))), 1000);
    cut.start();
    cut.close();
    assertEquals(said.size(), 1);
    assertTrue(
        said.get(0)
            .contains("bytes of a record that was not finished are cut off; it was never told"),
        said.get(0));
    assertEquals(cut.rollouts().current().build, 10);
    byte[] hole = good.clone();
    hole[good.length / 2] ^= 1;
    Path holed = only(hole);
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
    Path gapped = only(gap);
    expectThrows(
        WriteAheadLog.DamagedException.class, () -> engine(new FileStorage(gapped), 1000).start());
  }

  /** A folder with one log in it. */
  private static Path only(byte[] log) throws Exception {
    Path folder = Files.createTempDirectory("store");
    Files.write(folder.resolve("inputs-0000000000000000"), log);
    return folder;
  }

  @Test
  public void whatAReplacedControllerStillWritesIsNeverRead() throws Exception {
    Path folder = Files.createTempDirectory("store");
    Engine old = engine(new FileStorage(folder), 1000);
    old.start();
    old.append(announce("a", 2), outcome -> {});
    old.flush();
    Engine next = engine(new FileStorage(folder), 1000);
    next.start();
    old.append(announce("b", 9), outcome -> {}); // it was held up, and does not know
    old.flush();
    next.append(announce("c", 3), outcome -> {});
    next.flush();
    Engine third = engine(new FileStorage(folder), 1000);
    third.start();
    assertEquals(third.rollouts().current().build, 3);
    assertEquals(third.rollouts().rollout(9), null);
    old.setLeadershipCheck(() -> false); // once it has looked at its lease
    List<String> refused = new ArrayList<>();
    old.append(announce("d", 10), outcome -> refused.add(((AppendResult.Rejected) outcome).text()));
    old.flush();
    assertEquals(refused, List.of("another controller may act by now"));
  }

  @Test
  public void timeGoesOnThroughRestartsWhateverTheWallDoes() throws Exception {
    SimDisk disk = new SimDisk();
    Engine engine = engine(disk, 1000);
    engine.start();
    pass(5000);
    engine.append(announce("d", 2), outcome -> {});
    engine.flush();
    double last = engine.now().ms();
    wall -= 3_600_000; // set back
    steady = 7; // another process
    disk.restart(Long.MAX_VALUE);
    Engine back = engine(disk, 1000);
    back.start();
    assertTrue(back.now().ms() >= last);
    double then = back.now().ms();
    wall += 100L * 24 * 3_600_000; // set forward by months
    disk.restart(Long.MAX_VALUE);
    Engine forward = engine(disk, 1000);
    forward.start();
    assertTrue(forward.now().ms() - then <= 24 * 3_600_000.0);
  }
}
