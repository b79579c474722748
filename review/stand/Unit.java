import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A unit: welcomes any user, and answers each statement with a value made for its id. */
class Unit {
  final String name;
  final ServerSocket listener;
  volatile double workMs;
  volatile int build;
  volatile String state = "SERVING";
  volatile long startedMs;
  volatile String zone = "braamfontein-dc";
  volatile String kind = "fast-4core";
  volatile int cell = 1;
  volatile double weight = 1.0;

  Unit(String name, int build, double workMs) throws IOException {
    this.name = name;
    this.build = build;
    this.workMs = workMs;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    Threads.start("unit " + name, this::take);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  Map<String, Object> entry() {
    Map<String, Object> made = new LinkedHashMap<>();
    made.put("id", name);
    made.put("addr", address());
    made.put("zone", zone);
    made.put("kind", kind);
    made.put("cell", cell);
    made.put("state", state);
    made.put("weight", weight);
    made.put("started_ms", startedMs);
    made.put("image_id", build);
    return made;
  }

  private void take() throws Exception {
    while (true) {
      Socket socket = listener.accept();
      Threads.start("connection of " + name, () -> serve(socket));
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      OutputStream out = socket.getOutputStream();
      Pg.readStartup(in);
      out.write(Pg.welcome());
      while (true) {
        Pg.Message message = Pg.read(in);
        if (message.type() != 'Q') {
          return;
        }
        String text =
            new String(message.body(), 0, message.body().length - 1, StandardCharsets.ISO_8859_1);
        if (text.isBlank()) {
          out.write(Pg.join(Pg.message('I', new byte[0]), Pg.ready()));
          continue;
        }
        String id = Pg.said(text, "id");
        Log.line("unit " + name + " gets " + id + " d=" + Pg.said(text, "d"));
        got(id, text);
        Thread.sleep((long) work(id, text));
        answer(id, text, in, out);
      }
    } catch (IOException | InterruptedException e) {
      Log.line("unit " + name + " connection ended: " + e);
    }
  }

  /** The last byte of a statement has come. */
  void got(String id, String text) {}

  double work(String id, String text) {
    return workMs;
  }

  void answer(String id, String text, DataInputStream in, OutputStream out)
      throws IOException, InterruptedException {
    out.write(Pg.join(Pg.row(value(id)), Pg.ready()));
  }

  static byte[] value(String id) {
    return ("made for " + id).getBytes(StandardCharsets.US_ASCII);
  }
}
