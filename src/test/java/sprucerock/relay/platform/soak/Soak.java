package sprucerock.relay.platform.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import sprucerock.relay.platform.ServeProcess;

/** One run of a plan: a relay as its own process, its surroundings, and the verdict. */
final class Soak implements AutoCloseable {
  private static final String CONFIG =
      """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"%1$s","seed":"8c","limits":{"sockets":1024},"release_api":{"address":"%1$s","news":{"build":7,"stage":0,"phase":"Healthy","cap":1.0,"age_ms":60000}},
         "known":{"version":4,"full":true,"servers":[%2$s]},
         "settings":{"balancers":1,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
          "classes":[%3$s],
          "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
          "permissions":{"cancel":true,"connect_timeout":250,"keepalive":30000,"max_retry_after":500,"peers":false,"retry_after":true,"second_copies":true,"send_cap":3},
          "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}
      """;

  /** Clients go on for so long after SIGTERM before the kill, beside the longest deadline. */
  private static final int GRACE_MS = 700;

  private static final int MAX_COUNTED_DEADLINE_MS = 3000;

  /** One behind another. */
  private static final List<String> ENDING_SIGNALS = List.of("TERM", "HUP", "TERM");

  /** An attempt may begin so long after its client's close, with the slack of sockets. */
  private static final long MAX_ATTEMPT_AFTER_LEAVING_MS = 150;

  /** Runs a process 20 of every 80 ms, until it has ended. */
  private static final String TAKE_TURNS =
      "while kill -STOP $1; do sleep 0.06; kill -CONT $1; sleep 0.02; done";

  /** For verdicts that hold whatever the machine's speed. */
  static final int ANY_MACHINE_WAIT_MS = 20_000;

  private static final int SAMPLE_MS = 100;

  private final SoakPlan plan;
  private final int extraWaitMs;
  private final SoakReport report;
  private final AttemptRecord attempts = new AttemptRecord();
  private final OpenIds openIds = new OpenIds();
  private final LeftRequests leftRequests = new LeftRequests();
  private final AtomicLong badSessions = new AtomicLong();
  private final List<StubEndpoint> endpoints = new ArrayList<>();
  private final UsualClients usual;
  private final Path config;
  private StubPlatform platform;
  private Process takeTurns;
  private ServeProcess relay;
  private int port;
  private long terminatedNanos = Long.MAX_VALUE;
  private long killedNanos = Long.MAX_VALUE;
  private volatile boolean stopped;

  /** {@code extraWaitMs}: how much longer than the pages say a client waits for an answer. */
  Soak(SoakPlan plan, int extraWaitMs) throws IOException {
    this.plan = plan;
    this.extraWaitMs = extraWaitMs;
    report = new SoakReport(plan);
    usual = new UsualClients(plan, "usual-" + plan.seed() + "-", openIds, extraWaitMs);
    config = Files.createTempFile("soak", ".json");
  }

  /** Plays the plan. */
  SoakReport run(List<String> options) throws Exception {
    start(options);
    usual.start(port);
    startBadClients();
    Background.start("samples", this::sample);
    if (plan.partOfCore()) {
      takeTurns = new ProcessBuilder("sh", "-c", TAKE_TURNS, "sh", "" + relay.pid()).start();
    }
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(plan.seconds());
    sendSignals();
    while (System.nanoTime() < end && relay.isAlive()) {
      Thread.sleep(SAMPLE_MS);
    }
    if (relay.isAlive() && plan.endsByKill()) {
      terminateAndKill();
    } else if (!relay.isAlive()) {
      report.violation("the process ended by itself, exit code " + relay.awaitExit());
    }
    stopped = true;
    usual.finish();
    judge();
    report.log(relay.unreadLog());
    return report;
  }

  private void start(List<String> options) throws Exception {
    for (int i = 0; i < plan.endpointCount(); i++) {
      endpoints.add(
          new StubEndpoint(
              "s-" + i,
              attempts,
              plan.endpointWorkMs(),
              plan.endpointValueBytes(),
              plan.endpointFaults()));
    }
    List<String> entries = endpoints.stream().map(StubEndpoint::listEntry).toList();
    platform = new StubPlatform(entries);
    List<String> classes = new ArrayList<>();
    for (RequestClass requestClass : RequestClass.values()) {
      classes.add(
          "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"window\":%d,\"on_time\":%d,\"hard_limit\":%d,\"worth\":1}"
              .formatted(
                  requestClass.wireName,
                  requestClass.effect,
                  plan.deadlineMs(),
                  plan.deadlineMs() / 3,
                  plan.deadlineMs()));
    }
    Files.writeString(
        config,
        CONFIG.formatted(platform.address(), String.join(",", entries), String.join(",", classes)));
    relay = ServeProcess.start(config, 0, options.toArray(new String[0]));
    port = relay.awaitStarted();
  }

  private void startBadClients() {
    List<BadClient> kinds = List.copyOf(plan.kinds());
    for (int i = 0; i < plan.floods(); i++) {
      int number = i;
      Background.start(
          "bad client " + i, () -> playRepeatedly(kinds, number, new Random(plan.seed() + number)));
    }
    for (int i = 0; i < plan.crowd(); i++) {
      int number = i;
      BadClient kind =
          List.of(
                  BadClient.SAYS_NOTHING,
                  BadClient.SLOW_WRITER,
                  BadClient.HALF_LARGE_REQUEST,
                  BadClient.MANY_PARAMETERS)
              .get(i % 4);
      Background.start(
          "crowd " + i,
          () -> {
            Thread.sleep(1000);
            play(kind, "crowd-" + plan.seed() + "-" + number + "-", new Random(number));
          });
    }
  }

