package sprucerock.controller.server;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Locale;

/** Helpers to read and write the JSON of the HTTP interfaces. */
final class Json {
  /**
   * Rejects duplicate keys and trailing text, so that a signed body has only one interpretation.
   * Thread-safe.
   */
  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** An enumeration constant's name in lower case, as used in responses. */
  static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** Formats a wall-clock time in milliseconds since the Unix epoch as ISO 8601 in UTC. */
  static String time(long wallMs) {
    return Instant.ofEpochMilli(wallMs).toString();
  }

  /**
   * Appends a recorded step with its sequence number and time. Returns the node, to which the
   * caller adds the step's other fields.
   */
  static ObjectNode addStep(ArrayNode steps, long sequence, long wallMs) {
    return steps.addObject().put("sequence", sequence).put("at", time(wallMs));
  }
}
