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

/** An {@link Agent} with a launcher that records its calls and a clock that the test moves. */
public class AgentTest {
  private static final Version OLD = new Version("a".repeat(64), "0".repeat(64));
  private static final Version NEW = new Version("b".repeat(64), "0".repeat(64));
  private static final Agent.Timeouts TIMEOUTS =
      new Agent.Timeouts(TimeSpan.ofMs(5000), TimeSpan.ofMs(3000), TimeSpan.ofMs(10_000));

  private static final class FakeLauncher implements ProcessLauncher {
    private record Timer(Timestamp when, int order, Runnable task) {}

    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>(
            (a, b) -> a.when.compareTo(b.when) != 0 ? a.when.compareTo(b.when) : a.order - b.order);
    private Timestamp now = Timestamp.ofMs(0);
    private int timersMade;
    final Set<Version> storedVersions = new HashSet<>(Set.of(OLD, NEW));
    final List<String> calls = new ArrayList<>();
    AgentState savedState = AgentState.NONE;
    String diskError;
    boolean reloadSucceeds;

    void advance(double ms) {
      Timestamp until = now.plus(TimeSpan.ofMs(ms));
      while (!timers.isEmpty() && !timers.peek().when.after(until)) {
        Timer next = timers.poll();
        now = now.laterOf(next.when);
        next.task.run();
      }
      now = until;
    }

    @Override
    public Timestamp now() {
      return now;
    }

    @Override
    public void schedule(Timestamp when, Runnable task) {
      timers.add(new Timer(when, timersMade++, task));
    }

    @Override
    public boolean hasArtifacts(Version version) {
      return storedVersions.contains(version);
    }

    @Override
    public void download(Version version) {
      calls.add("fetch " + version.program().charAt(0));
    }

    @Override
    public void checkSettings(Version version) {
      calls.add("read " + version.program().charAt(0));
    }

    @Override
    public void start(Version version) {
      calls.add("start " + version.program().charAt(0));
    }

    @Override
    public void terminate() {
      calls.add("terminate");
    }

    @Override
    public void kill() {
      calls.add("kill");
    }

    @Override
    public boolean reload(Version from, Version to) {
      return reloadSucceeds;
    }

    @Override
    public String saveState(AgentState state) {
      if (diskError == null) {
        savedState = state;
      }
      return diskError;
    }

    @Override
    public void stateChanged() {}

    @Override
    public void runFailed(Version version, String reason) {
      calls.add("failed " + version.program().charAt(0) + ": " + reason);
    }

    @Override
    public void log(String line) {}
  }

  private FakeLauncher launcher;

  @BeforeMethod
  public void createLauncher() {
    launcher = new FakeLauncher();
  }

  private Agent running(Version version) {
    Agent agent = new Agent(launcher, TIMEOUTS, AgentState.NONE);
    agent.resume();
    agent.offerInitialVersion(version);
    agent.relayStarted();
    launcher.advance(11_000);
    launcher.calls.clear();
    return agent;
  }

  @Test
  public void downloadsNewVersionBeforeStoppingTheOldOne() {
    launcher.storedVersions.remove(NEW);
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    assertEquals(launcher.calls, List.of("fetch b"));
    assertTrue(agent.isReady()); // it serves meanwhile
    launcher.storedVersions.add(NEW);
    agent.downloadSucceeded(NEW);
    agent.processExited("ended with code 0");
    agent.relayStarted();
    assertEquals(launcher.calls, List.of("fetch b", "terminate", "start b"));
    assertEquals(agent.completedGeneration(), 1);
    assertEquals(agent.runningVersion(), NEW);
  }

  @Test
  public void reportsFailedDownloadAndKeepsOldVersionRunning() {
    launcher.storedVersions.remove(NEW);
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.downloadFailed(NEW, "the controller has it not");
    assertTrue(agent.isReady());
    assertEquals(launcher.calls.get(1), "failed b: can't be had: the controller has it not");
  }

  @Test
  public void fallsBackToLastGoodVersionAfterRepeatedFailures() {
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.processExited("ended with code 0");
    for (int i = 0; i < 3; i++) {
      agent.processExited("ended with code 3");
      launcher.advance(2500);
    }
    agent.relayStarted();
    assertEquals(agent.runningVersion(), OLD);
    assertTrue(agent.isReady());
    assertEquals(launcher.calls.stream().filter("start b"::equals).count(), 3);
    assertEquals(
        launcher.calls.stream()
            .filter("failed b: ended before it was ready: ended with code 3"::equals)
            .count(),
        3);
    assertEquals(agent.completedGeneration(), 0); // what was wanted is not carried out
  }

  @Test
  public void retriesLastGoodVersionForeverWithBackoff() {
    Agent agent = running(OLD);
    for (int i = 0; i < 12; i++) {
      int before = launcher.calls.size();
      agent.processExited("ended by signal 9");
      launcher.advance(200);
      assertEquals(
          launcher.calls.size(),
          before + 1,
          "started again without a pause"); // only told that it failed
      for (int waited = 200; agent.phase() != Phase.STARTING && waited < 31_000; waited += 250) {
        launcher.advance(250);
      }
      assertEquals(agent.phase(), Phase.STARTING);
    }
  }

