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
 * The list of all racks, sent to each relay once and referred to by its id from then on: answers
 * that name every rack would take relays times racks in bytes, each second. The id is a hash of the
 * list, so that another controller of the same configuration, or this one after a restart, goes on
 * with it, and one whose racks differ sends the whole list. A relay of a program without lists gets
 * all racks each time.
 */
final class RackList {
  /** The id in a request of a relay that has no list yet, but can keep one. */
  private static final long LIST_SUPPORTED_BUT_UNKNOWN = 1;

  private static final int BYTES_PER_RACK = 16;

  private final Map<String, Rack> byName;
  private final List<Rack> racks;
  private final long listId;

  /** {@code all}: the racks of the configuration, by their names. */
  RackList(Map<String, Rack> all) {
    byName = all;
    racks = new ArrayList<>(all.values());
    racks.sort(Comparator.comparingInt(Rack::zone).thenComparingInt(Rack::cell));
    listId = listId(racks);
  }

  private static long listId(List<Rack> racks) {
    ByteBuffer bytes = ByteBuffer.allocate(racks.size() * BYTES_PER_RACK);
    for (Rack rack : racks) {
      bytes.putInt(rack.zone()).putInt(rack.cell()).putLong(rack.noticeMs());
    }
    try {
      long hash =
          ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes.array())).getLong();
      return hash == 0 || hash == LIST_SUPPORTED_BUT_UNKNOWN
          ? LIST_SUPPORTED_BUT_UNKNOWN + 1
          : hash;
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Writes the racks into an answer: all of them, or only the shortened ones to a relay that has
   * this list.
   *
   * @param known the id of the list that the relay has; 0: its program has no lists
   * @param shortened racks that are free for less than their notice, in milliseconds
   */
  void writeTo(Promised.Builder promised, long known, Map<String, Long> shortened) {
    if (known == listId) {
      promised.setList(listId).setRest(true);
      shortened.forEach(
          (name, left) ->
              promised.addRacks(
                  RackFree.newBuilder()
                      .setZone(byName.get(name).zone())
                      .setCell(byName.get(name).cell())
                      .setLeftMs(left)));
      return;
    }
    if (known != 0) {
      promised.setList(listId);
    }
    for (Rack rack : racks) {
      RackFree.Builder entry =
          RackFree.newBuilder()
              .setZone(rack.zone())
              .setCell(rack.cell())
              .setLeftMs(shortened.getOrDefault(rack.name(), rack.noticeMs()));
      if (known != 0) {
        entry.setNoticeMs(rack.noticeMs());
      }
      promised.addRacks(entry);
    }
  }
}
