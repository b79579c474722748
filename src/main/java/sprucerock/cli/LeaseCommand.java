package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;

@Command(
    name = "lease",
    mixinStandardHelpOptions = true,
    description =
        "Asks a running controller what the granters of leases know. Exit code 1: fewer than a majority of them are heard and grant; 3: nobody answers.")
final class LeaseCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "ACTION", description = "list")
  private String action;

  @Option(
      names = "--at",
      paramLabel = "URL",
      defaultValue = "http://127.0.0.1:7700",
      description = "the controller's api, ${DEFAULT-VALUE} unless given")
  private String at;

  @Option(
      names = "--token",
      required = true,
      paramLabel = "FILE",
      description = "holds the api's token")
  private Path token;

  @Override
  public Integer call() throws Exception {
    if (!action.equals("list")) {
      throw new ConfigException("an action is list, not " + action);
    }
    OperatorApi.Answer answer = new OperatorApi(at, token).ask("/leases", null);
    if (answer.status() >= 300) {
      System.out.println(answer.body().toPrettyString());
      return Commands.WANTING;
    }
    int grant = 0;
    for (JsonNode one : answer.body().get("granters")) {
      boolean heard = one.get("heard").asBoolean();
      long sitsOut = heard ? one.get("grants_in_ms").asLong() : 0;
      if (heard && sitsOut == 0) {
        grant++;
      }
      System.out.printf(
          "granter %d at %s: %s%n",
          one.get("granter").asInt(),
          one.get("at").asText(),
          !heard
              ? "NOT HEARD"
              : sitsOut > 0
                  ? "has started anew, grants in " + sitsOut + " ms"
                  : "grants; " + one.get("refused").asLong() + " asks refused");
    }
    int majority = answer.body().get("majority").asInt();
    System.out.printf(
        "%-24s %8s %20s %8s %8s %s%n",
        "lease", "holder", "number", "left ms", "waiting", "granted by");
    for (JsonNode one : answer.body().get("leases")) {
      List<String> by = new ArrayList<>();
      one.get("granted_by").forEach(granter -> by.add(granter.asText()));
      System.out.printf(
          "%-24s %8s %20d %8d %8d %s%n",
          one.get("name").asText(),
          by.size() >= majority ? one.get("holder").asText() : "nobody",
          one.get("number").asLong(),
          one.get("left_ms").asLong(),
          one.get("waiting").asInt(),
          String.join(", ", by));
    }
    return grant >= majority ? Commands.DONE : Commands.WANTING;
  }
}