  @Test
  public void killsRelayThatHangsOnStartOrStop() {
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    launcher.advance(2900);
    assertFalse(launcher.calls.contains("kill"));
    launcher.advance(200);
    assertEquals(launcher.calls, List.of("terminate", "kill"));
    agent.processExited("ended by signal 9");
    launcher.advance(5100);
    assertEquals(launcher.calls.subList(2, 4), List.of("start b", "kill"));
    agent.processExited("ended by signal 9");
    assertTrue(
        launcher.calls.contains("failed b: was not ready within 5000 ms"),
        launcher.calls.toString());
  }

  @Test
  public void obeysOnlyTheNewestController() {
    Agent agent = running(OLD);
    agent.applyDesiredState(5, 3, OLD);
    agent.processExited("ended with code 0");
    agent.relayStarted();
    launcher.calls.clear();
    agent.applyDesiredState(4, 9, NEW); // one that was replaced
    agent.applyDesiredState(5, 2, NEW); // an older generation
    agent.applyDesiredState(5, 3, NEW); // the same generation, another version
    agent.applyDesiredState(5, 3, OLD); // once more
    assertEquals(launcher.calls, List.of());
    assertEquals(agent.state().desired(), OLD);
    agent.applyDesiredState(6, 4, NEW);
    assertEquals(launcher.calls, List.of("terminate"));
  }

  @Test
  public void startsLastDesiredVersionWithoutAController() {
    Agent first = running(OLD);
    first.applyDesiredState(2, 1, NEW);
    Agent second = new Agent(launcher, TIMEOUTS, launcher.savedState);
    launcher.calls.clear();
    second.resume();
    second.relayStarted();
    assertEquals(launcher.calls, List.of("start b"));
    assertEquals(second.completedGeneration(), 1);
    launcher.storedVersions.remove(NEW);
    Agent third = new Agent(launcher, TIMEOUTS, launcher.savedState);
    third.resume();
    assertEquals(third.phase(), Phase.STARTING);
    assertEquals(third.runningVersion(), OLD); // it is not here any more: what ran well is
  }

  @Test
  public void restartsOnNewGenerationOfTheSameVersion() {
    Agent agent = running(OLD);
    launcher.reloadSucceeds = true;
    agent.applyDesiredState(1, 0, OLD);
    assertEquals(launcher.calls, List.of()); // adopted as it is
    agent.applyDesiredState(1, 1, OLD);
    assertEquals(launcher.calls, List.of("terminate"));
    agent.processExited("ended with code 0");
    agent.relayStarted();
    assertEquals(agent.completedGeneration(), 1);
  }

  @Test
  public void keepsAdoptedRelayThatRunsTheDesiredVersionWhenStateIsLost() {
    Agent agent = new Agent(launcher, TIMEOUTS, AgentState.NONE);
    agent.relayAdopted(NEW, 3);
    agent.resume();
    agent.applyDesiredState(7, 3, NEW);
    assertEquals(launcher.calls, List.of());
    assertEquals(agent.completedGeneration(), 3);
    agent.applyDesiredState(7, 4, NEW); // what was not carried out still is
    assertEquals(launcher.calls, List.of("terminate"));
  }

  @Test
  public void replacesAdoptedRelayOfAnotherVersionWhenStateIsLost() {
    Agent agent = new Agent(launcher, TIMEOUTS, AgentState.NONE);
    agent.relayAdopted(OLD, 3);
    agent.resume();
    agent.applyDesiredState(7, 3, NEW);
    assertEquals(launcher.calls, List.of("terminate"));
  }

  @Test
  public void reloadsWithoutRestartWhereASignalSuffices() {
    Agent agent = running(OLD);
    launcher.reloadSucceeds = true;
    agent.applyDesiredState(1, 1, NEW);
    agent.reloadFinished(NEW, true);
    assertEquals(launcher.calls, List.of());
    assertEquals(agent.runningVersion(), NEW);
    assertEquals(agent.completedGeneration(), 1);
    agent.applyDesiredState(1, 2, OLD);
    agent.reloadFinished(OLD, false);
    assertEquals(launcher.calls, List.of("terminate"));
  }

  @Test
  public void killsAndRestartsRelayOverItsLimit() {
    Agent agent = running(OLD);
    agent.limitExceeded("its memory: 300 MB of 256");
    assertEquals(launcher.calls, List.of("kill"));
    agent.processExited("ended by signal 9");
    assertEquals(launcher.calls.get(1), "failed a: went over its memory: 300 MB of 256");
    launcher.advance(1000);
    assertEquals(agent.phase(), Phase.STARTING);
  }

  @Test
  public void startsRelayWhenStateCannotBeSaved() {
    launcher.diskError = "No space left on device";
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.processExited("ended with code 0");
    agent.relayStarted();
    assertEquals(agent.runningVersion(), NEW);
  }

  @Test
  public void newerDesiredStateReplacesOneInProgress() {
    Agent agent = running(OLD);
    agent.applyDesiredState(1, 1, NEW);
    agent.applyDesiredState(1, 2, OLD); // before the first has ended
    agent.processExited("ended with code 0");
    assertEquals(agent.runningVersion(), OLD);
    agent.relayStarted();
    assertEquals(agent.completedGeneration(), 2);
    assertEquals(launcher.calls, List.of("terminate", "start a"));
  }
}
