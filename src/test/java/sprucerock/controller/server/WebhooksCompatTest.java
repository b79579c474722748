package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import sprucerock.compat.CorpusFiles;
import sprucerock.controller.Engine;
import sprucerock.controller.Rollout;
import sprucerock.controller.RolloutRules;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.v1.Announced;
import sprucerock.controller.v1.Input;
import sprucerock.time.TimeSpan;

/**
 * Tests incoming and outgoing webhooks against recorded bodies and signatures, and the dead-letter
 * file.
 */
public class WebhooksCompatTest {
  private static final String ANNOUNCEMENT = "webhooks/announcement.json";
  private static final String PARSED_ANNOUNCEMENTS = "webhooks/announcements-read.txt";
  private static final String BODIES = "webhooks/release-changed.jsonl";
  private static final String HEADERS = "webhooks/headers.txt";
  private static final String SECRETS = "webhooks/secrets.txt";
  private static final String SIGNATURES = "webhooks/signatures.txt";
  private static final String DELIVERY_ID = "delivery-7";
  private static final long TIMESTAMP_S = 1_700_000_000;
  private static final TimeSpan TOLERANCE = TimeSpan.ofMs(300_000);
  private static final int OK_STATUS = 200;
  private static final int ERROR_STATUS = 500;
  private static final int TIMEOUT_S = 20;
  private static final List<String> HEADER_NAMES =
      List.of("Content-Type", "webhook-id", "webhook-timestamp", "webhook-signature");
  private static final RolloutRules RULES =
      new RolloutRules(
          List.of(new RolloutRules.Stage(1, 1)),
          RolloutRules.Control.SINGLE,
          1,
          1,
          1,
          TimeSpan.ofMs(4000),
          TimeSpan.ofMs(500),
          TimeSpan.ofMs(1000),
          TimeSpan.ofMs(5000),
          TimeSpan.ofMs(800),
          TimeSpan.ofMs(3000),
          1000);
  private static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(new DeploymentPlan.Stage(1, 0.1)),
          TimeSpan.ofMs(500),
          TimeSpan.ofMs(20_000),
          TimeSpan.ofMs(3000),
          0.5,
          0.3,
          TimeSpan.ofMs(1000));

  /** A webhook as received by its target. */
  private record ReceivedWebhook(List<String> headers, byte[] body) {}

  /** A step of a rollout that the controller sends by webhook. */
  private record RolloutStep(Rollout rollout, Rollout.Transition step) {}

  /** Writes the recorded files that the tests compare with. */
  public static void record(Path corpus) throws Exception {
    Files.createDirectories(corpus.resolve("webhooks"));
    Files.writeString(
        corpus.resolve(ANNOUNCEMENT),
        "{\"type\": \"build.announced\", \"build\": 4711, \"artifact\": \"registry/app:4711\"}\n");
    Files.writeString(
        corpus.resolve(SECRETS),
        "# the one of today, and the one before\n"
            + "whsec_dGhlIHNlY3JldCBub3c=\n"
            + "dGhlIHNlY3JldCBiZWZvcmU=\n");
    byte[] announcement = Files.readAllBytes(corpus.resolve(ANNOUNCEMENT));
    String secrets = Files.readString(corpus.resolve(SECRETS));
    Files.writeString(
        corpus.resolve(PARSED_ANNOUNCEMENTS), String.join("\n", parseAll(announcement)) + "\n");
    Files.writeString(
        corpus.resolve(SIGNATURES), String.join("\n", signatures(announcement, secrets)) + "\n");
    List<ReceivedWebhook> received = deliver(secrets);
    StringBuilder bodies = new StringBuilder();
    for (ReceivedWebhook webhook : received) {
      bodies.append(new String(webhook.body, StandardCharsets.UTF_8)).append('\n');
    }
    Files.writeString(corpus.resolve(BODIES), bodies.toString());
    Files.writeString(
        corpus.resolve(HEADERS), String.join("\n", timeIndependentHeaders(received)) + "\n");
  }

  /** Describes the announcement in a body, and the errors of two damaged copies of it. */
  private static List<String> parseAll(byte[] body) throws Exception {
    AnnouncementParser parser = new AnnouncementParser();
    AnnouncementParser.BuildAnnouncement announcement = parser.parse(body);
    List<String> lines =
        new ArrayList<>(
            List.of("build " + announcement.build() + ", artifact " + announcement.artifact()));
    String text = new String(body, StandardCharsets.UTF_8);
    for (String damaged :
        List.of(text.replace("4711,", "0,"), text.replace("artifact", "artefact"))) {
      try {
        parser.parse(damaged.getBytes(StandardCharsets.UTF_8));
        lines.add("taken");
      } catch (AnnouncementParser.MalformedAnnouncementException e) {
        lines.add(e.getMessage());
      }
    }
    return lines;
  }

  /** Signs a body with each secret by both schemes. */
  private static List<String> signatures(byte[] body, String secrets) {
    List<String> lines = new ArrayList<>();
    for (Signatures.SignatureScheme scheme :
        List.of(Signatures.SignatureScheme.STANDARD, Signatures.SignatureScheme.GITHUB)) {
      lines.add(String.join(" ", Signatures.headerNames(scheme)));
      List<byte[]> parsed = parseSecrets(secrets, scheme);
      for (byte[] secret : parsed) {
        lines.add(Signatures.sign(scheme, DELIVERY_ID, TIMESTAMP_S, body, secret));
      }
    }
    return lines;
  }

  private static List<byte[]> parseSecrets(String text, Signatures.SignatureScheme scheme) {
    return Signatures.parseSecrets(text, scheme);
  }

  /** Runs an engine and returns the steps that an announced build makes immediately. */
  private static List<RolloutStep> recordSteps(Path folder) throws Exception {
    List<RolloutStep> recorded = new ArrayList<>();
    Engine.Clock clock =
        new Engine.Clock() {
          @Override
          public long wallMs() {
            return TIMESTAMP_S * 1000 + 123;
          }

          @Override
          public long steadyMs() {
            return 0;
          }
        };
    DeploymentManager.Listener noOpListener =
        new DeploymentManager.Listener() {
          @Override
          public void transitioned(Deployment deployment, Deployment.Transition step) {}

          @Override
          public void desiredStateChanged(ManagedRelay relay) {}
        };
    Engine engine =
        Engine.open(
            folder,
            RULES,
            10,
            1,
            PLAN,
            clock,
            (rollout, step) -> recorded.add(new RolloutStep(rollout, step)),
            noOpListener,
            MaintenanceWindows.withoutRacks(),
            failure -> {});
    engine.start();
    engine.append(
        Input.newBuilder()
            .setAnnounced(
                Announced.newBuilder()
                    .setDelivery(DELIVERY_ID)
                    .setBuild(4711)
                    .setArtifact("registry/app:4711")
                    .setSource("ci \"1\"")),
        result -> {});
    engine.flush();
    engine.close();
    return recorded;
  }

  /** Delivers the steps to a receiver that accepts all of them. */
  private static List<ReceivedWebhook> deliver(String secrets) throws Exception {
    Path folder = Files.createTempDirectory("compat");
    BlockingQueue<ReceivedWebhook> received = new LinkedBlockingQueue<>();
    HttpServer server = startReceiver(OK_STATUS, received);
    try (WebhookOutbox outbox =
        createOutbox(
            server,
            secrets,
            folder.resolve("dead-letters"),
            Duration.ofMinutes(1),
            new LinkedBlockingQueue<>())) {
      List<RolloutStep> steps = recordSteps(Files.createDirectories(folder.resolve("store")));
      outbox.start();
      List<ReceivedWebhook> all = new ArrayList<>();
      for (RolloutStep rolloutStep : steps) {
        outbox.add(rolloutStep.rollout, rolloutStep.step);
        all.add(received.poll(TIMEOUT_S, TimeUnit.SECONDS));
      }
      return all;
    } finally {
      server.stop(0);
      CorpusFiles.remove(folder);
    }
  }

  private static WebhookOutbox createOutbox(
      HttpServer server,
      String secrets,
      Path deadLetters,
      Duration retryTimeout,
      BlockingQueue<Long> delivered) {
    URI url = URI.create("http://127.0.0.1:" + server.getAddress().getPort() + "/hook");
    return new WebhookOutbox(
        new WebhookOutbox.Target(
            "listener",
            url,
            parseSecrets(secrets, Signatures.SignatureScheme.STANDARD).get(0),
            retryTimeout),
        deadLetters,
        delivered::add,
        error -> {});
  }

  private static HttpServer startReceiver(int status, BlockingQueue<ReceivedWebhook> received)
      throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/hook",
        (HttpExchange exchange) -> {
          List<String> headers =
              HEADER_NAMES.stream().map(exchange.getRequestHeaders()::getFirst).toList();
          received.add(new ReceivedWebhook(headers, exchange.getRequestBody().readAllBytes()));
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    server.start();
    return server;
  }

  /** Returns the headers that do not depend on the time of delivery. */
  private static List<String> timeIndependentHeaders(List<ReceivedWebhook> received) {
    return received.stream()
        .map(webhook -> webhook.headers.get(0) + " " + webhook.headers.get(1))
        .toList();
  }

  @Test
  public void announcementIsParsedAsRecorded() throws Exception {
    assertEquals(
        parseAll(Files.readAllBytes(CorpusFiles.path(ANNOUNCEMENT))),
        CorpusFiles.lines(PARSED_ANNOUNCEMENTS));
  }

  @Test
  public void bodyIsSignedAsRecorded() throws Exception {
    assertEquals(
        signatures(Files.readAllBytes(CorpusFiles.path(ANNOUNCEMENT)), CorpusFiles.text(SECRETS)),
        CorpusFiles.lines(SIGNATURES));
  }

  @Test
  public void recordedSignaturesVerify() throws Exception {
    byte[] body = Files.readAllBytes(CorpusFiles.path(ANNOUNCEMENT));
    List<String> signatures = CorpusFiles.lines(SIGNATURES);
    int line = 0;
    for (Signatures.SignatureScheme scheme :
        List.of(Signatures.SignatureScheme.STANDARD, Signatures.SignatureScheme.GITHUB)) {
      List<byte[]> secrets = parseSecrets(CorpusFiles.text(SECRETS), scheme);
      // skips the line with the names of the headers
      line++;
      for (int i = 0; i < secrets.size(); i++) {
        Signatures.Headers headers =
            new Signatures.Headers(DELIVERY_ID, Long.toString(TIMESTAMP_S), signatures.get(line++));
        assertEquals(
            Signatures.verify(scheme, headers, body, secrets, TIMESTAMP_S, TOLERANCE),
            new Signatures.Verdict(DELIVERY_ID, null));
      }
    }
    assertEquals(line, signatures.size());
  }

  @Test
  public void stepIsDeliveredWithRecordedBodyAndValidSignature() throws Exception {
    String secrets = CorpusFiles.text(SECRETS);
    List<ReceivedWebhook> received = deliver(secrets);
    assertEquals(
        received.stream().map(webhook -> new String(webhook.body, StandardCharsets.UTF_8)).toList(),
        CorpusFiles.lines(BODIES));
    assertEquals(timeIndependentHeaders(received), CorpusFiles.lines(HEADERS));
    for (ReceivedWebhook webhook : received) {
      Signatures.Headers headers =
          new Signatures.Headers(
              webhook.headers.get(1), webhook.headers.get(2), webhook.headers.get(3));
      Signatures.Verdict verdict =
          Signatures.verify(
              Signatures.SignatureScheme.STANDARD,
              headers,
              webhook.body,
              parseSecrets(secrets, Signatures.SignatureScheme.STANDARD),
              Long.parseLong(webhook.headers.get(2)),
              TOLERANCE);
      assertEquals(verdict, new Signatures.Verdict(webhook.headers.get(1), null));
    }
  }

  @Test
  public void deadLetterIsWrittenAsRecorded() throws Exception {
    Path folder = Files.createTempDirectory("compat");
    BlockingQueue<Long> delivered = new LinkedBlockingQueue<>();
    HttpServer server = startReceiver(ERROR_STATUS, new LinkedBlockingQueue<>());
    Path deadLetters = folder.resolve("dead-letters");
    try (WebhookOutbox outbox =
        createOutbox(
            server, CorpusFiles.text(SECRETS), deadLetters, Duration.ofMillis(1), delivered)) {
      outbox.start();
      for (RolloutStep rolloutStep :
          recordSteps(Files.createDirectories(folder.resolve("store")))) {
        outbox.add(rolloutStep.rollout, rolloutStep.step);
        delivered.poll(TIMEOUT_S, TimeUnit.SECONDS);
      }
      assertEquals(Files.readAllLines(deadLetters), CorpusFiles.lines(BODIES));
    } finally {
      server.stop(0);
      CorpusFiles.remove(folder);
    }
  }
}
