package sprucerock.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import sprucerock.config.ConfigException;
import sprucerock.transport.net.nio.NioLoop;

/**
 * Plays scenes, one after another, against a real controller with its real store and real granters,
 * with hollow relays and agents in a few processes of their own, and measures from outside. All
 * processes are children and end with the run; its files are gone after it.
 */
public final class ScaleRun implements AutoCloseable {
  /** What is played. */
  public enum Scene {
    MEAN,
    BURST,
    RACK,
    ZONE,
    MASS,
    VOTE,
    FREEZE,
    CONTROL,
    STALL
  }

  /**
   * @param racks 1 to 300, which the controller's schema took when results began
   * @param units of all racks; they are counted in the racks and have no process
   * @param seconds of each scene that are measured, 10 at least, behind some for the start
   */
  public record Plan(
      int relays, int racks, int endpoints, double seconds, List<Scene> scenes, long seed) {
    public Plan {
      if (relays < 1 || relays > MOST_RELAYS) {
        throw new IllegalArgumentException("--relays is 1 to " + MOST_RELAYS + ", not " + relays);
      }
      if (racks < 1 || racks > MOST_RACKS) {
        throw new IllegalArgumentException("--racks is 1 to " + MOST_RACKS + ", not " + racks);
      }
      if (endpoints < racks) {
        throw new IllegalArgumentException(
            "--units is one a rack at least, " + racks + ", not " + endpoints);
      }
      if (scenes.isEmpty()) {
        throw new IllegalArgumentException("--scene names none");
      }
      if (!(seconds >= 10 && seconds <= 600)) {
        throw new IllegalArgumentException("--seconds is 10 to 600, not " + seconds);
      }
    }
  }

  /**
   * The fleet or its controller did not come to where the run goes on; what was measured until then
   * is still told.
   */
  private static final class NotInTimeException extends IOException {
    private static final long serialVersionUID = 1;

    NotInTimeException(String what) {
      super(what);
    }
  }

  private interface Condition {
    boolean holds() throws IOException, InterruptedException;
  }

  // the planned size and its ordinary day, from which all rates are scaled by relays
  private static final int SIZE = 7700;
  private static final double RESTARTS_A_DAY = 38_000;
  private static final double CHANGES_A_DAY = 30_000;
  private static final double BURST_A_MINUTE = 500;
  private static final int VOTE_WITHIN_MS = 6000;
  private static final int DAY = 86_400;

  private static final int MOST_RELAYS = 10_000; // that a controller's ballots hold
  private static final int MOST_RACKS = 300; // what its schema took when results began
  private static final int PER_PROCESS = 1000;
  private static final int SETTLE_SECONDS = 90; // to be linked at first, and to be in force at last
  private static final int SETTLE_LOOKS = 5; // two seconds apart
  private static final double FULL_CORE = 0.9;
  private static final long LATE_US =
      250_000; // a quarter of the shortest round of a hollow part (asks, words, beats): none is
  // left out
  private static final List<String> CONTROLLER = List.of("-XX:+UseSerialGC", "-Xmx1g");
  private static final List<String> HOLLOW =
      List.of("-XX:+UseSerialGC", "-Xmx512m", "-XX:MaxDirectMemorySize=512m");
  private static final List<String> GRANTER = List.of("-XX:+UseSerialGC", "-Xmx256m");
  private static final JsonMapper JSON = JsonMapper.builder().build();

  private final Plan plan;
  private final PrintStream out;
  private final Path folder;
  private final ScaleSite site;
  private final HttpClient http =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();
  private final List<ChildProcess> granters = new ArrayList<>();
  private final List<ChildProcess> hollow = new ArrayList<>();
  private final List<ChildProcess> all = new ArrayList<>();
  private final Map<ChildProcess, ChildProcess.Cpu> before = new LinkedHashMap<>();
  private final Map<ChildProcess, ChildProcess.Cpu> ended = new LinkedHashMap<>();
  private final Map<String, Long> counts = new TreeMap<>();
  private ArrayNode inForce = JSON.createArrayNode();
  private final Thread hook = new Thread(this::killAll, "lab-killer");
  private final long deadline;
  private ChildProcess controller;
  private Scene scene;
  private int lives;
  private long beganNs;
  private int build = ScaleSite.FIRST_BUILD;
  private int settings;
  private long lastInputs;

