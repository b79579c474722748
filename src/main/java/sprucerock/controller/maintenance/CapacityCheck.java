package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.hardware.CapacityTranslator;

/**
 * Whether what is left bears the load, zone by zone and hour by hour: racks that are up and not
 * frozen, counted in units of one family at the lower bound of what they surely stand for, against
 * the forecast with its reserve.
 */
public final class CapacityCheck {
  /**
   * What a zone needs.
   *
   * @param family in whose units it is told
   * @param byHour 24 of them, by the hour of the day in UTC
   * @param method whose work is most of the load, by which families are compared
   */
  public record Forecast(int family, int method, double[] byHour) {}

  private static final long HOUR = 3_600_000;

  private final Map<String, Rack> racks = new TreeMap<>();
  private final Map<Integer, Forecast> byZone;
  private final double reserve;
  private CapacityTranslator translation; // null: only units of the forecast's own family count
  private final Set<String> down = new java.util.TreeSet<>();
  private double canaryShare;

  /** {@code reserve}: how much more than the forecast is to be there, as a share of it. */
  public CapacityCheck(Collection<Rack> racks, Map<Integer, Forecast> byZone, double reserve) {
    for (Rack one : racks) {
      this.racks.put(one.name(), one);
    }
    this.byZone = new TreeMap<>(byZone);
    this.reserve = reserve;
  }

  public Map<String, Rack> racks() {
    return racks;
  }

  /** A newer model of what families are worth. */
  void translation(CapacityTranslator newer) {
    translation = newer;
  }

  /** A rack died, or is back. */
  boolean down(String rack, boolean is) {
    return is ? down.add(rack) : down.remove(rack);
  }

  Set<String> down() {
    return down;
  }

  /**
   * This share of all units serves a build on trial or is being moved by a change: it is not
   * counted on.
   */
  void canaryShare(double share) {
    canaryShare = share;
  }

  double canaryShare() {
    return canaryShare;
  }

  /**
   * What is short in some hour between two moments, in one line; null where nothing is. {@code
   * away}: racks that are frozen meanwhile.
   */
  String shortage(Set<String> away, long from, long to) {
    for (Map.Entry<Integer, Forecast> one : byZone.entrySet()) {
      Forecast needs = one.getValue();
      double left = 0;
      List<String> unknown = new ArrayList<>();
      for (Rack rack : racks.values()) {
        if (rack.zone() != one.getKey()
            || away.contains(rack.name())
            || down.contains(rack.name())) {
          continue;
        }
        for (Map.Entry<Integer, Double> endpoints : rack.endpoints().entrySet()) {
          double worth = worth(needs, endpoints.getKey(), endpoints.getValue());
          if (Double.isNaN(worth)) {
            unknown.add(rack.name());
          } else {
            left += worth;
          }
        }
      }
      left *= 1 - canaryShare;
      for (long hour = from - Math.floorMod(from, HOUR); hour < to; hour += HOUR) {
        double wanted = needs.byHour()[(int) Math.floorMod(hour / HOUR, 24L)] * (1 + reserve);
        if (left + 1e-9 < wanted) {
          return String.format(
              Locale.ROOT,
              "zone %d at %02d:00 UTC needs %.1f units of family %d with its reserve, %.1f would be left%s",
              one.getKey(),
              Math.floorMod(hour / HOUR, 24L),
              wanted,
              needs.family(),
              left,
              unknown.isEmpty() ? "" : "; not counted as not known well enough: " + unknown);
        }
        if (hour - from > 24 * HOUR) {
          break; // each hour of the day was looked at
        }
      }
    }
    return null;
  }

  private double worth(Forecast needs, int family, double endpoints) {
    if (family == needs.family()) {
      return endpoints;
    }
    return translation == null
        ? Double.NaN
        : translation.counted(needs.method(), endpoints, family, needs.family()).endpoints();
  }
}
