package sprucerock.relay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import sprucerock.transport.http.HttpException;

/**
 * A list of endpoints, or what changed of one, as discovery writes it.
 *
 * @param full whether it names all endpoints
 */
record EndpointList(long version, boolean full, List<ListedEndpoint> entries) {
  /**
   * Reads a list.
   *
   * @throws HttpException if it is none
   */
  static EndpointList of(JsonNode list) throws HttpException {
    if (!list.path("version").isIntegralNumber()
        || !list.path("servers").isArray()
        || !list.path("full").isBoolean()) {
      throw new HttpException("a line that is no list");
    }
    List<ListedEndpoint> entries = new ArrayList<>();
    for (JsonNode entry : list.get("servers")) {
      entries.add(ListedEndpoint.of(entry));
    }
    return new EndpointList(list.get("version").asLong(), list.get("full").asBoolean(), entries);
  }
}
