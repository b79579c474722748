package sprucerock.controller.server;

import com.fasterxml.jackson.databind.JsonNode;

/** The operator who gave a command, and the reason; both are recorded with the command. */
record CommandOrigin(String who, String reason) {
  /** Maximum length of an operator's name, in characters. */
  static final int MAX_WHO_LENGTH = 100;

  private static final int MAX_REASON_LENGTH = 500;

  /** Reads the origin from a request's body; a missing value becomes empty. */
  static CommandOrigin of(JsonNode body) {
    return new CommandOrigin(body.path("who").asText(""), body.path("reason").asText(""));
  }

  /** Whether the name and the reason are present and within their maximum lengths. */
  boolean isComplete() {
    return !who.isBlank()
        && !reason.isBlank()
        && who.length() <= MAX_WHO_LENGTH
        && reason.length() <= MAX_REASON_LENGTH;
  }
}
