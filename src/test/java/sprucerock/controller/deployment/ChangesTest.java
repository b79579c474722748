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
public class ChangesTest {
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
    final DeploymentManager changes;
    final List<Deployment.Transition> steps = new ArrayList<>();
    final List<ManagedRelay> wants = new ArrayList<>();
    double now = 1000;

    Fleet(int relays) {
      changes = new DeploymentManager(PLAN, this);
      for (int i = 0; i < relays; i++) {
        changes.reportStatus(i, i % 2, i % 3 == 0, OLD, true, 0, at(), 0);
      }
    }

    Timestamp at() {
      return Timestamp.ofMs(now);
    }

    void says(int number, Version runs, boolean ready) {
      ManagedRelay relay = changes.relay(number);
      changes.reportStatus(
          number, relay.zone, relay.busy, runs, ready, relay.generation(), at(), 0);
    }

    /** All that are to run something else do so, one after another, each for a moment away. */
    void obey() {
      while (!wants.isEmpty()) {
        ManagedRelay next = wants.remove(0);
        if (next.unreachable()) {
          continue;
        }
        says(next.number, next.desiredVersion(), false);
        now += 300;
        says(next.number, next.desiredVersion(), true);
      }
    }

    Deployment propose() {
      assertNull(changes.propose("eve", "a faster reader", NEW, false, at(), 0));
      Deployment change = changes.pending();
      for (ManagedRelay relay : List.copyOf(changes.relays())) {
        changes.reportValidation(relay.number, change.number, "", at(), 0);
      }
      return change;
    }

    void pass(double ms) {
      now += ms;
      changes.tick(at(), 0);
    }

    int on(Version version) {
      int count = 0;
      for (ManagedRelay relay : changes.relays()) {
        if (relay.observedVersion().equals(version)) {
          count++;
        }
      }
      return count;
    }

