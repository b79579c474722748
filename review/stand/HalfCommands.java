import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients come by the hundred, stop in the middle of a request, and stay. */
final class HalfCommands extends Case {
  private static final int BAD = 320; // a third of 1,024 descriptors is 341
  private static final int SENT = 160_000; // bytes of a command that is never ended

  public static void main(String[] args) throws Exception {
    main(args, new HalfCommands());
  }

  @Override
  void run() throws Exception {
    Roster roster = new Roster();
    List<Unit> units = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      units.add(
          new Unit("s-" + i, 41, 100) {
            @Override
            void got(String id, String text) {
              passedOn.add(id);
            }
          });
    }
    roster.list(units.stream().map(Unit::entry).toList());
    Desk desk = new Desk(41, 3, "Healthy", 1.0);
    relay = new Relay(root, folder);
    relay.start(new Settings().usualClasses(), roster, desk);
    AtomicInteger came = new AtomicInteger();
    if (trouble) {
      Threads.start(
          "bad clients",
          () -> {
            Thread.sleep(12000);
            Log.say(BAD + " bad clients come");
            for (int i = 0; i < BAD; i++) {
              Threads.start("bad client", () -> bad(came));
            }
          });
    }
    ask(60, 40);
    if (trouble && came.get() < BAD) {
      throw new IOException("only " + came + " of " + BAD + " bad clients could connect");
    }
    Log.say("the relay's process is " + (relay.alive() ? "there" : "gone"));
    if (!relay.alive()) {
      broken("the relay's process ended");
    }
  }

  /** Sends the startup message and a part of one command at full speed, and reads till the end. */
  private void bad(AtomicInteger came) throws IOException {
    byte[] command =
        Pg.query(
            "INSERT INTO records (k, v) VALUES ('ab', '\\x"
                + "ab".repeat(SENT / 2 + 500)
                + "') RETURNING v /* id=ab,c=order-place,d=4000,k=ab */");
    double start = Log.ms();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), relay.port)) {
      came.incrementAndGet();
      socket.setSoTimeout(10000);
      socket.getOutputStream().write(Pg.startup());
      socket.getOutputStream().write(command, 0, SENT);
      while (socket.getInputStream().read() >= 0) {
        continue;
      }
      Log.line(String.format("a bad client is closed after %.0f ms", Log.ms() - start));
    } catch (IOException e) {
      Log.line(String.format("a bad client ends after %.0f ms: %s", Log.ms() - start, e));
    }
  }

  @Override
  void ended(String id, Client.Answer answer) {
    if (answer.how().equals("silent")) {
      broken("request " + id + " got no answer in its time and " + LATE_MS + " ms more");
    } else if (answer.how().equals("closed") && passedOn.contains(id)) {
      broken("request " + id + " was passed on and its connection closed with no answer");
    }
  }
}
