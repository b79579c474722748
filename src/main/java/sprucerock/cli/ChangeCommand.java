package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;

/** {@code change}: proposes, shows and steers deployments of what relays run. */
@Command(
    name = "change",
    mixinStandardHelpOptions = true,
    description =
        "Changes what relays run, through a running controller. Exit code 1:"
            + " it has no effect; 3: nobody answers.")
final class ChangeCommand implements Callable<Integer> {
  @Parameters(
      index = "0",
      paramLabel = "ACTION",
      description = "propose, list, show, relays, hold, resume or withdraw")
  private String action;

  @Parameters(
      index = "1",
      arity = "0..1",
      paramLabel = "CHANGE",
      description = "the change's number")
  private Long number;

  @Mixin private ControllerOptions controller;

  @Option(
      names = "--program",
      paramLabel = "NAME",
      description = "a file in the controller's incoming folder; left out: the program that runs")
  private String program;

  @Option(
      names = "--settings",
      paramLabel = "NAME",
      description =
          "a file in the controller's incoming folder; left out: the settings that are in force")
  private String settings;

  @Mixin private OperatorOptions operator;

  @Option(
      names = "--reason",
      paramLabel = "TEXT",
      description = "why, for all that changes anything")
  private String reason;

  @Override
  public Integer call() throws Exception {
    if (!action.matches("propose|list|show|relays|hold|resume|withdraw")) {
      throw new ConfigException(
          "an action is propose, list, show, relays, hold, resume or withdraw, not " + action);
    }
    boolean one = action.matches("show|hold|resume|withdraw");
    if (one && number == null) {
      throw new ConfigException(action + " needs a change's number");
    }
    if (action.matches("propose|hold|resume|withdraw") && reason == null) {
      throw new ConfigException(action + " needs --reason");
    }
    if (action.equals("propose") && program == null && settings == null) {
      throw new ConfigException("propose needs --program, --settings or both");
    }
    ObjectNode body = null;
    String path =
        action.equals("relays")
            ? "/agents"
            : action.matches("list|propose") ? "/changes" : "/changes/" + number;
    if (action.matches("hold|resume|withdraw")) {
      path += "/" + action;
    }
    if (action.matches("propose|hold|resume|withdraw")) {
      body = operator.body().put("reason", reason);
    }
    if (action.equals("propose") && program != null) {
      body.put("program", program);
    }
    if (action.equals("propose") && settings != null) {
      body.put("settings", settings);
    }
    OperatorApi.Response response = controller.send(path, body);
    print(response.body());
    return response.exitCode();
  }

  private static void print(JsonNode node) {
    if (node.has("changes")) {
      System.out.printf(
          "%6s %-11s %5s %-5s %7s  %-17s %s%n",
          "change", "state", "stage", "held", "moved", "to", "why");
      for (JsonNode one : node.get("changes")) {
        System.out.printf(
            "%6d %-11s %5d %-5s %7d  %-17s %s: %s%n",
            one.get("change").asLong(),
            one.get("state").asText(),
            one.get("stage").asInt(),
            one.get("held").asBoolean() ? "held" : "",
            one.get("moved").asInt(),
            one.get("to").asText(),
            one.get("who").asText(),
            one.get("why").asText());
      }
    } else if (node.has("agents")) {
      System.out.printf(
          "%6s %4s %-6s %-17s %-17s %5s  %s%n",
          "relay", "zone", "heard", "runs", "wanted", "ready", "turn");
      for (JsonNode one : node.get("agents")) {
        System.out.printf(
            "%6d %4d %-6s %-17s %-17s %5s  %d of %d%n",
            one.get("relay").asInt(),
            one.get("zone").asInt(),
            one.get("heard").asBoolean() ? "" : "silent",
            one.get("runs").asText(),
            one.get("wanted").asText(),
            one.get("ready").asBoolean() ? "ready" : "",
            one.get("done").asInt(),
            one.get("turn").asInt());
      }
    } else {
      System.out.println(node.toPrettyString());
    }
  }
}