    @Override
    public void transitioned(Deployment change, Deployment.Transition step) {
      steps.add(step);
    }

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      wants.add(relay);
    }
  }

  private static void fine(Fleet fleet, Deployment change) {
    fleet.changes.reportVerdict(
        change.number, change.stage(), Verdict.NO_WORSE, "alike", fleet.at(), 0);
  }

  @Test
  public void aGoodChangeGoesFromOneRelayToAllBesideControls() {
    Fleet fleet = new Fleet(20);
    Deployment change = fleet.propose();
    assertEquals(change.state(), State.MOVING);
    fleet.obey();
    assertEquals(fleet.on(NEW), 1);
    assertEquals(change.controls().size(), 1);
    int control = change.controls().values().iterator().next();
    assertEquals(fleet.changes.relay(control).observedVersion(), OLD);
    assertEquals(fleet.changes.relay(control).generation(), 1); // restarted with it
    assertEquals(change.state(), State.WATCHED);
    fleet.pass(11_000);
    assertEquals(change.stage(), 0); // time alone is no evidence
    fine(fleet, change);
    assertEquals(change.stage(), 1);
    fleet.obey();
    assertEquals(fleet.on(NEW), 5);
    assertEquals(change.controls().size(), 5);
    fine(fleet, change);
    assertEquals(change.stage(), 1); // evidence alone is too quick
    fleet.pass(11_000);
    fleet.obey();
    assertEquals(fleet.on(NEW), 20);
    fleet.pass(11_000);
    assertEquals(change.state(), State.DONE);
    assertEquals(fleet.changes.currentVersion(), NEW);
  }

  @Test
  public void aWorseChangeIsTakenBackNewestFirst() {
    Fleet fleet = new Fleet(20);
    Deployment change = fleet.propose();
    fleet.obey();
    fine(fleet, change);
    fleet.pass(11_000);
    fleet.obey();
    List<Integer> moved = List.copyOf(change.updated());
    fleet.changes.reportVerdict(change.number, 1, Verdict.WORSE, "unserved +0.05", fleet.at(), 0);
    assertEquals(change.state(), State.GOING_BACK);
    assertEquals(fleet.wants.get(0).number, (int) moved.get(moved.size() - 1));
    fleet.obey();
    assertEquals(fleet.on(NEW), 0);
    assertEquals(change.state(), State.GIVEN_UP);
    assertTrue(fleet.steps.stream().anyMatch(step -> step.cause().equals("worse: unserved +0.05")));
    assertEquals(fleet.changes.currentVersion(), OLD);
  }

  @Test
  public void aRelayThatEndsByItselfOnTheNewVersionStopsItAtOnce() {
    Fleet fleet = new Fleet(20);
    Deployment change = fleet.propose();
    int first = change.updated().iterator().next();
    fleet.says(first, NEW, false);
    fleet.changes.reportFailure(first, NEW, 0, "ended with code 3", fleet.at(), 0);
    assertEquals(change.state(), State.GOING_BACK);
    fleet.obey();
    assertEquals(change.state(), State.GIVEN_UP);
    fleet.changes.reportFailure(
        5,
        OLD,
        0,
        "was killed for memory",
        fleet.at(),
        0); // an old one's end is no fault of a change
  }

  @Test
  public void aFailureThatIsToldAgainDoesNotStopTheSameVersionProposedAnew() {
    Fleet fleet = new Fleet(20);
    Deployment change = fleet.propose();
    int first = change.updated().iterator().next();
    int turn = fleet.changes.relay(first).generation();
    fleet.changes.reportFailure(first, NEW, turn, "the disk was full", fleet.at(), 0);
    fleet.obey();
    assertEquals(change.state(), State.GIVEN_UP);
    Deployment again = fleet.propose();
    assertTrue(again.updated().contains(first), "the story needs the same relay first");
    fleet.changes.reportFailure(
        first,
        NEW,
        turn,
        "the disk was full",
        fleet.at(),
        0); // a controller that started is told once more
    assertTrue(
        again.state() == State.MOVING || again.state() == State.WATCHED, again.state().toString());
    fleet.changes.reportFailure(
        first, NEW, fleet.changes.relay(first).generation(), "ended with code 3", fleet.at(), 0);
    assertEquals(again.state(), State.GOING_BACK);
  }

  @Test
  public void aRelayThatIsNeverReadyOrNeverHeardAgainStopsIt() {
    Fleet slow = new Fleet(20);
    Deployment change = slow.propose();
    slow.says(change.updated().iterator().next(), NEW, false);
    slow.pass(21_000);
    assertEquals(change.state(), State.GOING_BACK);
    Fleet gone = new Fleet(20);
    Deployment other = gone.propose();
    gone.changes.reportUnreachable(other.updated().iterator().next(), gone.at(), 0);
    assertEquals(
        other.state(), State.GIVEN_UP); // nobody is there to go back: it is told once it is heard
    assertEquals(gone.changes.relay(other.updated().iterator().next()).desiredVersion(), OLD);
  }

  /**
   * Its agent took up again by itself what ran well: it counts as out, and no other has to be in
   * for it to be told.
   */
  @Test
  public void aRelayThatFellBackByItselfIsNotWaitedForInVain() {
    Fleet fleet = new Fleet(3);
    Deployment change = fleet.propose();
    int first = change.updated().iterator().next();
    fleet.says(first, NEW, false);
    ManagedRelay relay = fleet.changes.relay(first);
    fleet.changes.reportStatus(
        first,
        relay.zone(),
        relay.busy(),
        OLD,
        true,
        relay.observedGeneration() - 1,
        fleet.at(),
        0);
    fleet.wants.clear();
    fleet.changes.reportFailure(first, NEW, 0, "ended with code 3", fleet.at(), 0);
    fleet.obey();
    assertEquals(change.state(), State.GIVEN_UP);
  }

  @Test
  public void aFileThatSomeRefuseIsGivenUpBeforeAnyoneIsMoved() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.changes.propose("eve", "new limits", NEW, false, fleet.at(), 0));
    Deployment change = fleet.changes.pending();
    for (int i = 0; i < 3; i++) {
      fleet.changes.reportValidation(
          i, change.number, "relay.xml:12: sockets is above 0", fleet.at(), 0);
    }
    assertEquals(change.state(), State.GIVEN_UP);
    assertTrue(
        change.transitions().get(1).cause().contains("relay.xml:12"),
        change.transitions().get(1).cause());
    assertTrue(fleet.wants.stream().noneMatch(relay -> relay.generation() > 0));
  }

  @Test
  public void oneMachineThatRefusesIsLeftOut() {
    Fleet fleet = new Fleet(20);
    assertNull(fleet.changes.propose("eve", "new limits", NEW, false, fleet.at(), 0));
    Deployment change = fleet.changes.pending();
    for (int i = 0; i < 20; i++) {
      fleet.changes.reportValidation(
          i, change.number, i == 4 ? "its disk is full" : "", fleet.at(), 0);
    }
    for (int stage = 0; stage < 3; stage++) {
      fleet.obey();
      fine(fleet, change);
      fleet.pass(11_000);
    }
    assertEquals(change.state(), State.DONE);
    assertEquals(fleet.on(NEW), 19);
    assertEquals(fleet.changes.relay(4).observedVersion(), OLD);
  }

  @Test
  public void noMoreAreOutThanTheRoomAllows() {
    Fleet fleet = new Fleet(20);
    fleet.changes.setRestartBudget(Map.of(0, 1, 1, 1), "", fleet.at(), 0);
    Deployment change = fleet.propose();
    fleet.obey();
    fine(fleet, change);
    fleet.wants.clear();
    fleet.pass(11_000);
    assertTrue(
        fleet.wants.size() <= 2,
        fleet.wants.size() + " were told with room for one in each of two zones");
    fleet.changes.reportUnreachable(
        fleet.wants.get(0).number == 19 ? 18 : 19, fleet.at(), 0); // an outage takes up the room
    int before = change.updated().size();
    fleet.obey();
    assertTrue(change.updated().size() >= before);
    fleet.changes.setRestartBudget(Map.of(0, 0, 1, 0), "", fleet.at(), 0);
    before = change.updated().size();
    fleet.obey();
    fleet.pass(1000);
    assertEquals(change.updated().size(), before);
  }

  @Test
  public void nothingIsMovedWhileABuildIsOnTrialOrInASurge() {
    Fleet fleet = new Fleet(20);
    fleet.changes.rolloutInProgress(true, fleet.at(), 0);
    Deployment change = fleet.propose();
    assertEquals(change.state(), State.CHECKED);
    assertTrue(
        fleet
            .changes
            .blockers(change, fleet.at())
            .contains("a build of the units to be off trial"));
    fleet.changes.rolloutInProgress(false, fleet.at(), 0);
    fleet.obey();
    fleet.changes.setRestartBudget(Map.of(), "those that did not change serve 0.8", fleet.at(), 0);
    fine(fleet, change);
    fleet.pass(30_000);
    assertEquals(change.stage(), 0);
    fleet.changes.setRestartBudget(Map.of(), "", fleet.at(), 0);
    assertEquals(change.stage(), 1);
  }

  @Test
  public void harmIsTakenBackEvenThenOneAtATime() {
    Fleet fleet = new Fleet(20);
    Deployment change = fleet.propose();
    fleet.obey();
    fine(fleet, change);
    fleet.pass(11_000);
    fleet.obey();
    fleet.changes.setRestartBudget(Map.of(0, 0, 1, 0), "a surge", fleet.at(), 0);
    fleet.wants.clear();
    fleet.changes.reportVerdict(change.number, 1, Verdict.WORSE, "refused +0.2", fleet.at(), 0);
    assertEquals(fleet.wants.size(), 2); // one of each zone
    fleet.obey();
    assertEquals(change.state(), State.GIVEN_UP);
  }

  @Test
  public void whatIsNeverSureEndsAndSoDoesWhatIsHeld() {
    Fleet fleet = new Fleet(20);
    Deployment change = fleet.propose();
    fleet.obey();
    fleet.pass(121_000);
    assertEquals(change.state(), State.GOING_BACK);
    fleet.obey();
    assertEquals(change.state(), State.GIVEN_UP);
    Deployment next = fleet.propose();
    fleet.obey();
    assertNull(
        fleet.changes.command(
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
  public void aSecondOneWaitsAndAThirdTakesItsPlace() {
    Fleet fleet = new Fleet(4);
    Deployment first = fleet.propose();
    Version third = new Version("c".repeat(64), "0".repeat(64));
    assertNull(fleet.changes.propose("bob", "more heap", third, false, fleet.at(), 0));
    Deployment second = fleet.changes.pending();
    assertNull(
        fleet.changes.propose(
            "bob", "less heap", new Version("d".repeat(64), "0".repeat(64)), false, fleet.at(), 0));
    assertEquals(second.state(), State.GIVEN_UP);
    assertEquals(first.state(), State.MOVING);
    assertEquals(
        fleet.changes.propose("bob", "again", NEW, false, fleet.at(), 0),
        "that is what relays run once change 1 is done");
    assertFalse(fleet.changes.pending().state().active());
  }

  @Test
  public void aFleetOfOneIsChangedByTimeAndBySeeingItRun() {
    Fleet fleet = new Fleet(1);
    Deployment change = fleet.propose();
    for (int stage = 0; stage < 3; stage++) {
      fleet.obey();
      fleet.pass(11_000);
    }
    assertEquals(change.state(), State.DONE);
  }
}
