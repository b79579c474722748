package sprucerock.relay.platform.soak;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What a run plays; all of it follows from the seed.
 *
 * @param floods bad clients that each send at full speed, one behind another, for the whole run
 * @param crowd clients that come at once; 0: none
 * @param signals sent to the relay one behind another
 * @param partOfCore the relay runs 20 of every 80 ms alone
 * @param endsByKill whether the relay is told to end while clients go on, and killed at the page's
 *     earliest
 */
record SoakPlan(
    long seed,
    double requestsPerSecond,
    int deadlineMs,
    double largeValueShare,
    int valueBytes,
    double leavingShare,
    int endpointCount,
    long endpointWorkMs,
    int endpointValueBytes,
    StubEndpoint.Faults endpointFaults,
    Set<BadClient> kinds,
    int floods,
    int crowd,
    List<Signal> signals,
    boolean partOfCore,
    boolean endsByKill,
    int seconds) {
  /** A signal, and how long after the one before it is sent. */
  record Signal(String name, long afterMs) {}

  private static final int[] DEADLINES_MS = {1500, 3000, 6000};

  /** The plan of a seed, for a run of so many seconds. */
  static SoakPlan of(long seed, int seconds) {
    Random random = new Random(seed * 0x9E3779B97F4A7C15L);
    Set<BadClient> kinds = EnumSet.noneOf(BadClient.class);
    int floods = 0;
    if (seed % 8 != 0) { // every eighth has usual clients alone
      for (int i = 0; i < 4; i++) {
        kinds.add(BadClient.values()[random.nextInt(BadClient.values().length)]);
      }
      if (random.nextInt(4) == 0) {
        kinds.addAll(EnumSet.allOf(BadClient.class));
      }
      floods = 2 + random.nextInt(24);
    }
    int crowd = random.nextInt(3) == 0 ? 200 + random.nextInt(500) : 0;
    boolean faulty = random.nextBoolean();
    return new SoakPlan(
        seed,
        40 + random.nextInt(200),
        DEADLINES_MS[random.nextInt(DEADLINES_MS.length)],
        random.nextInt(4) == 0 ? 0.3 : 0.02,
        1 << 8 + random.nextInt(9),
        random.nextInt(3) == 0 ? 0.1 : 0.01,
        4 + random.nextInt(8),
        5 + random.nextInt(100),
        random.nextInt(4) == 0 ? 16 * 1024 : 16,
        faulty
            ? new StubEndpoint.Faults(0.02, 0.02, 0.01 * random.nextInt(3))
            : StubEndpoint.Faults.NONE,
        kinds,
        floods,
        crowd,
        signals(random),
        random.nextInt(3) == 0,
        random.nextInt(3) == 0,
        seconds);
  }

  /** The same with other bad clients. */
  SoakPlan withBadClients(Set<BadClient> badClients, int count) {
    return new SoakPlan(
        seed,
        requestsPerSecond,
        deadlineMs,
        largeValueShare,
        valueBytes,
        leavingShare,
        endpointCount,
        endpointWorkMs,
        endpointValueBytes,
        endpointFaults,
        badClients,
        count,
        crowd,
        signals,
        partOfCore,
        endsByKill,
        seconds);
  }

  private static List<Signal> signals(Random random) {
    List<Signal> signals = new ArrayList<>();
    for (int i = random.nextInt(6); i > 0; i--) {
      if (random.nextInt(3) == 0) {
        signals.add(new Signal("STOP", random.nextInt(1500)));
        signals.add(new Signal("CONT", 50 + random.nextInt(100)));
      } else {
        signals.add(new Signal("HUP", random.nextInt(1500)));
      }
    }
    return signals;
  }
}
