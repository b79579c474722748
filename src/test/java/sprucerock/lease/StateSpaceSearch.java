package sprucerock.lease;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Every world that can come from one, up to stated bounds; ends at the first that is wrong. */
final class StateSpaceSearch {
  /** How far it goes: ticks, rounds of asks, and how often each trouble comes. */
  record Bounds(
      int ticks, int asks, int granterCrashes, int candidateCrashes, int stalls, int most) {}

  /** How many worlds there are; whether all were seen; what was wrong, or null. */
  record Found(int worlds, boolean whole, String wrong, int withHolder) {}

  static Found every(Supplier<LeaseSimulation> start, Bounds bounds) {
    Set<Long> seen = ConcurrentHashMap.newKeySet();
    List<LeaseSimulation> edge = List.of(start.get());
    int holders = 0;
    while (!edge.isEmpty() && seen.size() < bounds.most()) {
      List<LeaseSimulation> next =
          edge.parallelStream()
              .flatMap(
                  world ->
                      IntStream.range(0, world.choices())
                          .mapToObj(
                              choice -> {
                                if (choice == 0 && world.tick >= bounds.ticks()) {
                                  return null;
                                }
                                LeaseSimulation then = world.copy();
                                if (!then.happen(
                                    choice,
                                    bounds.asks(),
                                    bounds.granterCrashes(),
                                    bounds.candidateCrashes(),
                                    bounds.stalls())) {
                                  return null;
                                }
                                return seen.add(hash(then.text())) ? then : null;
                              })
                          .filter(one -> one != null))
              .collect(Collectors.toList());
      for (LeaseSimulation one : next) {
        if (one.wrong != null) {
          return new Found(seen.size(), false, one.wrong, holders);
        }
        holders += one.holders();
      }
      edge = next;
    }
    return new Found(seen.size(), edge.isEmpty(), null, holders);
  }

  /**
   * Over 64 bits: among ten million worlds two differing ones are taken for one with a chance of
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
