package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.config.ConfigException;
import sprucerock.time.TimeSpan;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Say;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;

/**
 * Tests a controller with a pipeline, an operator and relays over loopback sockets; no assertion
 * depends on speed.
 */
public class ControllerServerTest extends ControllerTestSupport {
  private static final byte[] SECRET = "a secret for the test".getBytes(StandardCharsets.UTF_8);
  private static final String TOKEN = "0123456789abcdef0123";

  private String outboxElements = "";

  /** Longer than any pause of a slow machine. */
  private final String lease = "30s";

  private final HttpClient http = HttpClient.newHttpClient();

  private Path writeConfig(String rate) throws IOException {
    Path file = folder.resolve("controller.xml");
    Files.writeString(
        file,
        """
<controller xmlns="urn:sprucerock:controller:1" name="desk" lease="%s" folder="%s" first-build="1" places="10">
  <relays host="127.0.0.1" port="0" tell-every="10min"/>
  <hooks host="127.0.0.1" port="0" body="4KiB" read-within="1s">
    <source name="ci" form="standard" secrets="%s" a-second="%s"/>
    <source name="hub" form="github" secrets="%s"/>
  </hooks>
  <api host="127.0.0.1" port="0" token="%s"/>
  %s
  <stage share="0.1" cap="0.12"/>
  <stage share="1" cap="1"/>
  <votes control="single" life="60s" least="1ms" going-back="1ms"/>
</controller>
"""
            .formatted(
                lease,
                folder.resolve("store"),
                writeSecret("ci", "whsec_" + Base64.getEncoder().encodeToString(SECRET)),
                rate,
                writeSecret("hub", new String(SECRET, StandardCharsets.UTF_8)),
                writeSecret("token", TOKEN),
                outboxElements.formatted(folder.resolve("ci"))));
    return file;
  }

  @BeforeMethod
  public void startController() throws Exception {
    start("1000");
  }

  private void start(String rate) throws Exception {
    start(writeConfig(rate));
  }

  private static String announcement(int build) {
    return "{\"type\":\"build.announced\",\"build\":" + build + ",\"artifact\":\"a" + build + "\"}";
  }

