package sprucerock.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Where a running controller's API is, and the token for it: of all commands that ask one. */
final class ControllerOptions {
  @Option(
      names = "--at",
      paramLabel = "URL",
      defaultValue = "http://127.0.0.1:7700",
      description = "the controller's api, ${DEFAULT-VALUE} unless given")
  private String url;

  @Option(
      names = "--token",
      required = true,
      paramLabel = "FILE",
      description = "holds the api's token")
  private Path tokenFile;

  /**
   * Sends one request.
   *
   * @param body to be posted; null: the path is read
   * @throws IOException if the token can't be read or no controller answers
   */
  OperatorApi.Response send(String path, ObjectNode body) throws IOException, InterruptedException {
    return new OperatorApi(url, tokenFile).send(path, body);
  }
}
