package sprucerock.relay.platform.soak;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Ids of the usual clients' open requests, of which a bad client takes one. Thread-safe. */
final class OpenIds {
  private final Set<String> ids = ConcurrentHashMap.newKeySet();

  void add(String id) {
    ids.add(id);
  }

  void remove(String id) {
    ids.remove(id);
  }

  /** Any of them; another text where there is none. */
  String any() {
    for (String id : ids) {
      return id;
    }
    return "none-is-open";
  }
}
