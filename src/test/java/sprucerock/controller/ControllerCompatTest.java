package sprucerock.controller;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.compat.CorpusFiles;
import sprucerock.compat.FilledMessages;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.maintenance.CapacityCheck;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.maintenance.Rack;
import sprucerock.controller.v1.AgentSays;
import sprucerock.controller.v1.Announced;
import sprucerock.controller.v1.Cast;
import sprucerock.controller.v1.ChangeWord;
import sprucerock.controller.v1.Checked;
import sprucerock.controller.v1.Delivered;
import sprucerock.controller.v1.Failed;
import sprucerock.controller.v1.FamiliesWorth;
import sprucerock.controller.v1.FreezeCleared;
import sprucerock.controller.v1.FreezeWanted;
import sprucerock.controller.v1.FreezeWord;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Judged;
import sprucerock.controller.v1.Proposed;
import sprucerock.controller.v1.RackSays;
import sprucerock.controller.v1.Ready;
import sprucerock.controller.v1.Room;
import sprucerock.controller.v1.Silent;
import sprucerock.controller.v1.State;
import sprucerock.controller.v1.Word;
import sprucerock.time.TimeSpan;

/**
 * Tests that a storage folder recorded by an earlier version of the controller stays readable. The
 * folder has a log with every kind of entry, and snapshots. A restart on the folder must restore
 * the same state and write the same bytes.
 */
public class ControllerCompatTest {
  private static final String FOLDER = "controller/";
  private static final String LOG = "log";
  private static final String SNAPSHOTS = "snapshots";
  private static final String UNDER_DEPLOYMENT = "under-change";

  /**
   * A folder with a log only, one with snapshots, and one of an incarnation that ended while a
   * deployment was in progress.
   */
  private static final List<String> FOLDERS = List.of(LOG, SNAPSHOTS, UNDER_DEPLOYMENT);

