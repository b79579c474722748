package sprucerock.controller.deployment;

import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Sums over all relays, kept as they change: how many are reachable, how many of each zone there
 * are and are out, and which ones were reconciled without that being noted yet. A relay is removed
 * before anything of it changes, and added again after.
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
    Zone zone = zones.computeIfAbsent(relay.zone, any -> new Zone());
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

  /** It does not serve, or its observed state is not the desired one; a lost one is out too. */
  private static boolean unavailable(ManagedRelay relay) {
    return !relay.serving() || relay.desiredVersion != null && !relay.reconciled();
  }

  /** How many relays of a zone are out. */
  int unavailable(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).unavailable : 0;
  }

  /** How many relays' agents are heard. */
  int reachable() {
    return reachable;
  }

  /** How many relays a zone has. */
  int size(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).size : 0;
  }

  /** The first reconciled relay whose readiness has not been noted; -1 where there is none. */
  int firstReconciled() {
    return newlyReconciled.isEmpty() ? -1 : newlyReconciled.first();
  }
}
