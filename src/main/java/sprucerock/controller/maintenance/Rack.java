package sprucerock.controller.maintenance;

import java.util.Map;

/**
 * A named set of units that are maintained together.
 *
 * @param zone where it stands
 * @param cell discovery's number for it within its zone
 * @param endpoints how many units of each family
 * @param noticeMs how far ahead relays are granted that they may place work on it; a relay that
 *     hears nothing for so long stops placing there
 */
public record Rack(
    String name, int zone, int cell, Map<Integer, Double> endpointsByFamily, long noticeMs) {}
