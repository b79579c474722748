package sprucerock.controller.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.handlers.RequestLimitingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.xnio.Options;
import sprucerock.config.ConfigException;
import sprucerock.config.Live;
import sprucerock.controller.Engine;
import sprucerock.controller.Rollout;
import sprucerock.controller.RolloutManager;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.v1.Announced;
import sprucerock.controller.v1.ChangeWord;
import sprucerock.controller.v1.FreezeWanted;
import sprucerock.controller.v1.FreezeWord;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Proposed;
import sprucerock.controller.v1.RackSays;
import sprucerock.controller.v1.Ready;
import sprucerock.controller.v1.Word;
import sprucerock.time.Timestamp;
import sprucerock.transport.wire.v1.LeaseEntry;
import sprucerock.transport.wire.v1.LeaseListed;

/**
 * HTTP: webhooks from build pipelines, and the operators' API. Bodies, senders' slowness, rates and
 * what is under way are bounded; what is taken is answered once it is on disk. Docs:
 * operators/webhooks.md.
 */
final class HttpServer {
  private static final int MOST_API_BODY = 16 * 1024;
  private static final int SLOW_MS = 5000;

  private final ControllerConfig config;
  private final ControllerServer desk;
  private final Announcements announcements;
  private final Map<String, RateLimiter> rates = new TreeMap<>();
  private Undertow hooks;
  private Undertow api;

  HttpServer(ControllerConfig config, ControllerServer desk) throws IOException {
    this.config = config;
    this.desk = desk;
    announcements = new Announcements();
    for (ControllerConfig.WebhookSource source : config.webhookSources.values()) {
      rates.put(source.name(), new RateLimiter(source.maxPerSecond(), System.currentTimeMillis()));
    }
  }

  void start() {
    hooks =
        server(
            config.webhookAddress,
            (int) config.webhookReadTimeout.ms(),
            new RequestLimitingHandler(
                config.maxConcurrentWebhooks, config.maxConcurrentWebhooks, this::hook));
    api = server(config.apiAddress, SLOW_MS, new RequestLimitingHandler(50, 50, this::operator));
    hooks.start();
    api.start();
  }

