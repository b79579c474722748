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

/** Reads a controller's {@code racks}: what can be put under maintenance, and the forecasts. */
final class RackConfig {
  // The list that a relay gets once takes 14 bytes a rack; so many fit the default limits of frames
  // and unsent bytes. A fleet of 120,000 endpoints has some 3,000.
  private static final int MAX_RACKS = 10_000;

  private static final int MAX_ZONE = 32_767;
  private static final int HOURS_PER_DAY = 24;

  private RackConfig() {}

  /** The racks with their endpoints, the zones' forecasts and the reserve. */
  static CapacityCheck capacityCheck(XmlElement node) throws ConfigException {
    return new CapacityCheck(racks(node).values(), forecasts(node), node.number("reserve"));
  }

  private static Map<String, Rack> racks(XmlElement node) throws ConfigException {
    Map<String, Rack> racks = new TreeMap<>();
    Set<Integer> locations = new HashSet<>();
    for (XmlElement rackNode : node.children("rack")) {
      Rack rack = rack(rackNode, node);
      if (racks.put(rack.name(), rack) != null) {
        throw rackNode.invalid("two racks have one name");
      }
      if (rack.noticeMs() <= 0) {
        throw rackNode.invalid("notice is over 0");
      }
      if (rack.zone() > MAX_ZONE) {
        throw rackNode.invalid("a zone is 0 to 32767");
      }
      if (!locations.add(rack.zone() << 16 | rack.cell())) {
        throw rackNode.invalid("two racks have one zone and cell");
      }
      if (racks.size() > MAX_RACKS) {
        throw rackNode.invalid("more than " + MAX_RACKS + " racks");
      }
    }
    return racks;
  }

  private static Rack rack(XmlElement node, XmlElement parent) throws ConfigException {
    Map<Integer, Double> endpoints = new TreeMap<>();
    for (XmlElement group : node.children("units")) {
      if (endpoints.put(group.count("kind"), (double) group.count("count")) != null) {
        throw group.invalid("kind " + group.text("kind") + " is named twice");
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
      String[] words = forecast.text("by-hour").trim().split("\\s+");
      if (words.length != HOURS_PER_DAY) {
        throw forecast.invalid(
            "by-hour has a number for each of the 24 hours of the day in UTC, not " + words.length);
      }
      double[] byHour = new double[HOURS_PER_DAY];
      for (int i = 0; i < HOURS_PER_DAY; i++) {
        byHour[i] = Double.parseDouble(words[i]);
      }
      if (forecasts.put(
              forecast.count("zone"),
              new CapacityCheck.Forecast(forecast.count("kind"), forecast.count("method"), byHour))
          != null) {
        throw forecast.invalid("a zone has two forecasts");
      }
    }
    return forecasts;
  }

  /** The rules by which windows are accepted. */
  static MaintenanceWindows.Rules maintenanceRules(XmlElement node) throws ConfigException {
    try {
      return new MaintenanceWindows.Rules(
          (long) node.span("warm").ms(), (long) node.span("step").ms(), node.number("confidence"));
    } catch (IllegalArgumentException e) {
      throw node.invalid(e.getMessage());
    }
  }
}
