package sprucerock.controller.server;

import static sprucerock.controller.server.HttpExchanges.respond;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.config.ConfigException;
import sprucerock.config.LiveSettings;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.v1.ChangeWord;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Proposed;

/** Handles {@code /changes} and {@code /agents}: deployments, and the versions that relays run. */
final class DeploymentHandler {
  private static final String FILE_NAME = "[A-Za-z0-9_.+-]{1,200}";

  private final ControllerConfig config;
  private final ControllerServer controller;
  private final LoopDispatcher dispatcher;

  DeploymentHandler(
      ControllerConfig config, ControllerServer controller, LoopDispatcher dispatcher) {
    this.config = config;
    this.controller = controller;
    this.dispatcher = dispatcher;
  }

  /**
   * Proposes a deployment of a program, of settings or of both, from files in the incoming folder;
   * a part that is left out stays unchanged. The files are read on a worker thread, since reading
   * may block.
   */
  void propose(HttpServerExchange exchange, JsonNode body) {
    CommandOrigin origin = CommandOrigin.of(body);
    if (config.agentAddress == null) {
      respond(exchange, 409, "no_agents", "this controller's configuration has no agents");
      return;
    }
    if (!origin.isComplete() || !body.has("program") && !body.has("settings")) {
      respond(
          exchange,
          400,
          "no_change",
          "{\"who\": ..., \"reason\": ..., \"program\": file, \"settings\": file} are needed, one"
              + " of the last two at least");
      return;
    }
    exchange.dispatch(
        () -> {
          try {
            String program = body.has("program") ? store(body.get("program").asText()) : null;
            String settings = body.has("settings") ? store(body.get("settings").asText()) : null;
            dispatcher.dispatch(
                exchange, () -> submitProposal(exchange, origin, program, settings));
          } catch (IOException | IllegalArgumentException e) {
            respond(exchange, 400, "no_file", e.getMessage());
          }
        });
  }

  /**
   * Copies a file from the incoming folder to the artifact store and returns its digest. Files of
   * other folders are rejected.
   */
  private String store(String name) throws IOException {
    Path file = config.incomingFolder.resolve(name);
    boolean inside = name.matches(FILE_NAME) && !name.startsWith(".") && Files.isRegularFile(file);
    if (!inside) {
      throw new IllegalArgumentException(
          "no file " + name + " is in the controller's incoming folder");
    }
    return artifacts().store(file);
  }

