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
 * Two clients never hold the lease or act at the same time. The test searches every order of events
 * up to bounds, and long random orders. It also shows that the checker detects each missing safety
 * rule.
 */
public class LeaseSafetyTest {
  private static final double DRIFT = 0.19;
  private static final double SLOW_CLOCK_RATE = 1 - DRIFT;
  private static final double FAST_CLOCK_RATE = 1 + DRIFT;

  /** The clock rates of two clients and three grantors. */
  static final double[][] CLOCK_RATES = {
    {SLOW_CLOCK_RATE, FAST_CLOCK_RATE, FAST_CLOCK_RATE, FAST_CLOCK_RATE, FAST_CLOCK_RATE},
    {FAST_CLOCK_RATE, SLOW_CLOCK_RATE, SLOW_CLOCK_RATE, FAST_CLOCK_RATE, FAST_CLOCK_RATE},
    {1, 1, 1, 1, 1}
  };

  static LeaseSimulation simulation(
      LeaseSimulation.PartyFactory factory, double randomValue, double[] rates) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(2), TimeSpan.ofMs(2), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(
            factory,
            terms,
            randomValue,
            new double[] {rates[0], rates[1]},
            new double[] {rates[2], rates[3], rates[4]});
    simulation.withoutRejectionsAndActs = true;
    return simulation;
  }

  @Test
  public void hasOneHolderInEveryOrderOfEvents() {
    // StateSpaceSearchMain searches larger bounds, which takes minutes. docs/lease.md states them.
    for (double[] rates : CLOCK_RATES) {
      StateSpaceSearch.Bounds bounds =
          new StateSpaceSearch.Bounds(rates == CLOCK_RATES[0] ? 3 : 2, 3, 0, 0, 0, 400_000);
      StateSpaceSearch.Result result =
          StateSpaceSearch.explore(
              () -> simulation(new LeaseSimulation.PartyFactory() {}, 0, rates), bounds);
      assertNull(result.violation());
      assertTrue(result.complete(), "not all states were explored, only " + result.states());
      assertTrue(
          result.statesWithHolder() > 100, "a client held the lease in too few states: " + result);
    }
  }

  @Test
  public void hasOneHolderInLongRandomOrders() {
    int acquisitions = 0;
    for (int seed = 0; seed < 60; seed++) {
      LeaseSimulation simulation = randomSimulation(new LeaseSimulation.PartyFactory() {}, seed);
      assertNull(simulation.violation, "seed " + seed);
      acquisitions += simulation.acquisitions;
    }
    assertTrue(acquisitions > 300, "the lease was acquired only " + acquisitions + " times");
  }

  /** The checker must find a violation if any one of the safety rules is missing. */
  @Test
  public void checkerFindsEachMissingRule() {
    Map<String, LeaseSimulation.PartyFactory> factories = FaultyParties.byMissingRule();
    assertEquals(factories.size(), 8);
    factories.forEach(
        (missingRule, factory) -> {
          String violation = null;
          for (int seed = 0; seed < 200 && violation == null; seed++) {
            violation = randomSimulation(factory, seed).violation;
          }
          if (violation == null) {
            violation = stallWhileAnotherHolds(factory).violation;
          }
          if (violation == null) {
            violation = replayOldAnswers(factory).violation;
          }
          assertNotNull(violation, "no violation found without the rule: " + missingRule);
        });
  }

  @Test
  public void delayedRequestAcquiresNothingUnderALowerToken() {
    assertNull(stallWhileAnotherHolds(new LeaseSimulation.PartyFactory() {}).violation);
    assertNull(replayOldAnswers(new LeaseSimulation.PartyFactory() {}).violation);
  }

  /**
   * Plays an order that is too rare for random search: client 1 stalls, client 0 acquires the lease
   * and begins a renewal, one grantor receives the renewal, and an old answer of another grantor is
   * delivered again. Client 1 requests the lease when the first grants of the other grantors
   * expire.
   */
  private static LeaseSimulation replayOldAnswers(LeaseSimulation.PartyFactory factory) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(factory, terms, 0.5, new double[] {1, 1}, new double[] {1, 1, 1});
    // Client 1 stalls.
    simulation.applyClientEvent(1, 3);
    simulation.deliverAll(LeaseSimulation.Kind.REQUEST, 0);
    simulation.deliverAll(LeaseSimulation.Kind.GRANTED, 0);
    // Both clients requested once, and client 0, the holder, again.
    simulation.runUntilRequests(3);
    simulation.deliverAll(LeaseSimulation.Kind.REQUEST, 0, 0, 2);
    simulation.deliverAll(LeaseSimulation.Kind.GRANTED, 0, 0, 2);
    simulation.deliverAll(LeaseSimulation.Kind.GRANTED, 0, 1, 1);
    while (simulation.tick < 9) {
      simulation.apply(0, Integer.MAX_VALUE, 0, 0, 0);
    }
    // Client 1 resumes.
    simulation.applyClientEvent(1, 3);
    while (simulation.tick < 12) {
      simulation.apply(0, Integer.MAX_VALUE, 0, 0, 0);
    }
    deliverAllOfClient(simulation, 1);
    return simulation;
  }

  /**
   * Delivers all messages of a client, twice: grants under a token that the client gave up are
   * released in the first pass, and the newest request is granted in the second.
   */
  private static void deliverAllOfClient(LeaseSimulation simulation, int client) {
    for (int i = 0; i < 2; i++) {
      simulation.deliverAll(LeaseSimulation.Kind.REQUEST, client);
      simulation.deliverAll(LeaseSimulation.Kind.GRANTED, client);
      simulation.deliverAll(LeaseSimulation.Kind.RELEASE, client);
    }
  }

  /**
   * Plays an order that is too rare for random search: client 1 requests and stalls, client 0
   * acquires the lease under a higher token and releases it, and then the delayed request of client
   * 1 arrives.
   */
  private static LeaseSimulation stallWhileAnotherHolds(LeaseSimulation.PartyFactory factory) {
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(factory, terms, 0.5, new double[] {1, 1}, new double[] {1, 1, 1});
    // Client 1 stalls.
    simulation.applyClientEvent(1, 3);
    // Both clients requested once, and client 0 again.
    simulation.runUntilRequests(3);
    deliverAllOfClient(simulation, 0);
    // Client 0 releases the lease.
    simulation.applyClientEvent(0, 2);
    simulation.deliverAll(LeaseSimulation.Kind.RELEASE, 0);
    // Client 1 resumes.
    simulation.applyClientEvent(1, 3);
    simulation.deliverAll(LeaseSimulation.Kind.REQUEST, 1);
    simulation.deliverAll(LeaseSimulation.Kind.GRANTED, 1);
    return simulation;
  }

  /**
   * With clocks that drift more than allowed two clients may hold the lease at the same time, but
   * no act is admitted after one under a higher token.
   */
  @Test
  public void fencingTokensProtectWhereClocksDriftMoreThanAllowed() {
    boolean sawTwoHolders = false;
    for (int seed = 0; seed < 60; seed++) {
      LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), 0);
      LeaseSimulation simulation =
          new LeaseSimulation(
              new LeaseSimulation.PartyFactory() {},
              terms,
              0.5,
              new double[] {0.5, 1.6},
              new double[] {1.5, 1.5, 1.5});
      runRandomOrder(simulation, seed);
      sawTwoHolders |=
          simulation.violation != null && simulation.violation.startsWith("two clients hold");
      assertTrue(
          simulation.violation == null || simulation.violation.startsWith("two clients hold"),
          simulation.violation);
    }
    assertTrue(sawTwoHolders, "the clocks never gave two holders, so the test shows nothing");
  }

  private static LeaseSimulation randomSimulation(LeaseSimulation.PartyFactory factory, int seed) {
    Random random = new Random(seed);
    double[][] allRates = CLOCK_RATES;
    double[] rates = allRates[random.nextInt(allRates.length)];
    LeaseTerms terms = new LeaseTerms(3, TimeSpan.ofMs(12), TimeSpan.ofMs(12), DRIFT);
    LeaseSimulation simulation =
        new LeaseSimulation(
            factory,
            terms,
            random.nextDouble(),
            new double[] {rates[0], rates[1], 1},
            new double[] {rates[2], rates[3], rates[4]});
    runRandomOrder(simulation, seed);
    return simulation;
  }

  /** Plays a long random order. Most messages are delivered soon, some late or more than once. */
  private static void runRandomOrder(LeaseSimulation simulation, int seed) {
    Random random = new Random(seed);
    Supplier<Integer> nextChoice =
        () -> {
          int messages = simulation.choiceCount() - 1 - simulation.clientAndGrantorEventCount();
          if (random.nextInt(6) == 0) {
            return 0;
          }
          if (random.nextInt(10) == 0) {
            return 1 + messages + random.nextInt(simulation.clientAndGrantorEventCount());
          }
          return messages == 0
              ? 0
              : 1
                  + (random.nextInt(4) == 0
                      ? random.nextInt(messages)
                      : Math.max(0, simulation.recentMessageIndex(random)));
        };
    for (int i = 0; i < 3000 && simulation.violation == null; i++) {
      int choice = nextChoice.get();
      if (simulation.isRelease(choice) && seed % 2 > 0 && random.nextInt(8) > 0) {
        // With odd seeds most leases end by their term, not by a release.
        continue;
      }
      simulation.apply(choice, Integer.MAX_VALUE, i / (seed % 4 < 2 ? 100 : 400), i / 300, i / 100);
    }
  }
}
