package sprucerock.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Option;

/** Who gives a command, as the controller records it. */
final class OperatorOptions {
  @Option(
      names = "--who",
      paramLabel = "NAME",
      defaultValue = "${sys:user.name}",
      description = "who says so")
  private String who;

  /** A new request body that says who gives the command. */
  ObjectNode body() {
    return OperatorApi.JSON.createObjectNode().put("who", who);
  }

  /** The operator's name. */
  String who() {
    return who;
  }
}
