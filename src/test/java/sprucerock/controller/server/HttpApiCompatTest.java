package sprucerock.controller.server;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.compat.Corpus;
import sprucerock.controller.Engine;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Role;

/**
 * Tests that sequences of requests to the controller's HTTP API get the recorded statuses and
 * bodies. The wall clock stands still at one instant; ids are numbered in order. Values that vary
 * between runs are normalized by {@link #normalize} alone.
 */
public class HttpApiCompatTest {
  private static final String HTTP = "http/";
  private static final String TOKEN = "0123456789abcdef0123";
  private static final byte[] SECRET = "a secret for the test".getBytes(StandardCharsets.UTF_8);

  /** Monday 1 June 2026, 00:00 UTC. */
  private static final long WALL_MS = 1_780_272_000_000L;

  private static final long HOUR_MS = 3_600_000;

  /**
   * Longer than any machine takes for a sequence. The times that requests schedule lie further than
   * this from the sequence's start.
   */
  private static final long MAX_SEQUENCE_MS = HOUR_MS / 2;

  private static final Pattern TIME = Pattern.compile("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z");

  private final HttpClient http = HttpClient.newHttpClient();
  private static final int AGENT_COUNT = 3;

  private Path folder;
  private ControllerServer controller;
  private NioLoop loop;

  @BeforeMethod
  public void createFolder() throws Exception {
    folder = Files.createTempDirectory("http-api");
    loop = new NioLoop("agents", Throwable::printStackTrace);
  }

