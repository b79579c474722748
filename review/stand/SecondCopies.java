import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Some answers of units are followed by a second copy of them, some milliseconds late. */
final class SecondCopies extends Case {
  private static final double SHARE = 0.2;
  private static final double FROM_MS = 5;
  private static final double TO_MS = 15;

  public static void main(String[] args) throws Exception {
    main(args, new SecondCopies());
  }

  @Override
  void run() throws Exception {
    Roster roster = new Roster();
    List<Unit> units = new ArrayList<>();
    AtomicInteger copies = new AtomicInteger();
    for (int i = 0; i < 10; i++) {
      units.add(
          new Unit("s-" + i, 41, 20) {
            @Override
            void answer(String id, String text, DataInputStream in, OutputStream out)
                throws IOException, InterruptedException {
              super.answer(id, text, in, out);
              if (!trouble || Math.random() >= SHARE) {
                return;
              }
              double at = Log.ms() + FROM_MS + Math.random() * (TO_MS - FROM_MS);
              while (Log.ms() < at) {
                if (in.available() > 0) {
                  return;
                }
                Thread.sleep(0, 200_000);
              }
              byte[] copy = Pg.join(Pg.row(value(id)), Pg.ready());
              if (in.available() > 0) {
                return; // "when nothing else is waiting on the connection"
              }
              out.write(copy);
              copies.incrementAndGet();
              Log.line("unit " + name + " sent a second copy of its answer to " + id);
            }
          });
    }
    roster.list(units.stream().map(Unit::entry).toList());
    Desk desk = new Desk(41, 3, "Healthy", 1.0);
    relay = new Relay(root, folder);
    relay.start(new Settings().usualClasses(), roster, desk);
    ask(230, 95);
    Log.say(copies + " second copies");
  }

  @Override
  void ended(String id, Client.Answer answer) {
    if (answer.how().equals("served") && !answer.text().equals(new String(Unit.value(id)))) {
      broken("request " + id + " was served with what was " + answer.text());
    }
  }
}
