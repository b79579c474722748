package sprucerock.lease;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Every simulation that can come from one, up to stated bounds; ends at the first violation. */
final class StateSpaceSearch {
  /** How far it goes: ticks, rounds of requests, and how often each trouble comes. */
  record Bounds(
      int ticks, int requests, int grantorCrashes, int clientCrashes, int stalls, int maxStates) {}

  /** How many states there are; whether all were seen; what was violation, or null. */
  record Result(int states, boolean complete, String violation, int statesWithHolder) {}

  static Result explore(Supplier<LeaseSimulation> start, Bounds bounds) {
    Set<Long> seen = ConcurrentHashMap.newKeySet();
    List<LeaseSimulation> edge = List.of(start.get());
    int holders = 0;
    while (!edge.isEmpty() && seen.size() < bounds.maxStates()) {
      List<LeaseSimulation> next =
          edge.parallelStream()
              .flatMap(
                  simulation ->
                      IntStream.range(0, simulation.choices())
                          .mapToObj(
                              choice -> {
                                if (choice == 0 && simulation.tick >= bounds.ticks()) {
                                  return null;
                                }
                                LeaseSimulation then = simulation.copy();
                                if (!then.happen(
                                    choice,
                                    bounds.requests(),
                                    bounds.grantorCrashes(),
                                    bounds.clientCrashes(),
                                    bounds.stalls())) {
                                  return null;
                                }
                                return seen.add(hash(then.text())) ? then : null;
                              })
                          .filter(one -> one != null))
              .collect(Collectors.toList());
      for (LeaseSimulation one : next) {
        if (one.violation != null) {
          return new Result(seen.size(), false, one.violation, holders);
        }
        holders += one.holders();
      }
      edge = next;
    }
    return new Result(seen.size(), edge.isEmpty(), null, holders);
  }

  /**
   * Over 64 bits: among ten million states two differing ones are taken for one with a chance of
   * one in 300,000.
   */
  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (byte one : text.getBytes(StandardCharsets.ISO_8859_1)) {
      hash = (hash ^ one) * 0x100000001b3L;
    }
    hash ^= hash >>> 33;
    hash *= 0xff51afd7ed558ccdL;
    return hash ^ hash >>> 33;
  }

  private StateSpaceSearch() {}
}
