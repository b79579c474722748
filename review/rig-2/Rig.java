import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the parties around a relay, and the relay as a process of its own, started by the
 * deploy file's run line. All addresses are on loopback. One clock (System.nanoTime) for all.
 */
final class Rig implements Closeable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** False with TROUBLE=0: everything but the disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long ORIGIN = System.nanoTime();

  final Path root;
  final Path temporary;
  private final PrintWriter record;
  private final List<Closeable> parts = new CopyOnWriteArrayList<>();

  Rig(Path folder) throws IOException {
    root = Path.of("").toAbsolutePath();
    temporary = Files.createTempDirectory("review-2-");
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    say("trouble %s", TROUBLE ? "on" : "off");
  }

  static double ms() {
    return (System.nanoTime() - ORIGIN) / 1e6;
  }

  synchronized void say(String form, Object... with) {
    record.printf("%10.1f  %s%n", ms(), String.format(form, with));
  }

  void sleep(double ms) {
    try {
      Thread.sleep((long) Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void thread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // the other side has closed
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  interface Task {
    void run() throws IOException;
  }

  @Override
  public void close() {
    for (int i = parts.size() - 1; i >= 0; i--) {
      try {
        parts.get(i).close();
      } catch (IOException e) {
        // it is gone
      }
    }
    record.close();
    try (var files = Files.walk(temporary)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // left to the system
    }
  }

  /** Runs a case; the exit code is 0 where the rule held, 1 where it was broken, else 2. */
  static void main(String folder, Case test) {
    int code = 2;
    try (Rig rig = new Rig(Path.of(folder))) {
      try {
        code = test.run(rig) ? 0 : 1;
        rig.say("%s", code == 0 ? "HELD" : "BROKEN");
        System.out.println(code == 0 ? "the rule held" : "the rule was broken");
      } catch (Exception e) {
        rig.say("the case could not run: %s", e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  interface Case {
    /** True where the rule held. */
    boolean run(Rig rig) throws Exception;
  }

  private abstract class Server implements Closeable {
    final ServerSocket door;
    final List<Socket> open = new CopyOnWriteArrayList<>();

    Server() throws IOException {
      door = new ServerSocket(0, 256, LOOPBACK);
      parts.add(this);
      thread(
          () -> {
            while (true) {
              Socket made = door.accept();
              made.setTcpNoDelay(true);
              open.add(made);
              thread(
                  () -> {
                    try (made) {
                      serve(made);
                    } finally {
                      open.remove(made);
                    }
                  });
            }
          });
    }

    String address() {
      return "127.0.0.1:" + door.getLocalPort();
    }

    abstract void serve(Socket client) throws IOException;

    @Override
    public void close() throws IOException {
      door.close();
      for (Socket each : open) {
        each.close();
      }
    }
  }

  // PostgreSQL's protocol.

  private static byte[] message(char type, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(type);
    int length = body.length + 4;
    out.writeBytes(new byte[] {(byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length});
    out.writeBytes(body);
    return out.toByteArray();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static final byte[] READY = message('Z', bytes("I"));

  private static byte[] error(String code, String text) {
    return message('E', bytes("SERROR\0C" + code + "\0M" + text + "\0\0"));
  }

  private static byte[] row(byte[] value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream column = new ByteArrayOutputStream();
    column.writeBytes(new byte[] {0, 1});
    column.writeBytes(bytes("v\0"));
    column.writeBytes(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 1});
    out.writeBytes(message('T', column.toByteArray()));
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    data.writeBytes(new byte[] {0, 1});
    int length = value.length;
    data.writeBytes(new byte[] {(byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length});
    data.writeBytes(value);
    out.writeBytes(message('D', data.toByteArray()));
    out.writeBytes(message('C', bytes("SELECT 1\0")));
    return out.toByteArray();
  }

  private static final Pattern COMMENT = Pattern.compile("k = '([^']*)'.*/\\* (.*) \\*/", Pattern.DOTALL);
  private static final Pattern INSERT = Pattern.compile("VALUES \\('([^']*)'.*/\\* (.*) \\*/", Pattern.DOTALL);

  /** An attempt as its unit saw it; {@code cameAt}: when its last byte had come. */
  record Attempt(Unit unit, String id, String key, double toldMs, double cameAt) {}

  /** A sound unit: it runs what comes, one request at a time on a connection. */
  final class Unit extends Server {
    final String id;
    final int build;
    volatile long startedMs;
    volatile String state = "SERVING";
    volatile ToDoubleFunction<Attempt> serviceMs = attempt -> 20;

    /** How long a new connection takes to come up. */
    volatile double welcomeMs;

    /** It finishes what it has and turns away what is new. */
    volatile boolean turnsAway;

    final List<Attempt> attempts = new CopyOnWriteArrayList<>();
    volatile Consumer<Attempt> onAttempt = attempt -> {};

    Unit(String id, int build) throws IOException {
      this.id = id;
      this.build = build;
    }

    String entry() {
      return String.format(
          "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"braamfontein-dc\",\"kind\":\"fast-4core\",\"cell\":1,"
              + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d,\"image_id\":%d}",
          id, address(), state, startedMs, build);
    }

    @Override
    void serve(Socket client) throws IOException {
      DataInputStream in = new DataInputStream(client.getInputStream());
      OutputStream out = client.getOutputStream();
      in.readFully(new byte[in.readInt() - 4]);
      if (welcomeMs > 0) {
        sleep(welcomeMs);
      }
      ByteArrayOutputStream welcome = new ByteArrayOutputStream();
      welcome.writeBytes(message('R', new byte[4]));
      welcome.writeBytes(READY);
      out.write(welcome.toByteArray());
      while (true) {
        int type = in.read();
        if (type < 0 || type == 'X') {
          return;
        }
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        String text = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
        if (text.isBlank()) {
          out.write(message('I', new byte[0]));
          out.write(READY);
          continue;
        }
        out.write(answer(text));
      }
    }

    private byte[] answer(String text) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      Matcher form = (text.startsWith("INSERT") ? INSERT : COMMENT).matcher(text);
      if (!form.find()) {
        out.writeBytes(text.startsWith("SELECT 1") ? row(bytes("1")) : error("08P01", "not understood"));
        out.writeBytes(READY);
        return out.toByteArray();
      }
      Map<String, String> said = new LinkedHashMap<>();
      for (String part : form.group(2).split(",")) {
        said.put(part.split("=", 2)[0].trim(), part.split("=", 2)[1].trim());
      }
      Attempt came =
          new Attempt(this, said.get("id"), form.group(1), Double.parseDouble(said.get("d")), ms());
      attempts.add(came);
      say("unit %s of build %d gets %s key %s, told %.0f ms%s", id, build, came.id, came.key, came.toldMs,
          turnsAway ? ", turns it away" : "");
      onAttempt.accept(came);
      if (turnsAway) {
        out.writeBytes(error("53300", "draining"));
      } else {
        sleep(serviceMs.applyAsDouble(came));
        out.writeBytes(row(bytes(id + ":" + came.id)));
      }
      out.writeBytes(READY);
      return out.toByteArray();
    }
  }

  // HTTP.

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        out.write(next);
      }
    }
    return out.toString(StandardCharsets.ISO_8859_1);
  }

  private static byte[] chunk(String text) {
    return bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  /** Discovery's agent. While silent it takes connections and says nothing; it goes on after that. */
  final class Discovery extends Server {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<String> changes = new ArrayList<>();
    private int version = 100;
    private boolean silent;

    Discovery() throws IOException {}

    synchronized void silent(boolean is) {
      silent = is;
      say("discovery is %s", is ? "down: silent" : "up");
      notifyAll();
    }

    /** Changes what is listed. */
    synchronized void tell(Unit... units) {
      StringBuilder list = new StringBuilder();
      for (Unit unit : units) {
        list.append(list.length() == 0 ? "" : ",").append(unit.entry());
        if (unit.state.equals("DELETED")) {
          entries.remove(unit.id);
        } else {
          entries.put(unit.id, unit.entry());
        }
        say("discovery tells: %s of build %d is %s", unit.id, unit.build, unit.state);
      }
      version++;
      changes.add("{\"version\":" + version + ",\"full\":false,\"servers\":[" + list + "]}\n");
      notifyAll();
    }

    synchronized String whole() {
      return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    @Override
    void serve(Socket client) throws IOException {
      InputStream in = client.getInputStream();
      OutputStream out = client.getOutputStream();
      while (!line(in).isEmpty()) {}
      String first;
      int next;
      synchronized (this) {
        awaitVoice();
        first = whole() + "\n";
        next = changes.size();
      }
      out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
      out.write(chunk(first));
      while (true) {
        String tells;
        synchronized (this) {
          if (next == changes.size()) {
            sleepUntilNotified(2000);
          }
          awaitVoice();
          tells = next < changes.size() ? changes.get(next++) : "\n";
        }
        out.write(chunk(tells));
      }
    }

    private void awaitVoice() {
      while (silent) {
        sleepUntilNotified(1000);
      }
    }

    private void sleepUntilNotified(long ms) {
      try {
        wait(ms);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The release desk. */
  final class Desk extends Server {
    private int build;
    private int stage;
    private String phase;
    private double cap;
    private double since;
    private int told;

    Desk(int build, int stage, String phase, double cap) throws IOException {
      this.build = build;
      this.stage = stage;
      this.phase = phase;
      this.cap = cap;
      since = ms() - 60_000;
    }

    synchronized void news(int build, int stage, String phase, double cap) {
      this.build = build;
      this.stage = stage;
      this.phase = phase;
      this.cap = cap;
      since = ms();
      told++;
      say("the desk tells: build %d, stage %d, %s, cap %.3f", build, stage, phase, cap);
      notifyAll();
    }

    synchronized String json() {
      return String.format(
          "{\"build\":%d,\"stage\":%d,\"phase\":\"%s\",\"cap\":%s,\"age_ms\":%d}", build, stage, phase, cap, (long) (ms() - since));
    }

    private synchronized String event() {
      return String.format(
          "event: news\ndata: build=%d&stage=%d&phase=%s&cap=%s&age_ms=%d\n\n", build, stage, phase, cap, (long) (ms() - since));
    }

    @Override
    void serve(Socket client) throws IOException {
      InputStream in = client.getInputStream();
      OutputStream out = client.getOutputStream();
      while (true) {
        String first = line(in);
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
          if (header.toLowerCase().startsWith("content-length:")) {
            length = Integer.parseInt(header.substring(15).trim());
          }
        }
        if (first.startsWith("GET")) {
          bulletin(out);
        }
        String form = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        out.write(bytes(answer(form)));
      }
    }

    private void bulletin(OutputStream out) throws IOException {
      out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
      int heard = -1;
      while (true) {
        String tells = ":\n";
        synchronized (this) {
          if (heard == told) {
            try {
              wait(1000);
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
          }
          if (heard != told) {
            heard = told;
            tells = event();
          }
        }
        out.write(chunk(tells));
      }
    }

    private synchronized String answer(String form) {
      say("the desk gets a vote: %s", form);
      boolean moot = !form.contains("build=" + build + "&");
      String body =
          moot
              ? "<?xml version=\"1.0\"?>\n<Error><Code>moot</Code></Error>"
              : String.format(
                  "<?xml version=\"1.0\"?>\n<Response><entries><item><build>%d</build><stage>%d</stage>"
                      + "<phase>%s</phase><cap>%s</cap><age_ms>%d</age_ms></item></entries></Response>",
                  build, stage, phase, cap, (long) (ms() - since));
      return "HTTP/1.1 " + (moot ? "400 Bad Request" : "200 OK") + "\r\nContent-Type: text/xml\r\nContent-Length: "
          + body.length() + "\r\n\r\n" + body;
    }
  }

  // The relay.

  /** A port that nothing listens at now. */
  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, LOOPBACK)) {
      return probe.getLocalPort();
    }
  }

  private String runLine() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      Matcher run = Pattern.compile("run = \"(.*?)\".*").matcher(line);
      if (run.matches()) {
        return run.group(1);
      }
    }
    throw new IOException("the deploy file has no run line");
  }

  final class Relay implements Closeable {
    final Process process;
    final int port;
    private final List<String> log = new CopyOnWriteArrayList<>();

    Relay(String config, int port) throws IOException {
      this.port = port;
      Path file = Files.createTempFile(temporary, "relay", ".json");
      Files.writeString(file, config);
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
      builder.directory(root.toFile()).redirectErrorStream(true);
      builder.environment().put("LB_CONFIG", file.toString());
      builder.environment().put("LB_NAME", "n0");
      builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
      process = builder.start();
      parts.add(this);
      say("the relay starts, process %d, at port %d", process.pid(), port);
      BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      thread(
          () -> {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
              log.add(line);
              if (!line.contains(" FIGURES ") && !line.contains(" CLIENTS ")) {
                say("relay: %s", line);
              }
            }
          });
    }

    /** As the front does: it is ready once it has answered an empty query. */
    void awaitReady() throws IOException {
      double until = ms() + 30_000;
      while (ms() < until) {
        try (Client client = new Client(port)) {
          if (client.ask("", 2000).code.equals("empty")) {
            say("the relay is ready");
            return;
          }
        } catch (IOException e) {
          sleep(20);
        }
      }
      throw new IOException("the relay is not ready within 30 s");
    }

    /** Killed outright. */
    void kill() throws IOException {
      say("the relay is killed");
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public void close() {
      process.destroyForcibly();
    }
  }

  /** How a request ended: served, refused, failed, empty, none. */
  record Outcome(String code, String value, double sentAt, double doneAt) {}

  /** A client's connection, for one request at a time. */
  final class Client implements Closeable {
    private final Socket socket;
    private final DataInputStream in;
    private boolean welcomed;

    Client(int port) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
      in = new DataInputStream(socket.getInputStream());
      byte[] body = bytes("\0\3\0\0user\0svc\0database\0main\0\0");
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(new byte[] {0, 0, 0, (byte) (body.length + 4)});
      out.writeBytes(body);
      socket.getOutputStream().write(out.toByteArray());
    }

    /** Sends a query and waits for what comes of it; {@code waitMs} is how long. */
    Outcome ask(String text, double waitMs) throws IOException {
      socket.getOutputStream().write(message('Q', bytes(text + "\0")));
      double sent = ms();
      String code = "none";
      String value = "";
      try {
        while (true) {
          double left = sent + waitMs - ms();
          if (left <= 0) {
            break;
          }
          socket.setSoTimeout((int) Math.ceil(left));
          int type = in.read();
          if (type < 0) {
            break;
          }
          byte[] body = new byte[in.readInt() - 4];
          in.readFully(body);
          if (type == 'D') {
            value = new String(body, 6, body.length - 6, StandardCharsets.ISO_8859_1);
          } else if (type == 'C') {
            code = "served";
          } else if (type == 'I') {
            code = "empty";
          } else if (type == 'E') {
            String said = new String(body, StandardCharsets.ISO_8859_1);
            code = said.contains("C53300\0") || said.contains("C57P03\0") ? "refused" : "failed";
            value = said.replace('\0', ' ').trim();
          } else if (type == 'Z') {
            if (welcomed) {
              break;
            }
            welcomed = true;
          }
        }
      } catch (SocketTimeoutException | SocketException | EOFException e) {
        value += " (" + e.getMessage() + ")";
      }
      return new Outcome(code, value, sent, ms());
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static String select(String id, String method, String key, int ms) {
    return String.format("SELECT v FROM records WHERE k = '%s' /* id=%s,c=%s,d=%d */", key, id, method, ms);
  }

  static String insert(String id, String method, String key, int ms, String idempotencyKey) {
    return String.format(
        "INSERT INTO records (k, v) VALUES ('%s', '\\x9f03') RETURNING v /* id=%s,c=%s,d=%d%s */",
        key, id, method, ms, idempotencyKey == null ? "" : ",k=" + idempotencyKey);
  }

  // Configuration.

  /** A method: its effect as the settings name it. */
  static String method(String name, String effect, int aim, int deadline, double worth, int window) {
    return String.format(
        "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"on_time\":%d,\"hard_limit\":%d,\"late_share\":0,"
            + "\"stream\":false,\"window\":%d,\"worth\":%s}",
        name, effect, aim, deadline, window, worth);
  }

  /** Settings of a small deployment: what differs between sites is given. */
  static String settings(String methods, int relays, int drainGraceMs, String specifics, boolean probes, boolean copies) {
    return "{\"family\":\"rollout\",\"balancers\":" + relays + ",\"index\":0,\"my_zone\":0,\"tick\":5,"
        + "\"membership_mode\":\"push\",\"kinds\":[\"fast-4core\"],\"zones\":[\"braamfontein-dc\"],\"orgs\":[],"
        + "\"over_share_worth\":0.1,\"classes\":[" + methods + "],"
        + "\"obligations\":{\"answer_slack\":20,\"ask_within\":10000,\"cold\":3900,\"drain_grace\":" + drainGraceMs
        + ",\"start_capacity\":0.36,\"tip_after\":1000,\"tip_multiple\":3},"
        + "\"permissions\":{\"cancel\":true,\"connect_timeout\":250,\"keepalive\":30000,\"max_open\":20000,"
        + "\"max_retry_after\":500,\"multiplex\":1,\"peers\":false,\"probes\":" + probes + ",\"retry_after\":true,"
        + "\"second_copies\":" + copies + ",\"send_cap\":5},"
        + "\"specifics\":" + specifics + ",\"telemetry\":{\"how\":\"off\",\"names\":[]},\"weight_kind\":\"rough\"}";
  }

  String config(String settings, Discovery discovery, String known, Desk desk, int port) {
    return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
        + "\",\"seed\":\"" + Long.toHexString(System.nanoTime() | 1) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},"
        + "\"release_api\":{\"address\":\"" + desk.address() + "\",\"news\":" + desk.json() + "},"
        + "\"known\":" + known + ",\"settings\":" + settings + "}";
  }
}
