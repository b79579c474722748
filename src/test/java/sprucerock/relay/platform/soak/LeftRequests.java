package sprucerock.relay.platform.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Requests whose clients have closed their connection, and when. Thread-safe. */
final class LeftRequests {
  private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();

  void add(List<String> ids, long nanos) {
    for (String id : ids) {
      leftNanos.put(id, nanos);
    }
  }

  Map<String, Long> all() {
    return leftNanos;
  }
}
