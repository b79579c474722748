package sprucerock.controller.maintenance;

import java.util.Map;

/**
 * A named set of endpoints that are maintained together.
 *
 * @param zone the zone of the rack
 * @param cell the number that discovery uses for the rack within its zone
 * @param endpointsByFamily the number of endpoints of each hardware family
 * @param noticeMs how far ahead rack permits reach; a relay without a new permit for this time
 *     stops placing work on the rack
 */
public record Rack(
    String name, int zone, int cell, Map<Integer, Double> endpointsByFamily, long noticeMs) {}
