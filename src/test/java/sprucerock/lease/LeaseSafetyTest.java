package sprucerock.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/**
 * Never do two clients act at once: searched in every order of events up to stated bounds, and in
 * long random ones; and the checker notices each safety rule that is taken out.
 */
public class LeaseSafetyTest {
  private static final double DRIFT = 0.19;
  private static final double SLOW = 1 - DRIFT;
  private static final double FAST = 1 + DRIFT;

  /** Two clients, three grantors. */
  static final double[][] PACES = {
    {SLOW, FAST, FAST, FAST, FAST}, {FAST, SLOW, SLOW, FAST, FAST}, {1, 1, 1, 1, 1}
  };

  static LeaseSimulation simulation(
      LeaseSimulation.PartyFactory factory, double chance, double[] paces) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(2), TimeSpan.ofMs(2), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(
            factory,
            terms,
            chance,
            new double[] {paces[0], paces[1]},
            new double[] {paces[2], paces[3], paces[4]});
    simulation.withoutRejections = true;
    return simulation;
  }

  @Test
  public void holdsInEveryOrderOfEvents() {
    // StateSpaceSearchMain goes further, in minutes; docs/lease.md has how far
    for (double[] paces : PACES) {
      StateSpaceSearch.Bounds bounds =
          new StateSpaceSearch.Bounds(paces == PACES[0] ? 3 : 2, 3, 0, 0, 0, 400_000);
      StateSpaceSearch.Result result =
          StateSpaceSearch.explore(
              () -> simulation(new LeaseSimulation.PartyFactory() {}, 0, paces), bounds);
      assertNull(result.violation());
      assertTrue(result.complete(), result.states() + " worlds and more");
      assertTrue(result.statesWithHolder() > 100, "hardly anybody ever held it: " + result);
    }
  }

  @Test
  public void holdsInLongRandomOrders() {
    int taken = 0;
    for (int seed = 0; seed < 60; seed++) {
      LeaseSimulation simulation = random(new LeaseSimulation.PartyFactory() {}, seed);
      assertNull(simulation.violation, "seed " + seed);
      taken += simulation.takeovers;
    }
    assertTrue(taken > 300, "taken over " + taken + " times only");
  }

  /** Each guard is there for something that the checker sees once it is not. */
  @Test
  public void checkerFindsEachMissingRule() {
    Map<String, LeaseSimulation.PartyFactory> all = FaultyParties.all();
    assertEquals(all.size(), 8);
    all.forEach(
        (lacks, factory) -> {
          String violation = null;
          for (int seed = 0; seed < 200 && violation == null; seed++) {
            violation = random(factory, seed).violation;
          }
          if (violation == null) {
            violation = stallWhileAnotherHolds(factory).violation;
          }
          if (violation == null) {
            violation = replayOldAnswers(factory).violation;
          }
          assertNotNull(violation, "not found without: " + lacks);
        });
  }

  @Test
  public void delayedRequestTakesNothingUnderALowerToken() {
    assertNull(stallWhileAnotherHolds(new LeaseSimulation.PartyFactory() {}).violation);
    assertNull(replayOldAnswers(new LeaseSimulation.PartyFactory() {}).violation);
  }

  /**
   * Too rare for chance: a holder requests again, one grantor hears it, and another one's old
   * answer comes a second time.
   */
  private static LeaseSimulation replayOldAnswers(LeaseSimulation.PartyFactory factory) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(factory, terms, 0.5, new double[] {1, 1}, new double[] {1, 1, 1});
    simulation.disturb(1, 3);
    simulation.arrive(LeaseSimulation.Kind.ASK, 0);
    simulation.arrive(LeaseSimulation.Kind.GRANTED, 0);
    simulation.pass(3); // both asked once, and the holder again
    simulation.arrive(LeaseSimulation.Kind.ASK, 0, 0, 2);
    simulation.arrive(LeaseSimulation.Kind.GRANTED, 0, 0, 2);
    simulation.arrive(LeaseSimulation.Kind.GRANTED, 0, 1, 1);
    while (simulation.tick < 9) {
      simulation.happen(0, Integer.MAX_VALUE, 0, 0, 0);
    }
    simulation.disturb(1, 3);
    while (simulation.tick < 12) {
      simulation.happen(0, Integer.MAX_VALUE, 0, 0, 0);
    }
    deliverAll(simulation, 1);
    return simulation;
  }

  /**
   * All that is on its way of a client; what was granted to a token that it gave up is given back,
   * and then the newest counts.
   */
  private static void deliverAll(LeaseSimulation simulation, int client) {
    for (int i = 0; i < 2; i++) {
      simulation.arrive(LeaseSimulation.Kind.ASK, client);
      simulation.arrive(LeaseSimulation.Kind.GRANTED, client);
      simulation.arrive(LeaseSimulation.Kind.RETURN, client);
    }
  }

  /**
   * Too rare for chance: one requests and stands still; the other one takes it under a higher token
   * and gives it back; then the ask arrives.
   */
  private static LeaseSimulation stallWhileAnotherHolds(LeaseSimulation.PartyFactory factory) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(factory, terms, 0.5, new double[] {1, 1}, new double[] {1, 1, 1});
    simulation.disturb(1, 3);
    simulation.pass(3); // both asked once, and the first one again
    deliverAll(simulation, 0);
    simulation.disturb(0, 2);
    simulation.arrive(LeaseSimulation.Kind.RETURN, 0);
    simulation.disturb(1, 3);
    simulation.arrive(LeaseSimulation.Kind.ASK, 1);
    simulation.arrive(LeaseSimulation.Kind.GRANTED, 1);
    return simulation;
  }

  /**
   * Clocks that are worse than stated: two may hold it at once, and still no act is taken below a
   * later one's token.
   */
  @Test
  public void fencingTokensHoldWhereClocksDriftMoreThanAllowed() {
    boolean two = false;
    for (int seed = 0; seed < 60; seed++) {
      LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), 0);
      LeaseSimulation simulation =
          new LeaseSimulation(
              new LeaseSimulation.PartyFactory() {},
              terms,
              0.5,
              new double[] {0.5, 1.6},
              new double[] {1.5, 1.5, 1.5});
      run(simulation, seed);
      two |= simulation.violation != null && simulation.violation.startsWith("two hold");
      assertTrue(
          simulation.violation == null || simulation.violation.startsWith("two hold"),
          simulation.violation);
    }
    assertTrue(two, "the clocks were not bad enough to show anything");
  }

  private static LeaseSimulation random(LeaseSimulation.PartyFactory factory, int seed) {
    Random random = new Random(seed);
    double[][] paces = PACES;
    double[] some = paces[random.nextInt(paces.length)];
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(
            factory,
            terms,
            random.nextDouble(),
            new double[] {some[0], some[1], 1},
            new double[] {some[2], some[3], some[4]});
    run(simulation, seed);
    return simulation;
  }

  /** Long orders: messages are mostly taken soon, some late or more than once. */
  private static void run(LeaseSimulation simulation, int seed) {
    Random random = new Random(seed);
    Supplier<Integer> attempt =
        () -> {
          int messages = simulation.choices() - 1 - simulation.others();
          if (random.nextInt(6) == 0) {
            return 0;
          }
          if (random.nextInt(10) == 0) {
            return 1 + messages + random.nextInt(simulation.others());
          }
          return messages == 0
              ? 0
              : 1
                  + (random.nextInt(4) == 0
                      ? random.nextInt(messages)
                      : Math.max(0, simulation.recent(random)));
        };
    for (int i = 0; i < 3000 && simulation.violation == null; i++) {
      int choice = attempt.get();
      if (simulation.isLeave(choice) && seed % 2 > 0 && random.nextInt(8) > 0) {
        continue; // in explore other order maxStates claims run out
      }
      simulation.happen(
          choice, Integer.MAX_VALUE, i / (seed % 4 < 2 ? 100 : 400), i / 300, i / 100);
    }
  }
}