  private static final String RESTARTED = "-restarted";
  private static final String LISTING = "-restarted.txt";
  private static final String NEVER_SET = FOLDER + "never-set.txt";
  private static final String LEADERSHIP_FILES = FOLDER + "seats.txt";
  private static final int NO_SNAPSHOT = 1_000_000;
  private static final int SNAPSHOT_EVERY_ENTRIES = 25;
  private static final long START_WALL_MS = 1_700_000_000_000L;
  private static final long DOWNTIME_MS = 700;
  private static final long MINUTE_MS = 60_000;
  private static final long HOUR_MS = 60 * MINUTE_MS;
  private static final int FLEET_SIZE = 10;
  private static final int RELAYS = 6;
  private static final Version OLD = new Version("a".repeat(64), "0".repeat(64));
  private static final Version NEW = new Version("b".repeat(64), "1".repeat(64));
  private static final Version NEWER = new Version("c".repeat(64), "2".repeat(64));
  private static final RolloutRules RULES =
      new RolloutRules(
          List.of(new RolloutRules.Stage(0.1, 0.12), new RolloutRules.Stage(1, 1)),
          RolloutRules.Control.SINGLE,
          2,
          1,
          1,
          TimeSpan.ofMs(4000),
          TimeSpan.ofMs(500),
          TimeSpan.ofMs(1000),
          TimeSpan.ofMs(5000),
          TimeSpan.ofMs(800),
          TimeSpan.ofMs(3000),
          1000);
  private static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(new DeploymentPlan.Stage(0.3, 0.1), new DeploymentPlan.Stage(1, 0.1)),
          TimeSpan.ofMs(500),
          TimeSpan.ofMs(20_000),
          TimeSpan.ofMs(3000),
          0.5,
          0.3,
          TimeSpan.ofMs(60_000));

  /** Clocks that a scenario advances. */
  private static final class ManualClock implements Engine.Clock {
    private long passedMs;

    @Override
    public long wallMs() {
      return START_WALL_MS + passedMs;
    }

    @Override
    public long steadyMs() {
      return passedMs;
    }
  }

  private static MaintenanceWindows maintenanceWindows() {
    double[] needByHour = new double[24];
    Arrays.fill(needByHour, 10);
    List<Rack> racks =
        List.of(
            new Rack("a1", 1, 1, Map.of(2, 10.0), 5 * MINUTE_MS),
            new Rack("a2", 1, 2, Map.of(2, 10.0), 5 * MINUTE_MS),
            new Rack("a3", 1, 3, Map.of(3, 8.0), 5 * MINUTE_MS),
            new Rack("b1", 2, 1, Map.of(2, 10.0), 5 * MINUTE_MS));
    CapacityCheck capacityCheck =
        new CapacityCheck(racks, Map.of(1, new CapacityCheck.Forecast(2, 0, needByHour)), 0.2);
    return new MaintenanceWindows(
        new MaintenanceWindows.Rules(MINUTE_MS, 15 * MINUTE_MS, 0.95),
        capacityCheck,
        new MaintenanceWindows.Listener() {
          @Override
          public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {}

          @Override
          public void permitsChanged() {}
        });
  }

  private static Engine engine(Path folder, int snapshotEvery, Engine.Clock clock)
      throws IOException {
    DeploymentManager.Listener ignoringListener =
        new DeploymentManager.Listener() {
          @Override
          public void transitioned(Deployment deployment, Deployment.Transition transition) {}

          @Override
          public void desiredStateChanged(ManagedRelay relay) {}
        };
    return new Engine(
        new FileStorage(folder),
        snapshotEvery,
        RULES,
        FLEET_SIZE,
        1,
        PLAN,
        clock,
        (rollout, transition) -> {},
        ignoringListener,
        maintenanceWindows(),
        line -> {
          throw new AssertionError(line);
        });
  }

  /** Runs a controller through a short scenario with entries of every kind. */
  private static final class Scenario {
    private final ManualClock clock;
    private final Engine engine;

    Scenario(Path folder, int snapshotEvery) throws Exception {
      clock = new ManualClock();
      engine = engine(folder, snapshotEvery, clock);
      engine.start();
    }

    void play(String name) throws IOException {
      firstRollout();
      beginDeployment();
      if (!name.equals(UNDER_DEPLOYMENT)) {
        playAfterDeploymentBegan();
      }
      engine.close();
    }

    private void playAfterDeploymentBegan() {
      secondDeploymentStage();
      relayFailure();
      openWindows();
      secondRollout();
      secondDeployment();
      forceHeldWindow();
      thirdRollout();
    }

    private void advanceTime(long ms) {
      clock.passedMs += ms;
      engine.flush();
    }

    private void append(Input.Builder entry) {
      clock.passedMs += 10;
      engine.append(entry, result -> {});
      engine.flush();
    }

    private void announce(String delivery, int build) {
      append(
          Input.newBuilder()
              .setAnnounced(
                  Announced.newBuilder()
                      .setDelivery(delivery)
                      .setBuild(build)
                      .setArtifact("registry/app:" + build)
                      .setSource("ci")));
    }

    private void reportEndpoints(int build, int endpoints) {
      append(Input.newBuilder().setReady(Ready.newBuilder().setBuild(build).setUnits(endpoints)));
    }

    private void castVote(int relay, int build, int stage, String vote) {
      append(
          Input.newBuilder()
              .setCast(
                  Cast.newBuilder().setRelay(relay).setBuild(build).setStage(stage).setSay(vote)));
    }

    private void commandRollout(String action, int build) {
      append(
          Input.newBuilder()
              .setWord(
                  Word.newBuilder()
                      .setAction(action)
                      .setBuild(build)
                      .setWho("ann")
                      .setReason("why " + action)));
    }

    /** A build passes through both stages, is held for a while, and is released. */
    private void firstRollout() {
      announce("delivery-2", 2);
      announce("delivery-2", 2);
      reportEndpoints(2, 1);
      castVote(1, 2, 0, "ON");
      commandRollout("HOLD", 2);
      advanceTime(300);
      commandRollout("RESUME", 2);
      castVote(2, 2, 0, "ON");
      advanceTime(600);
      reportEndpoints(2, 10);
      castVote(1, 2, 1, "ON");
      castVote(2, 2, 1, "ON");
      castVote(3, 2, 1, "NOTHING");
      advanceTime(600);
      advanceTime(4000);
      append(Input.newBuilder().setDelivered(Delivered.newBuilder().setSequence(2)));
    }

    private void reportAgentStatus(
        int relay, Version observedVersion, boolean ready, int observedGeneration) {
      append(
          Input.newBuilder()
              .setAgent(
                  AgentSays.newBuilder()
                      .setRelay(relay)
                      .setZone(relay == RELAYS ? 2 : 1)
                      .setBusy(relay == 1)
                      .setRuns(DeploymentCodec.version(observedVersion))
                      .setReady(ready)
                      .setDone(observedGeneration)));
    }

    /** Each agent reports that its relay runs the desired version. */
    private void reportDesiredVersions() {
      for (ManagedRelay relay : List.copyOf(engine.deployments().relays())) {
        reportAgentStatus(
            relay.number,
            relay.desiredVersion() == null ? OLD : relay.desiredVersion(),
            true,
            relay.generation());
      }
    }

    private void propose(Version version, boolean hotReload) {
      append(
          Input.newBuilder()
              .setProposed(
                  Proposed.newBuilder()
                      .setWho("ben")
                      .setWhy("newer")
                      .setVersion(DeploymentCodec.version(version))
                      .setLive(hotReload)));
    }

    private void reportValidation(int relay, long deployment, String refusal) {
      append(
          Input.newBuilder()
              .setChecked(
                  Checked.newBuilder().setRelay(relay).setChange(deployment).setRefusal(refusal)));
    }

    private void commandDeployment(String command, long deployment) {
      append(
          Input.newBuilder()
              .setChangeWord(
                  ChangeWord.newBuilder()
                      .setWord(command)
                      .setChange(deployment)
                      .setWho("ann")
                      .setReason("why " + command)));
    }

    /**
     * Sets the restart budget of a single zone: a snapshot stores several zones in hash order,
     * which differs from one process to the next.
     */
    private void setRestartBudget(int relays, String why) {
      append(Input.newBuilder().setRoom(Room.newBuilder().putByZone(1, relays).setWhy(why)));
    }

    private void reportVerdict(long deployment, int stage, String verdict) {
      append(
          Input.newBuilder()
              .setJudged(
                  Judged.newBuilder()
                      .setChange(deployment)
                      .setStage(stage)
                      .setVerdict(verdict)
                      .setReason("compared")));
    }

    /** The first relay of a deployment is notified, and its control waits to be restarted too. */
    private void beginDeployment() {
      for (int relay = 1; relay <= RELAYS; relay++) {
        reportAgentStatus(relay, OLD, true, 0);
      }
      setRestartBudget(1, "");
      propose(NEW, false);
      for (int relay = 1; relay < RELAYS; relay++) {
        reportValidation(relay, 1, "");
      }
      reportValidation(RELAYS, 1, "no room on its disk");
      commandDeployment("HOLD", 1);
      advanceTime(200);
      commandDeployment("RESUME", 1);
    }

    /** The deployment reaches its second stage, whose relays are compared. */
    private void secondDeploymentStage() {
      for (int i = 0; i < 4; i++) {
        advanceTime(300);
        reportDesiredVersions();
      }
      reportVerdict(1, 0, "NO_WORSE");
      advanceTime(600);
      reportDesiredVersions();
      reportVerdict(1, 1, "NOT_SURE");
    }

    /** A relay fails on the new version, and the deployment is rolled back. */
    private void relayFailure() {
      append(Input.newBuilder().setSilent(Silent.newBuilder().setRelay(4)));
      int updatedRelay =
          engine.deployments().relays().stream()
              .filter(relay -> NEW.equals(relay.desiredVersion()))
              .findFirst()
              .orElseThrow()
              .number;
      append(
          Input.newBuilder()
              .setFailed(
                  Failed.newBuilder()
                      .setRelay(updatedRelay)
                      .setVersion(DeploymentCodec.version(NEW))
                      .setHow("ended with code 1")
                      .setTurn(1)));
    }

    private FreezeWanted.Builder windowRequest(String rack, long fromMs, long lastsMs) {
      return FreezeWanted.newBuilder()
          .addRacks(rack)
          .setFromMs(fromMs)
          .setLastsMs(lastsMs)
          .setZone("UTC")
          .setWho("ann")
          .setReason("new switch");
    }

    private void commandWindow(String command, long window, String who, long toMs) {
      append(
          Input.newBuilder()
              .setFreezeWord(
                  FreezeWord.newBuilder()
                      .setWord(command)
                      .setFreeze(window)
                      .setToMs(toMs)
                      .setWho(who)
                      .setReason("why " + command)));
    }

    private void reportRack(String rack, boolean down) {
      append(Input.newBuilder().setRack(RackSays.newBuilder().setRack(rack).setDown(down)));
    }

    private void reportHardwareModel(long number) {
      append(
          Input.newBuilder()
              .setWorth(
                  FamiliesWorth.newBuilder()
                      .setNumber(number)
                      .setWindow(-7)
                      .addAllFamilies(List.of(2, 3))
                      .addMethods(1)
                      .addAllLogs(List.of(0.0, 0.1, -0.1, 0.0, 0.0, 0.2, -0.2, 0.0))
                      .addAllErrors(List.of(0.0, 0.01, 0.01, 0.0, 0.0, 0.02, 0.02, 0.0))
                      .addAllCores(List.of(0.5, 0.75))
                      .addAllCoresErrors(List.of(0.01, 0.02))
                      .setFree(30)));
    }

    /**
     * Opens a single, a recurring and an emergency maintenance window; one window is extended, one
     * cancelled, and one cleared by all relays.
     */
    private void openWindows() {
      reportHardwareModel(3);
      long now = clock.wallMs();
      append(
          Input.newBuilder()
              .setFreeze(
                  windowRequest("b1", now + HOUR_MS, 10 * MINUTE_MS).setSlackMs(30 * MINUTE_MS)));
      append(
          Input.newBuilder()
              .setFreeze(
                  windowRequest("a1", now + 2 * HOUR_MS, 20 * MINUTE_MS)
                      .setRule("FREQ=WEEKLY;COUNT=2")));
      append(
          Input.newBuilder()
              .setFreeze(windowRequest("a2", now, 30 * MINUTE_MS).setEmergency(true)));
      append(
          Input.newBuilder()
              .setFreeze(
                  windowRequest("a1", now + 90 * MINUTE_MS, 10 * MINUTE_MS)
                      .addRacks("a2")
                      .addRacks("a3")));
      commandWindow("EXTEND", 1, "ben", now + HOUR_MS + 20 * MINUTE_MS);
      commandWindow("CALL_OFF", 3, "ben", 0);
      append(Input.newBuilder().setFreezeCleared(FreezeCleared.newBuilder().setFreeze(4)));
    }

    /** A build is rolled back by the vote of a relay. */
    private void secondRollout() {
      announce("delivery-3", 3);
      reportEndpoints(3, 1);
      castVote(2, 3, 0, "HOLD");
      castVote(3, 3, 0, "BACK");
      advanceTime(1000);
      advanceTime(1000);
    }

    /**
     * A deployment without restarts waits until relays have validated it, and another one takes its
     * place.
     */
    private void secondDeployment() {
      reportDesiredVersions();
      advanceTime(500);
      propose(NEWER, true);
      propose(new Version(OLD.program(), NEWER.settings()), true);
      for (int relay = 1; relay < RELAYS; relay++) {
        reportValidation(relay, 3, "");
      }
      reportValidation(RELAYS, 3, "a setting is unknown");
      advanceTime(300);
      reportDesiredVersions();
      append(Input.newBuilder().setSilent(Silent.newBuilder().setRelay(5)));
      setRestartBudget(0, "more comes than usual");
      commandDeployment("HOLD", 3);
    }

    /** Racks go down, so that a window is held; one of the two needed operators forces it. */
    private void forceHeldWindow() {
      reportRack("a3", true);
      reportRack("a2", true);
      commandWindow("FORCE", 2, "ann", 0);
    }

    /** The incarnation ends with a build on trial that is held and has votes. */
    private void thirdRollout() {
      announce("delivery-4", 4);
      reportEndpoints(4, 1);
      castVote(1, 4, 0, "ON");
      castVote(2, 4, 0, "HOLD");
      commandRollout("HOLD", 4);
      advanceTime(400);
      commandRollout("RESUME", 4);
      advanceTime(100);
      commandRollout("HOLD", 4);
    }
  }

  /** Starts a controller on a folder, stops it at once, and returns a listing of its state. */
  private static String restart(Path folder) throws Exception {
    ManualClock clock = new ManualClock();
    clock.passedMs = lastWallMs(folder) - START_WALL_MS + DOWNTIME_MS;
    Engine engine = engine(folder, NO_SNAPSHOT, clock);
    engine.start();
    String listing = listing(engine);
    engine.close();
    return listing;
  }

  private static long lastWallMs(Path folder) throws Exception {
    long[] last = new long[1];
    read(folder, new ArrayList<>(), new ArrayList<>(), last);
    return last[0];
  }

  /** Reads a folder's snapshot and the entries after it. */
  private static void read(Path folder, List<State> states, List<Input> entries, long[] lastWallMs)
      throws Exception {
    WriteAheadLog log = new WriteAheadLog(new FileStorage(folder), NO_SNAPSHOT);
    log.replay(
        new WriteAheadLog.Reader() {
          @Override
          public void snapshot(State state) {
            states.add(state);
            lastWallMs[0] = state.getWallMs();
          }

          @Override
          public void entry(Input entry) {
            entries.add(entry);
            lastWallMs[0] = entry.getWallMs();
          }
        },
        line -> {
          throw new AssertionError(line);
        });
    log.close();
  }

  /** Lists a controller's state as text that shows if one field was read as another. */
  private static String listing(Engine engine) {
    StringBuilder text =
        new StringBuilder(
            "epoch "
                + engine.rollouts().epoch()
                + " at "
                + engine.now().ms()
                + ", inputs "
                + engine.entryCount()
                + "\n");
    for (Rollout rollout : engine.rollouts().rollouts()) {
      text.append("build ").append(rollout.build).append(' ').append(rollout.artifact).append('\n');
      rollout
          .transitions()
          .forEach(
              step ->
                  text.append("  ")
                      .append(step.sequence())
                      .append(' ')
                      .append(step.time().ms())
                      .append(' ')
                      .append(step.wallMs())
                      .append(' ')
                      .append(step.state())
                      .append(' ')
                      .append(step.stage())
                      .append(' ')
                      .append(step.cause())
                      .append('\n'));
    }
    for (Deployment deployment : engine.deployments().deployments()) {
      text.append("change ")
          .append(deployment.number)
          .append(" by ")
          .append(deployment.proposedBy)
          .append(": ")
          .append(deployment.reason)
          .append(", to ")
          .append(deployment.toVersion)
          .append('\n');
      deployment
          .transitions()
          .forEach(
              step ->
                  text.append("  ")
                      .append(step.sequence())
                      .append(' ')
                      .append(step.timestamp().ms())
                      .append(' ')
                      .append(step.wallMs())
                      .append(' ')
                      .append(step.state())
                      .append(' ')
                      .append(step.stage())
                      .append(' ')
                      .append(step.cause())
                      .append('\n'));
    }
    for (ManagedRelay relay : engine.deployments().relays()) {
      text.append("relay ")
          .append(relay.number)
          .append(" turn ")
          .append(relay.generation())
          .append(" wants ")
          .append(relay.desiredVersion())
          .append('\n');
    }
    for (MaintenanceWindow window : engine.maintenanceWindows().all()) {
      text.append("freeze ")
          .append(window.number)
          .append(" of ")
          .append(window.racks)
          .append(" by ")
          .append(window.operator)
          .append(": ")
          .append(window.reason)
          .append('\n');
      window
          .steps()
          .forEach(
              step ->
                  text.append("  ")
                      .append(step.sequence())
                      .append(' ')
                      .append(step.wallMs())
                      .append(' ')
                      .append(step.state())
                      .append(' ')
                      .append(step.cause())
                      .append('\n'));
    }
    return text.toString();
  }

  /** Writes the recorded files into a corpus folder. */
  public static void record(Path corpus) throws Exception {
    Path root = corpus.resolve(FOLDER);
    if (Files.exists(root)) {
      CorpusFiles.remove(root);
    }
    for (String name : FOLDERS) {
      Path folder = Files.createDirectories(root.resolve(name));
      new Scenario(folder, snapshotEvery(name)).play(name);
      Path restarted = Files.createDirectories(root.resolve(name + RESTARTED));
      for (String file : CorpusFiles.contents(folder).keySet()) {
        Files.copy(folder.resolve(file), restarted.resolve(file));
      }
      Files.writeString(root.resolve(name + LISTING), restart(restarted));
    }
    List<Path> folders = new ArrayList<>();
    for (String name : FOLDERS) {
      folders.addAll(List.of(root.resolve(name), root.resolve(name + RESTARTED)));
    }
    Files.writeString(corpus.resolve(NEVER_SET), String.join("\n", neverSet(folders)) + "\n");
    Files.writeString(
        corpus.resolve(LEADERSHIP_FILES), String.join("\n", leadershipFiles()) + "\n");
  }

  private static int snapshotEvery(String name) {
    return name.equals(SNAPSHOTS) ? SNAPSHOT_EVERY_ENTRIES : NO_SNAPSHOT;
  }

  /** Lists the fields of entries and of the state that are set in no recorded file. */
  private static List<String> neverSet(List<Path> folders) throws Exception {
    List<State> states = new ArrayList<>();
    List<Input> entries = new ArrayList<>();
    for (Path folder : folders) {
      read(folder, states, entries, new long[1]);
    }
    List<String> lines = new ArrayList<>();
    FilledMessages.neverSet(Input.getDescriptor(), entries)
        .forEach(path -> lines.add("input " + path));
    FilledMessages.neverSet(State.getDescriptor(), states)
        .forEach(path -> lines.add("state " + path));
    return lines;
  }

  /** Returns the contents of the lease and token files after each step of a leadership. */
  private static List<String> leadershipFiles() throws Exception {
    Path folder = Files.createTempDirectory("compat");
    try {
      ManualClock clock = new ManualClock();
      List<String> lines = new ArrayList<>();
      FileLeadership leadership =
          new FileLeadership(
              new FileStorage(folder), clock, TimeSpan.ofMs(2000), "controller-1@host");
      leadership.tryAcquire();
      lines.add(files(folder));
      clock.passedMs += 600;
      leadership.tryAcquire();
      lines.add(files(folder));
      leadership.release();
      lines.add(files(folder));
      new LeadershipMark(new FileStorage(folder)).claim(1_700_000_000_123L);
      lines.add(files(folder));
      return lines;
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  private static String files(Path folder) throws IOException {
    StringBuilder line = new StringBuilder();
    for (String name : CorpusFiles.contents(folder).keySet()) {
      line.append(name)
          .append('=')
          .append(Files.readString(folder.resolve(name), StandardCharsets.UTF_8))
          .append(' ');
    }
    return line.toString().strip();
  }

  @DataProvider
  public Object[][] folders() {
    return FOLDERS.stream().map(name -> new Object[] {name}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "folders")
  public void aRestartOnARecordedFolderWritesTheSameBytesAndRestoresTheSameState(String name)
      throws Exception {
    Path folder = CorpusFiles.copy(FOLDER + name);
    try {
      assertEquals(restart(folder), CorpusFiles.text(FOLDER + name + LISTING));
      assertEquals(
          CorpusFiles.contents(folder),
          CorpusFiles.contents(CorpusFiles.path(FOLDER + name + RESTARTED)));
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  @Test(dataProvider = "folders")
  public void theSameEntriesAreStoredAsTheSameBytes(String name) throws Exception {
    Path folder = Files.createTempDirectory("compat");
    try {
      new Scenario(folder, snapshotEvery(name)).play(name);
      assertEquals(
          CorpusFiles.contents(folder), CorpusFiles.contents(CorpusFiles.path(FOLDER + name)));
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  @Test
  public void everyKindOfLogEntryIsRecorded() throws Exception {
    List<Input> entries = new ArrayList<>();
    Path folder = CorpusFiles.copy(FOLDER + LOG);
    try {
      read(folder, new ArrayList<>(), entries, new long[1]);
    } finally {
      CorpusFiles.remove(folder);
    }
    TreeSet<Integer> recordedKinds = new TreeSet<>();
    entries.forEach(entry -> recordedKinds.add(entry.getWhatCase().getNumber()));
    TreeSet<Integer> kinds = new TreeSet<>();
    Input.getDescriptor()
        .getOneofs()
        .get(0)
        .getFields()
        .forEach(field -> kinds.add(field.getNumber()));
    assertEquals(recordedKinds, kinds);
  }

  @Test
  public void onlyTheListedFieldsAreNeverSet() throws Exception {
    List<Path> copies = new ArrayList<>();
    try {
      for (String name : FOLDERS) {
        for (String kind : List.of("", RESTARTED)) {
          copies.add(CorpusFiles.copy(FOLDER + name + kind));
        }
      }
      assertEquals(neverSet(copies), CorpusFiles.lines(NEVER_SET));
    } finally {
      for (Path copy : copies) {
        CorpusFiles.remove(copy);
      }
    }
  }

  @Test
  public void theLeadershipFilesAreUnchanged() throws Exception {
    assertEquals(leadershipFiles(), CorpusFiles.lines(LEADERSHIP_FILES));
  }

  @Test
  public void aRecordedFencingTokenIsRead() throws Exception {
    String last = CorpusFiles.lines(LEADERSHIP_FILES).get(3);
    Path folder = Files.createTempDirectory("compat");
    try {
      for (String file : last.split(" (?=[a-z]+=)")) {
        Files.writeString(folder.resolve(file.split("=")[0]), file.split("=")[1]);
      }
      assertEquals(new LeadershipMark(new FileStorage(folder)).highestToken(), 1_700_000_000_123L);
    } finally {
      CorpusFiles.remove(folder);
    }
  }
}
