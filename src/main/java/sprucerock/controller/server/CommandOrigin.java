package sprucerock.controller.server;

import com.fasterxml.jackson.databind.JsonNode;

/** Which operator gave a command, and why; both are recorded with the command. */
record CommandOrigin(String who, String reason) {
  /** Longest name of an operator, in characters. */
  static final int MAX_WHO_LENGTH = 100;

  private static final int MAX_REASON_LENGTH = 500;

  /** As a request's body states it; what is missing is empty. */
  static CommandOrigin of(JsonNode body) {
    return new CommandOrigin(body.path("who").asText(""), body.path("reason").asText(""));
  }

  /** Whether both are stated, within their lengths. */
  boolean isComplete() {
    return !who.isBlank()
        && !reason.isBlank()
        && who.length() <= MAX_WHO_LENGTH
        && reason.length() <= MAX_REASON_LENGTH;
  }
}
