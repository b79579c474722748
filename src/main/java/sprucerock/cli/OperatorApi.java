package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** A running controller's API, asked once. */
final class OperatorApi {
  /** What it said. */
  record Answer(int status, JsonNode body) {}

  static final JsonMapper JSON = JsonMapper.builder().build();
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final String at;
  private final String token;

  /**
   * @throws IOException if the token can't be read
   */
  OperatorApi(String at, Path token) throws IOException {
    this.at = at;
    this.token = Files.readString(token).strip();
  }

  /** Posts a body, or gets where it is null. @throws IOException if nobody answers */
  Answer ask(String path, ObjectNode body) throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(at).resolve(path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + token);
    if (body == null) {
      request.GET();
    } else {
      request.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
    }
    try {
      HttpResponse<String> answer =
          HttpClient.newBuilder()
              .connectTimeout(TIMEOUT)
              .build()
              .send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(answer.statusCode(), JSON.readTree(answer.body()));
    } catch (IOException e) {
      throw new IOException(at + ": no controller answers there: " + e);
    }
  }
}
