import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send commands of the largest size, one every 500 ms, while a few units hang. */
final class Behind extends Case {
  private static final int UNITS = 12;
  private static final int HANG = 2; // of 12: 17%, "up to 18%"
  private static final double HANGS_MS = 8_000; // "7.4 to 22 s"
  private static final double[] HANGS_FROM_MS = {8_000, 17_000, 26_000, 35_000, 44_000};
  private static final int CLIENTS = 20;
  private static final int APART_MS = 500;
  private static final double SECONDS = 55;

  /** What was sent so long before the end of its connection was surely read. */
  private static final double READ_MS = 50;

  private record Sent(String id, double atMs) {}

  private volatile double begin;
  private final AtomicInteger number = new AtomicInteger();
  private final String value = "ab".repeat(64 * 1024);

  public static void main(String[] args) throws Exception {
    main(args, new Behind());
  }

  @Override
  void run() throws Exception {
    Roster roster = new Roster();
    List<Unit> units = new ArrayList<>();
    for (int i = 0; i < UNITS; i++) {
      int number = i;
      units.add(
          new Unit("s-" + i, 41, 20) {
            @Override
            double work(String id, String text) {
              // what a hanging unit has taken it does not answer within the time of the case
              return workMs + (hangs(number) ? 120_000 : 0);
            }
          });
    }
    roster.list(units.stream().map(Unit::entry).toList());
    Desk desk = new Desk(41, 3, "Healthy", 1.0);
    relay = new Relay(root, folder);
    relay.start(new Settings().usualClasses(), roster, desk);
    begin = Log.ms();
    List<Thread> clients = new ArrayList<>();
    double until = Log.ms() + SECONDS * 1000;
    for (int i = 0; i < CLIENTS; i++) {
      int first = APART_MS / CLIENTS * i;
      clients.add(
          Threads.start(
              "client",
              () -> {
                Thread.sleep(first);
                while (Log.ms() < until) {
                  connection(until);
                }
              }));
    }
    for (Thread client : clients) {
      client.join(120_000);
    }
    Log.say("asked " + number + ", ended " + ends + ", broken " + broken);
  }

  /** Two units hang, then two others, and so on. */
  private boolean hangs(int unit) {
    for (int i = 0; trouble && i < HANGS_FROM_MS.length; i++) {
      double since = Log.ms() - begin - HANGS_FROM_MS[i];
      if (since >= 0 && since < HANGS_MS && unit / HANG == i) {
        return true;
      }
    }
    return false;
  }

  /** Uses one connection for as long as it stands. */
  private void connection(double until) throws IOException, InterruptedException {
    ArrayDeque<Sent> open = new ArrayDeque<>();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), relay.port)) {
      socket.setTcpNoDelay(true);
      socket.getOutputStream().write(Pg.startup());
      Thread reader = Threads.start("reader", () -> read(socket, open));
      while (Log.ms() < until && reader.isAlive()) {
        send(socket, open);
        Thread.sleep(APART_MS);
      }
      // the last answers are waited for
      for (double end = Log.ms() + 6000; Log.ms() < end && reader.isAlive(); ) {
        synchronized (open) {
          if (open.isEmpty()) {
            return;
          }
        }
        Thread.sleep(10);
      }
    } catch (IOException e) {
      Log.line("a client's connection can't be written: " + e);
      Thread.sleep(100);
    }
  }

  private void send(Socket socket, ArrayDeque<Sent> open) throws IOException {
    String id = String.format("%016x", number.incrementAndGet());
    byte[] command =
        Pg.query(
            "INSERT INTO records (k, v) VALUES ('"
                + id
                + "', '\\x"
                + value
                + "') RETURNING v /* id="
                + id
                + ",c=vendor-payout,d=5000 */");
    // in front of the writing, as the answer may come before it returns
    synchronized (open) {
      open.add(new Sent(id, Log.ms()));
    }
    socket.getOutputStream().write(command);
    Log.line("client asks " + id + " c=vendor-payout d=5000, " + open.size() + " open here");
  }

  /** Answers come in the order of the commands. */
  private void read(Socket socket, ArrayDeque<Sent> open) {
    try {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      String text = null;
      while (true) {
        Pg.Message message = Pg.read(in);
        if (message.type() == 'D') {
          text = "served";
        } else if (message.type() == 'E') {
          String code = Pg.errorField(message.body(), 'C');
          boolean refused = code.equals("53300") || code.equals("57P03");
          text = refused ? "refused" : "failed";
          Log.line("an error: " + code + " " + Pg.errorField(message.body(), 'M'));
          if (Pg.errorField(message.body(), 'S').equals("FATAL")) {
            end(open, text); // no ReadyForQuery is needed after it
            text = null;
          }
        } else if (message.type() == 'Z' && text != null) {
          end(open, text);
          text = null;
        }
      }
    } catch (IOException e) {
      double now = Log.ms();
      Log.line("a client's connection ends: " + e);
      synchronized (open) {
        for (Sent sent : open) {
          count("closed");
          double before = now - sent.atMs;
          String what =
              String.format(
                  "request %s, sent whole %.0f ms before: its connection ended with no answer",
                  sent.id, before);
          if (socket.isClosed() || before < READ_MS) {
            Log.line("not counted: " + what);
          } else {
            broken(what);
          }
        }
        open.clear();
      }
    }
  }

  private void end(ArrayDeque<Sent> open, String how) {
    synchronized (open) {
      Sent sent = open.poll();
      if (sent != null) {
        Log.line(String.format("client's %s is %s after %.0f ms", sent.id, how, Log.ms() - sent.atMs));
        count(how);
      }
    }
  }

  private void count(String how) {
    ends.computeIfAbsent(how, any -> new AtomicInteger()).incrementAndGet();
  }

  @Override
  void ended(String id, Client.Answer answer) {}
}
