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

/** A client of a running controller's API. */
final class OperatorApi {
  /**
   * What the controller answered.
   *
   * @param status of HTTP
   */
  record Response(int status, JsonNode body) {
    /** Whether the request was taken and had its effect. */
    boolean succeeded() {
      return status < 300;
    }

    /** The exit code of a command that ends with this response. */
    int exitCode() {
      return succeeded() ? Commands.DONE : Commands.WANTING;
    }
  }

  static final JsonMapper JSON = JsonMapper.builder().build();
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final String url;
  private final String token;

  /**
   * Reads the token.
   *
   * @throws IOException if the token can't be read
   */
  OperatorApi(String url, Path tokenFile) throws IOException {
    this.url = url;
    this.token = Files.readString(tokenFile).strip();
  }

  /**
   * Posts a body, or gets a path where the body is null.
   *
   * @throws IOException if nobody answers
   */
  Response send(String path, ObjectNode body) throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url).resolve(path))
            .timeout(TIMEOUT)
            .header("Authorization", "Bearer " + token);
    if (body == null) {
      request.GET();
    } else {
      request.POST(HttpRequest.BodyPublishers.ofString(body.toString()));
    }
    try {
      HttpResponse<String> response =
          HttpClient.newBuilder()
              .connectTimeout(TIMEOUT)
              .build()
              .send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Response(response.statusCode(), JSON.readTree(response.body()));
    } catch (IOException e) {
      throw new IOException(url + ": no controller answers there: " + e);
    }
  }
}
