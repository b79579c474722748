package sprucerock.controller;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.function.Supplier;
import sprucerock.controller.RolloutManager.AnnouncementResult;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Announcements that were answered, so that a copy of a delivery has no second effect. */
final class DeliveryLog {
  /** Longer than senders retry, which is a day or three. */
  static final TimeSpan RETENTION = TimeSpan.ofMs(7 * 24 * 3_600_000.0);

  static final int MAX_DELIVERIES = 50_000;

  /** One delivery, with the answer that it had. */
  record Delivery(String id, Timestamp receivedAt, AnnouncementResult result, String content) {}

  /** By id, the oldest first. */
  final LinkedHashMap<String, Delivery> deliveries = new LinkedHashMap<>();

  /** The answer to a delivery: for the first of an id, what {@code apply} answers. */
  AnnouncementResult applyOnce(
      String id, String content, Timestamp now, Supplier<AnnouncementResult> apply) {
    dropOld(now);
    Delivery earlier = deliveries.get(id);
    if (earlier != null) {
      return earlier.content.equals(content)
          ? AnnouncementResult.AGAIN
          : AnnouncementResult.CONTRADICTS;
    }
    AnnouncementResult answer = apply.get();
    deliveries.put(id, new Delivery(id, now, answer, content));
    return answer;
  }

  private void dropOld(Timestamp now) {
    Iterator<Delivery> oldest = deliveries.values().iterator();
    while (oldest.hasNext()) {
      boolean old = now.since(oldest.next().receivedAt).over(RETENTION);
      if (!old && deliveries.size() < MAX_DELIVERIES) {
        return;
      }
      oldest.remove();
    }
  }
}
