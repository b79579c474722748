package sprucerock.controller.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A change on its way through a fleet, told as stories. */
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
   * So many relays in two zones, each third one busy, whose agents do at once what is wanted of
   * them.
   */
  static final class Fleet implements DeploymentManager.Listener {
    final DeploymentManager deployments;
    final List<Deployment.Transition> steps = new ArrayList<>();
    final List<ManagedRelay> wants = new ArrayList<>();
    double now = 1000;

    Fleet(int relays) {
      deployments = new DeploymentManager(PLAN, this);
      for (int i = 0; i < relays; i++) {
        deployments.reportStatus(i, i % 2, i % 3 == 0, OLD, true, 0, at(), 0);
      }
    }

    Timestamp at() {
      return Timestamp.ofMs(now);
    }

    void report(int number, Version runs, boolean ready) {
      ManagedRelay relay = deployments.relay(number);
      deployments.reportStatus(
          number, relay.zone, relay.busy, runs, ready, relay.generation(), at(), 0);
    }

    /** All that are to run something else do so, one after another, each for a moment away. */
    void carryOut() {
      while (!wants.isEmpty()) {
        ManagedRelay next = wants.remove(0);
        if (next.unreachable()) {
          continue;
        }
        report(next.number, next.desiredVersion(), false);
        now += 300;
        report(next.number, next.desiredVersion(), true);
      }
    }

    Deployment propose() {
      assertNull(deployments.propose("eve", "a faster reader", NEW, false, at(), 0));
      Deployment deployment = deployments.pending();
      for (ManagedRelay relay : List.copyOf(deployments.relays())) {
        deployments.reportValidation(relay.number, deployment.number, "", at(), 0);
      }
      return deployment;
    }

    void pass(double ms) {
      now += ms;
      deployments.tick(at(), 0);
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
      steps.add(step);
    }

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      wants.add(relay);
    }
  }

  private static void fine(Fleet fleet, Deployment deployment) {
    fleet.deployments.reportVerdict(
        deployment.number, deployment.stage(), Verdict.NO_WORSE, "alike", fleet.at(), 0);
  }

  @Test
  public void aGoodDeploymentGoesFromOneRelayToAllBesideControls() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    assertEquals(deployment.state(), State.MOVING);
    fleet.carryOut();
    assertEquals(fleet.countRunning(NEW), 1);
    assertEquals(deployment.controls().size(), 1);
    int control = deployment.controls().values().iterator().next();
    assertEquals(fleet.deployments.relay(control).observedVersion(), OLD);
    assertEquals(fleet.deployments.relay(control).generation(), 1); // restarted with it
    assertEquals(deployment.state(), State.WATCHED);
    fleet.pass(11_000);
    assertEquals(deployment.stage(), 0); // time alone is no evidence
    fine(fleet, deployment);
    assertEquals(deployment.stage(), 1);
    fleet.carryOut();
    assertEquals(fleet.countRunning(NEW), 5);
    assertEquals(deployment.controls().size(), 5);
    fine(fleet, deployment);
    assertEquals(deployment.stage(), 1); // evidence alone is too quick
    fleet.pass(11_000);
    fleet.carryOut();
    assertEquals(fleet.countRunning(NEW), 20);
    fleet.pass(11_000);
    assertEquals(deployment.state(), State.DONE);
    assertEquals(fleet.deployments.currentVersion(), NEW);
  }

  @Test
  public void aWorseVersionIsRolledBackNewestFirst() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    fleet.carryOut();
    fine(fleet, deployment);
    fleet.pass(11_000);
    fleet.carryOut();
    List<Integer> moved = List.copyOf(deployment.updated());
    fleet.deployments.reportVerdict(
        deployment.number, 1, Verdict.WORSE, "unserved +0.05", fleet.at(), 0);
    assertEquals(deployment.state(), State.GOING_BACK);
    assertEquals(fleet.wants.get(0).number, (int) moved.get(moved.size() - 1));
    fleet.carryOut();
    assertEquals(fleet.countRunning(NEW), 0);
    assertEquals(deployment.state(), State.GIVEN_UP);
    assertTrue(fleet.steps.stream().anyMatch(step -> step.cause().equals("worse: unserved +0.05")));
    assertEquals(fleet.deployments.currentVersion(), OLD);
  }

  @Test
  public void aFailureOnTheNewVersionRollsBackAtOnce() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    int first = deployment.updated().iterator().next();
    fleet.report(first, NEW, false);
    fleet.deployments.reportFailure(first, NEW, 0, "ended with code 3", fleet.at(), 0);
    assertEquals(deployment.state(), State.GOING_BACK);
    fleet.carryOut();
    assertEquals(deployment.state(), State.GIVEN_UP);
    fleet.deployments.reportFailure(
        5,
        OLD,
        0,
        "was killed for memory",
        fleet.at(),
        0); // an old one's end is no fault of a change
  }

  @Test
  public void anEarlierFailureDoesNotStopTheSameVersionProposedAgain() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    int first = deployment.updated().iterator().next();
    int turn = fleet.deployments.relay(first).generation();
    fleet.deployments.reportFailure(first, NEW, turn, "the disk was full", fleet.at(), 0);
    fleet.carryOut();
    assertEquals(deployment.state(), State.GIVEN_UP);
    Deployment again = fleet.propose();
    assertTrue(again.updated().contains(first), "the story needs the same relay first");
    fleet.deployments.reportFailure(
        first,
        NEW,
        turn,
        "the disk was full",
        fleet.at(),
        0); // a controller that started is told once more
    assertTrue(
        again.state() == State.MOVING || again.state() == State.WATCHED, again.state().toString());
    fleet.deployments.reportFailure(
        first,
        NEW,
        fleet.deployments.relay(first).generation(),
        "ended with code 3",
        fleet.at(),
        0);
    assertEquals(again.state(), State.GOING_BACK);
  }

  @Test
  public void aRelayThatIsNeverReadyOrBecomesUnreachableRollsBack() {
    Fleet slow = new Fleet(20);
    Deployment deployment = slow.propose();
    slow.report(deployment.updated().iterator().next(), NEW, false);
    slow.pass(21_000);
    assertEquals(deployment.state(), State.GOING_BACK);
    Fleet gone = new Fleet(20);
    Deployment other = gone.propose();
    gone.deployments.reportUnreachable(other.updated().iterator().next(), gone.at(), 0);
    assertEquals(
        other.state(), State.GIVEN_UP); // nobody is there to go back: it is told once it is heard
    assertEquals(gone.deployments.relay(other.updated().iterator().next()).desiredVersion(), OLD);
  }

  /**
   * Its agent took up again by itself what ran well: it counts as out, and no other has to be in
   * for it to be told.
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
        fleet.at(),
        0);
    fleet.wants.clear();
    fleet.deployments.reportFailure(first, NEW, 0, "ended with code 3", fleet.at(), 0);
    fleet.carryOut();
    assertEquals(deployment.state(), State.GIVEN_UP);
  }

  @Test
  public void aVersionThatTooManyRejectIsAbortedBeforeAnyUpdate() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.deployments.propose("eve", "new limits", NEW, false, fleet.at(), 0));
    Deployment deployment = fleet.deployments.pending();
    for (int i = 0; i < 3; i++) {
      fleet.deployments.reportValidation(
          i, deployment.number, "relay.xml:12: sockets is above 0", fleet.at(), 0);
    }
    assertEquals(deployment.state(), State.GIVEN_UP);
    assertTrue(
        deployment.transitions().get(1).cause().contains("relay.xml:12"),
        deployment.transitions().get(1).cause());
    assertTrue(fleet.wants.stream().noneMatch(relay -> relay.generation() > 0));
  }

  @Test
  public void aSingleRelayThatRejectsIsLeftOut() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.deployments.propose("eve", "new limits", NEW, false, fleet.at(), 0));
    Deployment deployment = fleet.deployments.pending();
    for (int i = 0; i < 20; i++) {
      fleet.deployments.reportValidation(
          i, deployment.number, i == 4 ? "its disk is full" : "", fleet.at(), 0);
    }
    for (int stage = 0; stage < 3; stage++) {
      fleet.carryOut();
      fine(fleet, deployment);
      fleet.pass(11_000);
    }
    assertEquals(deployment.state(), State.DONE);
    assertEquals(fleet.countRunning(NEW), 19);
    assertEquals(fleet.deployments.relay(4).observedVersion(), OLD);
  }

  @Test
  public void theRestartBudgetBoundsRelaysThatAreOut() {
    Fleet fleet = new Fleet(20);
    fleet.deployments.setRestartBudget(Map.of(0, 1, 1, 1), "", fleet.at(), 0);
    Deployment deployment = fleet.propose();
    fleet.carryOut();
    fine(fleet, deployment);
    fleet.wants.clear();
    fleet.pass(11_000);
    assertTrue(
        fleet.wants.size() <= 2,
        fleet.wants.size() + " were told with room for one in each of two zones");
    fleet.deployments.reportUnreachable(
        fleet.wants.get(0).number == 19 ? 18 : 19, fleet.at(), 0); // an outage takes up the room
    int before = deployment.updated().size();
    fleet.carryOut();
    assertTrue(deployment.updated().size() >= before);
    fleet.deployments.setRestartBudget(Map.of(0, 0, 1, 0), "", fleet.at(), 0);
    before = deployment.updated().size();
    fleet.carryOut();
    fleet.pass(1000);
    assertEquals(deployment.updated().size(), before);
  }

  @Test
  public void noRelayIsUpdatedDuringARolloutOrASurge() {
    Fleet fleet = new Fleet(20);
    fleet.deployments.setRolloutInProgress(true, fleet.at(), 0);
    Deployment deployment = fleet.propose();
    assertEquals(deployment.state(), State.CHECKED);
    assertTrue(
        fleet
            .deployments
            .blockers(deployment, fleet.at())
            .contains("a build of the units to be off trial"));
    fleet.deployments.setRolloutInProgress(false, fleet.at(), 0);
    fleet.carryOut();
    fleet.deployments.setRestartBudget(
        Map.of(), "those that did not change serve 0.8", fleet.at(), 0);
    fine(fleet, deployment);
    fleet.pass(30_000);
    assertEquals(deployment.stage(), 0);
    fleet.deployments.setRestartBudget(Map.of(), "", fleet.at(), 0);
    assertEquals(deployment.stage(), 1);
  }

  @Test
  public void aRollbackGoesOnWithoutBudgetOneRelayAtATime() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    fleet.carryOut();
    fine(fleet, deployment);
    fleet.pass(11_000);
    fleet.carryOut();
    fleet.deployments.setRestartBudget(Map.of(0, 0, 1, 0), "a surge", fleet.at(), 0);
    fleet.wants.clear();
    fleet.deployments.reportVerdict(
        deployment.number, 1, Verdict.WORSE, "refused +0.2", fleet.at(), 0);
    assertEquals(fleet.wants.size(), 2); // one of each zone
    fleet.carryOut();
    assertEquals(deployment.state(), State.GIVEN_UP);
  }

  @Test
  public void theProgressDeadlineEndsUnsureAndHeldDeployments() {
    Fleet fleet = new Fleet(20);
    Deployment deployment = fleet.propose();
    fleet.carryOut();
    fleet.pass(121_000);
    assertEquals(deployment.state(), State.GOING_BACK);
    fleet.carryOut();
    assertEquals(deployment.state(), State.GIVEN_UP);
    Deployment next = fleet.propose();
    fleet.carryOut();
    assertNull(
        fleet.deployments.command(
            DeploymentManager.OperatorCommand.HOLD, next.number, "eve", "lunch", fleet.at(), 0));
    fine(fleet, next);
    fleet.pass(60_000);
    assertEquals(next.stage(), 0);
    fleet.pass(61_000);
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
    assertNull(fleet.deployments.propose("bob", "more heap", third, false, fleet.at(), 0));
    Deployment second = fleet.deployments.pending();
    assertNull(
        fleet.deployments.propose(
            "bob", "less heap", new Version("d".repeat(64), "0".repeat(64)), false, fleet.at(), 0));
    assertEquals(second.state(), State.GIVEN_UP);
    assertEquals(first.state(), State.MOVING);
    assertEquals(
        fleet.deployments.propose("bob", "again", NEW, false, fleet.at(), 0),
        "that is what relays run once change 1 is done");
    assertFalse(fleet.deployments.pending().state().isActive());
  }

  @Test
  public void aFleetOfOneIsUpdatedByTimeAndReadiness() {
    Fleet fleet = new Fleet(1);
    Deployment deployment = fleet.propose();
    for (int stage = 0; stage < 3; stage++) {
      fleet.carryOut();
      fleet.pass(11_000);
    }
    assertEquals(deployment.state(), State.DONE);
  }
}