  @AfterMethod
  public void closeController() throws Exception {
    controller.close();
    loop.close();
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private void start(String name) throws Exception {
    Corpus.secret(
        folder.resolve("ci.secret"), "whsec_" + Base64.getEncoder().encodeToString(SECRET));
    Corpus.secret(folder.resolve("hub.secret"), new String(SECRET, StandardCharsets.UTF_8));
    Corpus.secret(folder.resolve("api.token"), TOKEN);
    Files.createDirectories(folder.resolve("incoming"));
    Files.writeString(folder.resolve("incoming").resolve("program.jar"), "a program");
    Files.writeString(
        folder.resolve("incoming").resolve("relay.xml"), Corpus.input("settings/relay-least.xml"));
    Path file =
        Files.writeString(
            folder.resolve("controller.xml"),
            Corpus.input(HTTP + name + ".xml").replace("FOLDER", folder.toString()));
    controller =
        new ControllerServer(
            ControllerConfig.read(file),
            new Engine.Clock() {
              @Override
              public long wallMs() {
                return WALL_MS;
              }

              @Override
              public long steadyMs() {
                return System.nanoTime() / 1_000_000;
              }
            },
            FrameTap.NONE,
            () -> {});
  }

  @DataProvider
  public Object[][] requestSequences() {
    return new Object[][] {
      {"releases", "plain"},
      {"webhooks", "plain"},
      {"refusals", "plain"},
      {"changes", "everything"},
      {"freezes", "everything"},
      {"changes-of-agents", "agents"}
    };
  }

  /**
   * Each line of a sequence holds the kind of authorization, the method, the path and optionally a
   * body.
   */
  @Test(dataProvider = "requestSequences")
  public void requestsAreAnsweredAsRecorded(String sequence, String configuration)
      throws Exception {
    start(configuration);
    if (configuration.equals("agents")) {
      for (int number = 1; number <= AGENT_COUNT; number++) {
        connectAgent(number);
      }
    }
    StringBuilder text = new StringBuilder();
    for (String line : Corpus.inputLines(HTTP + sequence + ".txt")) {
      String[] parts = line.split(" ", 4);
      text.append("> ")
          .append(line)
          .append('\n')
          .append("< ")
          .append(send(parts[0], parts[1], parts[2], parts.length < 4 ? "" : parts[3]))
          .append('\n');
    }
    Corpus.holds(HTTP + sequence + "-answers.txt", text.toString());
  }

  /** Connects an agent that reports a running version and does nothing else. */
  private void connectAgent(int number) throws Exception {
    CompletableFuture<RecordingPeer> created = new CompletableFuture<>();
    loop.post(
        () -> {
          RecordingPeer peer = new RecordingPeer(loop, Role.AGENT, number);
          loop.connect(
              new InetSocketAddress("127.0.0.1", controller.agentAddress().getPort()),
              TimeSpan.ofMs(5000),
              1 << 20,
              peer.connection);
          created.complete(peer);
        });
    RecordingPeer agent = created.join();
    waitUntil(() -> getOnLoop(agent.connection::isReady));
    loop.post(
        () ->
            agent.send(
                FrameKind.AGENT,
                AgentSays.newBuilder()
                    .setProgram("a".repeat(64))
                    .setSettings("b".repeat(64))
                    .setReady(true)
                    .build()));
    waitUntil(
        () -> {
          try {
            return send("api", "GET", "/agents", "")
                .matches("(?s).*\"relay\":" + number + ",[^}]*\"ready\":true.*");
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private <T> T getOnLoop(Supplier<T> value) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.post(() -> result.complete(value.get()));
    return result.join();
  }

  private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 2000 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  private String send(String authorization, String method, String path, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(authorization) + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (authorization.equals("api")) {
      request.header("Authorization", "Bearer " + TOKEN);
    }
    if (authorization.equals("stranger")) {
      request.header("Authorization", "Bearer of bad news");
    }
    if (authorization.startsWith("standard:")) {
      signStandard(request, authorization.substring(9), body);
    }
    if (authorization.startsWith("github:")) {
      signGitHub(request, authorization.substring(7), body);
    }
    HttpResponse<String> answer = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    String type = answer.headers().firstValue("Content-Type").orElse("none");
    String retryAfter =
        answer.headers().firstValue("Retry-After").map(after -> " retry-after " + after).orElse("");
    return answer.statusCode() + " " + type + retryAfter + " " + normalize(answer.body().strip());
  }

  /**
   * Normalizes the folder, times close to the start and to an hour after it, the elapsed part of a
   * minimum time, and the remaining part of a maximum time.
   */
  private String normalize(String body) {
    String text =
        body.replace(folder.toString(), "FOLDER")
            .replaceAll("least time: [0-9]+ of", "least time: SOME of")
            .replaceAll("for [0-9]+ s at most", "for SOME s at most");
    return TIME.matcher(text)
        .replaceAll(
            match -> {
              long sinceStartMs = Instant.parse(match.group()).toEpochMilli() - WALL_MS;
              if (sinceStartMs >= 0 && sinceStartMs < MAX_SEQUENCE_MS) {
                return "NOW";
              }
              return sinceStartMs >= HOUR_MS && sinceStartMs < HOUR_MS + MAX_SEQUENCE_MS
                  ? "AN-HOUR-FROM-NOW"
                  : match.group();
            });
  }

  private int port(String authorization) {
    boolean isApi = List.of("api", "stranger", "nobody").contains(authorization);
    return (isApi ? controller.apiAddress() : controller.webhookAddress()).getPort();
  }

  private static void signStandard(HttpRequest.Builder request, String id, String body) {
    long now = System.currentTimeMillis() / 1000;
    request
        .header("webhook-id", id)
        .header("webhook-timestamp", "" + now)
        .header(
            "webhook-signature",
            Signatures.sign(
                Signatures.SignatureScheme.STANDARD,
                id,
                now,
                body.getBytes(StandardCharsets.UTF_8),
                SECRET));
  }

  private static void signGitHub(HttpRequest.Builder request, String id, String body) {
    request
        .header("X-GitHub-Delivery", id)
        .header(
            "X-Hub-Signature-256",
            Signatures.sign(
                Signatures.SignatureScheme.GITHUB,
                id,
                0,
                body.getBytes(StandardCharsets.UTF_8),
                SECRET));
  }

  /** Checks that the recorded sequences use every path of the API. */
  @Test
  public void recordedRequestsCoverEachPath() throws Exception {
    start("plain");
    StringBuilder all = new StringBuilder();
    for (Object[] sequence : requestSequences()) {
      all.append(Corpus.input(HTTP + sequence[0] + ".txt"));
    }
    for (String path :
        List.of(
            "/releases",
            "/releases/",
            "/changes",
            "/changes/",
            "/agents",
            "/freezes",
            "/freezes/",
            "/leases",
            "/racks/",
            "/fleet/",
            "/hold",
            "/resume",
            "/withdraw",
            "/call-off",
            "/extend",
            "/force",
            "/hooks/")) {
      assertTrue(all.indexOf(path) >= 0, path);
    }
  }
}
