package sprucerock.rehearsal.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import sprucerock.controller.server.Signatures;
import sprucerock.rehearsal.fake.Site;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;

/**
 * The real controller of a rehearsal, as a process of its own that can be killed and started anew;
 * a pipeline that announces builds by signed webhooks, each twice, until they are taken; and who
 * asks it how many units of each build there should be.
 */
final class RealController {
  /** One build, as the controller's list has it. */
  record Seen(int build, String standing, int stage, int wanted) {}

  /** One freeze, as the controller tells it. */
  record Frozen(long number, String state, List<String> racks, long toMs, String cause) {}

  /** Who starts and drains units; called on the pipeline's threads. */
  interface Fleet {
    void wanted(List<Seen> builds);

    /** All freezes, read just now. */
    default void freezes(List<Frozen> all) {
      // a day without racks
    }
  }

  /**
   * An announcement's way: when it was sent first, when it was taken, and how often the controller
   * answered how.
   */
  static final class Delivery {
    final String id;
    final int build;
    volatile long sentUs;
    volatile long takenUs;
    final Map<String, Integer> answers = new TreeMap<>();

    Delivery(String id, int build) {
      this.id = id;
      this.build = build;
    }
  }

  private static final byte[] SECRET = "of this rehearsal only".getBytes(StandardCharsets.UTF_8);
  private static final String TOKEN = "only-for-this-rehearsal";
  private static final Duration PATIENCE = Duration.ofSeconds(2);
  private static final JsonMapper JSON = JsonMapper.builder().build();

  private final Path folder;
  private final int relays;
  private final int hooks;
  private final int api;
  private final Fleet fleet;
  private final HttpClient http = HttpClient.newBuilder().connectTimeout(PATIENCE).build();
  private final BlockingQueue<Delivery> toSend = new LinkedBlockingQueue<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Map<Integer, Integer> endpoints = new TreeMap<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile List<Seen> seen = List.of();
  private volatile boolean over;
  private volatile Process process;
  private int runs;
  private volatile boolean down;

  /** Writes its configuration; {@code ports} for relays, webhooks and operators. */
  RealController(
      Path folder,
      Site site,
      int firstBuild,
      int places,
      int[] ports,
      String agents,
      String leases,
      String racks,
      Fleet fleet)
      throws IOException {
    this.folder = Files.createDirectory(folder);
    relays = ports[0];
    hooks = ports[1];
    api = ports[2];
    this.fleet = fleet;
    StringBuilder stages = new StringBuilder();
    for (Site.Stage stage : site.stages()) {
      stages
          .append("  <stage share=\"")
          .append(stage.share())
          .append("\" cap=\"")
          .append(stage.cap())
          .append("\"/>\n");
    }
    Site.Desk desk = site.desk();
    Files.writeString(
        folder.resolve("controller.xml"),
        String.format(
            Locale.ROOT,
            """
            <controller xmlns="urn:sprucerock:controller:1" name="rehearsal" folder="%s" first-build="%d" places="%d" lease="2500ms">
              <relays host="127.0.0.1" port="%d"/>
            %s              <hooks host="127.0.0.1" port="%d"><source name="ci" form="standard" secrets="%s" a-second="100"/></hooks>
              <api host="127.0.0.1" port="%d" token="%s"/>
            %s%s%s  <votes control="%s" on="%d" hold="%d" back="%d" life="%s" least="%s" step="%s" start-within="20s" going-back="1500ms" watch="5s"/>
            </controller>
            """,
            folder.resolve("store").toAbsolutePath(),
            firstBuild,
            places,
            relays,
            agents,
            hooks,
            secret("ci", "whsec_" + Base64.getEncoder().encodeToString(SECRET)),
            api,
            secret("token", TOKEN),
            leases,
            racks,
            stages,
            desk.control().name().toLowerCase(Locale.ROOT),
            desk.on(),
            desk.hold(),
            desk.back(),
            span(desk.voteLife()),
            span(desk.bake()),
            span(desk.step())));
  }

