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
    public Log open(String name) {
      step();
      ByteArrayOutputStream file = now.computeIfAbsent(name, key -> new ByteArrayOutputStream());
      forced.putIfAbsent(name, new byte[0]);
      return new Log() {
        @Override
        public void add(byte[] bytes) throws IOException {
          if (full) {
            file.write(bytes, 0, bytes.length / 2);
            throw new IOException("No space left on device");
          }
          step();
          file.writeBytes(bytes);
        }

        @Override
        public void force() {
          step();
          forced.put(name, file.toByteArray());
        }

        @Override
        public void close() {}
      };
    }

    @Override
    public void put(String name, byte[] bytes) {
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
    public void cut(String name, long length) {
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
                step.sequence()
                    + ": "
                    + release.build
                    + " "
                    + step.standing()
                    + " "
                    + step.stage()),
        new DeploymentManager.Host() {
          @Override
          public void changed(Deployment change, Deployment.Step step) {
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
          public void wants(ManagedRelay relay) {
            Version before =
                wanted
                    .computeIfAbsent(relay.number, any -> new TreeMap<>())
                    .putIfAbsent(relay.turn(), relay.wanted());
            if (before != null && !before.equals(relay.wanted())) {
              contradictions.add(
                  "relay "
                      + relay.number
                      + ", turn "
                      + relay.turn()
                      + ": "
                      + before
                      + ", then "
                      + relay.wanted());
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
                .setRuns(ChangeCodec.version(runs))
                .setReady(ready)
                .setDone(done));
  }

  /** Something befalls what relays run. */
  private static Input.Builder ofChange(Engine engine, SplittableRandom random) {
    DeploymentManager changes = engine.changes();
    int number = random.nextInt(6);
    ManagedRelay relay = changes.relay(number);
    Deployment any = changes.under() != null ? changes.under() : changes.waiting();
    boolean begun = relay != null && relay.wanted() != null;
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
                          .setVersion(ChangeCodec.version(VERSIONS[random.nextInt(2)])));
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
              ? says(number, begun ? relay.wanted() : VERSIONS[0], true, begun ? relay.turn() : 0)
              : Input.newBuilder()
                  .setFailed(
                      Failed.newBuilder()
                          .setRelay(number)
                          .setVersion(ChangeCodec.version(any.to))
                          .setHow("ended"));
      default ->
          says(
              number,
              begun ? relay.wanted() : VERSIONS[0],
              random.nextInt(5) > 0,
              begun ? relay.turn() : 0);
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
      int build = engine.releases().present().build;
      int stage = engine.releases().present().stage();
      for (int j = random.nextInt(3); j >= 0; j--) {
        int next = build + 1 + random.nextInt(2);
        switch (random.nextInt(10)) {
          case 6, 7, 8, 9 -> engine.submit(ofChange(engine, random), outcome -> {});
          case 0 ->
              engine.submit(
                  announce("d" + next, next),
                  outcome -> {
                    if (outcome.answer() == RolloutManager.Answer.TAKEN) {
                      taken.add(next);
                    }
                  });
          case 1 -> engine.submit(ready(build, 10), outcome -> {});
          case 2 ->
              engine.submit(
                  Input.newBuilder()
                      .setWord(
                          Word.newBuilder()
                              .setAction(random.nextBoolean() ? "HOLD" : "RESUME")
                              .setBuild(build)
                              .setWho("ann")
                              .setReason("why")),
                  outcome -> {});
          default ->
              engine.submit(
                  vote(random.nextInt(4), build, stage, random.nextInt(9) == 0 ? "BACK" : "ON"),
                  outcome -> {});
        }
      }
      engine.commit();
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
        next.releases()
            .all()
            .forEach(
                release ->
                    release
                        .steps()
                        .forEach(
                            step ->
                                steps.add(
                                    step.sequence()
                                        + ": "
                                        + release.build
                                        + " "
                                        + step.standing()
                                        + " "
                                        + step.stage())));
        next.changes()
            .all()
            .forEach(
                change ->
                    change
                        .steps()
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
        for (ManagedRelay relay : next.changes().relays()) {
          if (wanted.get(relay.number) == null) {
            continue;
          }
          assertTrue(
              relay.turn() >= wanted.get(relay.number).lastKey(),
              "a turn that was told is forgotten, crash at " + most);
        }
        assertTrue(
            next.changes().relays().size() >= wanted.size(),
            "a relay that was told something is forgotten");
        assertTrue(
            steps.containsAll(before),
            "told and forgotten, crash at " + most + ": " + before + " / " + steps);
        for (int build : taken) {
          assertTrue(next.releases().of(build) != null, "answered and forgotten: " + build);
        }
        assertTrue(
            next.releases().epoch() > engine.releases().epoch(), "what it tells now is not newer");
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
      while (engine.releases().due(engine.now()) || engine.changes().due(engine.now())) {
        engine.commit(); // what a restart would do at once
      }
      var before =
          Codec.write(engine.releases(), engine.changes(), engine.freezes(), 0).toBuilder()
              .clearEpoch()
              .build();
      disk.restart(Long.MAX_VALUE);
      Engine next = engine(disk, every);
      next.start();
      assertEquals(
          Codec.write(next.releases(), next.changes(), next.freezes(), 0).toBuilder()
              .clearEpoch()
              .build(),
          before);
      assertTrue(every > 5 || disk.list().size() <= 6, disk.list().toString());
    }
  }

  @Test
  public void theSameWebhookAfterARestartHasOneEffect() throws Exception {
    SimDisk disk = new SimDisk();
    List<Object> answers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Engine engine = engine(disk, 2);
      engine.start();
      engine.submit(announce("d", 2), outcome -> answers.add(outcome.answer()));
      engine.submit(announce("d", 2), outcome -> answers.add(outcome.answer()));
      engine.commit();
      disk.restart(Long.MAX_VALUE);
    }
    assertEquals(
        answers.subList(0, 2), List.of(RolloutManager.Answer.TAKEN, RolloutManager.Answer.AGAIN));
    assertEquals(answers.stream().filter(RolloutManager.Answer.TAKEN::equals).count(), 1);
  }

  @Test
  public void aFullDiskRefusesAndToldStaysTrueUntilThereIsRoom() throws Exception {
    said.clear();
    told.clear();
    SimDisk disk = new SimDisk();
    Engine engine = engine(disk, 1000);
    engine.start();
    engine.submit(announce("d", 2), outcome -> {});
    engine.commit();
    disk.full = true;
    int before = told.size();
    List<String> refused = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      engine.submit(announce("e", 3), outcome -> refused.add(outcome.refused()));
      engine.commit();
    }
    assertEquals(told.size(), before);
    assertEquals(said, List.of("the store: it takes no more: No space left on device"));
    assertEquals(
        refused, java.util.Collections.nCopies(3, "it takes no more: No space left on device"));
    disk.full = false;
    engine.submit(
        announce("e", 3), outcome -> assertEquals(outcome.answer(), RolloutManager.Answer.TAKEN));
    engine.commit();
    assertEquals(engine.failed(), null);
    disk.restart(Long.MAX_VALUE);
    Engine next = engine(disk, 1000);
    next.start();
    assertEquals(next.releases().present().build, 3);
  }

  @Test
  public void aTornTailIsCutOffWithALineAndAHoleStopsTheStart() throws Exception {
    Path folder = Files.createTempDirectory("store");
    Engine engine = engine(new FileStorage(folder), 1000);
    engine.start();
    for (int i = 2; i < 12; i++) {
      engine.submit(announce("d" + i, i), outcome -> {});
      engine.commit();
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
    assertEquals(cut.releases().present().build, 10);
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
    old.submit(announce("a", 2), outcome -> {});
    old.commit();
    Engine next = engine(new FileStorage(folder), 1000);
    next.start();
    old.submit(announce("b", 9), outcome -> {}); // it was held up, and does not know
    old.commit();
    next.submit(announce("c", 3), outcome -> {});
    next.commit();
    Engine third = engine(new FileStorage(folder), 1000);
    third.start();
    assertEquals(third.releases().present().build, 3);
    assertEquals(third.releases().of(9), null);
    old.onlyWhile(() -> false); // once it has looked at its lease
    List<String> refused = new ArrayList<>();
    old.submit(announce("d", 10), outcome -> refused.add(outcome.refused()));
    old.commit();
    assertEquals(refused, List.of("another controller may act by now"));
  }

  @Test
  public void timeGoesOnThroughRestartsWhateverTheWallDoes() throws Exception {
    SimDisk disk = new SimDisk();
    Engine engine = engine(disk, 1000);
    engine.start();
    pass(5000);
    engine.submit(announce("d", 2), outcome -> {});
    engine.commit();
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