  /**
   * Submits the proposal. On the loop only.
   *
   * @param program digest of the new program; null if it stays unchanged
   * @param settings digest of the new settings; null if they stay unchanged
   */
  private void submitProposal(
      HttpServerExchange exchange, CommandOrigin origin, String program, String settings) {
    Version base =
        deployments().active() != null
            ? deployments().active().toVersion
            : deployments().baselineVersion();
    if (base.equals(Version.NONE) && (program == null || settings == null)) {
      respond(
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
    dispatcher.submitCommandOnLoop(
        exchange,
        Input.newBuilder()
            .setProposed(
                Proposed.newBuilder()
                    .setWho(origin.who())
                    .setWhy(origin.reason())
                    .setLive(live)
                    .setVersion(
                        sprucerock.controller.v1.Version.newBuilder()
                            .setProgram(program == null ? base.program() : program)
                            .setSettings(settings == null ? base.settings() : settings))));
  }

  /**
   * Whether a running relay can apply new settings without a restart. Returns false if the files
   * can't be compared: agents validate the files themselves and report their errors.
   *
   * @param baseDigest digest of the settings that the new settings replace
   * @param newDigest digest of the new settings
   */
  private boolean needsNoRestart(String baseDigest, String newDigest) {
    try {
      return artifacts().has(baseDigest)
          && LiveSettings.pathsThatNeedRestart(
                  Files.readString(artifacts().path(baseDigest)),
                  Files.readString(artifacts().path(newDigest)))
              .isEmpty();
    } catch (IOException | ConfigException e) {
      return false;
    }
  }

  /** Holds, resumes or withdraws a deployment. */
  void command(HttpServerExchange exchange, int number, String command, JsonNode body) {
    CommandOrigin origin = CommandOrigin.of(body);
    if (!origin.isComplete()) {
      respond(exchange, 400, "no_reason", "{\"who\": ..., \"reason\": ...} are needed");
      return;
    }
    dispatcher.submitCommand(
        exchange,
        Input.newBuilder()
            .setChangeWord(
                ChangeWord.newBuilder()
                    .setWord(command.toUpperCase(Locale.ROOT))
                    .setChange(number)
                    .setWho(origin.who())
                    .setReason(origin.reason())));
  }

  /** Responds with all known deployments, and with the version that most relays run. */
  void list(HttpServerExchange exchange) {
    dispatcher.dispatch(exchange, () -> respond(exchange, 200, describeAll()));
  }

  private ObjectNode describeAll() {
    ObjectNode all = Json.object();
    ArrayNode list = all.putArray("changes");
    for (Deployment deployment : deployments().deployments()) {
      list.add(summarize(deployment));
    }
    return all.put("epoch", dispatcher.engine().rollouts().epoch())
        .put("runs", deployments().baselineVersion().toString());
  }

  /** Responds with a deployment: its steps, control group, rejections and blocked reasons. */
  void show(HttpServerExchange exchange, int number) {
    dispatcher.dispatch(
        exchange,
        () -> {
          Deployment deployment = deployments().deployment(number);
          if (deployment == null) {
            respond(exchange, 404, "no_such_change", null);
          } else {
            respond(exchange, 200, describe(deployment));
          }
        });
  }

  private ObjectNode describe(Deployment deployment) {
    ObjectNode node = summarize(deployment);
    ArrayNode steps = node.putArray("steps");
    for (Deployment.Transition step : deployment.transitions()) {
      Json.addStep(steps, step.sequence(), step.wallMs())
          .put("state", Json.lowerCaseName(step.state()))
          .put("stage", step.stage())
          .put("cause", step.cause());
    }
    ArrayNode blockedReasons = node.putArray("waits_for");
    deployments().blockers(deployment, dispatcher.engine().now()).forEach(blockedReasons::add);
    ObjectNode controls = node.putObject("beside");
    deployment
        .controls()
        .forEach(
            (updatedRelay, controlRelay) ->
                controls.put(Integer.toString(updatedRelay), controlRelay));
    ObjectNode rejections = node.putObject("refused");
    deployment
        .rejections()
        .forEach((relay, reason) -> rejections.put(Integer.toString(relay), reason));
    return node;
  }

  private static ObjectNode summarize(Deployment deployment) {
    return Json.object()
        .put("change", deployment.number)
        .put("state", Json.lowerCaseName(deployment.state()))
        .put("stage", deployment.stage())
        .put("held", deployment.held())
        .put("moved", deployment.updated().size())
        .put("who", deployment.proposedBy)
        .put("why", deployment.reason)
        .put("from", deployment.fromVersion.toString())
        .put("to", deployment.toVersion.toString())
        .put("program", deployment.toVersion.program())
        .put("settings", deployment.toVersion.settings());
  }

  /** Responds with all relays that have an agent: their observed and desired state. */
  void listAgents(HttpServerExchange exchange) {
    dispatcher.dispatch(exchange, () -> respond(exchange, 200, describeAgents()));
  }

  private ObjectNode describeAgents() {
    ObjectNode all = Json.object();
    ArrayNode list = all.putArray("agents");
    for (ManagedRelay relay : deployments().relays()) {
      list.addObject()
          .put("relay", relay.number)
          .put("zone", relay.zone())
          .put("heard", !relay.unreachable())
          .put("runs", relay.observedVersion().toString())
          .put("wanted", relay.desiredVersion() == null ? "" : relay.desiredVersion().toString())
          .put("ready", relay.ready())
          .put("done", relay.observedGeneration())
          .put("turn", relay.generation())
          .put("busy", relay.busy())
          .put("program", relay.observedVersion().program());
    }
    return all;
  }

  private DeploymentManager deployments() {
    return dispatcher.engine().deployments();
  }

  private ArtifactStore artifacts() {
    return controller.artifacts();
  }
}
