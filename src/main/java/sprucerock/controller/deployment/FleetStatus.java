package sprucerock.controller.deployment;

import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What is asked of all relays together with each word of one of them, kept as they change: how many
 * are heard, how many of each zone there are and are out, and who has settled since it was last
 * looked. A relay is taken out before anything of it changes, and put back after.
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

  /** It does not serve, or is to run something else than it does; who is lost is out too. */
  private static boolean unavailable(ManagedRelay relay) {
    return !relay.serving() || relay.desiredVersion != null && !relay.reconciled();
  }

  /** Whose agents are heard. */
  int reachable() {
    return reachable;
  }

  /** Of a zone. */
  int size(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).size : 0;
  }

  /** Of a zone. */
  int unavailable(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).unavailable : 0;
  }

  /** The first that has done what it was told and of which that is not noted yet; -1: none. */
  int firstReconciled() {
    return newlyReconciled.isEmpty() ? -1 : newlyReconciled.first();
  }
}
