package sprucerock.controller.server;

import static sprucerock.controller.server.HttpExchanges.respond;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.transport.wire.v1.LeaseEntry;
import sprucerock.transport.wire.v1.LeaseListed;

/** Handles {@code /leases}: the state of the leases and of their grantors. Read-only. */
final class LeaseHandler {
  private static final int US_PER_MS = 1000;

  private final ControllerConfig config;
  private final ControllerServer controller;
  private final LoopDispatcher dispatcher;

  LeaseHandler(ControllerConfig config, ControllerServer controller, LoopDispatcher dispatcher) {
    this.config = config;
    this.controller = controller;
    this.dispatcher = dispatcher;
  }

  /**
   * Queries all grantors and responds once they have answered or the query has timed out. Responds
   * with 409 if no grantors are configured.
   */
  void list(HttpServerExchange exchange) {
    if (controller.leases() == null) {
      respond(exchange, 409, "no_leases", "this controller's configuration has no leases");
      return;
    }
    dispatcher.dispatch(
        exchange,
        () ->
            controller
                .leases()
                .queryGrantors(answers -> respond(exchange, 200, describe(answers))));
  }

  /**
   * Describes each grantor's status, and for each lease the highest fencing token with the grantors
   * that granted it.
   */
  private ObjectNode describe(Map<Integer, LeaseListed> answers) {
    ObjectNode all = Json.object();
    ArrayNode grantors = all.putArray("granters");
    for (int i = 0; i < config.leaseConfig.grantors().size(); i++) {
      LeaseListed answer = answers.get(i);
      ObjectNode node =
          grantors
              .addObject()
              .put("granter", i)
              .put("at", config.leaseConfig.grantors().get(i).toString().replaceFirst("^/", ""))
              .put("heard", answer != null);
      if (answer != null) {
        node.put("grants_in_ms", answer.getOpensUs() / US_PER_MS)
            .put("refused", answer.getRefused());
      }
    }
    Map<String, ObjectNode> byName = new TreeMap<>();
    answers.forEach(
        (grantor, answer) ->
            answer.getEntriesList().forEach(entry -> merge(byName, grantor, entry)));
    ArrayNode leases = all.putArray("leases");
    byName.values().forEach(leases::add);
    return all.put("majority", config.leaseConfig.grantors().size() / 2 + 1);
  }

  private static void merge(Map<String, ObjectNode> byName, int grantor, LeaseEntry entry) {
    ObjectNode node = byName.get(entry.getName());
    if (node == null || node.get("number").asLong() < entry.getNumber()) {
      node =
          Json.object()
              .put("name", entry.getName())
              .put("number", entry.getNumber())
              .put("holder", entry.getHolder())
              .put("left_ms", 0)
              .put("waiting", 0);
      node.putArray("granted_by");
      byName.put(entry.getName(), node);
    }
    if (node.get("number").asLong() > entry.getNumber()) {
      // an outdated grant: another grantor reports a newer one
      return;
    }
    if (entry.getLeftUs() > 0) {
      ((ArrayNode) node.get("granted_by")).add(grantor);
    }
    node.put("left_ms", Math.max(node.get("left_ms").asLong(), entry.getLeftUs() / US_PER_MS))
        .put("waiting", Math.max(node.get("waiting").asInt(), entry.getWaiting()));
  }
}
