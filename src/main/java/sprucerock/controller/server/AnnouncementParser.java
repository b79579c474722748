package sprucerock.controller.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/** AnnouncementParser as their JSON schema has them. */
final class AnnouncementParser {
  /**
   * A build that a pipeline offers.
   *
   * @param build its number, 1 to 65535
   * @param artifact what is to be run
   */
  record BuildAnnouncement(int build, String artifact) {}

  /** A body is no valid announcement; the message says why, and may be sent to its sender. */
  static final class MalformedAnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedAnnouncementException(String message) {
      super(message);
    }
  }

  private final Schema schema;

  /**
   * Loads the schema.
   *
   * @throws IOException if the schema can't be read from the program
   */
  AnnouncementParser() throws IOException {
    try (InputStream in =
        AnnouncementParser.class.getResourceAsStream("/sprucerock/announcement.json")) {
      schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(in);
    }
  }

  /**
   * Parses a whole body.
   *
   * @throws MalformedAnnouncementException if it is no JSON, or not as the schema has it
   */
  BuildAnnouncement parse(byte[] body) throws MalformedAnnouncementException {
    JsonNode node;
    try {
      node = Json.MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      throw new MalformedAnnouncementException("it is no JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new MalformedAnnouncementException("it can't be read");
    }
    if (node == null || node.isMissingNode()) {
      throw new MalformedAnnouncementException("it is empty");
    }
    List<Error> wrong = schema.validate(node);
    if (!wrong.isEmpty()) {
      throw new MalformedAnnouncementException(wrong.get(0).toString());
    }
    return new BuildAnnouncement(node.get("build").intValue(), node.get("artifact").textValue());
  }
}
