package sprucerock.controller.server;

import static sprucerock.controller.server.HttpExchanges.respond;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import sprucerock.controller.AppendResult;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.FreezeWanted;
import sprucerock.controller.v1.FreezeWord;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.RackSays;

/** Handles {@code /freezes} and {@code /racks}: maintenance windows, and racks that are down. */
final class MaintenanceHandler {
  private final ControllerConfig config;
  private final ControllerServer controller;
  private final LoopDispatcher dispatcher;

  MaintenanceHandler(
      ControllerConfig config, ControllerServer controller, LoopDispatcher dispatcher) {
    this.config = config;
    this.controller = controller;
    this.dispatcher = dispatcher;
  }

  /** Announces a maintenance window, or a series of windows by a recurrence rule. */
  void announce(HttpServerExchange exchange, JsonNode body) {
    CommandOrigin origin = CommandOrigin.of(body);
    if (config.capacityCheck == null) {
      respond(exchange, 409, "no_racks", "this controller's configuration has no racks");
      return;
    }
    List<String> racks = new ArrayList<>();
    body.path("racks").forEach(rack -> racks.add(rack.asText()));
    boolean emergency = body.path("emergency").asBoolean(false);
    if (!origin.isComplete()
        || racks.isEmpty()
        || body.path("lasts_ms").asLong(0) <= 0
        || !emergency && body.path("from_ms").asLong(0) <= 0) {
      respond(
          exchange,
          400,
          "no_freeze",
          "{\"who\": ..., \"reason\": ..., \"racks\": [...], \"from_ms\": ..., \"lasts_ms\": ...}"
              + " are needed; slack_ms, rule, zone and emergency may be");
      return;
    }
    FreezeWanted.Builder window =
        FreezeWanted.newBuilder()
            .addAllRacks(racks)
            .setFromMs(body.path("from_ms").asLong(0))
            .setLastsMs(body.path("lasts_ms").asLong())
            .setSlackMs(Math.max(0, body.path("slack_ms").asLong(0)))
            .setRule(body.path("rule").asText(""))
            .setZone(body.path("zone").asText("UTC"))
            .setEmergency(emergency)
            .setWho(origin.who())
            .setReason(origin.reason());
    dispatcher.dispatch(
        exchange,
        () ->
            dispatcher.submit(
                exchange,
                Input.newBuilder().setFreeze(window),
                value -> respondToAnnouncement(exchange, value)));
  }

  private void respondToAnnouncement(HttpServerExchange exchange, AppendResult.Value value) {
    if (!(value instanceof AppendResult.WindowsOpened opened)) {
      LoopDispatcher.respondToCommand(exchange, value);
      return;
    }
    ObjectNode all = Json.object();
    ArrayNode list = all.putArray("freezes");
    for (long number : opened.numbers()) {
      list.add(summarize(windows().find(number)));
    }
    respond(exchange, 200, all);
  }

  /**
   * Calls a window off, extends it, or approves that a held window is accepted without capacity for
   * it.
   */
  void command(HttpServerExchange exchange, int number, String command, JsonNode body) {
    CommandOrigin origin = CommandOrigin.of(body);
    long newEndMs = body.path("to_ms").asLong(0);
    if (!origin.isComplete() || command.equals("extend") && newEndMs <= 0) {
      respond(
          exchange,
          400,
          "no_reason",
          "{\"who\": ..., \"reason\": ...} are needed, for extend \"to_ms\" too");
      return;
    }
    dispatcher.submitCommand(
        exchange,
        Input.newBuilder()
            .setFreezeWord(
                FreezeWord.newBuilder()
                    .setWord(command.toUpperCase(Locale.ROOT).replace('-', '_'))
                    .setFreeze(number)
                    .setToMs(newEndMs)
                    .setWho(origin.who())
                    .setReason(origin.reason())));
  }

  /** Records that a rack is down, or up again. */
  void setRackDown(HttpServerExchange exchange, String rack, JsonNode body) {
    boolean valid =
        windows().capacityCheck().racks().containsKey(rack) && body.path("down").isBoolean();
    if (!valid) {
      respond(
          exchange,
          400,
          "no_rack",
          "the name of a rack of the configuration and {\"down\": true or false} are needed");
      return;
    }
    dispatcher.submitCommand(
        exchange,
        Input.newBuilder()
            .setRack(RackSays.newBuilder().setRack(rack).setDown(body.get("down").asBoolean())));
  }

  /** Responds with all known windows. */
  void list(HttpServerExchange exchange) {
    dispatcher.dispatch(exchange, () -> respond(exchange, 200, describeAll()));
  }

  private ObjectNode describeAll() {
    ObjectNode all = Json.object();
    ArrayNode list = all.putArray("freezes");
    for (MaintenanceWindow window : windows().all()) {
      list.add(summarize(window));
    }
    return all;
  }

  /**
   * Responds with a window: its steps, the relays that may still place work on its racks, and when
   * their permits expire at the latest.
   */
  void show(HttpServerExchange exchange, int number) {
    dispatcher.dispatch(
        exchange,
        () -> {
          MaintenanceWindow window = windows().find(number);
          if (window == null) {
            respond(exchange, 404, "no_such_freeze", null);
          } else {
            respond(exchange, 200, describe(window));
          }
        });
  }

  private ObjectNode describe(MaintenanceWindow window) {
    ObjectNode node = summarize(window);
    ArrayNode steps = node.putArray("steps");
    for (MaintenanceWindow.Step step : window.steps()) {
      Json.addStep(steps, step.sequence(), step.wallMs())
          .put("state", Json.lowerCaseName(step.state()))
          .put("cause", step.cause());
    }
    ArrayNode outstanding = node.putArray("out");
    if (window.state().isBinding()) {
      controller
          .grants()
          .outstandingRelays(window, windows().advanceClock(dispatcher.engine().wallMs()))
          .forEach(
              relay ->
                  outstanding.add(
                      relay < 0
                          ? "relays not heard since this controller started"
                          : "relay " + relay));
      node.put("at_most_until", Json.time(windows().permitExpiryMs(window)));
    }
    ArrayNode forced = node.putArray("forced_by");
    window.forcedBy().forEach(forced::add);
    return node;
  }

  private static ObjectNode summarize(MaintenanceWindow window) {
    ObjectNode node =
        Json.object()
            .put("freeze", window.number)
            .put("state", Json.lowerCaseName(window.state()).replace('_', ' '))
            .put("from", Json.time(window.startMs()))
            .put("to", Json.time(window.endMs()))
            .put("who", window.operator)
            .put("why", window.reason)
            .put("emergency", window.emergency);
    ArrayNode racks = node.putArray("racks");
    window.racks.forEach(racks::add);
    return node.put("cause", window.steps().get(window.steps().size() - 1).cause());
  }

  private MaintenanceWindows windows() {
    return dispatcher.engine().maintenanceWindows();
  }
}