  private static Undertow server(InetSocketAddress at, int slowMs, HttpHandler handler) {
    return Undertow.builder()
        .addHttpListener(at.getPort(), at.getAddress().getHostAddress())
        .setHandler(handler)
        .setIoThreads(2)
        .setWorkerThreads(2)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 16 * 1024)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 30_000)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, slowMs)
        .setSocketOption(Options.READ_TIMEOUT, slowMs)
        .setSocketOption(Options.WRITE_TIMEOUT, slowMs)
        .build();
  }

  InetSocketAddress hooksAt() {
    return (InetSocketAddress) hooks.getListenerInfo().get(0).getAddress();
  }

  InetSocketAddress apiAt() {
    return (InetSocketAddress) api.getListenerInfo().get(0).getAddress();
  }

  void stop() {
    hooks.stop();
    api.stop();
  }

  private static void answer(HttpServerExchange exchange, int status, JsonNode text) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    if (status == 429 || status == 503) {
      exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "5");
    }
    exchange.getResponseSender().send(text + "\n");
  }

  private static void answer(
      HttpServerExchange exchange, int status, String answer, String detail) {
    ObjectNode text = Announcements.JSON.createObjectNode().put("answer", answer);
    if (detail != null) {
      text.put("detail", detail);
    }
    answer(exchange, status, text);
  }

  /** Reads a whole body within the limits, then goes on. */
  private static void body(HttpServerExchange exchange, int most, Consumer<byte[]> then) {
    if (exchange.getRequestContentLength() > most) {
      exchange.setPersistent(false);
      answer(exchange, 413, "too_large", "more than " + most + " bytes");
      return;
    }
    exchange.setMaxEntitySize(most); // for bodies that do not say their length
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (same, bytes) -> then.accept(bytes),
            (same, e) -> {
              boolean large =
                  e instanceof RequestTooBigException
                      || e instanceof Receiver.RequestToLargeException;
              answer(exchange, large ? 413 : 400, large ? "too_large" : "broken_off", null);
            });
  }

  /** Goes on on the controller's loop, and leaves the exchange open until something answers it. */
  private void onLoop(HttpServerExchange exchange, Runnable what) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE,
        () ->
            desk.runOnLoop(
                () -> {
                  try {
                    what.run();
                  } catch (RuntimeException e) {
                    desk.reportFault(e);
                    answer(exchange, 500, "fault", null);
                  }
                }));
  }

  // Webhooks.

  private void hook(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    ControllerConfig.WebhookSource source =
        path.startsWith("/hooks/") ? config.webhookSources.get(path.substring(7)) : null;
    if (source == null) {
      answer(exchange, 404, "no_such_source", null);
      return;
    }
    if (!exchange.getRequestMethod().equals(Methods.POST)) {
      answer(exchange, 405, "post_only", null);
      return;
    }
    if (!rates.get(source.name()).tryAcquire(System.currentTimeMillis())) {
      answer(exchange, 429, "too_often", "more than " + source.maxPerSecond() + " a second");
      return;
    }
    body(exchange, config.maxWebhookBodyBytes, bytes -> signed(exchange, source, bytes));
  }

  private void signed(
      HttpServerExchange exchange, ControllerConfig.WebhookSource source, byte[] bytes) {
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
            bytes,
            source.secrets(),
            System.currentTimeMillis() / 1000,
            config.signatureTimeTolerance);
    if (verdict.refused() != null) {
      answer(exchange, 401, "not_signed", verdict.refused());
      return;
    }
    Announcements.BuildAnnouncement announced;
    try {
      announced = announcements.read(bytes);
    } catch (Announcements.MalformedAnnouncementException e) {
      answer(exchange, 400, "no_announcement", e.getMessage());
      return;
    }
    onLoop(
        exchange,
        () ->
            announce(
                exchange,
                source.name() + "/" + verdict.id(),
                announced.build(),
                announced.artifact(),
                source.name()));
  }

  private static String header(HttpServerExchange exchange, String name) {
    return exchange.getRequestHeaders().getFirst(new HttpString(name));
  }

  private void announce(
      HttpServerExchange exchange, String delivery, int build, String artifact, String source) {
    desk.submit(
        Input.newBuilder()
            .setAnnounced(
                Announced.newBuilder()
                    .setDelivery(delivery)
                    .setBuild(build)
                    .setArtifact(artifact)
                    .setSource(source)),
        outcome -> {
          if (outcome.refused() != null) {
            answer(exchange, 503, "not_kept", outcome.refused());
            return;
          }
          RolloutManager.Answer answer = (RolloutManager.Answer) outcome.answer();
          int status =
              switch (answer) {
                case TAKEN -> 202;
                case AGAIN, KNOWN -> 200;
                case CONTRADICTS, TOO_OLD -> 409;
                case TOO_MANY -> 503;
              };
          answer(exchange, status, answer.name().toLowerCase(Locale.ROOT), null);
        });
  }

  // Operators.

  private void operator(HttpServerExchange exchange) {
    String given = header(exchange, "Authorization");
    boolean known =
        given != null
            && MessageDigest.isEqual(
                given.getBytes(StandardCharsets.UTF_8),
                ("Bearer " + config.apiToken).getBytes(StandardCharsets.UTF_8));
    if (!known) {
      answer(exchange, 401, "no_token", "Authorization: Bearer and the token are needed");
      return;
    }
    String[] path = exchange.getRequestPath().substring(1).split("/", -1);
    boolean get = exchange.getRequestMethod().equals(Methods.GET);
    if (get && path.length == 1 && path[0].equals("releases")) {
      onLoop(exchange, () -> answer(exchange, 200, list()));
    } else if (get && path.length == 2 && path[0].equals("releases")) {
      onLoop(exchange, () -> show(exchange, number(path[1])));
    } else if (get && path.length == 1 && path[0].equals("changes")) {
      onLoop(exchange, () -> answer(exchange, 200, changes()));
    } else if (get && path.length == 2 && path[0].equals("changes")) {
      onLoop(exchange, () -> showChange(exchange, number(path[1])));
    } else if (get && path.length == 1 && path[0].equals("agents")) {
      onLoop(exchange, () -> answer(exchange, 200, agents()));
    } else if (get && path.length == 1 && path[0].equals("freezes")) {
      onLoop(exchange, () -> answer(exchange, 200, freezes()));
    } else if (get && path.length == 2 && path[0].equals("freezes")) {
      onLoop(exchange, () -> showFreeze(exchange, number(path[1])));
    } else if (get && path.length == 1 && path[0].equals("leases")) {
      if (desk.leases() == null) {
        answer(exchange, 409, "no_leases", "this controller's configuration has no leases");
      } else {
        onLoop(exchange, () -> desk.leases().list(all -> answer(exchange, 200, leases(all))));
      }
    } else if (!get) {
      body(exchange, MOST_API_BODY, bytes -> word(exchange, path, bytes));
    } else {
      answer(exchange, 404, "no_such_thing", null);
    }
  }

  private static int number(String text) {
    return text.matches("[0-9]{1,5}") ? Integer.parseInt(text) : -1;
  }

  private void word(HttpServerExchange exchange, String[] path, byte[] bytes) {
    JsonNode body;
    try {
      body =
          Announcements.JSON.readTree(
              bytes.length == 0 ? "{}".getBytes(StandardCharsets.UTF_8) : bytes);
    } catch (JsonProcessingException e) {
      answer(exchange, 400, "no_json", e.getOriginalMessage());
      return;
    } catch (IOException e) {
      answer(exchange, 400, "no_json", null);
      return;
    }
    if (path.length == 1 && path[0].equals("releases")) {
      announceByHand(exchange, body);
    } else if (path.length == 1 && path[0].equals("changes")) {
      propose(exchange, body);
    } else if (path.length == 1 && path[0].equals("freezes")) {
      freeze(exchange, body);
    } else if (path.length == 2 && path[0].equals("racks")) {
      boolean known =
          desk.engine().freezes().room().racks().containsKey(path[1])
              && body.path("down").isBoolean();
      if (!known) {
        answer(
            exchange,
            400,
            "no_rack",
            "the name of a rack of the configuration and {\"down\": true or false} are needed");
      } else {
        onLoop(
            exchange,
            () ->
                desk.submit(
                    Input.newBuilder()
                        .setRack(
                            RackSays.newBuilder()
                                .setRack(path[1])
                                .setDown(body.get("down").asBoolean())),
                    outcome -> done(exchange, outcome)));
      }
    } else if (path.length == 3
        && path[0].equals("freezes")
        && path[2].matches("call-off|extend|force")) {
      String who = body.path("who").asText("");
      String reason = body.path("reason").asText("");
      long to = body.path("to_ms").asLong(0);
      if (!said(who, reason) || path[2].equals("extend") && to <= 0) {
        answer(
            exchange,
            400,
            "no_reason",
            "{\"who\": ..., \"reason\": ...} are needed, for extend \"to_ms\" too");
      } else {
        onLoop(
            exchange,
            () ->
                desk.submit(
                    Input.newBuilder()
                        .setFreezeWord(
                            FreezeWord.newBuilder()
                                .setWord(path[2].toUpperCase(Locale.ROOT).replace('-', '_'))
                                .setFreeze(number(path[1]))
                                .setToMs(to)
                                .setWho(who)
                                .setReason(reason)),
                    outcome -> done(exchange, outcome)));
      }
    } else if (path.length == 2 && path[0].equals("fleet")) {
      int endpoints = body.path("units").asInt(-1);
      int build = number(path[1]);
      if (endpoints < 0 || build < 1) {
        answer(exchange, 400, "no_units", "{\"units\": n} is needed");
      } else {
        onLoop(
            exchange,
            () ->
                desk.submit(
                    Input.newBuilder()
                        .setReady(Ready.newBuilder().setBuild(build).setUnits(endpoints)),
                    outcome -> done(exchange, outcome)));
      }
    } else if (path.length == 3
        && path[0].matches("releases|changes")
        && path[2].matches("hold|resume|withdraw")) {
      String who = body.path("who").asText("");
      String reason = body.path("reason").asText("");
      if (path[0].equals("changes") && said(who, reason)) {
        onLoop(
            exchange,
            () ->
                desk.submit(
                    Input.newBuilder()
                        .setChangeWord(
                            ChangeWord.newBuilder()
                                .setWord(path[2].toUpperCase(Locale.ROOT))
                                .setChange(number(path[1]))
                                .setWho(who)
                                .setReason(reason)),
                    outcome -> done(exchange, outcome)));
      } else if (!said(who, reason)) {
        answer(exchange, 400, "no_reason", "{\"who\": ..., \"reason\": ...} are needed");
      } else {
        onLoop(
            exchange,
            () ->
                desk.submit(
                    Input.newBuilder()
                        .setWord(
                            Word.newBuilder()
                                .setAction(path[2].toUpperCase(Locale.ROOT))
                                .setBuild(number(path[1]))
                                .setWho(who)
                                .setReason(reason)),
                    outcome -> done(exchange, outcome)));
      }
    } else {
      answer(exchange, 404, "no_such_thing", null);
    }
  }

  private static boolean said(String who, String reason) {
    return !who.isBlank() && !reason.isBlank() && who.length() <= 100 && reason.length() <= 500;
  }

  /** The files are read on this thread, which may wait; what is left out stays as it is. */
  private void propose(HttpServerExchange exchange, JsonNode body) {
    String who = body.path("who").asText("");
    String reason = body.path("reason").asText("");
    if (config.agentAddress == null) {
      answer(exchange, 409, "no_agents", "this controller's configuration has no agents");
      return;
    }
    if (!said(who, reason) || !body.has("program") && !body.has("settings")) {
      answer(
          exchange,
          400,
          "no_change",
          "{\"who\": ..., \"reason\": ..., \"program\": file, \"settings\": file} are needed, one of the last two at least");
      return;
    }
    exchange.dispatch(
        () -> {
          try {
            String program = body.has("program") ? taken(body.get("program").asText()) : null;
            String settings = body.has("settings") ? taken(body.get("settings").asText()) : null;
            onLoop(
                exchange,
                () -> {
                  DeploymentManager changes = desk.engine().changes();
                  Version base = changes.under() != null ? changes.under().to : changes.usual();
                  if (base.equals(Version.NONE) && (program == null || settings == null)) {
                    answer(
                        exchange,
                        409,
                        "no_effect",
                        "no relay runs anything that is known, so both files are needed");
                    return;
                  }
                  boolean live =
                      (program == null || program.equals(base.program()))
                          && settings != null
                          && needsNoRestart(base.settings(), settings);
                  desk.submit(
                      Input.newBuilder()
                          .setProposed(
                              Proposed.newBuilder()
                                  .setWho(who)
                                  .setWhy(reason)
                                  .setLive(live)
                                  .setVersion(
                                      sprucerock.controller.v1.Version.newBuilder()
                                          .setProgram(program == null ? base.program() : program)
                                          .setSettings(
                                              settings == null ? base.settings() : settings))),
                      outcome -> done(exchange, outcome));
                });
          } catch (IOException | IllegalArgumentException e) {
            answer(exchange, 400, "no_file", e.getMessage());
          }
        });
  }

  /** Whether a signal will do from one settings to others, as far as it can be told here. */
  private boolean needsNoRestart(String from, String to) {
    try {
      return desk.artifacts().has(from)
          && Live.needRestart(
                  Files.readString(desk.artifacts().path(from)),
                  Files.readString(desk.artifacts().path(to)))
              .isEmpty();
    } catch (IOException | ConfigException e) {
      return false; // agents read it through, and say what is wrong
    }
  }

  /** A file of the incoming folder, and of no other. */
  private String taken(String name) throws IOException {
    Path file = config.incomingFolder.resolve(name);
    boolean inside =
        name.matches("[A-Za-z0-9_.+-]{1,200}")
            && !name.startsWith(".")
            && Files.isRegularFile(file);
    if (!inside) {
      throw new IllegalArgumentException(
          "no file " + name + " is in the controller's incoming folder");
    }
    return desk.artifacts().put(file);
  }

  private static ObjectNode brief(Deployment change) {
    return Announcements.JSON
        .createObjectNode()
        .put("change", change.number)
        .put("state", change.state().name().toLowerCase(Locale.ROOT))
        .put("stage", change.stage())
        .put("held", change.held())
        .put("moved", change.moved().size())
        .put("who", change.who)
        .put("why", change.why)
        .put("from", change.from.toString())
        .put("to", change.to.toString())
        .put("program", change.to.program())
        .put("settings", change.to.settings());
  }

  private ObjectNode changes() {
    ObjectNode all = Announcements.JSON.createObjectNode();
    ArrayNode list = all.putArray("changes");
    for (Deployment one : desk.engine().changes().all()) {
      list.add(brief(one));
    }
    return all.put("epoch", desk.engine().releases().epoch())
        .put("runs", desk.engine().changes().usual().toString());
  }

  private void showChange(HttpServerExchange exchange, int number) {
    Deployment change = desk.engine().changes().of(number);
    if (change == null) {
      answer(exchange, 404, "no_such_change", null);
      return;
    }
    ObjectNode node = brief(change);
    ArrayNode steps = node.putArray("steps");
    for (Deployment.Step step : change.steps()) {
      steps
          .addObject()
          .put("sequence", step.sequence())
          .put("at", Instant.ofEpochMilli(step.wallMs()).toString())
          .put("state", step.state().name().toLowerCase(Locale.ROOT))
          .put("stage", step.stage())
          .put("cause", step.cause());
    }
    ArrayNode waits = node.putArray("waits_for");
    desk.engine().changes().waitsFor(change, desk.engine().now()).forEach(waits::add);
    ObjectNode beside = node.putObject("beside");
    change.beside().forEach((moved, control) -> beside.put(Integer.toString(moved), control));
    ObjectNode refused = node.putObject("refused");
    change.refused().forEach((relay, why) -> refused.put(Integer.toString(relay), why));
    answer(exchange, 200, node);
  }

  /** Each granter's word, and of each lease the highest number with those who granted it. */
  private ObjectNode leases(Map<Integer, LeaseListed> known) {
    ObjectNode all = Announcements.JSON.createObjectNode();
    ArrayNode granters = all.putArray("granters");
    for (int i = 0; i < config.leaseConfig.granters().size(); i++) {
      LeaseListed one = known.get(i);
      ObjectNode node =
          granters
              .addObject()
              .put("granter", i)
              .put("at", config.leaseConfig.granters().get(i).toString().replaceFirst("^/", ""))
              .put("heard", one != null);
      if (one != null) {
        node.put("grants_in_ms", one.getOpensUs() / 1000).put("refused", one.getRefused());
      }
    }
    Map<String, ObjectNode> byName = new TreeMap<>();
    known.forEach(
        (granter, one) -> {
          for (LeaseEntry entry : one.getEntriesList()) {
            ObjectNode node = byName.get(entry.getName());
            if (node == null || node.get("number").asLong() < entry.getNumber()) {
              node =
                  Announcements.JSON
                      .createObjectNode()
                      .put("name", entry.getName())
                      .put("number", entry.getNumber())
                      .put("holder", entry.getHolder())
                      .put("left_ms", 0)
                      .put("waiting", 0);
              node.putArray("granted_by");
              byName.put(entry.getName(), node);
            }
            if (node.get("number").asLong() > entry.getNumber()) {
              continue;
            }
            if (entry.getLeftUs() > 0) {
              ((ArrayNode) node.get("granted_by")).add(granter);
            }
            node.put("left_ms", Math.max(node.get("left_ms").asLong(), entry.getLeftUs() / 1000))
                .put("waiting", Math.max(node.get("waiting").asInt(), entry.getWaiting()));
          }
        });
    ArrayNode list = all.putArray("leases");
    byName.values().forEach(list::add);
    return all.put("majority", config.leaseConfig.granters().size() / 2 + 1);
  }

  private void freeze(HttpServerExchange exchange, JsonNode body) {
    String who = body.path("who").asText("");
    String reason = body.path("reason").asText("");
    if (config.capacityCheck == null) {
      answer(exchange, 409, "no_racks", "this controller's configuration has no racks");
      return;
    }
    List<String> racks = new java.util.ArrayList<>();
    body.path("racks").forEach(rack -> racks.add(rack.asText()));
    boolean emergency = body.path("emergency").asBoolean(false);
    if (!said(who, reason)
        || racks.isEmpty()
        || body.path("lasts_ms").asLong(0) <= 0
        || !emergency && body.path("from_ms").asLong(0) <= 0) {
      answer(
          exchange,
          400,
          "no_freeze",
          "{\"who\": ..., \"reason\": ..., \"racks\": [...], \"from_ms\": ..., \"lasts_ms\": ...} are needed; slack_ms, rule, zone and emergency may be");
      return;
    }
    FreezeWanted.Builder wanted =
        FreezeWanted.newBuilder()
            .addAllRacks(racks)
            .setFromMs(body.path("from_ms").asLong(0))
            .setLastsMs(body.path("lasts_ms").asLong())
            .setSlackMs(Math.max(0, body.path("slack_ms").asLong(0)))
            .setRule(body.path("rule").asText(""))
            .setZone(body.path("zone").asText("UTC"))
            .setEmergency(emergency)
            .setWho(who)
            .setReason(reason);
    onLoop(
        exchange,
        () ->
            desk.submit(
                Input.newBuilder().setFreeze(wanted),
                outcome -> {
                  if (outcome.refused() != null) {
                    answer(exchange, 503, "not_kept", outcome.refused());
                  } else if (outcome.answer() instanceof String why) {
                    answer(exchange, 409, "no_effect", why);
                  } else {
                    ObjectNode all = Announcements.JSON.createObjectNode();
                    ArrayNode list = all.putArray("freezes");
                    for (Object number : (List<?>) outcome.answer()) {
                      list.add(brief(desk.engine().freezes().of((Long) number)));
                    }
                    answer(exchange, 200, all);
                  }
                }));
  }

  private ObjectNode brief(MaintenanceWindow freeze) {
    ObjectNode node =
        Announcements.JSON
            .createObjectNode()
            .put("freeze", freeze.number)
            .put("state", freeze.state().name().toLowerCase(Locale.ROOT).replace('_', ' '))
            .put("from", Instant.ofEpochMilli(freeze.from()).toString())
            .put("to", Instant.ofEpochMilli(freeze.to()).toString())
            .put("who", freeze.who)
            .put("why", freeze.why)
            .put("emergency", freeze.emergency);
    ArrayNode racks = node.putArray("racks");
    freeze.racks.forEach(racks::add);
    return node.put("cause", freeze.steps().get(freeze.steps().size() - 1).cause());
  }

  private ObjectNode freezes() {
    ObjectNode all = Announcements.JSON.createObjectNode();
    ArrayNode list = all.putArray("freezes");
    for (MaintenanceWindow one : desk.engine().freezes().all()) {
      list.add(brief(one));
    }
    return all;
  }

  /** With who may still place work there, and until when at most. */
  private void showFreeze(HttpServerExchange exchange, int number) {
    MaintenanceWindow freeze = desk.engine().freezes().of(number);
    if (freeze == null) {
      answer(exchange, 404, "no_such_freeze", null);
      return;
    }
    ObjectNode node = brief(freeze);
    ArrayNode steps = node.putArray("steps");
    for (MaintenanceWindow.Step step : freeze.steps()) {
      steps
          .addObject()
          .put("sequence", step.sequence())
          .put("at", Instant.ofEpochMilli(step.wallMs()).toString())
          .put("state", step.state().name().toLowerCase(Locale.ROOT))
          .put("cause", step.cause());
    }
    ArrayNode out = node.putArray("out");
    if (freeze.state().binds()) {
      desk.grants()
          .out(freeze, desk.engine().freezes().later(desk.engine().wallMs()))
          .forEach(
              relay ->
                  out.add(
                      relay < 0
                          ? "relays not heard since this controller started"
                          : "relay " + relay));
      node.put(
          "at_most_until",
          Instant.ofEpochMilli(desk.engine().freezes().promisesEnd(freeze)).toString());
    }
    ArrayNode forced = node.putArray("forced_by");
    freeze.forcedBy().forEach(forced::add);
    answer(exchange, 200, node);
  }

  private ObjectNode agents() {
    ObjectNode all = Announcements.JSON.createObjectNode();
    ArrayNode list = all.putArray("agents");
    for (ManagedRelay one : desk.engine().changes().relays()) {
      list.addObject()
          .put("relay", one.number)
          .put("zone", one.zone())
          .put("heard", !one.silent())
          .put("runs", one.runs().toString())
          .put("wanted", one.wanted() == null ? "" : one.wanted().toString())
          .put("ready", one.ready())
          .put("done", one.done())
          .put("turn", one.turn())
          .put("busy", one.busy())
          .put("program", one.runs().program());
    }
    return all;
  }

  private void announceByHand(HttpServerExchange exchange, JsonNode body) {
    int build = body.path("build").asInt(-1);
    String artifact = body.path("artifact").asText("");
    String who = body.path("who").asText("");
    if (build < 1
        || build > 65_535
        || artifact.isBlank()
        || artifact.length() > 200
        || who.isBlank()
        || who.length() > 100) {
      answer(
          exchange, 400, "no_announcement", "build from 1 to 65535, artifact and who are needed");
    } else {
      onLoop(
          exchange,
          () ->
              announce(
                  exchange, "hand/" + who + "/" + build + "/" + artifact, build, artifact, who));
    }
  }

  private static void done(HttpServerExchange exchange, Engine.Outcome outcome) {
    if (outcome.refused() != null) {
      answer(exchange, 503, "not_kept", outcome.refused());
    } else if (outcome.answer() != null) {
      answer(exchange, 409, "no_effect", (String) outcome.answer());
    } else {
      answer(exchange, 200, "done", null);
    }
  }

  private ObjectNode brief(Rollout release) {
    RolloutManager releases = desk.engine().releases();
    ObjectNode node =
        Announcements.JSON
            .createObjectNode()
            .put("build", release.build)
            .put("artifact", release.artifact)
            .put("standing", release.standing().name().toLowerCase(Locale.ROOT))
            .put("stage", release.stage())
            .put("held", release.held())
            .put("units", release.units())
            .put("units_wanted", releases.wanted(release));
    if (release == releases.present()) {
      node.put("present", true);
    }
    if (release.build == releases.earlier()) {
      node.put("serves", true);
    }
    return node;
  }

  private ObjectNode list() {
    ObjectNode all = Announcements.JSON.createObjectNode();
    ArrayNode list = all.putArray("releases");
    for (Rollout one : desk.engine().releases().all()) {
      list.add(brief(one));
    }
    all.put("epoch", desk.engine().releases().epoch()).put("inputs", desk.engine().inputs());
    if (desk.engine().failed() != null) {
      all.put("store", desk.engine().failed());
    }
    return all;
  }

  private void show(HttpServerExchange exchange, int build) {
    RolloutManager releases = desk.engine().releases();
    Rollout release = releases.of(build);
    if (release == null) {
      answer(exchange, 404, "no_such_build", null);
      return;
    }
    ObjectNode node = brief(release);
    ArrayNode steps = node.putArray("steps");
    for (Rollout.Step step : release.steps()) {
      steps
          .addObject()
          .put("sequence", step.sequence())
          .put("at", Instant.ofEpochMilli(step.wallMs()).toString())
          .put("standing", step.standing().name().toLowerCase(Locale.ROOT))
          .put("stage", step.stage())
          .put("cause", step.cause());
    }
    if (release == releases.present()) {
      Timestamp now = desk.engine().now();
      ArrayNode waits = node.putArray("waits_for");
      releases.waitsFor(now).forEach(waits::add);
      ObjectNode votes = node.putObject("votes");
      for (RolloutManager.Say say : RolloutManager.Say.values()) {
        if (say == RolloutManager.Say.NOTHING) {
          continue;
        }
        ArrayNode relays = votes.putArray(say.name().toLowerCase(Locale.ROOT));
        releases.standing(say, now).forEach(relays::add);
      }
      ArrayNode silent = node.putArray("silent");
      for (int relay : desk.relayListener()) {
        boolean voted = false;
        for (RolloutManager.Say say : RolloutManager.Say.values()) {
          voted |= say != RolloutManager.Say.NOTHING && releases.standing(say, now).contains(relay);
        }
        if (!voted) {
          silent.add(relay);
        }
      }
    }
    answer(exchange, 200, node);
  }
}
