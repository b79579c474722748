package sprucerock.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import sprucerock.controller.Rollout.State;
import sprucerock.controller.RolloutManager.Vote;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Compares the manager with the reference model under random inputs, some of them lost, duplicated
 * or out of order, and checks the manager's invariants.
 */
class RolloutManagerProperties {
  static final RolloutRules RULES =
      new RolloutRules(
          List.of(
              new RolloutRules.Stage(0.1, 0.12),
              new RolloutRules.Stage(0.4, 0.45),
              new RolloutRules.Stage(1, 1)),
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

  record Event(int kind, int firstDraw, int secondDraw, double delayMs) {}

  @Provide
  Arbitrary<List<Event>> eventSequences() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 19),
            Arbitraries.integers().between(0, 60),
            Arbitraries.integers().between(0, 60),
            Arbitraries.doubles().between(0, 900))
        .as(Event::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(150);
  }

  @Property(seed = "20261206", tries = 600, shrinking = ShrinkingMode.BOUNDED)
  void theManagerAgreesWithTheReferenceModel(@ForAll("eventSequences") List<Event> events) {
    List<ReferenceRolloutManager.RecordedTransition> notified = new ArrayList<>();
    RolloutManager manager =
        new RolloutManager(
            RULES,
            10,
            1,
            Timestamp.ofMs(0),
            (rollout, transition) -> {
              boolean changed =
                  notified.isEmpty()
                      || notified.stream()
                          .filter(last -> last.build() == rollout.build)
                          .reduce((earlier, later) -> later)
                          .map(
                              last ->
                                  last.state() != transition.state()
                                      || last.stage() != transition.stage())
                          .orElse(true);
              if (changed) {
                notified.add(
                    new ReferenceRolloutManager.RecordedTransition(
                        transition.time().ms(),
                        rollout.build,
                        transition.stage(),
                        transition.state()));
              }
            });
    ReferenceRolloutManager model = new ReferenceRolloutManager(RULES, 10, 1);
    double nowMs = 0;
    int newestBuild = 1;
    int lastSequence = 0;
    for (Event event : events) {
      nowMs += event.delayMs;
      Timestamp now = Timestamp.ofMs(nowMs);
      int build = Math.max(1, manager.current().build - 1 + event.secondDraw % 3);
      int stage = event.secondDraw % 7 == 0 ? event.secondDraw % 3 : manager.current().stage();
      switch (event.kind) {
        case 0, 1 -> {
          int announcedBuild =
              event.firstDraw % 4 == 0 ? 1 + event.firstDraw % newestBuild : ++newestBuild;
          String delivery =
              "d" + (event.firstDraw % 5 == 0 ? event.secondDraw % 6 : 1000 + newestBuild);
          String artifact = "a" + event.secondDraw % 2;
          assertEquals(
              manager.announceDelivery(delivery, announcedBuild, artifact, "ci", now, 0),
              model.announce(delivery, announcedBuild, artifact, nowMs));
        }
        case 2 -> {
          boolean hold = event.firstDraw % 2 == 0;
          manager.command(
              hold ? RolloutManager.OperatorCommand.HOLD : RolloutManager.OperatorCommand.RESUME,
              build,
              "ann",
              "why",
              now,
              0);
          model.hold(build, hold, nowMs);
        }
        case 3 -> {
          if (event.firstDraw % 4 > 0) {
            break;
          }
          manager.command(RolloutManager.OperatorCommand.WITHDRAW, build, "ann", "why", now, 0);
          model.withdraw(build, nowMs);
        }
        case 4, 5, 6, 7, 8 -> {
          int endpoints = event.firstDraw % 12;
          manager.reportEndpoints(manager.current().build, endpoints, now, 0);
          model.reportEndpoints(model.currentBuild(), endpoints, nowMs);
        }
        case 9, 10, 11 -> {
          if (manager.transitionDue(now)) {
            manager.tick(now, 0);
          }
          model.reconcile(nowMs);
        }
        default -> {
          Vote vote =
              event.kind == 12 && event.firstDraw % 3 == 0
                  ? Vote.BACK
                  : event.kind == 13 ? Vote.NOTHING : Vote.ON;
          int relay = event.firstDraw % 5;
          boolean counts =
              manager.castVote(
                      relay,
                      manager.current().build - (event.secondDraw % 9 == 0 ? 1 : 0),
                      stage,
                      vote,
                      now,
                      0)
                  == RolloutManager.VoteResult.COUNTS;
          assertEquals(
              counts,
              model.castVote(
                  relay,
                  model.currentBuild() - (event.secondDraw % 9 == 0 ? 1 : 0),
                  stage,
                  vote,
                  nowMs));
        }
      }
      assertEquals(manager.current().build, model.currentBuild());
      assertEquals(manager.current().state(), model.lastTransition(model.currentBuild()).state());
      assertEquals(notified, model.transitions.subList(1, model.transitions.size()));
      assertInvariants(manager);
      assertTrue(manager.sequence() >= lastSequence);
      lastSequence = (int) manager.sequence();
    }
  }

  private static void assertInvariants(RolloutManager manager) {
    assertTrue(
        manager.rollouts().stream()
                .filter(
                    rollout ->
                        rollout.state() == State.ON_TRIAL || rollout.state() == State.STARTING)
                .count()
            <= 1,
        "two rollouts are starting or on trial");
    RolloutManager.RolloutStatus status = manager.currentStatus();
    double maxExposure =
        status.state() == State.ON_TRIAL
            ? RULES.stages().get(status.stage()).exposureCap()
            : status.state() == State.RELEASED ? 1 : 0;
    assertTrue(status.exposureCap() <= maxExposure, status.toString());
    assertTrue(
        status.state() != State.STARTING
            && status.state() != State.ANNOUNCED
            && status.state() != State.SUPERSEDED,
        status.toString());
  }
}
