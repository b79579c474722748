package sprucerock.agent;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.agent.Agent.Phase;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** One machine's agent, told as stories on a machine that does what the story says. */
public class AgentTest {
  private static final Version OLD = new Version("a".repeat(64), "0".repeat(64));
  private static final Version NEW = new Version("b".repeat(64), "0".repeat(64));
  private static final Agent.Timeouts TIMES =
      new Agent.Timeouts(TimeSpan.ofMs(5000), TimeSpan.ofMs(3000), TimeSpan.ofMs(10_000));

  private static final class Stage implements ProcessLauncher {
    private record Timer(Timestamp when, int order, Runnable what) {}

    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>(
            (a, b) -> a.when.compareTo(b.when) != 0 ? a.when.compareTo(b.when) : a.order - b.order);
    private Timestamp now = Timestamp.ofMs(0);
    private int made;
    final Set<Version> here = new HashSet<>(Set.of(OLD, NEW));
    final List<String> did = new ArrayList<>();
    AgentState kept = AgentState.NONE;
    String diskSays;
    boolean signalWillDo;

    void pass(double ms) {
      Timestamp until = now.plus(TimeSpan.ofMs(ms));
      while (!timers.isEmpty() && !timers.peek().when.after(until)) {
        Timer next = timers.poll();
        now = now.later(next.when);
        next.what.run();
      }
      now = until;
    }

    @Override
    public Timestamp now() {
      return now;
    }

    @Override
    public void schedule(Timestamp when, Runnable what) {
      timers.add(new Timer(when, made++, what));
    }

    @Override
    public boolean hasArtifacts(Version version) {
      return here.contains(version);
    }

    @Override
    public void download(Version version) {
      did.add("fetch " + version.program().charAt(0));
    }

    @Override
    public void checkSettings(Version version) {
      did.add("read " + version.program().charAt(0));
    }

    @Override
    public void start(Version version) {
      did.add("start " + version.program().charAt(0));
    }

    @Override
    public void terminate() {
      did.add("terminate");
    }

    @Override
    public void kill() {
      did.add("kill");
    }

    @Override
    public boolean reload(Version from, Version to) {
      return signalWillDo;
    }

    @Override
    public String saveState(AgentState memory) {
      if (diskSays == null) {
        kept = memory;
      }
      return diskSays;
    }

    @Override
    public void stateChanged() {}

    @Override
    public void runFailed(Version version, String how) {
      did.add("failed " + version.program().charAt(0) + ": " + how);
    }

    @Override
    public void log(String line) {}
  }

  private Stage stage;

  @BeforeMethod
  public void machine() {
    stage = new Stage();
  }

  private Agent running(Version version) {
    Agent agent = new Agent(stage, TIMES, AgentState.NONE);
    agent.resume();
    agent.offerInitialVersion(version);
    agent.relayStarted();
    stage.pass(11_000);
    stage.did.clear();
    return agent;
  }

  @Test
  public void aNewVersionIsFetchedBeforeTheOldOneEnds() {
    stage.here.remove(NEW);
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    assertEquals(stage.did, List.of("fetch b"));
    assertTrue(agent.ready()); // it serves meanwhile
    stage.here.add(NEW);
    agent.downloadSucceeded(NEW);
    agent.processExited("ended with code 0");
    agent.relayStarted();
    assertEquals(stage.did, List.of("fetch b", "terminate", "start b"));
    assertEquals(agent.completedGeneration(), 1);
    assertEquals(agent.runningVersion(), NEW);
  }

  @Test
  public void whatCanNotBeHadIsReportedAndTheOldOneRunsOn() {
    stage.here.remove(NEW);
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.downloadFailed(NEW, "the controller has it not");
    assertTrue(agent.ready());
    assertEquals(stage.did.get(1), "failed b: can't be had: the controller has it not");
  }

  @Test
  public void aVersionThatKeepsEndingGivesWayToWhatRanWell() {
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.processExited("ended with code 0");
    for (int i = 0; i < 3; i++) {
      agent.processExited("ended with code 3");
      stage.pass(2500);
    }
    agent.relayStarted();
    assertEquals(agent.runningVersion(), OLD);
    assertTrue(agent.ready());
    assertEquals(stage.did.stream().filter("start b"::equals).count(), 3);
    assertEquals(
        stage.did.stream()
            .filter("failed b: ended before it was ready: ended with code 3"::equals)
            .count(),
        3);
    assertEquals(agent.completedGeneration(), 0); // what was wanted is not carried out
  }

  @Test
  public void whatRanWellIsTriedForEverAndNeverInARush() {
    Agent agent = running(OLD);
    for (int i = 0; i < 12; i++) {
      int before = stage.did.size();
      agent.processExited("ended by signal 9");
      stage.pass(200);
      assertEquals(
          stage.did.size(),
          before + 1,
          "started again without a pause"); // only told that it failed
      for (int waited = 200; agent.phase() != Phase.STARTING && waited < 31_000; waited += 250) {
        stage.pass(250);
      }
      assertEquals(agent.phase(), Phase.STARTING);
    }
  }

