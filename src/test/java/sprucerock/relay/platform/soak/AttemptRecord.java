package sprucerock.relay.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Which request ids have reached an endpoint, and when each attempt began. Thread-safe. */
final class AttemptRecord {
  private final Map<String, List<Long>> beginnings = new ConcurrentHashMap<>();

  /** The last byte of a statement has come to an endpoint. */
  void began(String requestId) {
    long now = System.nanoTime();
    beginnings.compute(
        requestId,
        (id, times) -> {
          List<Long> all = times == null ? new ArrayList<>(1) : times;
          all.add(now);
          return all;
        });
  }

  /** When the attempts of a request began, by {@link System#nanoTime}. */
  List<Long> of(String requestId) {
    List<Long> times = beginnings.get(requestId);
    return times == null ? List.of() : List.copyOf(times);
  }

  /** When the attempts of a request began, in ms since the first, for a report. */
  String describe(String requestId) {
    List<Long> times = of(requestId);
    return times.stream()
        .map(time -> (time - times.get(0)) / 1_000_000 + " ms")
        .toList()
        .toString();
  }

  /** Ids that hold this text and reached endpoints more than once. */
  List<String> repeatedThatHold(String text) {
    List<String> repeated = new ArrayList<>();
    beginnings.forEach(
        (id, times) -> {
          if (id.contains(text) && times.size() > 1) {
            repeated.add(id);
          }
        });
    return repeated;
  }
}
