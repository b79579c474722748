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

/** Parses build announcements and validates them against their JSON schema. */
final class AnnouncementParser {
  /**
   * A build that a pipeline announces.
   *
   * @param build the build's number, 1 to 65535
   * @param artifact the name of the artifact to run
   */
  record BuildAnnouncement(int build, String artifact) {}

  /** Thrown for an invalid announcement; the message says why and may be sent to the sender. */
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
   * @throws IOException if the schema can't be read from the program's resources
   */
  AnnouncementParser() throws IOException {
    try (InputStream in =
        AnnouncementParser.class.getResourceAsStream("/sprucerock/announcement.json")) {
      schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(in);
    }
  }

  /**
   * Parses the complete body of an announcement.
   *
   * @throws MalformedAnnouncementException if it is not JSON or violates the schema
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
    List<Error> errors = schema.validate(node);
    if (!errors.isEmpty()) {
      throw new MalformedAnnouncementException(errors.get(0).toString());
    }
    return new BuildAnnouncement(node.get("build").intValue(), node.get("artifact").textValue());
  }
}
