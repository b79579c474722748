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
 * Checks whether the available endpoints can carry the forecast load with its reserve, zone by zone
 * and hour by hour. Racks that are up and not in maintenance count as available. Their endpoints
 * are converted to endpoints of the forecast's hardware family, at the lower confidence bound.
 */
public final class CapacityCheck {
  /**
   * The endpoints that a zone needs.
   *
   * @param family the hardware family in whose endpoints the need is stated
   * @param method the method that makes up most of the load; hardware families are compared by how
   *     they serve it
   * @param requiredByHour the needed endpoints for each of the 24 hours of the day in UTC
   */
  public record Forecast(int family, int method, double[] requiredByHour) {}

  private static final long HOUR_MS = 3_600_000;

  /** The rounding error, in endpoints, that is tolerated in sums. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final Map<String, Rack> racks = new TreeMap<>();
  private final Map<Integer, Forecast> forecastByZone;
  private final double reserve;

  /** Null until there is a hardware model; then only endpoints of the forecast's family count. */
  private CapacityTranslator translator;

  private final Set<String> downRacks = new TreeSet<>();
  private double canaryShare;

  /** {@code reserve} is the capacity required beyond the forecast, as a share of the forecast. */
  public CapacityCheck(
      Collection<Rack> racks, Map<Integer, Forecast> forecastByZone, double reserve) {
    for (Rack rack : racks) {
      this.racks.put(rack.name(), rack);
    }
    this.forecastByZone = new TreeMap<>(forecastByZone);
    this.reserve = reserve;
  }

  /** Returns all racks, by name. */
  public Map<String, Rack> racks() {
    return racks;
  }

  /** Sets the conversion between hardware families; null if there is no model yet. */
  void setTranslator(CapacityTranslator newTranslator) {
    translator = newTranslator;
  }

  /** Sets whether a rack is down. Returns whether this changed anything. */
  boolean setDown(String rack, boolean down) {
    return down ? downRacks.add(rack) : downRacks.remove(rack);
  }

  Set<String> downRacks() {
    return downRacks;
  }

  /**
   * Sets the share of all endpoints that serve the build of a rollout in progress. This share does
   * not count as available.
   */
  void setCanaryShare(double share) {
    canaryShare = share;
  }

  double canaryShare() {
    return canaryShare;
  }

  /**
   * Describes in one line the first hour between two times in which a zone lacks capacity. Returns
   * null if there is none.
   *
   * @param racksInMaintenance the racks that are in maintenance meanwhile
   * @param startMs the start in milliseconds of the wall clock
   * @param endMs the end in milliseconds of the wall clock
   */
  String shortage(Set<String> racksInMaintenance, long startMs, long endMs) {
    for (Map.Entry<Integer, Forecast> zoneForecast : forecastByZone.entrySet()) {
      Forecast forecast = zoneForecast.getValue();
      List<String> uncountedRacks = new ArrayList<>();
      double available =
          available(zoneForecast.getKey(), forecast, racksInMaintenance, uncountedRacks);
      for (long hourMs = startMs - Math.floorMod(startMs, HOUR_MS);
          hourMs < endMs;
          hourMs += HOUR_MS) {
        int hourOfDay = (int) Math.floorMod(hourMs / HOUR_MS, 24L);
        double required = forecast.requiredByHour()[hourOfDay] * (1 + reserve);
        if (available + ROUNDING_TOLERANCE < required) {
          return String.format(
              Locale.ROOT,
              "zone %d at %02d:00 UTC needs %.1f units of family %d with its reserve, "
                  + "%.1f would be left%s",
              zoneForecast.getKey(),
              hourOfDay,
              required,
              forecast.family(),
              available,
              uncountedRacks.isEmpty()
                  ? ""
                  : "; racks not counted, because the capacity of their hardware is not known "
                      + "well enough: "
                      + uncountedRacks);
        }
        // Stops once each hour of the day has been checked.
        if (hourMs - startMs > 24 * HOUR_MS) {
          break;
        }
      }
    }
    return null;
  }

  /**
   * Returns the available capacity of a zone, in endpoints of the forecast's family. Racks that are
   * in maintenance or down don't count.
   *
   * @param uncountedRacks receives the racks with endpoints of a family whose capacity is not known
   *     well enough to be counted
   */
  private double available(
      int zone, Forecast forecast, Set<String> racksInMaintenance, List<String> uncountedRacks) {
    double available = 0;
    for (Rack rack : racks.values()) {
      if (rack.zone() != zone
          || racksInMaintenance.contains(rack.name())
          || downRacks.contains(rack.name())) {
        continue;
      }
      for (Map.Entry<Integer, Double> endpoints : rack.endpointsByFamily().entrySet()) {
        double equivalent = equivalentEndpoints(forecast, endpoints.getKey(), endpoints.getValue());
        if (Double.isNaN(equivalent)) {
          uncountedRacks.add(rack.name());
        } else {
          available += equivalent;
        }
      }
    }
    return available * (1 - canaryShare);
  }

  /** Converts endpoints to the forecast's family; NaN if the capacity is not known well enough. */
  private double equivalentEndpoints(Forecast forecast, int family, double endpoints) {
    if (family == forecast.family()) {
      return endpoints;
    }
    return translator == null
        ? Double.NaN
        : translator
            .guaranteedEndpoints(forecast.method(), endpoints, family, forecast.family())
            .endpoints();
  }
}
