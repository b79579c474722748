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
    private int out;
  }

  private final TreeMap<Integer, Zone> zones = new TreeMap<>();
  private final TreeSet<Integer> settled = new TreeSet<>();
  private int live;

  void enter(ManagedRelay relay) {
    Zone zone = zones.computeIfAbsent(relay.zone, any -> new Zone());
    zone.size++;
    if (out(relay)) {
      zone.out++;
    }
    if (!relay.silent()) {
      live++;
    }
    if (relay.readyAt == null && relay.settled()) {
      settled.add(relay.number);
    }
  }

  void leave(ManagedRelay relay) {
    Zone zone = zones.get(relay.zone);
    zone.size--;
    if (out(relay)) {
      zone.out--;
    }
    if (zone.size == 0) {
      zones.remove(relay.zone);
    }
    if (!relay.silent()) {
      live--;
    }
    settled.remove(relay.number);
  }

  /** It does not serve, or is to run something else than it does; who is lost is out too. */
  private static boolean out(ManagedRelay relay) {
    return !relay.serves() || relay.wanted != null && !relay.settled();
  }

  /** Whose agents are heard. */
  int live() {
    return live;
  }

  /** Of a zone. */
  int size(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).size : 0;
  }

  /** Of a zone. */
  int out(int zone) {
    return zones.containsKey(zone) ? zones.get(zone).out : 0;
  }

  /** The first that has done what it was told and of which that is not noted yet; -1: none. */
  int firstSettled() {
    return settled.isEmpty() ? -1 : settled.first();
  }
}
