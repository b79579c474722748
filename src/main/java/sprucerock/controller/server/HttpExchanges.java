package sprucerock.controller.server;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.function.Consumer;

/** Reads bounded request bodies and writes JSON responses, for webhooks and the operators' API. */
final class HttpExchanges {
  private static final String RETRY_AFTER_SECONDS = "5";

  private HttpExchanges() {}

  /** Ends the exchange with a JSON body. Responses 429 and 503 carry a Retry-After header. */
  static void respond(HttpServerExchange exchange, int status, JsonNode body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (status == 429 || status == 503) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    exchange.getResponseSender().send(body + "\n");
  }

  /**
   * Ends the exchange with a JSON body that holds an answer code.
   *
   * @param answer the answer code, for programs
   * @param detail an explanation for people; null if there is none
   */
  static void respond(HttpServerExchange exchange, int status, String answer, String detail) {
    ObjectNode body = Json.object().put("answer", answer);
    if (detail != null) {
      body.put("detail", detail);
    }
    respond(exchange, status, body);
  }

  /** Ends the exchange with 404: its path is unknown. */
  static void respondNotFound(HttpServerExchange exchange) {
    respond(exchange, 404, "no_such_thing", null);
  }

  /** The first value of a header; null if the header was not sent. */
  static String header(HttpServerExchange exchange, String name) {
    return exchange.getRequestHeaders().getFirst(new HttpString(name));
  }

  /**
   * Reads a complete body and passes it to {@code onBody}. Responds with 413 to a body of more than
   * {@code maxBytes}.
   */
  static void readBody(HttpServerExchange exchange, int maxBytes, Consumer<byte[]> onBody) {
    if (exchange.getRequestContentLength() > maxBytes) {
      exchange.setPersistent(false);
      respond(exchange, 413, "too_large", "more than " + maxBytes + " bytes");
      return;
    }
    // limits bodies without a Content-Length
    exchange.setMaxEntitySize(maxBytes);
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (same, bytes) -> onBody.accept(bytes),
            (same, e) -> {
              boolean tooLarge =
                  e instanceof RequestTooBigException
                      || e instanceof Receiver.RequestToLargeException;
              respond(exchange, tooLarge ? 413 : 400, tooLarge ? "too_large" : "broken_off", null);
            });
  }
}