  private HttpRequest webhook(String id, String body) {
    long now = System.currentTimeMillis() / 1000;
    return HttpRequest.newBuilder(
            URI.create("http://127.0.0.1:" + controller.webhookAddress().getPort() + "/hooks/ci"))
        .header("webhook-id", id)
        .header("webhook-timestamp", "" + now)
        .header(
            "webhook-signature",
            Signatures.sign(Signatures.SignatureScheme.STANDARD, id, now, body.getBytes(), SECRET))
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private String send(HttpRequest request) throws Exception {
    HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
    return answer.statusCode() + " " + answer.body().strip();
  }

  private void assertResponseStartsWith(HttpRequest request, String prefix) throws Exception {
    String answer = send(request);
    assertTrue(answer.startsWith(prefix), answer);
  }

  private String api(String method, String path, String body) throws Exception {
    return send(
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + controller.apiAddress().getPort() + path))
            .header("Authorization", "Bearer " + TOKEN)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  private RecordingPeer connectRelay(int number) {
    return connect(Role.RELAY, number, controller.relayAddress());
  }

  private News lastNews(RecordingPeer relay) {
    List<News> all = getOnLoop(() -> new ArrayList<>(relay.<News>heads(FrameKind.NEWS)));
    return all.isEmpty() ? News.getDefaultInstance() : all.get(all.size() - 1);
  }

  private Taken vote(RecordingPeer relay, int id, int build, int stage, Say say) throws Exception {
    loop.post(
        () ->
            relay.send(
                FrameKind.VOTE,
                Vote.newBuilder().setId(id).setBuild(build).setStage(stage).setSay(say).build()));
    waitUntil(
        "vote " + id + " is answered",
        () ->
            getOnLoop(
                () ->
                    relay.<Voted>heads(FrameKind.VOTED).stream()
                        .anyMatch(voted -> voted.getId() == id)));
    return getOnLoop(
        () ->
            relay.<Voted>heads(FrameKind.VOTED).stream()
                .filter(voted -> voted.getId() == id)
                .findFirst()
                .get()
                .getTaken());
  }

  @Test
  public void signedAnnouncementIsRolledOutStageByStage() throws Exception {
    RecordingPeer relay = connectRelay(0);
    waitUntil(
        "the relay gets the status on connecting",
        () -> lastNews(relay).getStanding() == Stand.RELEASED);
    assertEquals(send(webhook("m1", announcement(2))), "202 {\"answer\":\"taken\"}");
    assertEquals(send(webhook("m1", announcement(2))), "200 {\"answer\":\"again\"}");
    assertEquals(lastNews(relay).getBuild(), 1);
    assertEquals(api("PUT", "/fleet/2", "{\"units\":10}"), "200 {\"answer\":\"done\"}");
    waitUntil(
        "the relay gets the canary trial", () -> lastNews(relay).getStanding() == Stand.ON_TRIAL);
    assertEquals(lastNews(relay).getCap(), 0.12);
    // longer than the minimum time of a stage, 1 ms
    Thread.sleep(5);
    assertEquals(vote(relay, 1, 2, 1, Say.ON), Taken.MOOT);
    assertEquals(vote(relay, 2, 2, 0, Say.ON), Taken.COUNTS);
    waitUntil("the relay gets the next stage", () -> lastNews(relay).getStage() == 1);
    Thread.sleep(5);
    assertEquals(vote(relay, 3, 2, 1, Say.ON), Taken.COUNTS);
    waitUntil(
        "the relay gets the release",
        () -> lastNews(relay).getStanding() == Stand.RELEASED && lastNews(relay).getBuild() == 2);
    String shown = api("GET", "/releases/2", "");
    assertTrue(
        shown.contains("\"cause\":\"announced by ci\"")
            && shown.contains("\"cause\":\"votes to go on of relays [0]\""),
        shown);
  }

  @Test
  public void restartKeepsRolloutStateAndRaisesEpoch() throws Exception {
    RecordingPeer relay = connectRelay(0);
    send(webhook("m1", announcement(2)));
    api("PUT", "/fleet/2", "{\"units\":1}");
    waitUntil(
        "the relay gets the canary trial", () -> lastNews(relay).getStanding() == Stand.ON_TRIAL);
    News before = lastNews(relay);
    controller.close();
    start("1000");
    RecordingPeer reconnected = connectRelay(0);
    waitUntil("the relay gets the status", () -> lastNews(reconnected).getBuild() == 2);
    News after = lastNews(reconnected);
    assertEquals(after.getStanding(), Stand.ON_TRIAL);
    assertTrue(
        after.getEpoch() > before.getEpoch() && after.getSequence() == before.getSequence(),
        before + " " + after);
    assertEquals(send(webhook("m1", announcement(2))), "200 {\"answer\":\"again\"}");
  }

  @Test
  public void concurrentDuplicateDeliveriesTakeEffectOnce() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      all.add(http.sendAsync(webhook("m1", announcement(2)), HttpResponse.BodyHandlers.ofString()));
    }
    List<Integer> statuses =
        all.stream().map(response -> response.join().statusCode()).sorted().toList();
    assertEquals(statuses.stream().filter(status -> status == 202).count(), 1, statuses.toString());
    assertEquals(
        statuses.stream().filter(status -> status == 200).count(), 29, statuses.toString());
  }

  @Test
  public void invalidWebhooksAreRejectedWithoutEffect() throws Exception {
    HttpRequest good = webhook("m1", announcement(2));
    HttpRequest changed =
        HttpRequest.newBuilder(good.uri())
            .headers(
                "webhook-id",
                "m1",
                "webhook-timestamp",
                good.headers().firstValue("webhook-timestamp").get(),
                "webhook-signature",
                good.headers().firstValue("webhook-signature").get())
            .POST(HttpRequest.BodyPublishers.ofString(announcement(3)))
            .build();
    assertTrue(send(changed).startsWith("401 "), send(changed));
    assertResponseStartsWith(
        webhook("m2", "not json"),
        "400 {\"answer\":\"no_announcement\",\"detail\":\"it is no JSON");
    assertResponseStartsWith(
        webhook("m3", "{\"type\":\"build.announced\",\"build\":0,\"artifact\":\"a\"}"), "400 ");
    assertResponseStartsWith(
        webhook("m4", "{\"type\":\"build.announced\",\"build\":2,\"build\":3,\"artifact\":\"a\"}"),
        "400 ");
    assertResponseStartsWith(webhook("m5", ""), "400 {");
    assertResponseStartsWith(webhook("m6", " ".repeat(5000)), "413 ");
    assertTrue(
        send(HttpRequest.newBuilder(URI.create(good.uri().toString().replace("/ci", "/nobody")))
                .POST(HttpRequest.BodyPublishers.noBody())
                .build())
            .startsWith("404 "));
    assertTrue(send(HttpRequest.newBuilder(good.uri()).GET().build()).startsWith("405 "));
    assertTrue(
        send(HttpRequest.newBuilder(
                    URI.create(
                        "http://127.0.0.1:" + controller.apiAddress().getPort() + "/releases"))
                .GET()
                .build())
            .startsWith("401 "));
    assertEquals(send(webhook("m7", announcement(5))).substring(0, 3), "202");
    assertEquals(send(webhook("m8", announcement(4))), "409 {\"answer\":\"too_old\"}");
    assertEquals(send(webhook("m7", announcement(6))), "409 {\"answer\":\"contradicts\"}");
    assertTrue(!api("GET", "/releases", "").contains("\"build\":2"));
  }

  @Test
  public void gitHubSignatureIsAccepted() throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:" + controller.webhookAddress().getPort() + "/hooks/hub"))
            .header("X-GitHub-Delivery", "g-1")
            .header(
                "X-Hub-Signature-256",
                Signatures.sign(
                    Signatures.SignatureScheme.GITHUB,
                    "g-1",
                    0,
                    announcement(2).getBytes(),
                    SECRET))
            .POST(HttpRequest.BodyPublishers.ofString(announcement(2)))
            .build();
    assertEquals(send(request), "202 {\"answer\":\"taken\"}");
    assertEquals(send(request), "200 {\"answer\":\"again\"}");
  }

  @Test
  public void senderOverItsRateLimitGets429() throws Exception {
    controller.close();
    // no machine is so slow that twelve requests take twelve seconds
    start("1");
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      answers.add(send(webhook("m1", announcement(2))).substring(0, 3));
    }
    assertTrue(answers.contains("429") && answers.get(0).equals("202"), answers.toString());
  }

  @Test
  public void slowSenderIsDisconnectedWithoutDelayingOthers() throws Exception {
    List<Socket> slow = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = new Socket("127.0.0.1", controller.webhookAddress().getPort());
      socket
          .getOutputStream()
          .write("POST /hooks/ci HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{".getBytes());
      slow.add(socket);
    }
    assertEquals(send(webhook("m1", announcement(2))).substring(0, 3), "202");
    for (Socket socket : slow) {
      socket.setSoTimeout(20_000);
      while (socket.getInputStream().read() >= 0) {
        // reads until the controller closes the connection
        continue;
      }
      socket.close();
    }
  }

  @Test
  public void operatorCommandRequiresNameAndReason() throws Exception {
    send(webhook("m1", announcement(2)));
    assertTrue(api("POST", "/releases/2/hold", "{\"who\":\"ann\"}").startsWith("400 "));
    assertEquals(
        api("POST", "/releases/2/hold", "{\"who\":\"ann\",\"reason\":\"a look\"}"),
        "200 {\"answer\":\"done\"}");
    assertTrue(
        api("POST", "/releases/2/hold", "{\"who\":\"ann\",\"reason\":\"a look\"}")
            .startsWith("409 "));
    String shown = api("GET", "/releases/2", "");
    assertTrue(
        shown.contains("held by ann: a look")
            && shown.contains(
                "\"waits_for\":[\"an operator holds it\",\"units: 0 of 1 are there\"]"),
        shown);
    assertEquals(
        api("POST", "/releases", "{\"build\":3,\"artifact\":\"x\",\"who\":\"bob\"}"),
        "202 {\"answer\":\"taken\"}");
    assertEquals(
        api("POST", "/releases/3/withdraw", "{\"who\":\"bob\",\"reason\":\"no\"}"),
        "200 {\"answer\":\"done\"}");
    assertTrue(api("GET", "/releases", "").contains("\"standing\":\"superseded\""));
    assertTrue(api("GET", "/releases/9", "").startsWith("404 "));
  }

  /** A standby waits, takes over once the leader has closed, and continues with its state. */
  @Test
  public void standbyTakesOverAfterLeaderCloses() throws Exception {
    send(webhook("m1", announcement(2)));
    ControllerServer first = controller;
    CompletableFuture<ControllerServer> second =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                start("1000");
                return controller;
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    // three times as long as it takes to acquire a free lease
    Thread.sleep(1500);
    assertTrue(!second.isDone(), "two controllers are leaders at the same time");
    first.close();
    controller = second.join();
    assertEquals(send(webhook("m1", announcement(2))), "200 {\"answer\":\"again\"}");
    assertTrue(api("GET", "/releases", "").contains("\"epoch\":2"));
  }

  /**
   * A target that fails every other request gets each step once and in order, including the steps
   * from before a restart.
   */
  @Test
  public void outboxRetriesStepsInOrderAcrossRestart() throws Exception {
    List<String> delivered = java.util.Collections.synchronizedList(new ArrayList<>());
    java.util.concurrent.atomic.AtomicInteger requestCount =
        new java.util.concurrent.atomic.AtomicInteger();
    com.sun.net.httpserver.HttpServer listener =
        com.sun.net.httpserver.HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 10);
    listener.createContext(
        "/",
        exchange -> {
          byte[] body = exchange.getRequestBody().readAllBytes();
          boolean fails = requestCount.incrementAndGet() % 2 == 1;
          var headers =
              new Signatures.Headers(
                  exchange.getRequestHeaders().getFirst("webhook-id"),
                  exchange.getRequestHeaders().getFirst("webhook-timestamp"),
                  exchange.getRequestHeaders().getFirst("webhook-signature"));
          boolean signed =
              Signatures.verify(
                          Signatures.SignatureScheme.STANDARD,
                          headers,
                          body,
                          List.of(SECRET),
                          System.currentTimeMillis() / 1000,
                          TimeSpan.ofMs(60_000))
                      .id()
                  != null;
          if (!fails) {
            delivered.add(
                (signed ? "" : "NOT SIGNED ")
                    + new String(body, StandardCharsets.UTF_8)
                        .replaceAll(".*sequence\":([0-9]+).*standing\":\"([a-z]+)\".*", "$1 $2"));
          }
          exchange.sendResponseHeaders(fails ? 500 : 204, -1);
          exchange.close();
        });
    listener.start();
    try {
      outboxElements =
          "<tell name=\"chat\" url=\"http://127.0.0.1:"
              + listener.getAddress().getPort()
              + "/\" secret=\"%s\"/>";
      controller.close();
      start("1000");
      send(webhook("m1", announcement(2)));
      waitUntil("both steps are delivered", () -> delivered.size() >= 2);
      waitUntil(
          "the delivery is recorded",
          () -> {
            try {
              return api("GET", "/releases", "").matches("(?s).*\"inputs\":[5-9].*");
            } catch (Exception e) {
              throw new IllegalStateException(e);
            }
          });
      controller.close();
      start("1000");
      send(webhook("m2", announcement(3)));
      waitUntil("the steps after the restart are delivered", () -> delivered.size() >= 5);
      assertEquals(
          delivered,
          List.of("1 announced", "2 starting", "3 announced", "4 superseded", "5 starting"));
    } finally {
      listener.stop(0);
      outboxElements = "";
    }
  }

  @Test
  public void exampleConfigurationIsValid() throws Exception {
    Path file = folder.resolve("example.xml");
    Files.writeString(
        file,
        Files.readString(Path.of("deploy", "controller.xml"))
            .replace("ci.secret", folder.resolve("ci").toString())
            .replace("api.token", folder.resolve("token").toString()));
    ControllerConfig config = ControllerConfig.read(file);
    assertEquals(config.rolloutRules.stages().size(), 3);
    assertEquals(config.rolloutRules.minStageTime(), TimeSpan.ofMs(10_000));
    assertEquals(config.webhookSources.get("ci").scheme(), Signatures.SignatureScheme.STANDARD);
  }

  @Test
  public void secretsReadableByOthersAreRejected() throws Exception {
    Path file = writeConfig("5");
    Files.setPosixFilePermissions(
        folder.resolve("token"), PosixFilePermissions.fromString("rw-r--r--"));
    String message =
        expectThrows(ConfigException.class, () -> ControllerConfig.read(file)).getMessage();
    assertTrue(message.endsWith("is open to others than its owner; chmod 600 it"), message);
  }
}
