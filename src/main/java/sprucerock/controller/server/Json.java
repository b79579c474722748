package sprucerock.controller.server;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Locale;

/** JSON as the HTTP interfaces read and write it. */
final class Json {
  /**
   * Rejects duplicate keys and trailing text, so that a signed body cannot be read in two ways.
   * Safe for use by all threads.
   */
  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** A new empty object. */
  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** A constant's name as responses write it. */
  static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** A wall-clock time in milliseconds since the epoch, as ISO 8601 in UTC. */
  static String time(long wallMs) {
    return Instant.ofEpochMilli(wallMs).toString();
  }

  /** Appends a recorded step with its sequence number and time; the caller adds what it changed. */
  static ObjectNode addStep(ArrayNode steps, long sequence, long wallMs) {
    return steps.addObject().put("sequence", sequence).put("at", time(wallMs));
  }
}
