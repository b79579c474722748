package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.hardware.CapacityTranslator;

/**
 * Whether what is available bears the load, zone by zone and hour by hour: racks that are up and
 * not in maintenance, counted in units of one family at the lower bound of what they surely stand
 * for, against the forecast with its reserve.
 */
public final class CapacityCheck {
  /**
   * What a zone needs.
   *
   * @param family in whose units it is stated
   * @param requiredByHour 24 of them, by the hour of the day in UTC
   * @param method whose work is most of the load, by which families are compared
   */
  public record Forecast(int family, int method, double[] requiredByHour) {}

  private static final long HOUR_MS = 3_600_000;

  /** What sums of units may be off by. */
  private static final double ROUNDING = 1e-9;

  private final Map<String, Rack> racks = new TreeMap<>();
  private final Map<Integer, Forecast> forecastByZone;
  private final double reserve;
  private CapacityTranslator translator; // null: only units of the forecast's own family count
  private final Set<String> downRacks = new TreeSet<>();
  private double canaryShare;

  /** {@code reserve}: how much more than the forecast is to be there, as a share of it. */
  public CapacityCheck(Collection<Rack> racks, Map<Integer, Forecast> byZone, double reserve) {
    for (Rack one : racks) {
      this.racks.put(one.name(), one);
    }
    this.forecastByZone = new TreeMap<>(byZone);
    this.reserve = reserve;
  }

  /** All racks, by name. */
  public Map<String, Rack> racks() {
    return racks;
  }

  /** A newer model of what families are equivalentUnits. */
  void setTranslator(CapacityTranslator newer) {
    translator = newer;
  }

  /** A rack died, or is back. */
  boolean setDown(String rack, boolean is) {
    return is ? downRacks.add(rack) : downRacks.remove(rack);
  }

  Set<String> downRacks() {
    return downRacks;
  }

  /**
   * This share of all units serves a canary or is being moved by a deployment: it is not counted
   * on.
   */
  void setCanaryShare(double share) {
    canaryShare = share;
  }

  double canaryShare() {
    return canaryShare;
  }

  /**
   * What is short in some hour between two moments, in one line; null where nothing is.
   *
   * @param away racks that are in maintenance meanwhile
   * @param from in milliseconds of the wall clock, as is {@code to}
   */
  String shortage(Set<String> away, long from, long to) {
    for (Map.Entry<Integer, Forecast> one : forecastByZone.entrySet()) {
      Forecast needs = one.getValue();
      List<String> unknown = new ArrayList<>();
      double available = available(one.getKey(), needs, away, unknown);
      for (long hour = from - Math.floorMod(from, HOUR_MS); hour < to; hour += HOUR_MS) {
        int hourOfDay = (int) Math.floorMod(hour / HOUR_MS, 24L);
        double required = needs.requiredByHour()[hourOfDay] * (1 + reserve);
        if (available + ROUNDING < required) {
          return String.format(
              Locale.ROOT,
              "zone %d at %02d:00 UTC needs %.1f units of family %d with its reserve, "
                  + "%.1f would be left%s",
              one.getKey(),
              hourOfDay,
              required,
              needs.family(),
              available,
              unknown.isEmpty() ? "" : "; not counted as not known well enough: " + unknown);
        }
        if (hour - from > 24 * HOUR_MS) {
          break; // each hour of the day was looked at
        }
      }
    }
    return null;
  }

  /**
   * Units of the forecast's family that a zone's racks stand for without those that are away or
   * down.
   *
   * @param unknown gets the racks with units that are not known well enough to be counted
   */
  private double available(int zone, Forecast needs, Set<String> away, List<String> unknown) {
    double available = 0;
    for (Rack rack : racks.values()) {
      if (rack.zone() != zone || away.contains(rack.name()) || downRacks.contains(rack.name())) {
        continue;
      }
      for (Map.Entry<Integer, Double> endpoints : rack.endpointsByFamily().entrySet()) {
        double units = equivalentUnits(needs, endpoints.getKey(), endpoints.getValue());
        if (Double.isNaN(units)) {
          unknown.add(rack.name());
        } else {
          available += units;
        }
      }
    }
    return available * (1 - canaryShare);
  }

  private double equivalentUnits(Forecast needs, int family, double endpoints) {
    if (family == needs.family()) {
      return endpoints;
    }
    return translator == null
        ? Double.NaN
        : translator
            .guaranteedEndpoints(needs.method(), endpoints, family, needs.family())
            .endpoints();
  }
}
