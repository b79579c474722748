package sprucerock.lease;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Explores every state reachable from a simulation, up to bounds. Ends at the first violation. */
final class StateSpaceSearch {
  /** The bounds of the search: ticks, rounds of requests, the number of each fault, and states. */
  record Bounds(
      int ticks, int requests, int grantorCrashes, int clientCrashes, int stalls, int maxStates) {}

  /**
   * The result of a search.
   *
   * @param states the number of explored states
   * @param complete whether all states within the bounds were explored
   * @param violation the first violation; null: none was found
   * @param statesWithHolder the number of states in which a client holds the lease
   */
  record Result(int states, boolean complete, String violation, int statesWithHolder) {}

  static Result explore(Supplier<LeaseSimulation> start, Bounds bounds) {
    Set<Long> seenHashes = ConcurrentHashMap.newKeySet();
    List<LeaseSimulation> frontier = List.of(start.get());
    int statesWithHolder = 0;
    while (!frontier.isEmpty() && seenHashes.size() < bounds.maxStates()) {
      List<LeaseSimulation> next =
          frontier.parallelStream()
              .flatMap(
                  simulation ->
                      IntStream.range(0, simulation.choiceCount())
                          .mapToObj(
                              choice -> {
                                if (choice == 0 && simulation.tick >= bounds.ticks()) {
                                  return null;
                                }
                                LeaseSimulation successor = simulation.copy();
                                if (!successor.apply(
                                    choice,
                                    bounds.requests(),
                                    bounds.grantorCrashes(),
                                    bounds.clientCrashes(),
                                    bounds.stalls())) {
                                  return null;
                                }
                                return seenHashes.add(hash(successor.stateText()))
                                    ? successor
                                    : null;
                              })
                          .filter(successor -> successor != null))
              .collect(Collectors.toList());
      for (LeaseSimulation simulation : next) {
        if (simulation.violation != null) {
          return new Result(seenHashes.size(), false, simulation.violation, statesWithHolder);
        }
        statesWithHolder += simulation.holderCount();
      }
      frontier = next;
    }
    return new Result(seenHashes.size(), frontier.isEmpty(), null, statesWithHolder);
  }

  /**
   * Returns a hash of 64 bits. Among ten million states the probability that two different ones
   * have the same hash is 1 in 300,000.
   */
  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (byte value : text.getBytes(StandardCharsets.ISO_8859_1)) {
      hash = (hash ^ value) * 0x100000001b3L;
    }
    hash ^= hash >>> 33;
    hash *= 0xff51afd7ed558ccdL;
    return hash ^ hash >>> 33;
  }

  private StateSpaceSearch() {}
}
