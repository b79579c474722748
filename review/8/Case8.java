import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A unit drains while a relay is down; the relay starts again while discovery is down. */
final class Case8 {
  /** The grace of the settings, and what every time limit is longer by on sockets. */
  private static final double GRACE_MS = 500 + 50;

  private static final int DRAINING = 2;
  private static final int CLIENTS = 10;

  public static void main(String[] args) {
    Rig.main(args[0], Case8::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    Rig.Desk desk = rig.new Desk(41, 3, "Healthy", 1.0);
    Rig.Unit[] units = new Rig.Unit[6];
    for (int i = 0; i < units.length; i++) {
      units[i] = rig.new Unit("s-0000000" + i, 41);
      units[i].serviceMs = attempt -> 60;
    }
    discovery.tell(units);
    int port = Rig.freePort();
    String known = discovery.whole();
    Rig.Relay relay = rig.new Relay(rig.config(Sites.jhb(3), discovery, known, desk, port), port);
    relay.awaitReady();
    ask(rig, port, "a", Rig.ms() + 2000);
    relay.kill();

    // its agent is told; this relay, which is down, had the list before that
    for (int i = 0; i < DRAINING; i++) {
      units[i].state = "DRAINING";
      units[i].turnsAway = true;
      discovery.tell(units[i]);
    }
    rig.sleep(1000);
    if (Rig.TROUBLE) {
      discovery.silent(true);
    }
    double started = Rig.ms();
    relay = rig.new Relay(rig.config(Sites.jhb(3), discovery, known, desk, port), port);
    if (Rig.TROUBLE) {
      // down for 8 s
      rig.thread(
          () -> {
            rig.sleep(8000);
            discovery.silent(false);
          });
    }
    relay.awaitReady();
    rig.say("ready %.0f ms behind its start", Rig.ms() - started);
    ask(rig, port, "b", Rig.ms() + 10_000);

    List<Rig.Attempt> wrong = new CopyOnWriteArrayList<>();
    for (int i = 0; i < DRAINING; i++) {
      for (Rig.Attempt attempt : units[i].attempts) {
        if (attempt.cameAt() > started + GRACE_MS) {
          wrong.add(attempt);
        }
      }
    }
    wrong.sort(Comparator.comparingDouble(Rig.Attempt::cameAt));
    rig.say("%d attempts were sent to draining units later than %.0f ms behind the start of the process", wrong.size(), GRACE_MS);
    if (!wrong.isEmpty()) {
      rig.say("the first %.0f, the last %.0f ms behind it", wrong.get(0).cameAt() - started, wrong.get(wrong.size() - 1).cameAt() - started);
    }
    return wrong.isEmpty();
  }

  /** Some clients, each of which asks one request after another until then. */
  private static void ask(Rig rig, int port, String name, double until) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(CLIENTS);
    for (int client = 0; client < CLIENTS; client++) {
      String prefix = name + client + "x";
      rig.thread(
          () -> {
            try {
              for (int i = 0; Rig.ms() < until; i++) {
                String id = prefix + i;
                try (Rig.Client made = rig.new Client(port)) {
                  Rig.Outcome outcome = made.ask(Rig.select(id, "menu-read", id, 3000), 4000);
                  rig.say("client: %s %s %s", id, outcome.code(), outcome.value());
                }
                rig.sleep(150);
              }
            } finally {
              done.countDown();
            }
          });
    }
    done.await(30, TimeUnit.SECONDS);
  }
}
