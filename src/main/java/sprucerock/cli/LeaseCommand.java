package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;

/** {@code lease}: lists what the grantors of leases know. */
@Command(
    name = "lease",
    mixinStandardHelpOptions = true,
    description =
        "Asks a running controller what the granters of leases know. Exit code 1: fewer"
            + " than a majority of them are heard and grant; 3: nobody answers.")
final class LeaseCommand implements Callable<Integer> {
  @Parameters(index = "0", paramLabel = "ACTION", description = "list")
  private String action;

  @Mixin private ControllerOptions controller;

  @Override
  public Integer call() throws Exception {
    if (!action.equals("list")) {
      throw new ConfigException("an action is list, not " + action);
    }
    OperatorApi.Response response = controller.send("/leases", null);
    if (!response.succeeded()) {
      System.out.println(response.body().toPrettyString());
      return Commands.WANTING;
    }
    int majority = response.body().get("majority").asInt();
    int granting = printGrantors(response.body().get("granters"));
    printLeases(response.body().get("leases"), majority);
    return granting >= majority ? Commands.DONE : Commands.WANTING;
  }

  /** Prints each grantor's status; the number of those that grant. */
  private static int printGrantors(JsonNode grantors) {
    int granting = 0;
    for (JsonNode one : grantors) {
      boolean heard = one.get("heard").asBoolean();
      long waitMs = heard ? one.get("grants_in_ms").asLong() : 0;
      if (heard && waitMs == 0) {
        granting++;
      }
      System.out.printf(
          "granter %d at %s: %s%n",
          one.get("granter").asInt(),
          one.get("at").asText(),
          !heard
              ? "NOT HEARD"
              : waitMs > 0
                  ? "has started anew, grants in " + waitMs + " ms"
                  : "grants; " + one.get("refused").asLong() + " asks refused");
    }
    return granting;
  }

  /** Prints each lease, with its holder if a majority has granted it. */
  private static void printLeases(JsonNode leases, int majority) {
    System.out.printf(
        "%-24s %8s %20s %8s %8s %s%n",
        "lease", "holder", "number", "left ms", "waiting", "granted by");
    for (JsonNode one : leases) {
      List<String> grantors = new ArrayList<>();
      one.get("granted_by").forEach(granter -> grantors.add(granter.asText()));
      System.out.printf(
          "%-24s %8s %20d %8d %8d %s%n",
          one.get("name").asText(),
          grantors.size() >= majority ? one.get("holder").asText() : "nobody",
          one.get("number").asLong(),
          one.get("left_ms").asLong(),
          one.get("waiting").asInt(),
          String.join(", ", grantors));
    }
  }
}
