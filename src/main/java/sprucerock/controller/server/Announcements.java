package sprucerock.controller.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/** Announcements as their JSON schema has them. */
final class Announcements {
  /** What is announced. */
  record BuildAnnouncement(int build, String artifact) {}

  /** A body that announces nothing; the message says why, fit to be told to its sender. */
  static final class MalformedAnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedAnnouncementException(String message) {
      super(message);
    }
  }

  static final JsonMapper JSON =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final Schema schema;

  Announcements() throws IOException {
    try (InputStream in =
        Announcements.class.getResourceAsStream("/sprucerock/announcement.json")) {
      schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(in);
    }
  }

  BuildAnnouncement read(byte[] body) throws MalformedAnnouncementException {
    JsonNode node;
    try {
      node = JSON.readTree(body);
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
