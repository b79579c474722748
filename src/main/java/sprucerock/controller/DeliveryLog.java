package sprucerock.controller;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.function.Supplier;
import sprucerock.controller.RolloutManager.AnnouncementResult;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** The deliveries that were answered, so that a repeated delivery has no second effect. */
final class DeliveryLog {
  /** Longer than senders retry, which is one to three days. */
  static final TimeSpan RETENTION = TimeSpan.ofMs(7 * 24 * 3_600_000.0);

  static final int MAX_DELIVERIES = 50_000;

  /** A delivery and the result of applying it. */
  record Delivery(String id, Timestamp receivedAt, AnnouncementResult result, String content) {}

  /** Deliveries by id, the oldest first. */
  final LinkedHashMap<String, Delivery> deliveries = new LinkedHashMap<>();

  /** Applies a delivery unless its id was applied before, and returns the result. */
  AnnouncementResult applyOnce(
      String id, String content, Timestamp now, Supplier<AnnouncementResult> apply) {
    dropExpired(now);
    Delivery earlier = deliveries.get(id);
    if (earlier != null) {
      return earlier.content.equals(content)
          ? AnnouncementResult.AGAIN
          : AnnouncementResult.CONTRADICTS;
    }
    AnnouncementResult result = apply.get();
    deliveries.put(id, new Delivery(id, now, result, content));
    return result;
  }

  private void dropExpired(Timestamp now) {
    Iterator<Delivery> oldest = deliveries.values().iterator();
    while (oldest.hasNext()) {
      boolean expired = now.since(oldest.next().receivedAt).over(RETENTION);
      if (!expired && deliveries.size() < MAX_DELIVERIES) {
        return;
      }
      oldest.remove();
    }
  }
}