  @Test
  public void aStartThatHangsIsKilledAndAnEndThatHangsToo() {
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    stage.pass(2900);
    assertFalse(stage.did.contains("kill"));
    stage.pass(200);
    assertEquals(stage.did, List.of("terminate", "kill"));
    agent.processExited("ended by signal 9");
    stage.pass(5100);
    assertEquals(stage.did.subList(2, 4), List.of("start b", "kill"));
    agent.processExited("ended by signal 9");
    assertTrue(stage.did.contains("failed b: was not ready within 5000 ms"), stage.did.toString());
  }

  @Test
  public void onlyTheNewestControllerIsObeyed() {
    Agent agent = running(OLD);
    agent.applyDesiredState(5, 3, OLD);
    agent.processExited("ended with code 0");
    agent.relayStarted();
    stage.did.clear();
    agent.applyDesiredState(4, 9, NEW); // one that was replaced
    agent.applyDesiredState(5, 2, NEW); // an older word
    agent.applyDesiredState(5, 3, NEW); // the same word, and another content
    agent.applyDesiredState(5, 3, OLD); // once more
    assertEquals(stage.did, List.of());
    assertEquals(agent.state().desired(), OLD);
    agent.applyDesiredState(6, 4, NEW);
    assertEquals(stage.did, List.of("terminate"));
  }

  @Test
  public void withoutAnyControllerWhatWasWantedLastIsStarted() {
    Agent first = running(OLD);
    first.applyDesiredState(2, 1, NEW);
    Stage machine = stage;
    Agent second = new Agent(machine, TIMES, machine.kept);
    machine.did.clear();
    second.resume();
    second.relayStarted();
    assertEquals(machine.did, List.of("start b"));
    assertEquals(second.completedGeneration(), 1);
    machine.here.remove(NEW);
    Agent third = new Agent(machine, TIMES, machine.kept);
    third.resume();
    assertEquals(third.phase(), Phase.STARTING);
    assertEquals(third.runningVersion(), OLD); // it is not here any more: what ran well is
  }

  @Test
  public void aRestartOnTheSameVersionIsARestart() {
    Agent agent = running(OLD);
    stage.signalWillDo = true;
    agent.applyDesiredState(1, 0, OLD);
    assertEquals(stage.did, List.of()); // adopted as it is
    agent.applyDesiredState(1, 1, OLD);
    assertEquals(stage.did, List.of("terminate"));
    agent.processExited("ended with code 0");
    agent.relayStarted();
    assertEquals(agent.completedGeneration(), 1);
  }

  @Test
  public void anAgentThatLostItsNotesLeavesARelayThatRunsWhatIsWanted() {
    Agent agent = new Agent(stage, TIMES, AgentState.NONE);
    agent.relayAdopted(NEW, 3);
    agent.resume();
    agent.applyDesiredState(7, 3, NEW);
    assertEquals(stage.did, List.of());
    assertEquals(agent.completedGeneration(), 3);
    agent.applyDesiredState(7, 4, NEW); // what was not carried out still is
    assertEquals(stage.did, List.of("terminate"));
  }

  @Test
  public void anAgentThatLostItsNotesCarriesOutWhatItsRelayWasNotStartedFor() {
    Agent agent = new Agent(stage, TIMES, AgentState.NONE);
    agent.relayAdopted(OLD, 3);
    agent.resume();
    agent.applyDesiredState(7, 3, NEW);
    assertEquals(stage.did, List.of("terminate"));
  }

  @Test
  public void whatASignalCanTakeOverNeedsNoRestart() {
    Agent agent = running(OLD);
    stage.signalWillDo = true;
    agent.applyDesiredState(1, 1, NEW);
    agent.reloadFinished(NEW, true);
    assertEquals(stage.did, List.of());
    assertEquals(agent.runningVersion(), NEW);
    assertEquals(agent.completedGeneration(), 1);
    agent.applyDesiredState(1, 2, OLD);
    agent.reloadFinished(OLD, false);
    assertEquals(stage.did, List.of("terminate"));
  }

  @Test
  public void whatGoesOverALimitIsEndedAndTriedAgain() {
    Agent agent = running(OLD);
    agent.limitExceeded("its memory: 300 MB of 256");
    assertEquals(stage.did, List.of("kill"));
    agent.processExited("ended by signal 9");
    assertEquals(stage.did.get(1), "failed a: went over its memory: 300 MB of 256");
    stage.pass(1000);
    assertEquals(agent.phase(), Phase.STARTING);
  }

  @Test
  public void aDiskThatTakesNothingStopsNoRelay() {
    stage.diskSays = "No space left on device";
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.processExited("ended with code 0");
    agent.relayStarted();
    assertEquals(agent.runningVersion(), NEW);
  }

  @Test
  public void anOtherWordOnTheWayIsTheOneThatCounts() {
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.applyDesiredState(1, 2, OLD); // before the first has ended
    agent.processExited("ended with code 0");
    assertEquals(agent.runningVersion(), OLD);
    agent.relayStarted();
    assertEquals(agent.completedGeneration(), 2);
    assertEquals(stage.did, List.of("terminate", "start a"));
  }
}
