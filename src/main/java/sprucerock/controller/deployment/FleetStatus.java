package sprucerock.controller.deployment;

import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Sums over all relays, updated as relays change: how many are reachable, the size of each zone and
 * how many of its relays are unavailable, and which reconciled relays have no recorded ready time
 * yet. A relay must be removed before any of its fields change, and added again afterwards.
 */
final class FleetStatus {
  private static final class Zone {
    private int size;
    private int unavailable;
  }

  private final TreeMap<Integer, Zone> zones = new TreeMap<>();
  private final TreeSet<Integer> newlyReconciled = new TreeSet<>();
  private int reachable;

  void add(ManagedRelay relay) {
    Zone zone = zones.computeIfAbsent(relay.zone, number -> new Zone());
    zone.size++;
    if (unavailable(relay)) {
      zone.unavailable++;
    }
    if (!relay.unreachable()) {
      reachable++;
    }
    if (relay.readyAt == null && relay.reconciled()) {
      newlyReconciled.add(relay.number);
    }
  }

  void remove(ManagedRelay relay) {
    Zone zone = zones.get(relay.zone);
    zone.size--;
    if (unavailable(relay)) {
      zone.unavailable--;
    }
    if (zone.size == 0) {
      zones.remove(relay.zone);
    }
    if (!relay.unreachable()) {
      reachable--;
    }
    newlyReconciled.remove(relay.number);
  }

  /** Returns whether a relay is unreachable, does not serve or is not in its desired state. */
  private static boolean unavailable(ManagedRelay relay) {
    return !relay.serving() || relay.desiredVersion != null && !relay.reconciled();
  }

  /** Returns how many relays of a zone are unavailable. */
  int unavailable(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).unavailable : 0;
  }

  /** Returns how many relays have a reachable agent. */
  int reachable() {
    return reachable;
  }

  /** Returns how many relays a zone has. */
  int size(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).size : 0;
  }

  /**
   * Returns the lowest number of a reconciled relay without a recorded ready time; -1 if there is
   * no such relay.
   */
  int firstNewlyReconciled() {
    return newlyReconciled.isEmpty() ? -1 : newlyReconciled.first();
  }
}