  private void playRepeatedly(List<BadClient> kinds, int number, Random random)
      throws InterruptedException {
    for (int i = 0; !stopped; i++) {
      BadClient kind = kinds.get((number + i) % kinds.size());
      try {
        play(kind, "bad-" + plan.seed() + "-" + number + "-" + i + "-", random);
      } catch (IOException e) {
        Thread.sleep(1); // closed: it comes again at once
      }
    }
  }

  private void play(BadClient kind, String idPrefix, Random random) throws IOException {
    badSessions.incrementAndGet();
    try (BadClient.Session session =
        new BadClient.Session(port, idPrefix, random, openIds, leftRequests)) {
      kind.play(session);
    }
  }

  private void sendSignals() throws Exception {
    for (SoakPlan.Signal signal : plan.signals()) {
      Thread.sleep(signal.afterMs());
      if (relay.isAlive()) {
        relay.signal(signal.name());
      }
    }
  }

  private void terminateAndKill() throws Exception {
    terminatedNanos = System.nanoTime();
    for (String signal : ENDING_SIGNALS) {
      if (relay.isAlive()) {
        relay.signal(signal);
      }
    }
    Thread.sleep(Math.min(plan.deadlineMs(), MAX_COUNTED_DEADLINE_MS) + GRACE_MS);
    killedNanos = System.nanoTime();
    if (relay.isAlive()) {
      relay.kill();
    } else if (relay.awaitExit() != 0) {
      report.violation("told to end, it ended with exit code " + relay.awaitExit());
    }
  }

  private void sample() throws IOException, InterruptedException {
    Path process = Path.of("/proc/" + relay.pid());
    while (!stopped && relay.isAlive()) {
      long memoryKb = 0;
      for (String line : Files.readAllLines(process.resolve("status"))) {
        if (line.startsWith("VmHWM:")) {
          memoryKb = Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
      }
      try (Stream<Path> descriptors = Files.list(process.resolve("fd"))) {
        report.resources(memoryKb, (int) descriptors.count());
      }
      Thread.sleep(SAMPLE_MS);
    }
  }

  // The verdict.

  private void judge() {
    report.badSessions(badSessions.get());
    for (RequestEnd end : usual.ends()) {
      report.count(end);
      judgeAnswer(end);
    }
    for (var left : leftRequests.all().entrySet()) {
      judgeLeft(left.getKey(), left.getValue());
    }
    for (String id : attempts.repeatedThatHold("-pay-")) {
      report.violation(id + " must not run twice and reached endpoints: " + attempts.describe(id));
    }
  }

  private void judgeAnswer(RequestEnd end) {
    boolean began = !attempts.of(end.id()).isEmpty();
    boolean relayGone = end.endedNanos() >= killedNanos;
    if (end.kind() == RequestEnd.Kind.LEFT) {
      judgeLeft(end.id(), end.endedNanos());
    } else if (end.kind() == RequestEnd.Kind.WRONG_VALUE) {
      report.violation(describe(end) + " was served with another's value");
    } else if (end.kind() == RequestEnd.Kind.SILENT) {
      report.violation(describe(end) + " got no answer in its time");
    } else if (relayGone && end.isClosed()) {
      if (end.sentNanos() - terminatedNanos > TimeUnit.MILLISECONDS.toNanos(GRACE_MS)
          && end.sentNanos() < killedNanos) {
        report.violation(describe(end) + " came after SIGTERM and was unanswered at the kill");
      }
    } else if (end.kind() == RequestEnd.Kind.READ_AND_CLOSED) {
      report.violation(describe(end) + " was read and its connection closed unanswered");
    } else if (end.isClosed() && began) {
      report.violation(describe(end) + " was passed on and its connection closed unanswered");
    }
  }

  private static String describe(RequestEnd end) {
    return end.id()
        + " ("
        + end.requestClass()
        + (end.fresh() ? ", new connection, " : ", used connection, ")
        + end.kind()
        + " after "
        + (end.endedNanos() - end.sentNanos()) / 1_000_000
        + " ms)";
  }

  private void judgeLeft(String id, long leftNanos) {
    for (long began : attempts.of(id)) {
      long afterMs = (began - leftNanos) / 1_000_000;
      if (afterMs > MAX_ATTEMPT_AFTER_LEAVING_MS + extraWaitMs) {
        report.violation(id + " was sent on " + afterMs + " ms after its client had closed");
      }
    }
  }

  @Override
  public void close() throws IOException {
    stopped = true;
    if (takeTurns != null) {
      takeTurns.destroy();
    }
    if (relay != null) {
      relay.kill();
    }
    if (platform != null) {
      platform.close();
    }
    for (StubEndpoint endpoint : endpoints) {
      endpoint.close();
    }
    Files.deleteIfExists(config);
  }

  /** The virtual machine's options of the deploy file's run line, but for its class archive. */
  static List<String> deployOptions() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"exec java (.*?) -jar ")
            .matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("deploy/balancer.toml has no run line");
    }
    return Stream.of(run.group(1).split(" "))
        .filter(option -> !option.contains("SharedArchiveFile"))
        .toList();
  }
}
