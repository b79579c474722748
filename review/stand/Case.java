import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * One run of a case: a folder for the relay, the usual clients, and the verdict as the exit code: 0
 * the rule held, 1 it was broken, 2 the case couldn't run.
 */
abstract class Case {
  /** Clients hold at most a third of 1,024 descriptors. */
  private static final int MOST_CLIENTS = 300;

  /** "Up to half a second after its time it only earns nothing", and 50 ms on sockets. */
  static final double LATE_MS = 550;

  /** A script runs for 120 s at most. */
  private static final long MOST_MS = 118_000;

  static final String[] CLASSES = {"menu-read", "order-place", "vendor-payout"};
  static final double[] DEADLINES = {6000, 4000, 5000};

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Random random = new Random(1);
  final Set<String> passedOn = ConcurrentHashMap.newKeySet();
  final Map<String, AtomicInteger> ends = new ConcurrentSkipListMap<>();
  final AtomicInteger broken = new AtomicInteger();
  Path root;
  Path folder;
  Relay relay;
  private final ArrayDeque<Client> idle = new ArrayDeque<>();
  private final AtomicInteger open = new AtomicInteger();
  private int asked;

  abstract void run() throws Exception;

  /** An answer has come; {@code id} is the request's. */
  abstract void ended(String id, Client.Answer answer);

  final void broken(String what) {
    if (broken.incrementAndGet() <= 20) {
      Log.say("BROKEN: " + what);
    } else {
      Log.line("BROKEN: " + what);
    }
  }

  /** Usual clients ask at a mean rate, with the shares of the classes as in the brief. */
  final void ask(double perSecond, double seconds) throws InterruptedException {
    double begin = Log.ms();
    double next = begin;
    double said = begin;
    while (Log.ms() < begin + seconds * 1000) {
      next += -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
      double pause = next - Log.ms();
      if (pause > 0) {
        Thread.sleep((long) pause);
      }
      if (Log.ms() - said > 5000) {
        said = Log.ms();
        Log.say("asked " + asked + ", open " + open + ", ended " + ends + ", broken " + broken);
      }
      if (open.get() >= MOST_CLIENTS) {
        continue;
      }
      Client client;
      synchronized (idle) {
        Client kept = idle.pollLast();
        client = kept != null ? kept : new Client(relay.port);
      }
      String id = String.format("%016x", ++asked);
      double kind = random.nextDouble();
      int of = kind < 0.4 ? 0 : kind < 0.76 ? 1 : 2;
      int waits = (int) (DEADLINES[of] * (0.4 + 0.6 * random.nextDouble()));
      String first =
          of == 0
              ? "SELECT v FROM records WHERE k = '" + id + "'"
              : "INSERT INTO records (k, v) VALUES ('" + id + "', '\\x9f03') RETURNING v";
      String key = of == 1 ? ",k=" + id : "";
      String statement =
          first + " /* id=" + id + ",c=" + CLASSES[of] + ",d=" + waits + key + " */";
      open.incrementAndGet();
      Threads.start(
          "client",
          () -> {
            Log.line("client asks " + id + " c=" + CLASSES[of] + " d=" + waits);
            Client.Answer answer = client.ask(statement, waits + LATE_MS);
            Log.line(
                String.format(
                    "client's %s is %s after %.0f ms: %s",
                    id, answer.how(), answer.endedMs() - answer.sentMs(), answer.text()));
            ends.computeIfAbsent(answer.how(), how -> new AtomicInteger()).incrementAndGet();
            ended(id, answer);
            synchronized (idle) {
              if (client.open()) {
                idle.addLast(client);
              }
            }
            open.decrementAndGet();
          });
    }
    Thread.sleep((long) (6000 + LATE_MS + 500));
    Log.say("asked " + asked + ", open " + open + ", ended " + ends + ", broken " + broken);
  }

  static void main(String[] args, Case one) throws Exception {
    one.root = Path.of(args[0]).toAbsolutePath();
    Log.open(Path.of(args[1]).resolve("record.txt"));
    one.folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(Relay::endAll));
    Threads.start(
        "watchdog",
        () -> {
          Thread.sleep(MOST_MS);
          Log.say("the case couldn't run: it is not done in time");
          Log.close();
          Relay.endAll();
          Runtime.getRuntime().halt(2);
        });
    int code = 2;
    try {
      if (!Files.exists(one.root.resolve("target/sprucerock.jar"))) {
        throw new IOException("target/sprucerock.jar is missing; build first");
      }
      Log.say(one.trouble ? "with the disruption" : "without the disruption");
      one.run();
      code = one.broken.get() > 0 ? 1 : 0;
      Log.say(code == 1 ? "the rule was broken " + one.broken + " times" : "the rule held");
    } catch (Exception e) {
      Log.say("the case couldn't run: " + e);
    }
    Relay.endAll();
    Path log = one.folder.resolve("relay.log");
    if (Files.exists(log)) {
      List<String> lines = Files.readAllLines(log);
      for (int i = 0; i < lines.size(); i++) {
        if (i < 100 || i >= lines.size() - 30) {
          Log.line("the relay's log: " + lines.get(i));
        }
      }
    }
    Log.close();
    try (Stream<Path> all = Files.walk(one.folder)) {
      all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
    Runtime.getRuntime().halt(code);
  }
}
