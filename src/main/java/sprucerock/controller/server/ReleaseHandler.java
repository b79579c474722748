package sprucerock.controller.server;

import static sprucerock.controller.server.HttpExchanges.respond;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import java.util.Locale;
import java.util.Set;
import java.util.function.Supplier;
import sprucerock.controller.AppendResult;
import sprucerock.controller.Rollout;
import sprucerock.controller.RolloutManager;
import sprucerock.controller.v1.Announced;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.Ready;
import sprucerock.controller.v1.Word;
import sprucerock.time.Timestamp;

/** Handles {@code /releases} and {@code /fleet}: builds, their rollouts and their endpoints. */
final class ReleaseHandler {
  private static final int MAX_BUILD = 65_535;
  private static final int MAX_ARTIFACT_LENGTH = 200;

  private final LoopDispatcher dispatcher;
  private final Supplier<Set<Integer>> connectedRelays;

  ReleaseHandler(LoopDispatcher dispatcher, Supplier<Set<Integer>> connectedRelays) {
    this.dispatcher = dispatcher;
    this.connectedRelays = connectedRelays;
  }

  /**
   * Submits an announcement and responds with its result. On the loop only.
   *
   * @param deliveryId identifies repeated deliveries
   * @param source the name of the pipeline or operator that announces the build
   */
  void submitAnnouncement(
      HttpServerExchange exchange,
      String deliveryId,
      AnnouncementParser.BuildAnnouncement announcement,
      String source) {
    Announced.Builder announced =
        Announced.newBuilder()
            .setDelivery(deliveryId)
            .setBuild(announcement.build())
            .setArtifact(announcement.artifact())
            .setSource(source);
    dispatcher.submit(
        exchange,
        Input.newBuilder().setAnnounced(announced),
        value -> {
          RolloutManager.AnnouncementResult result = ((AppendResult.Announced) value).result();
          int status =
              switch (result) {
                case TAKEN -> 202;
                case AGAIN, KNOWN -> 200;
                case CONTRADICTS, TOO_OLD -> 409;
                case TOO_MANY -> 503;
              };
          respond(exchange, status, Json.lowerCaseName(result), null);
        });
  }

  /** Announces a build on behalf of an operator, without a pipeline. */
  void announce(HttpServerExchange exchange, JsonNode body) {
    int build = body.path("build").asInt(-1);
    String artifact = body.path("artifact").asText("");
    String who = body.path("who").asText("");
    if (build < 1
        || build > MAX_BUILD
        || artifact.isBlank()
        || artifact.length() > MAX_ARTIFACT_LENGTH
        || who.isBlank()
        || who.length() > CommandOrigin.MAX_WHO_LENGTH) {
      respond(
          exchange, 400, "no_announcement", "build from 1 to 65535, artifact and who are needed");
      return;
    }
    dispatcher.dispatch(
        exchange,
        () ->
            submitAnnouncement(
                exchange,
                "hand/" + who + "/" + build + "/" + artifact,
                new AnnouncementParser.BuildAnnouncement(build, artifact),
                who));
  }

  /** Records how many endpoints run a build. */
  void reportReady(HttpServerExchange exchange, int build, JsonNode body) {
    int endpoints = body.path("units").asInt(-1);
    if (endpoints < 0 || build < 1) {
      respond(exchange, 400, "no_units", "{\"units\": n} is needed");
      return;
    }
    dispatcher.submitCommand(
        exchange,
        Input.newBuilder().setReady(Ready.newBuilder().setBuild(build).setUnits(endpoints)));
  }

  /** Holds, resumes or withdraws a build's rollout. */
  void command(HttpServerExchange exchange, int build, String command, JsonNode body) {
    CommandOrigin origin = CommandOrigin.of(body);
    if (!origin.isComplete()) {
      respond(exchange, 400, "no_reason", "{\"who\": ..., \"reason\": ...} are needed");
      return;
    }
    dispatcher.submitCommand(
        exchange,
        Input.newBuilder()
            .setWord(
                Word.newBuilder()
                    .setAction(command.toUpperCase(Locale.ROOT))
                    .setBuild(build)
                    .setWho(origin.who())
                    .setReason(origin.reason())));
  }

  /** Responds with all known builds, and with the state of the controller's store. */
  void list(HttpServerExchange exchange) {
    dispatcher.dispatch(exchange, () -> respond(exchange, 200, describeAll()));
  }

  private ObjectNode describeAll() {
    ObjectNode all = Json.object();
    ArrayNode list = all.putArray("releases");
    for (Rollout rollout : rollouts().rollouts()) {
      list.add(summarize(rollout));
    }
    all.put("epoch", rollouts().epoch()).put("inputs", dispatcher.engine().entryCount());
    if (dispatcher.engine().storageFailure() != null) {
      all.put("store", dispatcher.engine().storageFailure());
    }
    return all;
  }

  /**
   * Responds with a build and its steps; for the current one also its votes and blocked reasons.
   */
  void show(HttpServerExchange exchange, int build) {
    dispatcher.dispatch(
        exchange,
        () -> {
          Rollout rollout = rollouts().rollout(build);
          if (rollout == null) {
            respond(exchange, 404, "no_such_build", null);
          } else {
            respond(exchange, 200, describe(rollout));
          }
        });
  }

  private ObjectNode describe(Rollout rollout) {
    ObjectNode node = summarize(rollout);
    ArrayNode steps = node.putArray("steps");
    for (Rollout.Transition step : rollout.transitions()) {
      Json.addStep(steps, step.sequence(), step.wallMs())
          .put("standing", Json.lowerCaseName(step.state()))
          .put("stage", step.stage())
          .put("cause", step.cause());
    }
    if (rollout == rollouts().current()) {
      addVotesAndBlockedReasons(node, dispatcher.engine().now());
    }
    return node;
  }

  private void addVotesAndBlockedReasons(ObjectNode node, Timestamp now) {
    ArrayNode blockedReasons = node.putArray("waits_for");
    rollouts().blockers(now).forEach(blockedReasons::add);
    ObjectNode votes = node.putObject("votes");
    for (RolloutManager.Vote vote : RolloutManager.Vote.values()) {
      if (vote != RolloutManager.Vote.NOTHING) {
        ArrayNode relays = votes.putArray(Json.lowerCaseName(vote));
        rollouts().relaysVoting(vote, now).forEach(relays::add);
      }
    }
    ArrayNode relaysWithoutVote = node.putArray("silent");
    for (int relay : connectedRelays.get()) {
      if (!hasVoted(relay, now)) {
        relaysWithoutVote.add(relay);
      }
    }
  }

  private boolean hasVoted(int relay, Timestamp now) {
    for (RolloutManager.Vote vote : RolloutManager.Vote.values()) {
      if (vote != RolloutManager.Vote.NOTHING
          && rollouts().relaysVoting(vote, now).contains(relay)) {
        return true;
      }
    }
    return false;
  }

  private ObjectNode summarize(Rollout rollout) {
    ObjectNode node =
        Json.object()
            .put("build", rollout.build)
            .put("artifact", rollout.artifact)
            .put("standing", Json.lowerCaseName(rollout.state()))
            .put("stage", rollout.stage())
            .put("held", rollout.heldByOperator())
            .put("units", rollout.readyEndpoints())
            .put("units_wanted", rollouts().desiredEndpoints(rollout));
    if (rollout == rollouts().current()) {
      node.put("present", true);
    }
    if (rollout.build == rollouts().previousBuild()) {
      node.put("serves", true);
    }
    return node;
  }

  private RolloutManager rollouts() {
    return dispatcher.engine().rollouts();
  }
}
