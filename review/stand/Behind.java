import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send a few commands of the largest size behind one another while units pause. */
final class Behind extends Case {
  private static final int UNITS = 14;
  private static final int PAUSE = 6; // of 14: 43%, "up to 48%"
  private static final int CLIENTS = 8;
  private static final int GROUP = 5;
  private static final int APART_MS = 160;
  private static final double SECONDS = 90;

  /** What was sent so long before the end of its connection was surely read. */
  private static final double READ_MS = 50;

  private record Sent(String id, double atMs, double waitsMs) {}

  private final AtomicInteger number = new AtomicInteger();
  private final String value = "ab".repeat(64 * 1024);

  public static void main(String[] args) throws Exception {
    main(args, new Behind());
  }

  /** The classes and figures of tshwane-vendor-orders as the brief has them. */
  private static Settings settings() {
    Settings made = new Settings();
    made.addClass("menu-read", "read_like", 1500, 5000, 1);
    made.addClass("price-quote", "read_like", 1200, 5000, 2);
    made.addClass("order-place", "idempotency_key", 1000, 2500, 5);
    made.classes.get(2).put("window", 5000.0);
    made.addClass("payout-settle", "non_idempotent", 1000, 4000, 3);
    made.set("permissions", "second_copies", false);
    made.set("permissions", "send_cap", 6);
    made.set("obligations", "drain_grace", 2000.0);
    made.set("obligations", "cold", 4800.0);
    made.set("obligations", "start_capacity", 0.45);
    made.set("obligations", "tip_multiple", 2.5);
    made.set("obligations", "tip_after", 2000.0);
    return made;
  }

  @Override
  void run() throws Exception {
    Roster roster = new Roster();
    List<Unit> units = new ArrayList<>();
    for (int i = 0; i < UNITS; i++) {
      boolean pauses = trouble && i < PAUSE;
      double shift = 500 * i;
      units.add(
          new Unit("s-" + i, 41, 20) {
            @Override
            double work(String id, String text) {
              // stands still for the first 500 ms of every 2.5 s
              double since = (Log.ms() + shift) % 2500;
              return workMs + (pauses && since < 500 ? 500 - since : 0);
            }
          });
    }
    roster.list(units.stream().map(Unit::entry).toList());
    Desk desk = new Desk(41, 2, "Healthy", 1.0);
    relay = new Relay(root, folder);
    relay.start(settings(), roster, desk);
    List<Thread> clients = new ArrayList<>();
    double until = Log.ms() + SECONDS * 1000;
    for (int i = 0; i < CLIENTS; i++) {
      int first = 220 * i;
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

  /** Uses one connection for as long as it stands. */
  private void connection(double until) throws IOException, InterruptedException {
    ArrayDeque<Sent> open = new ArrayDeque<>();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), relay.port)) {
      socket.setTcpNoDelay(true);
      socket.getOutputStream().write(Pg.startup());
      Thread reader = Threads.start("reader", () -> read(socket, open));
      while (Log.ms() < until && reader.isAlive()) {
        for (int i = 0; i < GROUP && reader.isAlive(); i++) {
          send(socket, open);
          Thread.sleep(APART_MS);
        }
        Thread.sleep(800 + (long) (400 * Math.random()));
      }
      // the last answers are waited for
      for (double end = Log.ms() + 3500; Log.ms() < end && reader.isAlive(); ) {
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
                + ",c=order-place,d=2500,k="
                + id
                + " */");
    // in front of the writing, as the answer may come before it returns
    synchronized (open) {
      open.add(new Sent(id, Log.ms(), 2500));
    }
    socket.getOutputStream().write(command);
    Log.line("client asks " + id + " c=order-place d=2500, " + open.size() + " open here");
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
    } catch (SocketTimeoutException e) {
      throw new IllegalStateException(e);
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
