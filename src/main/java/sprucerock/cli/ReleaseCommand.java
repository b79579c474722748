package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;

/** {@code release}: lists and shows builds, and gives an operator's commands about them. */
@Command(
    name = "release",
    mixinStandardHelpOptions = true,
    description =
        "Asks a running controller, or tells it an operator's word. Exit code 1:"
            + " it has no effect; 3: nobody answers.")
final class ReleaseCommand implements Callable<Integer> {
  @Parameters(
      index = "0",
      paramLabel = "ACTION",
      description = "list, show, announce, hold, resume or withdraw")
  private String action;

  @Parameters(index = "1", arity = "0..1", paramLabel = "BUILD", description = "the build's number")
  private Integer build;

  @Mixin private ControllerOptions controller;

  @Option(
      names = "--artifact",
      paramLabel = "TEXT",
      description = "what is to be run, for announce")
  private String artifact;

  @Mixin private OperatorOptions operator;

  @Option(
      names = "--reason",
      paramLabel = "TEXT",
      description = "why, for hold, resume and withdraw")
  private String reason;

  @Override
  public Integer call() throws Exception {
    boolean list = action.equals("list");
    if (!action.matches("list|show|announce|hold|resume|withdraw")) {
      throw new ConfigException(
          "an action is list, show, announce, hold, resume or withdraw, not " + action);
    }
    if (!list && build == null) {
      throw new ConfigException(action + " needs a build's number");
    }
    if (action.equals("announce") && artifact == null) {
      throw new ConfigException("announce needs --artifact");
    }
    if (action.matches("hold|resume|withdraw") && reason == null) {
      throw new ConfigException(action + " needs --reason");
    }
    ObjectNode body;
    if (action.equals("announce")) {
      body =
          OperatorApi.JSON
              .createObjectNode()
              .put("build", build)
              .put("artifact", artifact)
              .put("who", operator.who());
    } else {
      body = operator.body().put("reason", reason);
    }
    String path =
        list || action.equals("announce")
            ? "/releases"
            : action.equals("show") ? "/releases/" + build : "/releases/" + build + "/" + action;
    OperatorApi.Response response =
        controller.send(path, list || action.equals("show") ? null : body);
    print(response.body());
    return response.exitCode();
  }

  private void print(JsonNode node) {
    if (!node.has("releases")) {
      System.out.println(node.toPrettyString());
      return;
    }
    System.out.printf(
        "%6s %-12s %5s %-5s %11s  %s%n", "build", "standing", "stage", "held", "units", "artifact");
    for (JsonNode one : node.get("releases")) {
      System.out.printf(
          "%6d %-12s %5d %-5s %5d of %-2d  %s%s%n",
          one.get("build").asInt(),
          one.get("standing").asText(),
          one.get("stage").asInt(),
          one.get("held").asBoolean() ? "held" : "",
          one.get("units").asInt(),
          one.get("units_wanted").asInt(),
          one.get("artifact").asText(),
          one.has("serves") ? " (serves)" : "");
    }
    if (node.has("store")) {
      System.out.println("THE STORE TAKES NOTHING: " + node.get("store").asText());
    }
  }
}