  private static String span(TimeSpan span) {
    return (long) span.ms() + "ms";
  }

  private Path secret(String name, String text) throws IOException {
    Path file = folder.resolve(name).toAbsolutePath();
    Files.createFile(
        file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    return Files.writeString(file, text);
  }

  int relaysPort() {
    return relays;
  }

  int runs() {
    return runs;
  }

  void start() throws IOException {
    runs++;
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    File log = folder.resolve("controller.log").toFile();
    process =
        new ProcessBuilder(
                List.of(
                    java,
                    "-XX:TieredStopAtLevel=1",
                    "-XX:+UseSerialGC",
                    "-Xmx128m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "sprucerock.Main",
                    "controller",
                    "--config",
                    folder.resolve("controller.xml").toString()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
    down = false; // from here on it is watched over
  }

  /** Until it answers for the first time; then the pipeline and the fleet's questions begin. */
  void await() throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (list() == null) {
      if (!process.isAlive() || System.nanoTime() > until) {
        throw new IOException(
            "the controller did not start; see " + folder.resolve("controller.log"));
      }
      Thread.sleep(50);
    }
    run("pipeline", this::pipeline);
    run("fleet", this::ask);
  }

  private interface Work {
    void run() throws InterruptedException;
  }

  private void run(String name, Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (InterruptedException e) {
                // the day is over
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    threads.add(thread);
  }

  void kill() {
    down = true;
    process.destroyForcibly();
  }

  boolean alive() {
    return process != null && process.isAlive();
  }

  void hold(boolean still) throws IOException {
    new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid()))
        .inheritIO()
        .start();
  }

  /** Ends it in good order; true where it did. */
  boolean end() throws InterruptedException {
    over = true;
    threads.forEach(Thread::interrupt);
    process.destroy();
    boolean ended = process.waitFor(20, TimeUnit.SECONDS);
    if (!ended) {
      process.destroyForcibly();
    }
    return ended && process.exitValue() == 0;
  }

  // The pipeline.

  void announce(int build) {
    Delivery delivery = new Delivery("day-" + build, build);
    synchronized (deliveries) {
      deliveries.add(delivery);
    }
    toSend.add(delivery);
  }

  /** Each is sent until it is taken, and then once more, as networks do. */
  private void pipeline() throws InterruptedException {
    while (!over) {
      Delivery delivery = toSend.take();
      delivery.sentUs = NioLoop.monotonicMicros();
      for (int left = 2; left > 0 && !over; ) {
        int status = send(delivery);
        if (status >= 200 && status < 300) {
          left--;
        } else if (status > 0 && status < 500 && status != 429) {
          break;
        }
        if (status >= 200 && status < 300 && delivery.takenUs == 0) {
          delivery.takenUs = NioLoop.monotonicMicros();
        }
        Thread.sleep(100);
      }
    }
  }

  private int send(Delivery delivery) throws InterruptedException {
    byte[] body =
        ("{\"type\":\"build.announced\",\"build\":"
                + delivery.build
                + ",\"artifact\":\"build-"
                + delivery.build
                + "\"}")
            .getBytes(StandardCharsets.UTF_8);
    long now = System.currentTimeMillis() / 1000;
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + hooks + "/hooks/ci"))
            .timeout(PATIENCE)
            .header("webhook-id", delivery.id)
            .header("webhook-timestamp", "" + now)
            .header(
                "webhook-signature",
                Signatures.sign(
                    Signatures.SignatureScheme.STANDARD, delivery.id, now, body, SECRET))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    String answer;
    int status = 0;
    try {
      HttpResponse<String> got = http.send(request, HttpResponse.BodyHandlers.ofString());
      status = got.statusCode();
      answer = status + " " + JSON.readTree(got.body()).path("answer").asText();
    } catch (IOException e) {
      answer = "no answer";
    }
    synchronized (deliveries) {
      delivery.answers.merge(answer, 1, Integer::sum);
    }
    return status;
  }

  List<Delivery> deliveries() {
    synchronized (deliveries) {
      return List.copyOf(deliveries);
    }
  }

  // The fleet.

  private HttpRequest.Builder asked(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + api + path))
        .timeout(PATIENCE)
        .header("Authorization", "Bearer " + TOKEN);
  }

  private List<Seen> list() throws InterruptedException {
    try {
      HttpResponse<String> got =
          http.send(asked("/releases").GET().build(), HttpResponse.BodyHandlers.ofString());
      if (got.statusCode() != 200) {
        return null;
      }
      List<Seen> found = new ArrayList<>();
      for (JsonNode one : JSON.readTree(got.body()).get("releases")) {
        found.add(
            new Seen(
                one.get("build").asInt(),
                one.get("standing").asText(),
                one.get("stage").asInt(),
                one.get("units_wanted").asInt()));
      }
      return found;
    } catch (IOException e) {
      return null; // it is down: the fleet stays as it is
    }
  }

  /** One that lost its seat has ended: whoever watches over it starts it again, as a standby. */
  private void again() {
    try {
      start();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private void ask() throws InterruptedException {
    Map<Integer, Integer> told = new TreeMap<>();
    int lastRun = runs;
    while (!over) {
      List<Seen> now = list();
      if (now != null) {
        seen = now;
        fleet.wanted(now);
      }
      if (!down && !process.isAlive() && !over) {
        again();
      }
      if (runs != lastRun) {
        told.clear();
      }
      lastRun = runs;
      Map<Integer, Integer> there;
      synchronized (endpoints) {
        there = new TreeMap<>(endpoints);
      }
      for (Map.Entry<Integer, Integer> one : there.entrySet()) {
        if (one.getValue().equals(told.get(one.getKey()))) {
          continue;
        }
        try {
          HttpRequest request =
              asked("/fleet/" + one.getKey())
                  .PUT(HttpRequest.BodyPublishers.ofString("{\"units\":" + one.getValue() + "}"))
                  .build();
          if (http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) {
            told.put(one.getKey(), one.getValue());
          }
        } catch (IOException e) {
          break; // told again in the next round
        }
      }
      Thread.sleep(50);
    }
  }

  /** Proposes until it is taken or refused, in a thread of its own. */
  void propose(String program, String settings) {
    ObjectNode body =
        JSON.createObjectNode().put("who", "rehearsal").put("reason", "the day has it");
    if (program != null) {
      body.put("program", program);
    }
    if (settings != null) {
      body.put("settings", settings);
    }
    run(
        "propose",
        () -> {
          for (int status = 0; status == 0 && !over; ) {
            try {
              HttpResponse<String> got =
                  http.send(
                      asked("/changes")
                          .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                          .build(),
                      HttpResponse.BodyHandlers.ofString());
              status = got.statusCode();
              if (status != 200) {
                proposals.add(
                    "the proposal of "
                        + program
                        + ", "
                        + settings
                        + " was answered "
                        + status
                        + " "
                        + got.body().strip());
              }
            } catch (IOException e) {
              Thread.sleep(100);
            }
          }
        });
  }

  /** Sends a body until it is answered, in a thread of its own. */
  void post(String path, ObjectNode body) {
    body.put("who", "rehearsal").put("reason", "the day has it");
    run(
        "post",
        () -> {
          for (int status = 0; status == 0 && !over; ) {
            try {
              status =
                  http.send(
                          asked(path)
                              .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                              .build(),
                          HttpResponse.BodyHandlers.ofString())
                      .statusCode();
            } catch (IOException e) {
              Thread.sleep(100);
            }
          }
        });
  }

  /** Asks for all freezes again and again from now on. */
  void watchFreezes() {
    run(
        "freezes",
        () -> {
          while (!over) {
            try {
              List<Frozen> all = new ArrayList<>();
              for (JsonNode one : get("/freezes").get("freezes")) {
                List<String> racks = new ArrayList<>();
                one.get("racks").forEach(rack -> racks.add(rack.asText()));
                all.add(
                    new Frozen(
                        one.get("freeze").asLong(),
                        one.get("state").asText(),
                        racks,
                        java.time.Instant.parse(one.get("to").asText()).toEpochMilli(),
                        one.get("cause").asText()));
              }
              fleet.freezes(all);
            } catch (IOException e) {
              // it is down: what was in force stays so until its end
            }
            Thread.sleep(50);
          }
        });
  }

  private final List<String> proposals = java.util.Collections.synchronizedList(new ArrayList<>());

  /** Each change with its steps, in lines; and which relay does not run what it should, if any. */
  List<String> changes() throws InterruptedException {
    List<String> found = new ArrayList<>(proposals);
    try {
      for (JsonNode one : get("/changes").get("changes")) {
        JsonNode change = get("/changes/" + one.get("change").asInt());
        found.add(
            "change "
                + one.get("change").asInt()
                + " "
                + one.get("from").asText()
                + " to "
                + one.get("to").asText()
                + ": "
                + one.get("state").asText().replace('_', ' '));
        for (JsonNode step : change.get("steps")) {
          found.add(
              String.format(
                  Locale.ROOT,
                  "  %s  %s, stage %d: %s",
                  step.get("at").asText(),
                  step.get("state").asText().replace('_', ' '),
                  step.get("stage").asInt(),
                  step.get("cause").asText()));
        }
        for (JsonNode wait : change.get("waits_for")) {
          found.add("  waits for " + wait.asText());
        }
      }
    } catch (IOException e) {
      found.add("the controller does not answer");
    }
    return found;
  }

  /** Relays that do not run what the controller says, or are not ready; each in a line. */
  List<String> strays() throws InterruptedException {
    List<String> found = new ArrayList<>();
    try {
      for (JsonNode one : get("/agents").get("agents")) {
        boolean well =
            one.get("heard").asBoolean()
                && one.get("ready").asBoolean()
                && (one.get("wanted").asText().isEmpty()
                    || one.get("wanted").equals(one.get("runs")));
        if (!well) {
          found.add(
              "relay "
                  + one.get("relay").asInt()
                  + " runs "
                  + one.get("runs").asText()
                  + ", wanted is "
                  + one.get("wanted").asText());
        }
      }
    } catch (IOException e) {
      found.add("the controller does not answer");
    }
    return found;
  }

  private JsonNode get(String path) throws IOException, InterruptedException {
    return JSON.readTree(
        http.send(asked(path).GET().build(), HttpResponse.BodyHandlers.ofString()).body());
  }

  /** So many units of a build are there. */
  void units(int build, int many) {
    synchronized (endpoints) {
      endpoints.put(build, many);
    }
  }

  /** The newest build that it has told of. */
  Seen newest() {
    List<Seen> now = seen;
    return now.isEmpty() ? new Seen(0, "unknown", 0, 0) : now.get(now.size() - 1);
  }

  /** Each step of each build, as it tells them. */
  List<String> steps() throws InterruptedException {
    List<String> found = new ArrayList<>();
    for (Seen one : seen) {
      try {
        JsonNode node =
            JSON.readTree(
                http.send(
                        asked("/releases/" + one.build).GET().build(),
                        HttpResponse.BodyHandlers.ofString())
                    .body());
        for (JsonNode step : node.path("steps")) {
          found.add(
              String.format(
                  Locale.ROOT,
                  "%s  build %d %s, stage %d: %s",
                  step.get("at").asText(),
                  one.build,
                  step.get("standing").asText().replace('_', ' '),
                  step.get("stage").asInt(),
                  step.get("cause").asText()));
        }
      } catch (IOException e) {
        found.add("build " + one.build + ": the controller does not answer");
      }
    }
    return found;
  }
}
