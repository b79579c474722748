package sprucerock.controller.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Deployments through a simulated fleet, from the proposal to their end. */
public class DeploymentManagerTest {
  static final Version OLD = new Version("a".repeat(64), "0".repeat(64));
  static final Version NEW = new Version("b".repeat(64), "0".repeat(64));
  static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(
              new DeploymentPlan.Stage(0.05, 0.1),
              new DeploymentPlan.Stage(0.25, 0.05),
              new DeploymentPlan.Stage(1, 0.01)),
          TimeSpan.ofMs(10_000),
          TimeSpan.ofMs(120_000),
          TimeSpan.ofMs(20_000),
          0.2,
          0.1,
          TimeSpan.ofMs(5000));

  /**
   * Relays in two zones; every third relay is busy. Agents apply desired states only in {@link
   * #applyDesiredStates}.
   */
  static final class Fleet implements DeploymentManager.Listener {
    final DeploymentManager deployments;
    final List<Deployment.Transition> transitions = new ArrayList<>();
    final List<ManagedRelay> pendingRelays = new ArrayList<>();
    double nowMs = 1000;

    Fleet(int relays) {
      deployments = new DeploymentManager(PLAN, this);
      for (int i = 0; i < relays; i++) {
        deployments.reportStatus(i, i % 2, i % 3 == 0, OLD, true, 0, now(), 0);
      }
    }

    Timestamp now() {
      return Timestamp.ofMs(nowMs);
    }

    void report(int number, Version runs, boolean ready) {
      ManagedRelay relay = deployments.relay(number);
      deployments.reportStatus(
          number, relay.zone, relay.busy, runs, ready, relay.generation(), now(), 0);
    }

    /** Applies all pending desired states one after another; each relay is down for 300 ms. */
    void applyDesiredStates() {
      while (!pendingRelays.isEmpty()) {
        ManagedRelay next = pendingRelays.remove(0);
        if (next.unreachable()) {
          continue;
        }
        report(next.number, next.desiredVersion(), false);
        nowMs += 300;
        report(next.number, next.desiredVersion(), true);
      }
    }

    Deployment propose() {
      assertNull(deployments.propose("eve", "a faster reader", NEW, false, now(), 0));
      Deployment deployment = deployments.pending();
      for (ManagedRelay relay : List.copyOf(deployments.relays())) {
        deployments.reportValidation(relay.number, deployment.number, "", now(), 0);
      }
      return deployment;
    }

    void advance(double ms) {
      nowMs += ms;
      deployments.tick(now(), 0);
    }

    int countRunning(Version version) {
      int count = 0;
      for (ManagedRelay relay : deployments.relays()) {
        if (relay.observedVersion().equals(version)) {
          count++;
        }
      }
      return count;
    }

    @Override
    public void transitioned(Deployment deployment, Deployment.Transition step) {
      transitions.add(step);
    }

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      pendingRelays.add(relay);
    }
  }

  private static void reportNoWorse(Fleet fleet, Deployment deployment) {
    fleet.deployments.reportVerdict(
        deployment.number, deployment.stage(), Verdict.NO_WORSE, "alike", fleet.now(), 0);
  }

  @Test
  public void aGoodDeploymentGoesFromOneRelayToAllNextToControls() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    assertEquals(deployment.state(), State.MOVING);
    fleet.applyDesiredStates();
    assertEquals(fleet.countRunning(NEW), 1);
    assertEquals(deployment.controls().size(), 1);
    int control = deployment.controls().values().iterator().next();
    assertEquals(fleet.deployments.relay(control).observedVersion(), OLD);
    // The control was restarted with the updated relay.
    assertEquals(fleet.deployments.relay(control).generation(), 1);
    assertEquals(deployment.state(), State.WATCHED);
    fleet.advance(11_000);
    // Time alone does not complete a stage.
    assertEquals(deployment.stage(), 0);
    reportNoWorse(fleet, deployment);
    assertEquals(deployment.stage(), 1);
    fleet.applyDesiredStates();
    assertEquals(fleet.countRunning(NEW), 5);
    assertEquals(deployment.controls().size(), 5);
    reportNoWorse(fleet, deployment);
    // A verdict alone does not complete a stage before the observation time is over.
    assertEquals(deployment.stage(), 1);
    fleet.advance(11_000);
    fleet.applyDesiredStates();
    assertEquals(fleet.countRunning(NEW), 20);
    fleet.advance(11_000);
    assertEquals(deployment.state(), State.DONE);
    assertEquals(fleet.deployments.currentVersion(), NEW);
  }

  @Test
  public void aWorseVersionIsRolledBackNewestFirst() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    fleet.applyDesiredStates();
    reportNoWorse(fleet, deployment);
    fleet.advance(11_000);
    fleet.applyDesiredStates();
    List<Integer> updated = List.copyOf(deployment.updated());
    fleet.deployments.reportVerdict(
        deployment.number, 1, Verdict.WORSE, "unserved +0.05", fleet.now(), 0);
    assertEquals(deployment.state(), State.GOING_BACK);
    assertEquals(fleet.pendingRelays.get(0).number, (int) updated.get(updated.size() - 1));
    fleet.applyDesiredStates();
    assertEquals(fleet.countRunning(NEW), 0);
    assertEquals(deployment.state(), State.GIVEN_UP);
    assertTrue(
        fleet.transitions.stream().anyMatch(step -> step.cause().equals("worse: unserved +0.05")));
    assertEquals(fleet.deployments.currentVersion(), OLD);
  }

  @Test
  public void aFailureOnTheNewVersionRollsBackAtOnce() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    int first = deployment.updated().iterator().next();
    fleet.report(first, NEW, false);
    fleet.deployments.reportFailure(first, NEW, 0, "ended with code 3", fleet.now(), 0);
    assertEquals(deployment.state(), State.GOING_BACK);
    fleet.applyDesiredStates();
    assertEquals(deployment.state(), State.GIVEN_UP);
    // A failure of a relay on the old version does not count against the deployment.
    fleet.deployments.reportFailure(5, OLD, 0, "was killed for memory", fleet.now(), 0);
  }

  @Test
  public void anEarlierFailureDoesNotStopTheSameVersionProposedAgain() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    int first = deployment.updated().iterator().next();
    int generation = fleet.deployments.relay(first).generation();
    fleet.deployments.reportFailure(first, NEW, generation, "the disk was full", fleet.now(), 0);
    fleet.applyDesiredStates();
    assertEquals(deployment.state(), State.GIVEN_UP);
    Deployment again = fleet.propose();
    assertTrue(
        again.updated().contains(first), "the second deployment must begin with the same relay");
    // The agent repeats the failure to a controller that has restarted.
    fleet.deployments.reportFailure(first, NEW, generation, "the disk was full", fleet.now(), 0);
    assertTrue(
        again.state() == State.MOVING || again.state() == State.WATCHED, again.state().toString());
    fleet.deployments.reportFailure(
        first,
        NEW,
        fleet.deployments.relay(first).generation(),
        "ended with code 3",
        fleet.now(),
        0);
    assertEquals(again.state(), State.GOING_BACK);
  }

  @Test
  public void aRelayThatIsNeverReadyOrBecomesUnreachableRollsBack() {
    Fleet slowFleet = new Fleet(20);
    Deployment slow = slowFleet.propose();
    slowFleet.report(slow.updated().iterator().next(), NEW, false);
    slowFleet.advance(21_000);
    assertEquals(slow.state(), State.GOING_BACK);
    Fleet unreachableFleet = new Fleet(20);
    Deployment unreachable = unreachableFleet.propose();
    unreachableFleet.deployments.reportUnreachable(
        unreachable.updated().iterator().next(), unreachableFleet.now(), 0);
    // The rollback does not wait for the unreachable relay. Its agent is notified once it is
    // reachable again.
    assertEquals(unreachable.state(), State.GIVEN_UP);
    assertEquals(
        unreachableFleet
            .deployments
            .relay(unreachable.updated().iterator().next())
            .desiredVersion(),
        OLD);
  }

  /**
   * The agent of the updated relay returned to the old version by itself. The relay already counts
   * as unavailable, so its rollback needs no restart budget.
   */
  @Test
  public void aRelayThatFellBackByItselfDoesNotBlockTheRollback() {
    Fleet fleet = new Fleet(3);
    Deployment deployment = fleet.propose();
    int first = deployment.updated().iterator().next();
    fleet.report(first, NEW, false);
    ManagedRelay relay = fleet.deployments.relay(first);
    fleet.deployments.reportStatus(
        first,
        relay.zone(),
        relay.busy(),
        OLD,
        true,
        relay.observedGeneration() - 1,
        fleet.now(),
        0);
    fleet.pendingRelays.clear();
    fleet.deployments.reportFailure(first, NEW, 0, "ended with code 3", fleet.now(), 0);
    fleet.applyDesiredStates();
    assertEquals(deployment.state(), State.GIVEN_UP);
  }

  @Test
  public void aVersionThatTooManyRejectIsAbortedBeforeAnyUpdate() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.deployments.propose("eve", "new limits", NEW, false, fleet.now(), 0));
    Deployment deployment = fleet.deployments.pending();
    for (int i = 0; i < 3; i++) {
      fleet.deployments.reportValidation(
          i, deployment.number, "relay.xml:12: sockets is above 0", fleet.now(), 0);
    }
    assertEquals(deployment.state(), State.GIVEN_UP);
    assertTrue(
        deployment.transitions().get(1).cause().contains("relay.xml:12"),
        deployment.transitions().get(1).cause());
    assertTrue(fleet.pendingRelays.stream().noneMatch(relay -> relay.generation() > 0));
  }

  @Test
  public void aSingleRelayThatRejectsIsLeftOut() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.deployments.propose("eve", "new limits", NEW, false, fleet.now(), 0));
    Deployment deployment = fleet.deployments.pending();
    for (int i = 0; i < 20; i++) {
      fleet.deployments.reportValidation(
          i, deployment.number, i == 4 ? "its disk is full" : "", fleet.now(), 0);
    }
    for (int stage = 0; stage < 3; stage++) {
      fleet.applyDesiredStates();
      reportNoWorse(fleet, deployment);
      fleet.advance(11_000);
    }
    assertEquals(deployment.state(), State.DONE);
    assertEquals(fleet.countRunning(NEW), 19);
    assertEquals(fleet.deployments.relay(4).observedVersion(), OLD);
  }

  /** Guards against an update of a relay of which nobody knows whether it can run the version. */
  @Test
  public void aSingleRelayThatDoesNotAnswerIsLeftOut() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.deployments.propose("eve", "new limits", NEW, false, fleet.now(), 0));
    Deployment deployment = fleet.deployments.pending();
    for (int i = 0; i < 20; i++) {
      if (i != 4) {
        fleet.deployments.reportValidation(i, deployment.number, "", fleet.now(), 0);
      }
    }
    fleet.advance(121_000); // the deadline
    assertEquals(deployment.rejections().keySet(), Set.of(4));
    for (int stage = 0; stage < 3; stage++) {
      fleet.applyDesiredStates();
      reportNoWorse(fleet, deployment);
      fleet.advance(11_000);
    }
    assertEquals(deployment.state(), State.DONE);
    assertEquals(fleet.countRunning(NEW), 19);
    assertEquals(fleet.deployments.relay(4).observedVersion(), OLD);
  }

  @Test
  public void theRestartBudgetLimitsUnavailableRelays() {
    Fleet fleet = new Fleet(20);
    fleet.deployments.setRestartBudget(Map.of(0, 1, 1, 1), "", fleet.now(), 0);
    Deployment deployment = fleet.propose();
    fleet.applyDesiredStates();
    reportNoWorse(fleet, deployment);
    fleet.pendingRelays.clear();
    fleet.advance(11_000);
    assertTrue(
        fleet.pendingRelays.size() <= 2,
        fleet.pendingRelays.size() + " were notified with a budget of one in each of two zones");
    // An unreachable relay uses up restart budget.
    fleet.deployments.reportUnreachable(
        fleet.pendingRelays.get(0).number == 19 ? 18 : 19, fleet.now(), 0);
    int before = deployment.updated().size();
    fleet.applyDesiredStates();
    assertTrue(deployment.updated().size() >= before);
    fleet.deployments.setRestartBudget(Map.of(0, 0, 1, 0), "", fleet.now(), 0);
    before = deployment.updated().size();
    fleet.applyDesiredStates();
    fleet.advance(1000);
    assertEquals(deployment.updated().size(), before);
  }

  @Test
  public void noRelayIsUpdatedDuringARolloutOrASurge() {
    Fleet fleet = new Fleet(20);
    fleet.deployments.setRolloutInProgress(true, fleet.now(), 0);
    Deployment deployment = fleet.propose();
    assertEquals(deployment.state(), State.CHECKED);
    assertTrue(
        fleet
            .deployments
            .blockers(deployment, fleet.now())
            .contains("the rollout of a build of the endpoints to end"));
    fleet.deployments.setRolloutInProgress(false, fleet.now(), 0);
    fleet.applyDesiredStates();
    fleet.deployments.setRestartBudget(
        Map.of(), "the relays that were not updated serve 0.8", fleet.now(), 0);
    reportNoWorse(fleet, deployment);
    fleet.advance(30_000);
    assertEquals(deployment.stage(), 0);
    fleet.deployments.setRestartBudget(Map.of(), "", fleet.now(), 0);
    assertEquals(deployment.stage(), 1);
  }

  @Test
  public void aRollbackGoesOnWithoutBudgetOneRelayAtATime() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    fleet.applyDesiredStates();
    reportNoWorse(fleet, deployment);
    fleet.advance(11_000);
    fleet.applyDesiredStates();
    fleet.deployments.setRestartBudget(Map.of(0, 0, 1, 0), "a surge", fleet.now(), 0);
    fleet.pendingRelays.clear();
    fleet.deployments.reportVerdict(
        deployment.number, 1, Verdict.WORSE, "refused +0.2", fleet.now(), 0);
    // One relay of each zone.
    assertEquals(fleet.pendingRelays.size(), 2);
    fleet.applyDesiredStates();
    assertEquals(deployment.state(), State.GIVEN_UP);
  }

  @Test
  public void theProgressDeadlineEndsUnsureAndHeldDeployments() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    fleet.applyDesiredStates();
    fleet.advance(121_000);
    assertEquals(deployment.state(), State.GOING_BACK);
    fleet.applyDesiredStates();
    assertEquals(deployment.state(), State.GIVEN_UP);
    Deployment next = fleet.propose();
    fleet.applyDesiredStates();
    assertNull(
        fleet.deployments.command(
            DeploymentManager.OperatorCommand.HOLD, next.number, "eve", "lunch", fleet.now(), 0));
    reportNoWorse(fleet, next);
    fleet.advance(60_000);
    assertEquals(next.stage(), 0);
    fleet.advance(61_000);
    assertEquals(next.state(), State.GOING_BACK);
    assertTrue(
        next.transitions()
            .get(next.transitions().size() - 1)
            .cause()
            .startsWith("it was held for longer"));
  }

  @Test
  public void aSecondProposalWaitsAndAThirdReplacesIt() {
    Fleet fleet = new Fleet(4);
    Deployment first = fleet.propose();
    Version third = new Version("c".repeat(64), "0".repeat(64));
    assertNull(fleet.deployments.propose("bob", "more heap", third, false, fleet.now(), 0));
    Deployment second = fleet.deployments.pending();
    assertNull(
        fleet.deployments.propose(
            "bob",
            "less heap",
            new Version("d".repeat(64), "0".repeat(64)),
            false,
            fleet.now(),
            0));
    assertEquals(second.state(), State.GIVEN_UP);
    assertEquals(first.state(), State.MOVING);
    assertEquals(
        fleet.deployments.propose("bob", "again", NEW, false, fleet.now(), 0),
        "there is nothing to change: the fleet runs this version once change 1 is done");
    assertFalse(fleet.deployments.pending().state().isActive());
  }

  @Test
  public void aFleetOfOneIsUpdatedByTimeAndReadiness() {
    Fleet fleet = new Fleet(1);
    Deployment deployment = fleet.propose();
    for (int stage = 0; stage < 3; stage++) {
      fleet.applyDesiredStates();
      fleet.advance(11_000);
    }
    assertEquals(deployment.state(), State.DONE);
  }
}