  /** Writes the run's files; nothing is started yet. */
  public ScaleRun(Plan plan, PrintStream out) throws IOException {
    this.plan = plan;
    this.out = out;
    folder = Files.createTempDirectory("lab-scale");
    site = new ScaleSite(folder, plan);
    deadline =
        System.nanoTime()
            + TimeUnit.SECONDS.toNanos(
                (long) (plan.seconds + 30) * plan.scenes.size() + 3 * SETTLE_SECONDS);
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Ends whatever runs still, and takes the files away. */
  @Override
  public void close() throws IOException {
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // the hook runs already
    }
    for (ChildProcess one : all) {
      try {
        one.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private void killAll() {
    synchronized (all) {
      all.forEach(ChildProcess::destroy);
    }
  }

  private ChildProcess child(
      String role, String name, boolean talks, List<String> options, String... arguments)
      throws IOException {
    ChildProcess made = new ChildProcess(role, name, log(name), talks, options, arguments);
    synchronized (all) {
      all.add(made);
    }
    before.put(made, new ChildProcess.Cpu(0, 0));
    return made;
  }

  private File log(String name) {
    return folder.resolve(name + ".log").toFile();
  }

  /**
   * Plays it; a result for each scene, in the shape that docs/operators/scale.md tells. One that
   * broke off is the last.
   */
  public List<ObjectNode> play() throws IOException, InterruptedException, ConfigException {
    List<ObjectNode> results = new ArrayList<>();
    String broke = null;
    for (Scene one : plan.scenes) {
      if (broke != null) {
        break;
      }
      scene = one;
      try {
        if (results.isEmpty()) {
          start();
        }
        begin();
        scene();
      } catch (NotInTimeException e) {
        broke = e.getMessage();
        for (ChildProcess of : all) {
          if (!of.alive() && !ended.containsKey(of)) {
            out.println(of.name + " has ended: " + tail(of.name));
          }
        }
        out.println(broke);
      }
      results.add(result(broke));
    }
    return results;
  }

  private String tail(String name) throws IOException {
    List<String> lines = Files.readAllLines(log(name).toPath());
    return String.join("\n  ", lines.subList(Math.max(0, lines.size() - 10), lines.size()));
  }

  // The start.

  private void start() throws IOException, InterruptedException {
    beganNs = System.nanoTime(); // should it not come to what is to be measured, the start is
    for (int i = 0; i < ScaleSite.GRANTERS; i++) {
      granters.add(
          child(
              "granter",
              "g" + i,
              false,
              GRANTER,
              "lab",
              "granter",
              "--config",
              site.granter(i).toString()));
    }
    startController("c0");
    for (int from = 0; from < plan.relays; from += PER_PROCESS) {
      hollow.add(
          child(
              "hollow-relays",
              "h" + hollow.size(),
              true,
              HOLLOW,
              "lab",
              "hollow",
              "--relay",
              site.relay().toString(),
              "--agent",
              site.agent().toString(),
              "--folder",
              folder.resolve("none").toString(),
              "--from",
              "" + from,
              "--many",
              "" + Math.min(PER_PROCESS, plan.relays - from)));
    }
    tellAll("start");
    until("all hollow relays are linked", () -> connected() == plan.relays);
  }

  /** What the scene needs that is not measured; then the measuring begins. */
  private void begin() throws IOException, InterruptedException {
    boolean ownNews = scene == Scene.MEAN || scene == Scene.STALL; // within what is measured
    if (!ownNews && build == ScaleSite.FIRST_BUILD) {
      tellAll("expect NEWS " + (build + 1));
      news();
      until("the build's trial is known to all", () -> missing() == 0);
    }
    settle();
    counts.clear();
    inForce = JSON.createArrayNode();
    tellAll("begin");
    lastInputs = inputs();
    before.keySet().removeIf(one -> !one.alive());
    for (ChildProcess one : before.keySet()) {
      before.put(one, one.cpu());
    }
    beganNs = System.nanoTime();
  }

  /**
   * Until what a start brings has been said: two looks at the controller's inputs are the same, or
   * some looks are over.
   */
  private void settle() throws IOException, InterruptedException {
    long last = -1;
    for (int i = 0; i < SETTLE_LOOKS; i++) {
      long now = inputs();
      if (now == last) {
        return;
      }
      last = now;
      TimeUnit.SECONDS.sleep(2);
    }
  }

  private void startController(String name) throws IOException, InterruptedException {
    controller =
        child(
            "controller",
            name,
            false,
            CONTROLLER,
            "controller",
            "--config",
            site.controller().toString());
    until("the controller answers", () -> ask("GET", "/releases", null).status == 200);
  }

  private void until(String what, Condition condition) throws IOException, InterruptedException {
    long until = Math.min(deadline, System.nanoTime() + TimeUnit.SECONDS.toNanos(SETTLE_SECONDS));
    while (!condition.holds()) {
      controller.cpu(); // so that it is known should it end
      if (!controller.alive()) {
        throw new NotInTimeException("the controller has ended while it was waited for: " + what);
      }
      if (System.nanoTime() > until) {
        throw new NotInTimeException("not in time: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
  }

  private void tellAll(String word) throws IOException {
    askAll(word);
  }

  private List<JsonNode> askAll(String word) throws IOException {
    for (ChildProcess one : hollow) {
      one.tell(word);
    }
    List<JsonNode> answers = new ArrayList<>();
    for (ChildProcess one : hollow) {
      answers.add(one.answer());
    }
    return answers;
  }

  private int connected() throws IOException {
    return askAll("status").stream().mapToInt(one -> one.get("linked").asInt()).sum();
  }

  private int missing() throws IOException {
    return askAll("in-force").stream().mapToInt(one -> one.get("missing").asInt()).sum();
  }

  // The controller, as an operator asks it.

  private record Answer(int status, JsonNode body) {}

  private Answer ask(String method, String path, ObjectNode body) throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + site.host + ":" + site.api + path))
            .timeout(Duration.ofSeconds(20))
            .header("Authorization", "Bearer " + ScaleSite.TOKEN);
    request.method(
        method,
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body.toString()));
    try {
      HttpResponse<String> got = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(got.statusCode(), JSON.readTree(got.body()));
    } catch (IOException e) {
      return new Answer(0, JSON.createObjectNode()); // it is away
    }
  }

  private static ObjectNode said() {
    return JSON.createObjectNode().put("who", "lab").put("reason", "a scale run");
  }

  private long inputs() throws InterruptedException {
    return ask("GET", "/releases", null).body.path("inputs").asLong(-1);
  }

  /**
   * A build is announced and has its units: from then on it is on trial. Returns when that was
   * asked for, in the machine's microseconds.
   */
  private long news() throws IOException, InterruptedException {
    build++;
    count(
        "refused",
        ask("POST", "/releases", said().put("build", build).put("artifact", "b" + build)).status
                < 300
            ? 0
            : 1);
    int endpoints = 0;
    for (JsonNode one : ask("GET", "/releases", null).body.path("releases")) {
      if (one.get("build").asInt() == build) {
        endpoints = one.get("units_wanted").asInt();
      }
    }
    long at = NioLoop.monotonicMicros();
    Answer answer = ask("PUT", "/fleet/" + build, JSON.createObjectNode().put("units", endpoints));
    if (answer.status != 200) {
      throw new IOException("the controller did not take the build's units: " + answer);
    }
    return at;
  }

  private void change() throws IOException, InterruptedException {
    String file = "settings-" + ++settings;
    Files.writeString(site.incoming().resolve(file), "<relay change=\"" + settings + "\"/>");
    Path program = site.incoming().resolve("program");
    if (!Files.exists(program)) {
      Files.writeString(program, "a program that nobody runs");
    }
    Answer answer = ask("POST", "/changes", said().put("program", "program").put("settings", file));
    count(answer.status == 200 ? "changes_taken" : "changes_refused", 1);
    if (answer.status != 200) {
      count("refused", 1);
    }
  }

  private void count(String name, long more) {
    counts.merge(name, more, Long::sum);
  }

  // The scenes.

  private double passed() {
    return (System.nanoTime() - beganNs) / 1e9;
  }

  private void waitFor(double second) throws IOException {
    while (passed() < second) {
      if (System.nanoTime() > deadline) {
        throw new NotInTimeException("the run's time is over");
      }
      controller.cpu();
      if (!controller.alive() && !ended.containsKey(controller)) {
        throw new NotInTimeException("the controller has ended in the scene");
      }
      LockSupport.parkNanos((long) Math.min(1e8, (second - passed()) * 1e9));
    }
  }

  private void scene() throws IOException, InterruptedException, ConfigException {
    switch (scene) {
      case MEAN -> mean();
      case BURST -> burst();
      case RACK -> away("rack", plan.racks);
      case ZONE -> away("zone", HollowFleet.ZONES / 2);
      case MASS -> mass();
      case VOTE -> vote();
      case FREEZE -> freeze();
      case CONTROL -> control();
      case STALL -> stall();
      default -> throw new IllegalStateException(scene.toString());
    }
    waitFor(plan.seconds);
  }

  private int scaled(double aDay) {
    return (int)
        Math.max(
            1,
            Math.round(
                aDay
                    / DAY
                    * plan.relays
                    / SIZE
                    * plan.seconds)); // at least one, so that it is seen at all
  }

  /**
   * The ordinary day: restarts and changes at its rates, one build's news, one vote of each relay,
   * all else by the cores themselves.
   */
  private void mean() throws IOException, InterruptedException {
    TreeMap<Double, Integer> acts =
        new TreeMap<>(); // when, and what: 0 restart, 1 change, 2 news, 3 votes
    int restarts = scaled(RESTARTS_A_DAY);
    int changes = scaled(CHANGES_A_DAY);
    for (int i = 0; i < restarts; i++) {
      acts.put((i + 0.5) / restarts * plan.seconds * 0.9, 0);
    }
    for (int i = 0; i < changes; i++) {
      acts.put((i + 0.51) / changes * plan.seconds * 0.9, 1);
    }
    acts.put(plan.seconds * 0.1, 2);
    acts.put(plan.seconds * 0.1 + 2, 3);
    long newsAt = 0;
    int turn = 0;
    for (Map.Entry<Double, Integer> act : acts.entrySet()) {
      waitFor(act.getKey());
      switch (act.getValue()) {
        case 0 -> {
          hollow.get(turn++ % hollow.size()).ask("restart 1");
          count("reconnects", 1);
        }
        case 1 -> change();
        case 2 -> {
          tellAll("expect NEWS " + (build + 1));
          newsAt = news();
        }
        default -> tellAll("vote " + (int) (plan.seconds * 0.7 * 1000));
      }
    }
    waitFor(plan.seconds);
    heard("news", newsAt, plan.relays);
  }

  /**
   * Changes in a row: what the controller takes beside the one that is under way, it says itself.
   */
  private void burst() throws IOException, InterruptedException {
    int changes = (int) Math.max(1, Math.round(BURST_A_MINUTE * plan.relays / SIZE));
    for (int i = 0; i < changes; i++) {
      waitFor(i * Math.min(60, plan.seconds) / changes);
      change();
    }
  }

  private void away(String name, int oneIn) throws IOException, InterruptedException {
    waitFor(2);
    if (name.equals("rack")) {
      ask("POST", "/racks/" + ScaleSite.rack(0), JSON.createObjectNode().put("down", true));
    }
    int cut = askAll("cut " + oneIn).stream().mapToInt(one -> one.get("cut").asInt()).sum();
    waitFor(plan.seconds / 3);
    tellAll("expect LINKED");
    long at = NioLoop.monotonicMicros();
    if (name.equals("rack")) {
      ask("POST", "/racks/" + ScaleSite.rack(0), JSON.createObjectNode().put("down", false));
    }
    tellAll("back");
    count("reconnects", cut);
    waitFor(plan.seconds);
    heard(name, at, cut);
  }

  private void mass() throws IOException, InterruptedException {
    waitFor(2);
    tellAll("expect LINKED");
    long at = NioLoop.monotonicMicros();
    tellAll("restart -1");
    count("reconnects", plan.relays);
    until("all are linked again", () -> missing() == 0);
    waitFor(plan.seconds);
    heard("mass", at, plan.relays);
  }

  private void vote() throws IOException, InterruptedException {
    waitFor(2);
    tellAll("vote " + VOTE_WITHIN_MS);
    waitFor(2 + VOTE_WITHIN_MS / 1000.0);
    until(
        "all votes are answered, or given up",
        () -> askAll("status").stream().mapToInt(one -> one.get("votes_open").asInt()).sum() == 0);
  }

  private void freeze() throws IOException, InterruptedException {
    waitFor(2);
    String rack = ScaleSite.rack(0);
    tellAll("expect FREEZE " + ScaleSite.zone(0) + " " + ScaleSite.cell(0));
    long wall = System.currentTimeMillis();
    long at = NioLoop.monotonicMicros();
    ObjectNode wanted = said().put("from_ms", wall + 3000).put("lasts_ms", 600_000);
    wanted.putArray("racks").add(rack);
    Answer answer = ask("POST", "/freezes", wanted);
    if (answer.status != 200) {
      throw new IOException("the freeze was refused: " + answer);
    }
    until(
        "the freeze is in force",
        () ->
            ask("GET", "/freezes", null)
                .body
                .path("freezes")
                .path(0)
                .path("state")
                .asText()
                .equals("in force"));
    count("freeze_in_force_ms", (NioLoop.monotonicMicros() - at) / 1000);
    // by the controller's word nobody places there any more: this is looked at from the relays'
    // side
    count(
        "keep_off", askAll("in-force").stream().mapToInt(one -> one.get("keep_off").asInt()).sum());
    until("all have heard of the freeze", () -> missing() == 0);
    waitFor(plan.seconds);
    heard("freeze", at, plan.relays);
  }

  private void control() throws IOException, InterruptedException {
    waitFor(2);
    tellAll("expect CONTROL");
    ended.put(controller, controller.cpu().minus(before.get(controller)));
    controller.kill();
    waitFor(4);
    long at = NioLoop.monotonicMicros();
    startController("c" + ++lives);
    until("all hear the controller's new life", () -> missing() == 0);
    until("all are linked", () -> connected() == plan.relays);
    waitFor(plan.seconds);
    heard("control", at, plan.relays);
  }

  /** News while one hollow process stands still. */
  private void stall() throws IOException, InterruptedException {
    tellAll("expect NEWS " + (build + 1));
    waitFor(2);
    hollow.get(0).hold(true);
    waitFor(4);
    long at = news();
    waitFor(plan.seconds / 2);
    hollow.get(0).hold(false);
    until("all have heard", () -> missing() == 0);
    waitFor(plan.seconds);
    heard("news", at, plan.relays);
  }

  // What came of it.

  private void heard(String event, long sinceUs, int of) throws IOException {
    List<Long> took = new ArrayList<>();
    for (JsonNode one : askAll("in-force")) {
      one.get("at_us").forEach(at -> took.add(at.asLong() - sinceUs));
    }
    inForce(event, took, of);
  }

  private void inForce(String event, List<Long> tookUs, int of) {
    Histogram histogram = new Histogram(3);
    tookUs.forEach(us -> histogram.recordValue(Math.max(0, us)));
    inForce
        .addObject()
        .put("event", event)
        .put("relays", of)
        .put("missing", of - tookUs.size())
        .put("p50_ms", ms(histogram.getValueAtPercentile(50)))
        .put("p99_ms", ms(histogram.getValueAtPercentile(99)))
        .put("last_ms", ms(histogram.getMaxValue()));
  }

  private static double ms(long us) {
    return us / 1000.0;
  }

  private ObjectNode result(String broke) throws IOException, InterruptedException {
    double seconds = passed();
    Map<ChildProcess, ChildProcess.Cpu> cpu = new LinkedHashMap<>();
    for (Map.Entry<ChildProcess, ChildProcess.Cpu> one : before.entrySet()) {
      cpu.put(
          one.getKey(),
          ended.containsKey(one.getKey())
              ? ended.get(one.getKey())
              : one.getKey().cpu().minus(one.getValue()));
    }
    List<JsonNode> reports = askAll("report");
    if (scene != Scene.CONTROL && controller.alive()) {
      count("inputs_recorded", inputs() - lastInputs); // a new life counts anew
    }
    List<String> whyNot = new ArrayList<>();
    if (broke != null) {
      whyNot.add(broke);
    }
    for (ChildProcess one : all) {
      if (!one.alive()
          && !ended.containsKey(one)
          && before.containsKey(one)
          && (broke == null || one != controller)) {
        whyNot.add(one.name + " has ended");
      }
    }
    Map<String, long[]> connections = new TreeMap<>();
    List<Long> votes = new ArrayList<>();
    boolean stalled = scene == Scene.STALL;
    for (int i = 0; i < reports.size(); i++) {
      JsonNode report = reports.get(i);
      ChildProcess one = hollow.get(i);
      ChildProcess.Cpu spent = cpu.get(one);
      if ((spent.user() + spent.system()) / seconds > FULL_CORE) {
        whyNot.add(
            String.format(
                Locale.ROOT,
                "%s used %.0f%% of a core",
                one.name,
                100 * (spent.user() + spent.system()) / seconds));
      }
      if (!stalled && report.get("lag_p99_us").asLong() > LATE_US) {
        whyNot.add(
            one.name
                + "'s loop was late by "
                + report.get("lag_p99_us").asLong() / 1000
                + " ms (99th percentile)");
      }
      if (report.get("broken").asInt() > 0) {
        whyNot.add(one.name + " had " + report.get("broken").asInt() + " errors of its own");
      }
      for (String key : List.of("votes_cast", "votes_counted", "votes_refused", "links_closed")) {
        count(key, report.get(key).asLong());
      }
      counts.merge("lag_p99_ms", report.get("lag_p99_us").asLong() / 1000, Math::max);
      counts.merge("lag_max_ms", report.get("lag_max_us").asLong() / 1000, Math::max);
      report.get("votes_took_us").forEach(took -> votes.add(took.asLong()));
      for (JsonNode connection : report.get("links")) {
        long[] sum =
            connections.computeIfAbsent(
                connection.get("role").asText()
                    + " "
                    + connection.get("kind").asText()
                    + " "
                    + connection.get("direction").asText(),
                key -> new long[2]);
        sum[0] += connection.get("messages").asLong();
        sum[1] += connection.get("bytes").asLong();
      }
    }
    count("linked_at_end", connected());
    count("refused", counts.getOrDefault("votes_refused", 0L));
    counts.putIfAbsent("reconnects", 0L);
    if (counts.getOrDefault("votes_cast", 0L) > 0) {
      inForce("vote", votes, counts.get("votes_cast").intValue());
    }
    ObjectNode result =
        JSON.createObjectNode()
            .put("format", 1)
            .put("scene", scene.name().toLowerCase(Locale.ROOT))
            .put("relays", plan.relays)
            .put("racks", plan.racks)
            .put("units", plan.endpoints)
            .put("services", 1)
            .put("seconds", rounded(seconds))
            .put("kept_up", whyNot.isEmpty())
            .put("why_not", String.join("; ", whyNot));
    ArrayNode processes = result.putArray("processes");
    for (Map.Entry<ChildProcess, ChildProcess.Cpu> one : cpu.entrySet()) {
      ChildProcess of = one.getKey();
      processes
          .addObject()
          .put("role", of.role)
          .put("name", of.name)
          .put("cpu_user_s", rounded(one.getValue().user()))
          .put("cpu_system_s", rounded(one.getValue().system()))
          .put("rss_mb", of.alive() ? rounded(of.residentMb()) : 0)
          .put("seconds", rounded(seconds));
    }
    ArrayNode list = result.putArray("links");
    connections.forEach(
        (key, sum) -> {
          String[] words = key.split(" ");
          list.addObject()
              .put("role", words[0])
              .put("kind", words[1])
              .put("direction", words[2])
              .put("messages", sum[0])
              .put("bytes", sum[1]);
        });
    result.set("in_force", inForce);
    ObjectNode numbers = result.putObject("counts");
    counts.forEach(numbers::put);
    return result;
  }

  private static double rounded(double value) {
    return Math.round(value * 1000) / 1000.0;
  }
}
