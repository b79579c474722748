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
 * The core beside the plain model under any inputs, lost, doubled and out of order; and what may
 * never be.
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
  void theManagerAgreesWithTheReferenceModel(@ForAll("eventSequences") List<Event> day) {
    List<ReferenceRolloutManager.RecordedTransition> told = new ArrayList<>();
    RolloutManager core =
        new RolloutManager(
            RULES,
            10,
            1,
            Timestamp.ofMs(0),
            (release, step) -> {
              boolean moved =
                  told.isEmpty()
                      || told.stream()
                          .filter(one -> one.build() == release.build)
                          .reduce((a, b) -> b)
                          .map(one -> one.state() != step.state() || one.stage() != step.stage())
                          .orElse(true);
              if (moved) {
                told.add(
                    new ReferenceRolloutManager.RecordedTransition(
                        step.time().ms(), release.build, step.stage(), step.state()));
              }
            });
    ReferenceRolloutManager plain = new ReferenceRolloutManager(RULES, 10, 1);
    double at = 0;
    int newest = 1;
    int steps = 0;
    for (Event event : day) {
      at += event.delayMs;
      Timestamp now = Timestamp.ofMs(at);
      int build = Math.max(1, core.current().build - 1 + event.secondDraw % 3);
      int stage = event.secondDraw % 7 == 0 ? event.secondDraw % 3 : core.current().stage();
      switch (event.kind) {
        case 0, 1 -> {
          int offered = event.firstDraw % 4 == 0 ? 1 + event.firstDraw % newest : ++newest;
          String delivery = "d" + (event.firstDraw % 5 == 0 ? event.secondDraw % 6 : 1000 + newest);
          String artifact = "a" + event.secondDraw % 2;
          assertEquals(
              core.announceDelivery(delivery, offered, artifact, "ci", now, 0),
              plain.announce(delivery, offered, artifact, at));
        }
        case 2 -> {
          boolean on = event.firstDraw % 2 == 0;
          core.command(
              on ? RolloutManager.OperatorCommand.HOLD : RolloutManager.OperatorCommand.RESUME,
              build,
              "ann",
              "why",
              now,
              0);
          plain.hold(build, on, at);
        }
        case 3 -> {
          if (event.firstDraw % 4 > 0) {
            break;
          }
          core.command(RolloutManager.OperatorCommand.WITHDRAW, build, "ann", "why", now, 0);
          plain.withdraw(build, at);
        }
        case 4, 5, 6, 7, 8 -> {
          int endpoints = event.firstDraw % 12;
          core.reportEndpoints(core.current().build, endpoints, now, 0);
          plain.reportEndpoints(plain.currentBuild(), endpoints, at);
        }
        case 9, 10, 11 -> {
          if (core.transitionDue(now)) {
            core.tick(now, 0);
          }
          plain.reconcile(at);
        }
        default -> {
          Vote say =
              event.kind == 12 && event.firstDraw % 3 == 0
                  ? Vote.BACK
                  : event.kind == 13 ? Vote.NOTHING : Vote.ON;
          int relay = event.firstDraw % 5;
          boolean counts =
              core.castVote(
                      relay,
                      core.current().build - (event.secondDraw % 9 == 0 ? 1 : 0),
                      stage,
                      say,
                      now,
                      0)
                  == RolloutManager.VoteResult.COUNTS;
          assertEquals(
              counts,
              plain.castVote(
                  relay,
                  plain.currentBuild() - (event.secondDraw % 9 == 0 ? 1 : 0),
                  stage,
                  say,
                  at));
        }
      }
      assertEquals(core.current().build, plain.currentBuild());
      assertEquals(core.current().state(), plain.lastTransition(plain.currentBuild()).state());
      assertEquals(told, plain.transitions.subList(1, plain.transitions.size()));
      assertInvariants(core);
      assertTrue(core.sequence() >= steps);
      steps = (int) core.sequence();
    }
  }

  private static void assertInvariants(RolloutManager core) {
    assertTrue(
        core.rollouts().stream()
                .filter(one -> one.state() == State.ON_TRIAL || one.state() == State.STARTING)
                .count()
            <= 1,
        "two at a time");
    RolloutManager.RolloutStatus news = core.currentStatus();
    double most =
        news.state() == State.ON_TRIAL
            ? RULES.stages().get(news.stage()).exposureCap()
            : news.state() == State.RELEASED ? 1 : 0;
    assertTrue(news.exposureCap() <= most, news.toString());
    assertTrue(
        news.state() != State.STARTING
            && news.state() != State.ANNOUNCED
            && news.state() != State.SUPERSEDED,
        news.toString());
  }
}
