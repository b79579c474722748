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
 * The list of all racks, which is sent to each relay once and referred to by its id from then on.
 * If each answer named every rack, the bytes per second would grow with relays times racks. The id
 * is a hash of the list, so that it stays valid after a restart and with another controller that
 * has the same configuration. A controller whose racks differ sends the complete list. A relay
 * whose program does not support lists gets all racks in each answer.
 */
final class RackList {
  /** The id in a request of a relay that supports lists but has none yet. */
  private static final long LIST_SUPPORTED_BUT_UNKNOWN = 1;

  private static final int HASHED_BYTES_PER_RACK = 16;

  private final Map<String, Rack> byName;
  private final List<Rack> racks;
  private final long listId;

  /** Creates the list of the configured racks, which are given by their names. */
  RackList(Map<String, Rack> racksByName) {
    byName = racksByName;
    racks = new ArrayList<>(racksByName.values());
    racks.sort(Comparator.comparingInt(Rack::zone).thenComparingInt(Rack::cell));
    listId = listId(racks);
  }

  private static long listId(List<Rack> racks) {
    ByteBuffer bytes = ByteBuffer.allocate(racks.size() * HASHED_BYTES_PER_RACK);
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
   * Writes the racks into an answer: all racks, or only those in {@code shortened} if the relay has
   * this list.
   *
   * @param relayListId the id of the list that the relay has; 0 if its program does not support
   *     lists
   * @param shortened the racks that stay free for less than their notice: milliseconds by rack name
   */
  void writeTo(Promised.Builder promised, long relayListId, Map<String, Long> shortened) {
    if (relayListId == listId) {
      promised.setList(listId).setRest(true);
      shortened.forEach(
          (name, leftMs) ->
              promised.addRacks(
                  RackFree.newBuilder()
                      .setZone(byName.get(name).zone())
                      .setCell(byName.get(name).cell())
                      .setLeftMs(leftMs)));
      return;
    }
    if (relayListId != 0) {
      promised.setList(listId);
    }
    for (Rack rack : racks) {
      RackFree.Builder entry =
          RackFree.newBuilder()
              .setZone(rack.zone())
              .setCell(rack.cell())
              .setLeftMs(shortened.getOrDefault(rack.name(), rack.noticeMs()));
      if (relayListId != 0) {
        entry.setNoticeMs(rack.noticeMs());
      }
      promised.addRacks(entry);
    }
  }
}
