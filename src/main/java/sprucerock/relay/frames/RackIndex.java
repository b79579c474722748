package sprucerock.relay.frames;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.model.Endpoint;
import sprucerock.relay.snapshot.RackSnapshot;
import sprucerock.transport.wire.v1.Entry;

/**
 * The listed endpoints that are ready, by rack, so that a change of permits touches only the racks
 * whose permit has changed: permits are checked twenty times a second, and racks are a fraction of
 * the endpoints. For the event loop's thread.
 */
final class RackIndex {
  /** The ready endpoints of one rack. */
  static final class RackEndpoints {
    private final int zone;
    private final int cell;
    private final Map<Long, Entry> ready = new TreeMap<>();

    /**
     * The permit that every endpoint of the rack was last told of; null where some endpoint may
     * have been told otherwise since.
     */
    private Boolean mayPlace;

    RackEndpoints(Endpoint first) {
      zone = first.zone;
      cell = first.cell;
    }

    boolean mayPlace() {
      return mayPlace;
    }

    /** A copy of the entries, which may be changed while they are walked. */
    List<Entry> entries() {
      return new ArrayList<>(ready.values());
    }
  }

  /** By {@link RackSnapshot#key}; none is empty. */
  private final Map<Integer, RackEndpoints> racksByKey = new TreeMap<>();

  /** The endpoint is ready as listed, and was told whether work may be placed on its rack. */
  void add(Endpoint endpoint, Entry entry, boolean mayPlace) {
    RackEndpoints rack =
        racksByKey.computeIfAbsent(
            RackSnapshot.key(endpoint.zone, endpoint.cell), any -> new RackEndpoints(endpoint));
    rack.ready.put(endpoint.id, entry);
    if (rack.mayPlace != null && rack.mayPlace != mayPlace) {
      rack.mayPlace = null;
    }
  }

  /** The endpoint is not ready any more, or gone. */
  void remove(Endpoint endpoint) {
    int key = RackSnapshot.key(endpoint.zone, endpoint.cell);
    RackEndpoints rack = racksByKey.get(key);
    if (rack == null) {
      return;
    }
    rack.ready.remove(endpoint.id);
    if (rack.ready.isEmpty()) {
      racksByKey.remove(key);
    }
  }

  /** Takes over what is permitted now; returns the racks whose endpoints have to be told of it. */
  List<RackEndpoints> update(RackPermits permits) {
    List<RackEndpoints> changed = new ArrayList<>();
    for (RackEndpoints rack : racksByKey.values()) {
      boolean mayPlace = permits.mayPlace(rack.zone, rack.cell);
      if (rack.mayPlace != null && rack.mayPlace == mayPlace) {
        continue;
      }
      rack.mayPlace = mayPlace;
      changed.add(rack);
    }
    return changed;
  }
}
