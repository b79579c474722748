package sprucerock.controller.server;

import static sprucerock.controller.server.HttpExchanges.header;
import static sprucerock.controller.server.HttpExchanges.readBody;
import static sprucerock.controller.server.HttpExchanges.respond;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Handles {@code POST /hooks/SOURCE}, by which a build pipeline announces a build. The source's
 * rate is checked before the body is read, and the signature before the body is parsed.
 */
final class WebhookHandler implements HttpHandler {
  private static final String PATH = "/hooks/";

  private final ControllerConfig config;
  private final LoopDispatcher dispatcher;
  private final ReleaseHandler releases;
  private final AnnouncementParser parser = new AnnouncementParser();
  private final Map<String, RateLimiter> rateLimits = new TreeMap<>();

  WebhookHandler(ControllerConfig config, LoopDispatcher dispatcher, ReleaseHandler releases)
      throws IOException {
    this.config = config;
    this.dispatcher = dispatcher;
    this.releases = releases;
    for (ControllerConfig.WebhookSource source : config.webhookSources.values()) {
      rateLimits.put(
          source.name(), new RateLimiter(source.maxPerSecond(), System.currentTimeMillis()));
    }
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    ControllerConfig.WebhookSource source =
        path.startsWith(PATH) ? config.webhookSources.get(path.substring(PATH.length())) : null;
    if (source == null) {
      respond(exchange, 404, "no_such_source", null);
      return;
    }
    if (!exchange.getRequestMethod().equals(Methods.POST)) {
      respond(exchange, 405, "post_only", null);
      return;
    }
    if (!rateLimits.get(source.name()).tryAcquire(System.currentTimeMillis())) {
      respond(exchange, 429, "too_often", "more than " + source.maxPerSecond() + " a second");
      return;
    }
    readBody(exchange, config.maxWebhookBodyBytes, body -> verify(exchange, source, body));
  }

  private void verify(
      HttpServerExchange exchange, ControllerConfig.WebhookSource source, byte[] body) {
    List<String> names = Signatures.headerNames(source.scheme());
    Signatures.Headers headers =
        new Signatures.Headers(
            header(exchange, names.get(0)),
            header(exchange, names.get(1)),
            header(exchange, names.get(2)));
    Signatures.Verdict verdict =
        Signatures.verify(
            source.scheme(),
            headers,
            body,
            source.secrets(),
            System.currentTimeMillis() / 1000,
            config.signatureTimeTolerance);
    if (verdict.rejection() != null) {
      respond(exchange, 401, "not_signed", verdict.rejection());
      return;
    }
    announce(exchange, source.name(), verdict.id(), body);
  }

  private void announce(
      HttpServerExchange exchange, String source, String deliveryId, byte[] body) {
    AnnouncementParser.BuildAnnouncement announcement;
    try {
      announcement = parser.parse(body);
    } catch (AnnouncementParser.MalformedAnnouncementException e) {
      respond(exchange, 400, "no_announcement", e.getMessage());
      return;
    }
    dispatcher.dispatch(
        exchange,
        () ->
            releases.submitAnnouncement(exchange, source + "/" + deliveryId, announcement, source));
  }
}
