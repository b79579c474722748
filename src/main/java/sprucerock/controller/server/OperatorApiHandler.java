package sprucerock.controller.server;

import static sprucerock.controller.server.HttpExchanges.header;
import static sprucerock.controller.server.HttpExchanges.readBody;
import static sprucerock.controller.server.HttpExchanges.respond;
import static sprucerock.controller.server.HttpExchanges.respondNotFound;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * The operators' API: checks the bearer token, reads the body and passes the request to the handler
 * of its collection. Every HTTP method except GET is treated as a command.
 */
final class OperatorApiHandler implements HttpHandler {
  private static final int MAX_BODY_BYTES = 16 * 1024;
  private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);

  private final byte[] authorization;
  private final ReleaseHandler releases;
  private final DeploymentHandler deployments;
  private final MaintenanceHandler maintenance;
  private final LeaseHandler leases;

  OperatorApiHandler(
      String token,
      ReleaseHandler releases,
      DeploymentHandler deployments,
      MaintenanceHandler maintenance,
      LeaseHandler leases) {
    authorization = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    this.releases = releases;
    this.deployments = deployments;
    this.maintenance = maintenance;
    this.leases = leases;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!isAuthorized(exchange)) {
      respond(exchange, 401, "no_token", "Authorization: Bearer and the token are needed");
      return;
    }
    String[] path = exchange.getRequestPath().substring(1).split("/", -1);
    if (!exchange.getRequestMethod().equals(Methods.GET)) {
      readBody(exchange, MAX_BODY_BYTES, bytes -> parseCommand(exchange, path, bytes));
    } else if (path.length == 1) {
      list(exchange, path[0]);
    } else if (path.length == 2) {
      show(exchange, path[0], parseNumber(path[1]));
    } else {
      respondNotFound(exchange);
    }
  }

  private boolean isAuthorized(HttpServerExchange exchange) {
    String given = header(exchange, "Authorization");
    return given != null
        && MessageDigest.isEqual(given.getBytes(StandardCharsets.UTF_8), authorization);
  }

  /**
   * Parses the number of a build, deployment or window; returns -1 if the text is no valid number.
   */
  private static int parseNumber(String text) {
    return text.matches("[0-9]{1,5}") ? Integer.parseInt(text) : -1;
  }

  private void list(HttpServerExchange exchange, String collection) {
    switch (collection) {
      case "releases" -> releases.list(exchange);
      case "changes" -> deployments.list(exchange);
      case "agents" -> deployments.listAgents(exchange);
      case "freezes" -> maintenance.list(exchange);
      case "leases" -> leases.list(exchange);
      default -> respondNotFound(exchange);
    }
  }

  private void show(HttpServerExchange exchange, String collection, int number) {
    switch (collection) {
      case "releases" -> releases.show(exchange, number);
      case "changes" -> deployments.show(exchange, number);
      case "freezes" -> maintenance.show(exchange, number);
      default -> respondNotFound(exchange);
    }
  }

  private void parseCommand(HttpServerExchange exchange, String[] path, byte[] bytes) {
    JsonNode body;
    try {
      body = Json.MAPPER.readTree(bytes.length == 0 ? EMPTY_OBJECT : bytes);
    } catch (JsonProcessingException e) {
      respond(exchange, 400, "no_json", e.getOriginalMessage());
      return;
    } catch (IOException e) {
      respond(exchange, 400, "no_json", null);
      return;
    }
    switch (path.length) {
      case 1 -> create(exchange, path[0], body);
      case 2 -> update(exchange, path[0], path[1], body);
      case 3 -> command(exchange, path[0], parseNumber(path[1]), path[2], body);
      default -> respondNotFound(exchange);
    }
  }

  private void create(HttpServerExchange exchange, String collection, JsonNode body) {
    switch (collection) {
      case "releases" -> releases.announce(exchange, body);
      case "changes" -> deployments.propose(exchange, body);
      case "freezes" -> maintenance.announce(exchange, body);
      default -> respondNotFound(exchange);
    }
  }

  private void update(HttpServerExchange exchange, String collection, String name, JsonNode body) {
    switch (collection) {
      case "racks" -> maintenance.setRackDown(exchange, name, body);
      case "fleet" -> releases.reportReady(exchange, parseNumber(name), body);
      default -> respondNotFound(exchange);
    }
  }

  private void command(
      HttpServerExchange exchange, String collection, int number, String command, JsonNode body) {
    boolean isHoldResumeOrWithdraw = command.matches("hold|resume|withdraw");
    if (collection.equals("freezes") && command.matches("call-off|extend|force")) {
      maintenance.command(exchange, number, command, body);
    } else if (collection.equals("releases") && isHoldResumeOrWithdraw) {
      releases.command(exchange, number, command, body);
    } else if (collection.equals("changes") && isHoldResumeOrWithdraw) {
      deployments.command(exchange, number, command, body);
    } else {
      respondNotFound(exchange);
    }
  }
}
