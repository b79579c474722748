package sprucerock.controller.server;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.config.ConfigException;
import sprucerock.config.XmlElement;
import sprucerock.controller.maintenance.CapacityCheck;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.maintenance.Rack;

/** Reads the element {@code racks}: the racks that can be under maintenance, and the forecasts. */
final class RackConfig {
  // The rack list, which a relay gets once, takes 14 bytes per rack; a list of this size fits the
  // default limits of frames and unsent bytes. A fleet of 120,000 endpoints has about 3,000 racks.
  private static final int MAX_RACKS = 10_000;

  /** A zone and a 16-bit cell are packed into one int. */
  private static final int MAX_ZONE = 32_767;

  private static final int HOURS_PER_DAY = 24;

  private RackConfig() {}

  /** Reads the racks with their endpoints, the zones' forecasts and the reserve. */
  static CapacityCheck capacityCheck(XmlElement node) throws ConfigException {
    return new CapacityCheck(racks(node).values(), forecasts(node), node.number("reserve"));
  }

  private static Map<String, Rack> racks(XmlElement node) throws ConfigException {
    Map<String, Rack> racks = new TreeMap<>();
    Set<Integer> locations = new HashSet<>();
    for (XmlElement rackNode : node.children("rack")) {
      Rack rack = rack(rackNode, node);
      if (racks.put(rack.name(), rack) != null) {
        throw rackNode.invalid("two racks have the same name");
      }
      if (rack.noticeMs() <= 0) {
        throw rackNode.invalid("notice must be over 0");
      }
      if (rack.zone() > MAX_ZONE) {
        throw rackNode.invalid("zone must be 0 to 32767");
      }
      if (!locations.add(rack.zone() << 16 | rack.cell())) {
        throw rackNode.invalid("two racks have the same zone and cell");
      }
      if (racks.size() > MAX_RACKS) {
        throw rackNode.invalid("more than " + MAX_RACKS + " racks are configured");
      }
    }
    return racks;
  }

  private static Rack rack(XmlElement node, XmlElement parent) throws ConfigException {
    Map<Integer, Double> endpoints = new TreeMap<>();
    for (XmlElement group : node.children("units")) {
      if (endpoints.put(group.count("kind"), (double) group.count("count")) != null) {
        throw group.invalid("kind " + group.text("kind") + " is listed twice");
      }
    }
    return new Rack(
        node.text("name"),
        node.count("zone"),
        node.count("cell"),
        endpoints,
        (long) (node.has("notice") ? node : parent).span("notice").ms());
  }

  private static Map<Integer, CapacityCheck.Forecast> forecasts(XmlElement node)
      throws ConfigException {
    Map<Integer, CapacityCheck.Forecast> forecasts = new TreeMap<>();
    for (XmlElement forecast : node.children("forecast")) {
      String[] values = forecast.text("by-hour").trim().split("\\s+");
      if (values.length != HOURS_PER_DAY) {
        throw forecast.invalid(
            "by-hour must have 24 numbers, one for each hour of the day in UTC, not "
                + values.length);
      }
      double[] byHour = new double[HOURS_PER_DAY];
      for (int i = 0; i < HOURS_PER_DAY; i++) {
        byHour[i] = Double.parseDouble(values[i]);
      }
      if (forecasts.put(
              forecast.count("zone"),
              new CapacityCheck.Forecast(forecast.count("kind"), forecast.count("method"), byHour))
          != null) {
        throw forecast.invalid("two forecasts have the same zone");
      }
    }
    return forecasts;
  }

  /** Reads the rules by which windows are accepted. */
  static MaintenanceWindows.Rules maintenanceRules(XmlElement node) throws ConfigException {
    try {
      return new MaintenanceWindows.Rules(
          (long) node.span("warm").ms(), (long) node.span("step").ms(), node.number("confidence"));
    } catch (IllegalArgumentException e) {
      throw node.invalid(e.getMessage());
    }
  }
}
