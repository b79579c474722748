package sprucerock.relay.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An entry of an endpoint list as discovery wrote it; what it does not say has the value that no
 * valid entry has, or the format's default.
 *
 * @param startedMs the endpoint's last start in Unix time, in milliseconds; 0 for long ago
 * @param build the number of its build; -1 without one
 */
record ListedEndpoint(
    String id,
    String address,
    String zone,
    String kind,
    int cell,
    String state,
    double weight,
    double startedMs,
    int build) {

  /** Reads an entry; whether it makes sense is for others to say. */
  static ListedEndpoint of(JsonNode entry) {
    return new ListedEndpoint(
        entry.path("id").asText(""),
        entry.path("addr").asText(""),
        entry.path("zone").asText(""),
        entry.path("kind").asText(""),
        entry.path("cell").asInt(0),
        entry.path("state").asText(""),
        entry.path("weight").asDouble(1),
        entry.path("started_ms").asDouble(0),
        entry.path("image_id").asInt(-1));
  }

  boolean isServing() {
    return state.equals("SERVING");
  }

  boolean isDraining() {
    return state.equals("DRAINING");
  }

  boolean isDeleted() {
    return state.equals("DELETED");
  }
}
