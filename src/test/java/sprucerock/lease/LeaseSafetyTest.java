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
 * That never two act at once: looked for in every order of events up to stated bounds, and in long
 * ones by chance; and with each guard taken out.
 */
public class LeaseSafetyTest {
  private static final double DRIFT = 0.19;
  private static final double SLOW = 1 - DRIFT;
  private static final double FAST = 1 + DRIFT;

  /** Two candidates, three granters. */
  static final double[][] PACES = {
    {SLOW, FAST, FAST, FAST, FAST}, {FAST, SLOW, SLOW, FAST, FAST}, {1, 1, 1, 1, 1}
  };

  static LeaseSimulation world(LeaseSimulation.Makers makers, double chance, double[] paces) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(2), TimeSpan.ofMs(2), DRIFT);
    LeaseSimulation world =
        new LeaseSimulation(
            makers,
            terms,
            chance,
            new double[] {paces[0], paces[1]},
            new double[] {paces[2], paces[3], paces[4]});
    world.brief = true;
    return world;
  }

  @Test
  public void nowhereInEveryOrderOfEvents() {
    // SearchMain goes further, in minutes; docs/lease.md has how far
    for (double[] paces : PACES) {
      StateSpaceSearch.Bounds bounds =
          new StateSpaceSearch.Bounds(paces == PACES[0] ? 3 : 2, 3, 0, 0, 0, 400_000);
      StateSpaceSearch.Found found =
          StateSpaceSearch.every(() -> world(new LeaseSimulation.Makers() {}, 0, paces), bounds);
      assertNull(found.wrong());
      assertTrue(found.whole(), found.worlds() + " worlds and more");
      assertTrue(found.withHolder() > 100, "hardly anybody ever held it: " + found);
    }
  }

  @Test
  public void nowhereInLongOrdersByChance() {
    int taken = 0;
    for (int seed = 0; seed < 60; seed++) {
      LeaseSimulation world = random(new LeaseSimulation.Makers() {}, seed);
      assertNull(world.wrong, "seed " + seed);
      taken += world.takenOver;
    }
    assertTrue(taken > 300, "taken over " + taken + " times only");
  }

  /** Each guard is there for something that the checker sees once it is not. */
  @Test
  public void eachGuardIsMissedByTheChecker() {
    Map<String, LeaseSimulation.Makers> all = FaultyParties.all();
    assertEquals(all.size(), 8);
    all.forEach(
        (lacks, makers) -> {
          String wrong = null;
          for (int seed = 0; seed < 200 && wrong == null; seed++) {
            wrong = random(makers, seed).wrong;
          }
          if (wrong == null) {
            wrong = oneThatStoodStillWhileAnotherHeldIt(makers).wrong;
          }
          if (wrong == null) {
            wrong = oneThatHearsOldAnswersAgain(makers).wrong;
          }
          assertNotNull(wrong, "not found without: " + lacks);
        });
  }

  @Test
  public void whoStoodStillWithItsAskOnTheWayTakesNothingUnderALowerNumber() {
    assertNull(oneThatStoodStillWhileAnotherHeldIt(new LeaseSimulation.Makers() {}).wrong);
    assertNull(oneThatHearsOldAnswersAgain(new LeaseSimulation.Makers() {}).wrong);
  }

  /**
   * Too rare for chance: a holder asks again, one granter hears it, and another one's old answer
   * comes a second time.
   */
  private static LeaseSimulation oneThatHearsOldAnswersAgain(LeaseSimulation.Makers makers) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation world =
        new LeaseSimulation(makers, terms, 0.5, new double[] {1, 1}, new double[] {1, 1, 1});
    world.befall(1, 3);
    world.arrive(LeaseSimulation.Kind.ASK, 0);
    world.arrive(LeaseSimulation.Kind.GRANTED, 0);
    world.pass(3); // both asked once, and the holder again
    world.arrive(LeaseSimulation.Kind.ASK, 0, 0, 2);
    world.arrive(LeaseSimulation.Kind.GRANTED, 0, 0, 2);
    world.arrive(LeaseSimulation.Kind.GRANTED, 0, 1, 1);
    while (world.tick < 9) {
      world.happen(0, Integer.MAX_VALUE, 0, 0, 0);
    }
    world.befall(1, 3);
    while (world.tick < 12) {
      world.happen(0, Integer.MAX_VALUE, 0, 0, 0);
    }
    heardOut(world, 1);
    return world;
  }

  /**
   * All that is on its way of a candidate; what was granted to a number that it gave up is given
   * back, and then the newest counts.
   */
  private static void heardOut(LeaseSimulation world, int candidate) {
    for (int i = 0; i < 2; i++) {
      world.arrive(LeaseSimulation.Kind.ASK, candidate);
      world.arrive(LeaseSimulation.Kind.GRANTED, candidate);
      world.arrive(LeaseSimulation.Kind.RETURN, candidate);
    }
  }

  /**
   * Too rare for chance: one asks and stands still; the other one takes it under a higher number
   * and gives it back; then the ask arrives.
   */
  private static LeaseSimulation oneThatStoodStillWhileAnotherHeldIt(
      LeaseSimulation.Makers makers) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation world =
        new LeaseSimulation(makers, terms, 0.5, new double[] {1, 1}, new double[] {1, 1, 1});
    world.befall(1, 3);
    world.pass(3); // both asked once, and the first one again
    heardOut(world, 0);
    world.befall(0, 2);
    world.arrive(LeaseSimulation.Kind.RETURN, 0);
    world.befall(1, 3);
    world.arrive(LeaseSimulation.Kind.ASK, 1);
    world.arrive(LeaseSimulation.Kind.GRANTED, 1);
    return world;
  }

  /**
   * Clocks that are worse than stated: two may hold it at once, and still no act is taken below a
   * later one's number.
   */
  @Test
  public void fencingAloneHoldsWhereClocksAreWorseThanStated() {
    boolean two = false;
    for (int seed = 0; seed < 60; seed++) {
      LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), 0);
      LeaseSimulation world =
          new LeaseSimulation(
              new LeaseSimulation.Makers() {},
              terms,
              0.5,
              new double[] {0.5, 1.6},
              new double[] {1.5, 1.5, 1.5});
      run(world, seed);
      two |= world.wrong != null && world.wrong.startsWith("two hold");
      assertTrue(world.wrong == null || world.wrong.startsWith("two hold"), world.wrong);
    }
    assertTrue(two, "the clocks were not bad enough to show anything");
  }

  private static LeaseSimulation random(LeaseSimulation.Makers makers, int seed) {
    Random random = new Random(seed);
    double[][] paces = PACES;
    double[] some = paces[random.nextInt(paces.length)];
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation world =
        new LeaseSimulation(
            makers,
            terms,
            random.nextDouble(),
            new double[] {some[0], some[1], 1},
            new double[] {some[2], some[3], some[4]});
    run(world, seed);
    return world;
  }

  /** Long orders: messages are mostly taken soon, some late or more than once. */
  private static void run(LeaseSimulation world, int seed) {
    Random random = new Random(seed);
    Supplier<Integer> attempt =
        () -> {
          int messages = world.choices() - 1 - world.others();
          if (random.nextInt(6) == 0) {
            return 0;
          }
          if (random.nextInt(10) == 0) {
            return 1 + messages + random.nextInt(world.others());
          }
          return messages == 0
              ? 0
              : 1
                  + (random.nextInt(4) == 0
                      ? random.nextInt(messages)
                      : Math.max(0, world.recent(random)));
        };
    for (int i = 0; i < 3000 && world.wrong == null; i++) {
      int choice = attempt.get();
      if (world.isLeave(choice) && seed % 2 > 0 && random.nextInt(8) > 0) {
        continue; // in every other order most claims run out
      }
      world.happen(choice, Integer.MAX_VALUE, i / (seed % 4 < 2 ? 100 : 400), i / 300, i / 100);
    }
  }
}
