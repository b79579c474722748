package sprucerock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;
import sprucerock.time.TimeSpan;

/** {@code freeze}: announces, shows and steers maintenance windows of racks. */
@Command(
    name = "freeze",
    mixinStandardHelpOptions = true,
    description =
        "Freezes racks for maintenance, through a running controller. Exit code 1: it has no"
            + " effect, or was refused; 3: nobody answers.")
final class FreezeCommand implements Callable<Integer> {
  @Parameters(
      index = "0",
      paramLabel = "ACTION",
      description = "announce, list, show, call-off, extend, force, rack-down or rack-up")
  private String action;

  @Parameters(
      index = "1",
      arity = "0..1",
      paramLabel = "FREEZE",
      description = "its number; for rack-down and rack-up the rack's name")
  private String target;

  @Mixin private ControllerOptions controller;

  @Option(
      names = "--rack",
      paramLabel = "NAME",
      description = "one of its racks; may be given more than once")
  private List<String> racks = List.of();

  @Option(
      names = "--from",
      paramLabel = "TIME",
      description = "such as 2027-03-28T02:30, in --zone")
  private String from;

  @Option(names = "--to", paramLabel = "TIME", description = "for extend: until then, in --zone")
  private String to;

  @Option(names = "--lasts", paramLabel = "SPAN", description = "such as 90min")
  private String lasts;

  @Option(
      names = "--slack",
      paramLabel = "SPAN",
      defaultValue = "0s",
      description = "how much later it may begin where there is no room")
  private String slack;

  @Option(
      names = "--rule",
      paramLabel = "RRULE",
      defaultValue = "",
      description = "for windows that come again, by RFC 5545, such as FREQ=WEEKLY;BYDAY=TU")
  private String rule;

  @Option(
      names = "--zone",
      paramLabel = "ZONE",
      defaultValue = "UTC",
      description =
          "in which times are told, such as Africa/Johannesburg; ${DEFAULT-VALUE} unless given")
  private String zone;

  @Option(names = "--emergency", description = "at once, whether there is room or not")
  private boolean emergency;

  @Mixin private OperatorOptions operator;

  @Option(
      names = "--reason",
      paramLabel = "TEXT",
      description = "why, for all that changes anything")
  private String reason;

  @Override
  public Integer call() throws Exception {
    if (!action.matches("announce|list|show|call-off|extend|force|rack-down|rack-up")) {
      throw new ConfigException(
          "an action is announce, list, show, call-off, extend, force, rack-down or rack-up, not "
              + action);
    }
    boolean rack = action.startsWith("rack");
    boolean one = action.matches("show|call-off|extend|force");
    if ((one || rack) && target == null) {
      throw new ConfigException(
          action + " needs " + (rack ? "a rack's name" : "a freeze's number"));
    }
    if (!action.matches("list|show|rack-.*") && reason == null) {
      throw new ConfigException(action + " needs --reason");
    }
    ObjectNode body = action.matches("list|show") ? null : operator.body().put("reason", reason);
    if (action.equals("announce")) {
      addWindow(body);
    }
    if (action.equals("extend")) {
      body.put("to_ms", parseTime("--to", to));
    }
    if (rack) {
      body.put("down", action.equals("rack-down"));
    }
    String path = rack ? "/racks/" + target : one ? "/freezes/" + target : "/freezes";
    if (action.matches("call-off|extend|force")) {
      path += "/" + action;
    }
    OperatorApi.Response response = controller.send(path, body);
    boolean refused = print(response.body()) && action.equals("announce");
    return response.succeeded() && !refused ? Commands.DONE : Commands.WANTING;
  }

  private void addWindow(ObjectNode body) throws ConfigException {
    if (racks.isEmpty() || lasts == null || from == null && !emergency) {
      throw new ConfigException(
          "announce needs --rack, --lasts and --from, or --emergency in its place");
    }
    ArrayNode named = body.putArray("racks");
    racks.forEach(named::add);
    if (!emergency) {
      body.put("from_ms", parseTime("--from", from));
    }
    body.put("lasts_ms", parseSpan("--lasts", lasts))
        .put("slack_ms", parseSpan("--slack", slack))
        .put("rule", rule)
        .put("zone", zone)
        .put("emergency", emergency);
  }

  private long parseTime(String option, String text) throws ConfigException {
    try {
      return LocalDateTime.parse(text == null ? "" : text)
          .atZone(ZoneId.of(zone))
          .toInstant()
          .toEpochMilli();
    } catch (DateTimeException e) {
      throw new ConfigException(
          option
              + ": a time is written like 2027-03-28T02:30, and a zone like Africa/Johannesburg: "
              + e.getMessage());
    }
  }

  private static long parseSpan(String option, String text) throws ConfigException {
    try {
      return (long) TimeSpan.parse(text).ms();
    } catch (IllegalArgumentException e) {
      throw new ConfigException(option + ": " + e.getMessage());
    }
  }

  /** Prints a response; true where it holds a window that was refused. */
  private static boolean print(JsonNode node) {
    if (!node.has("freezes")) {
      System.out.println(node.toPrettyString());
      return false;
    }
    boolean refused = false;
    System.out.printf(
        "%6s %-10s %-20s %-20s %-24s %s%n", "freeze", "state", "from", "to", "racks", "last step");
    for (JsonNode one : node.get("freezes")) {
      refused |= one.get("state").asText().equals("refused");
      System.out.printf(
          "%6d %-10s %-20s %-20s %-24s %s%n",
          one.get("freeze").asLong(),
          one.get("state").asText(),
          Instant.parse(one.get("from").asText()),
          Instant.parse(one.get("to").asText()),
          one.get("racks"),
          one.get("cause").asText());
    }
    return refused;
  }
}
