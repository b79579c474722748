package sprucerock.controller.server;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import sprucerock.controller.maintenance.Rack;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.RackFree;

/**
 * Which racks there are, told to each relay once and named by a number ever after: an answer that
 * names every rack is relays times racks in bytes, each second. The number comes from what is in
 * the list, so that another controller of the same configuration, or this one's next life, goes on
 * with it, and one whose racks differ tells all anew. A relay that knows of no lists is told all
 * each time, as before there were any.
 */
final class RackList {
  /** Asked with: no list yet, but one is welcome. */
  private static final long NO_LIST_YET = 1;

  private final Map<String, Rack> byName;
  private final List<Rack> racks;
  private final long listId;

  /** {@code all}: those of the configuration, by their names. */
  RackList(Map<String, Rack> all) {
    byName = all;
    racks = new ArrayList<>(all.values());
    racks.sort(Comparator.comparingInt(Rack::zone).thenComparingInt(Rack::cell));
    listId = listId(racks);
  }

  private static long listId(List<Rack> racks) {
    ByteBuffer all = ByteBuffer.allocate(racks.size() * 16);
    for (Rack one : racks) {
      all.putInt(one.zone()).putInt(one.cell()).putLong(one.noticeMs());
    }
    try {
      long found =
          ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(all.array())).getLong();
      return found == 0 || found == NO_LIST_YET ? 2 : found;
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * {@code asks}: the list that the relay says it has; {@code shorter}: in milliseconds, those that
   * are free for less than their notice.
   */
  void writeTo(Promised.Builder promised, long asks, Map<String, Long> shorter) {
    if (asks == listId) {
      promised.setList(listId).setRest(true);
      shorter.forEach(
          (name, left) ->
              promised.addRacks(
                  RackFree.newBuilder()
                      .setZone(byName.get(name).zone())
                      .setCell(byName.get(name).cell())
                      .setLeftMs(left)));
      return;
    }
    if (asks != 0) {
      promised.setList(listId);
    }
    for (Rack one : racks) {
      RackFree.Builder rack =
          RackFree.newBuilder()
              .setZone(one.zone())
              .setCell(one.cell())
              .setLeftMs(shorter.getOrDefault(one.name(), one.noticeMs()));
      if (asks != 0) {
        rack.setNoticeMs(one.noticeMs());
      }
      promised.addRacks(rack);
    }
  }
}
