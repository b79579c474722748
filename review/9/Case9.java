import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Two requests of one key at once; connections to units of the earlier build come up late. */
final class Case9 {
  /** What every time limit is longer by on sockets. */
  private static final double SLACK_MS = 50;

  private static final int ROUNDS = 12;

  public static void main(String[] args) {
    Rig.main(args[0], Case9::run);
  }

  /** Bookings are heavier than headcounts, on whichever build. */
  private static double serviceMs(Rig.Attempt attempt) {
    return attempt.id().startsWith("r") ? 250 : 60;
  }

  private static boolean run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    Rig.Desk desk = rig.new Desk(42, 2, "Progressing", 0.42);
    List<Rig.Unit> earlier = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      Rig.Unit unit = rig.new Unit("s-e" + i, 41);
      unit.serviceMs = Case9::serviceMs;
      earlier.add(unit);
      discovery.tell(unit);
    }
    // when the relay had ok for a key from the build on trial
    Map<String, Double> answered = new ConcurrentHashMap<>();
    for (int i = 0; i < 3; i++) {
      Rig.Unit unit = rig.new Unit("s-t" + i, 42);
      unit.serviceMs = Case9::serviceMs;
      unit.startedMs = System.currentTimeMillis() - 20_000;
      discovery.tell(unit);
    }
    int port = Rig.freePort();
    Rig.Relay relay = rig.new Relay(rig.config(Sites.ekurhuleni(3), discovery, discovery.whole(), desk, port), port);
    relay.awaitReady();
    List<Rig.Client> clients = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      clients.add(rig.new Client(port));
      clients.get(i).ask("", 2000);
    }
    for (int i = 0; i < 150; i++) {
      clients.get(0).ask(Rig.insert("w" + i, "delivery-book", "w" + i, 3000, null), 3000);
    }
    if (Rig.TROUBLE) {
      rig.say("from now on new connections to units of build 41 take 200 ms to come up");
      for (Rig.Unit unit : earlier) {
        unit.welcomeMs = 200;
      }
    }
    for (int round = 0; round < ROUNDS; round++) {
      int burst = 6 * (round + 1);
      String key = Integer.toHexString(0x1000 + round);
      List<String> statements = new ArrayList<>();
      for (int i = 0; i < burst; i++) {
        String id = "r" + round + "-" + i;
        statements.add(Rig.insert(id, "delivery-book", id.replace("-", "x"), 3000, null));
      }
      for (int i = 0; i < 2; i++) {
        statements.add(Rig.select("k" + round + "-" + i, "roster-update", key, 3000));
      }
      CountDownLatch done = new CountDownLatch(statements.size());
      for (int i = 0; i < statements.size(); i++) {
        Rig.Client client = clients.get(i);
        String statement = statements.get(i);
        boolean isOfKey = i >= burst;
        rig.thread(
            () -> {
              try {
                Rig.Outcome outcome = client.ask(statement, 3500);
                if (isOfKey) {
                  rig.say("client: key %s: %s %s after %.0f ms", key, outcome.code(), outcome.value(),
                      outcome.doneAt() - outcome.sentAt());
                  if (outcome.code().equals("served") && outcome.value().startsWith("s-t")) {
                    answered.merge(key, outcome.doneAt(), Math::min);
                  }
                }
              } finally {
                done.countDown();
              }
            });
        if (isOfKey) {
          rig.sleep(5);
        }
      }
      done.await(10, TimeUnit.SECONDS);
      rig.sleep(500);
    }
    int wrong = 0;
    for (Rig.Unit unit : earlier) {
      for (Rig.Attempt attempt : unit.attempts) {
        Double ok = answered.get(attempt.key());
        if (ok != null && attempt.cameAt() > ok + SLACK_MS) {
          rig.say("key %s went to unit %s of build 41 %.0f ms behind the answer that build 42 gave through this relay", attempt.key(),
              unit.id, attempt.cameAt() - ok);
          wrong++;
        }
      }
    }
    rig.say("%d of %d keys were answered by build 42; %d attempts at build 41 came behind that", answered.size(), ROUNDS, wrong);
    return wrong == 0;
  }
}
