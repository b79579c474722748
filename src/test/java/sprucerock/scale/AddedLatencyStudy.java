package sprucerock.scale;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;
import sprucerock.transport.postgres.ProtocolException;

/**
 * What the relay that serves adds to a request's time, at a fixed rate that waits for no answer.
 * The relay is the real process on loopback sockets; clients, units, discovery and desk are here,
 * on one selector and one clock, so that each request has four moments: written by its client, read
 * by a unit, answered by the unit, read by its client. What lies between the middle two is the
 * unit's and not counted. A second flow of the same kind goes straight to the units in the same
 * seconds: what the machine and the stand-ins take by themselves. Not run in CI. One line of
 * results for the first ten seconds and one for the rest.
 *
 * <p>Arguments: name=value of {@link #DEFAULTS}; jvm=deploy takes the flags of
 * deploy/balancer.toml, jvm=plain none.
 */
public final class AddedLatencyStudy {
  private static final Map<String, String> DEFAULTS =
      Map.ofEntries(
          Map.entry("units", "100"),
          Map.entry("rate", "169"),
          Map.entry("straight", "85"),
          Map.entry("seconds", "25"),
          Map.entry("cold", "10"),
          Map.entry("service", "8"),
          Map.entry("clients", "64"),
          Map.entry("sockets", "4096"),
          Map.entry("churn", "0"),
          Map.entry("burst", "0"),
          Map.entry("jvm", "deploy"),
          Map.entry("cpus", "6"),
          Map.entry("label", ""),
          Map.entry("seed", "1"),
          Map.entry("log", "0"),
          Map.entry("cpu", "0"),
          Map.entry("arg", ""));
  private static final byte[] COLUMN =
      ByteBuffer.allocate(22).putShort((short) 1).put((byte) 'v').array();
  private static final byte[] ROW = ByteBuffer.allocate(10).putShort((short) 1).putInt(4).array();
  private static final byte[] EMPTY_QUERY_ANSWER =
      MessageWriter.concat(MessageWriter.emptyQueryResponse(), MessageWriter.readyForQuery());
  private static final byte[] ANSWER =
      MessageWriter.concat(
          MessageWriter.message('T', COLUMN),
          MessageWriter.message('D', ROW),
          MessageWriter.message('C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII)),
          MessageWriter.readyForQuery());
  private static final long START_WITHIN_S = 60;
  private static final long SETTLED =
      14_000_000; // by then it is idle again, and so are the relay's threads
  private static final long QUIET =
      10_000_000; // the relay's UnitLink.QUIET: so long a connection is left alone behind an answer

  private final Map<String, String> given = new HashMap<>(DEFAULTS);
  private final Selector selector = Selector.open();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Integer, Asked> open = new HashMap<>();
  private final ArrayDeque<Client> idle = new ArrayDeque<>();
  private final ArrayDeque<Client> idleStraight = new ArrayDeque<>();
  private final List<Asked> done = new ArrayList<>();
  private final Random chance;
  private final int endpoints;
  private final int unitPort;
  private long order;

  /**
   * With cpu=1: where the kernel counts each of the relay's threads, and what these do: 1 compiles,
   * 2 collects, 0 all else.
   */
  private final Map<Path, Integer> tasks = new TreeMap<>();

  private final Map<Path, Long> lastUsed = new HashMap<>();
  private long connectionsToUnits;

  private record Event(long at, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** One request, with its moments in nanoseconds of the machine's steady clock. */
  private static final class Asked {
    int number;
    boolean straight;
    long intended;
    long written;
    long atUnit;
    long connectionUp;
    boolean fresh;
    boolean settling;
    long answered;
    long read;
    int attempts;
    boolean ok;

    /**
     * With cpu=1: what the relay's threads had used, before it was written, before its answer was,
     * and a while after that was read.
     */
    final long[][] used = new long[3][];
  }

  private AddedLatencyStudy(String[] args) throws IOException {
    for (String arg : args) {
      String[] parts = arg.split("=", 2);
      if (parts.length != 2 || !DEFAULTS.containsKey(parts[0])) {
        throw new IllegalArgumentException(
            arg + ": one of " + DEFAULTS.keySet() + ", as name=value");
      }
      given.put(parts[0], parts[1]);
    }
    chance = new Random(number("seed"));
    endpoints = (int) number("units");
    ServerSocketChannel server =
        ServerSocketChannel.open().bind(new InetSocketAddress("0.0.0.0", 0), 4096);
    server.configureBlocking(false);
    unitPort = server.socket().getLocalPort();
    server.register(selector, SelectionKey.OP_ACCEPT, server);
  }

  private double value(String name) {
    return Double.parseDouble(given.get(name));
  }

  private long number(String name) {
    return Long.parseLong(given.get(name));
  }

  private void at(long when, Runnable what) {
    events.add(new Event(when, order++, what));
  }

  public static void main(String[] args) throws Exception {
    new AddedLatencyStudy(args).run();
  }

  /** A connection of either kind, with what came of a message in part. */
  private abstract class Peer implements MessageFramer.Listener {
    final SocketChannel channel;
    final MessageFramer in;
    private final ByteBuffer room = ByteBuffer.allocate(16 * 1024);

    Peer(SocketChannel channel, MessageFramer in) throws IOException {
      this.channel = channel;
      this.in = in;
      channel.configureBlocking(false);
      channel.socket().setTcpNoDelay(true);
      channel.register(selector, SelectionKey.OP_READ, this);
    }

    /**
     * Small messages on sockets with room: what is not taken whole would be a fault of the study.
     */
    void write(byte[] bytes) {
      try {
        ByteBuffer out = ByteBuffer.wrap(bytes);
        while (out.hasRemaining() && channel.isOpen()) {
          channel.write(out);
        }
      } catch (IOException e) {
        shut();
      }
    }

    void read() {
      try {
        while (true) {
          room.clear();
          int count = channel.read(room);
          if (count == 0) {
            return;
          }
          if (count < 0) {
            shut();
            return;
          }
          room.flip();
          in.feed(room, this);
        }
      } catch (IOException | ProtocolException e) {
        shut();
      }
    }

    void shut() {
      try {
        channel.close();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }

    @Override
    public boolean wantsMore() {
      return channel.isOpen();
    }
  }

  private final class UnitSide extends Peer {
    private final long accepted = System.nanoTime();
    private boolean used;
    private long answeredLast;

    UnitSide(SocketChannel channel) throws IOException {
      super(channel, MessageFramer.fromClient(1 << 18));
    }

    @Override
    public void onMessage(char type, byte[] body) throws ProtocolException {
      long now = System.nanoTime();
      if (type == 0) {
        in.startupComplete();
        write(MessageWriter.sessionStart());
        return;
      }
      if (type != 'Q') {
        return;
      }
      String text = new String(MessageReader.parseQuery(body), StandardCharsets.US_ASCII);
      if (text.isEmpty()) {
        write(EMPTY_QUERY_ANSWER);
        return;
      }
      int from = text.indexOf("id=") + 3;
      Asked asked = open.get(Integer.parseInt(text.substring(from, text.indexOf(',', from))));
      if (asked != null && asked.attempts++ == 0) {
        asked.atUnit = now;
        asked.fresh = !used;
        asked.settling = used && asked.written < answeredLast + QUIET;
        asked.connectionUp = accepted;
      }
      used = true;
      at(
          now + (long) (value("service") * 1e6),
          () -> {
            if (asked != null && !asked.straight) {
              asked.used[1] = used();
            }
            if (asked != null && asked.answered == 0) {
              asked.answered = System.nanoTime();
            }
            write(ANSWER);
            answeredLast = System.nanoTime();
          });
    }
  }

  private final class Client extends Peer {
    private final boolean straight;
    private Asked asked;

    Client(InetSocketAddress to, boolean straight) throws IOException {
      super(SocketChannel.open(to), MessageFramer.fromServer(1 << 18));
      this.straight = straight;
      write(MessageWriter.startupMessage("svc", "main"));
    }

    void ask(Asked made) {
      asked = made;
      open.put(made.number, made);
      int kind = made.number % 3;
      String comment =
          " /* id="
              + made.number
              + ",c="
              + (kind == 0 ? "look" : kind == 1 ? "put" : "pay")
              + ",d=2000,k="
              + made.number
              + " */";
      String text =
          kind == 0
              ? "SELECT v FROM records WHERE k = '"
                  + Integer.toHexString(made.number)
                  + "'"
                  + comment
              : "INSERT INTO records (k, v) VALUES ('"
                  + Integer.toHexString(made.number)
                  + "', '\\x"
                  + "9f".repeat(128)
                  + "') RETURNING v"
                  + comment;
      byte[] query = MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII));
      if (!straight) {
        made.used[0] = used();
      }
      made.written = System.nanoTime();
      write(query);
    }

    @Override
    public void onMessage(char type, byte[] body) {
      long now = System.nanoTime();
      if (type == 'C' && asked != null) {
        asked.ok = true;
      }
      if (type != 'Z') {
        return;
      }
      if (asked != null) {
        asked.read = now;
        done.add(asked);
        open.remove(asked.number);
        Asked over = asked;
        if (!straight && !tasks.isEmpty()) {
          at(now + SETTLED, () -> over.used[2] = used());
        }
        asked = null;
      }
      (straight ? idleStraight : idle).add(this);
    }
  }

  /** Units each have an address of their own; one socket listens at all of them. */
  private static String address(int endpoint) {
    return "127."
        + (16 + (endpoint >> 16 & 63))
        + "."
        + (endpoint >> 8 & 255)
        + "."
        + (endpoint & 255);
  }

  private String entry(int endpoint, boolean serves, long startedMs) {
    return "{\"id\":\"order-unit-"
        + endpoint
        + "\",\"addr\":\""
        + address(endpoint)
        + ":"
        + unitPort
        + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\""
        + (serves ? "SERVING" : "DELETED")
        + "\",\"weight\":1.0,\"started_ms\":"
        + startedMs
        + ",\"image_id\":7}";
  }

  /** Tells what it is told to, each a chunk, to whoever watches. */
  private static final class Agent {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> watches = Collections.synchronizedList(new ArrayList<>());
    private volatile String first;
    volatile int asked;

    Agent(String name, String first) throws IOException {
      this.first = first;
      Thread thread =
          new Thread(
              () -> {
                try {
                  while (true) {
                    take(server.accept());
                  }
                } catch (IOException e) {
                  return; // the study is over
                }
              },
              name);
      thread.setDaemon(true);
      thread.start();
    }

    private void take(Socket socket) throws IOException {
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (!head.toString().endsWith("\r\n\r\n")) {
        int b = in.read();
        if (b < 0) {
          return;
        }
        head.append((char) b);
      }
      socket
          .getOutputStream()
          .write(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      asked++;
      watches.add(socket);
      chunk(socket, first);
    }

    private static void chunk(Socket to, String text) throws IOException {
      to.getOutputStream()
          .write(
              (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
    }

    void tell(String text) {
      for (Socket watch : new ArrayList<>(watches)) {
        try {
          chunk(watch, text);
        } catch (IOException e) {
          watches.remove(watch);
        }
      }
    }

    int port() {
      return server.getLocalPort();
    }
  }

  private static String list(long version, boolean full, Iterable<String> entries) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}\n";
  }

  private void run() throws Exception {
    long hourAgo = System.currentTimeMillis() - 3_600_000;
    List<String> all = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      all.add(entry(i, true, hourAgo));
    }
    Agent discovery = new Agent("discovery", list(5, true, all));
    Agent desk = new Agent("desk", ": nothing\n\n");
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    Path folder = Files.createTempDirectory("added-latency");
    Path config = folder.resolve("relay.json");
    Files.writeString(
        config,
        """
            {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x","limits":{"cores":1.0,"memory_mb":192,"sockets":%s},
             "release_api":{"address":"127.0.0.1:%d","news":{"build":7,"stage":0,"phase":"Healthy","cap":0.0,"age_ms":90000}},
             "settings":{"balancers":2,"index":0,"my_zone":0,"tick":5,"zones":["a"],"kinds":["m"],"membership_mode":"push",
              "classes":[{"name":"look","effect":"read_like","on_time":300,"worth":1},{"name":"put","effect":"idempotency_key","on_time":300,"window":2000,"worth":2},
                         {"name":"pay","effect":"non_idempotent","on_time":300,"worth":3}],
              "obligations":{"ask_within":10000,"cold":1000,"start_capacity":0.4,"tip_after":1000,"tip_multiple":3},
              "permissions":{"cancel":true,"connect_timeout":250,"keepalive":3000,"max_retry_after":500,"peers":false,"retry_after":true,"second_copies":true,"send_cap":3},
              "specifics":{"ballot_ttl":4000,"call_timeout":1000,"caps":[0.1,1.0],"per":"all","uncounted":3,"vote_mode":"single"}}}
            """
            .formatted(port, discovery.port(), number("seed"), given.get("sockets"), desk.port()));
    long before = System.nanoTime();
    Process relay = start(config, folder);
    try {
      measure(relay, port, discovery, desk, folder, before);
    } finally {
      relay.destroy();
      if (!relay.waitFor(10, TimeUnit.SECONDS)) {
        relay.destroyForcibly();
      }
    }
  }

  private Process start(Path config, Path folder) throws IOException {
    List<String> command = new ArrayList<>(List.of("taskset", "-c", given.get("cpus"), "java"));
    if (given.get("jvm").startsWith("deploy")) {
      String run =
          Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
              .filter(line -> line.startsWith("run = "))
              .findFirst()
              .orElseThrow();
      for (String word :
          run.substring(run.indexOf("exec java") + 9, run.indexOf("-jar")).trim().split(" ")) {
        command.add(word);
      }
    }
    if (!given.get("arg").isEmpty()) {
      command.addAll(List.of(given.get("arg").split(" ")));
    }
    // -Xlog's own form: what it writes names the machine's steady clock in nanoseconds
    command.add("-Xlog:gc,safepoint:file=" + folder.resolve("jvm.log") + ":tn");
    command.addAll(List.of("-jar", "target/sprucerock.jar", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LB_CONFIG", config.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve("relay.log").toFile());
    return builder.start();
  }

  private void measure(
      Process relay, int port, Agent discovery, Agent desk, Path folder, long began)
      throws Exception {
    InetSocketAddress at = new InetSocketAddress("127.0.0.1", port);
    while (true) {
      if (!relay.isAlive()) {
        throw new IOException("the relay ended: " + Files.readString(folder.resolve("relay.log")));
      }
      if (System.nanoTime() - began > TimeUnit.SECONDS.toNanos(START_WITHIN_S)) {
        throw new IOException("the relay did not start in time");
      }
      if (Files.readString(folder.resolve("relay.log")).contains("STARTED")) {
        break;
      }
      Thread.sleep(20);
    }
    double ready = (System.nanoTime() - began) / 1e9;
    for (int i = 0; i < number("clients"); i++) {
      new Client(at, false);
    }
    for (int i = 0; i < 32; i++) {
      new Client(new InetSocketAddress(address(i % endpoints), unitPort), true);
    }
    long start = System.nanoTime() + 500_000_000L;
    long end = start + (long) (value("seconds") * 1e9);
    flow(start, end, value("rate"), false);
    if (value("straight") > 0) {
      flow(start + 1_000_000, end, value("straight"), true);
    }
    for (long when = start; when < end; when += 1_000_000_000L) {
      at(
          when,
          () -> {
            discovery.tell("\n");
            desk.tell(": alive\n\n");
          });
    }
    churn(discovery, start, end);
    long[] burst = {0};
    if (number("burst") > 0) {
      at(
          start + (end - start) * 3 / 4,
          () -> {
            List<String> many = new ArrayList<>();
            for (int i = 0; i < Math.min(endpoints, number("burst")); i++) {
              many.add(entry(i, true, System.currentTimeMillis() - 60_000));
            }
            burst[0] = System.nanoTime();
            discovery.tell(list(1_000_000, false, many));
          });
    }
    long warm = start + (long) (value("cold") * 1e9);
    Map<String, long[]> atStart = threads(relay.pid());
    if (number("cpu") > 0) {
      watch(relay.pid());
    }
    List<Map<String, long[]>> atWarm = new ArrayList<>();
    at(warm, () -> atWarm.add(threads(relay.pid())));
    boolean[] over = {false};
    at(end + 2_500_000_000L, () -> over[0] = true);
    List<Map<String, long[]>> atEnd = new ArrayList<>();
    at(end, () -> atEnd.add(threads(relay.pid())));
    while (!over[0]) {
      turn();
    }
    Pauses pauses = Pauses.read(folder.resolve("jvm.log"));
    report("first", ready, done, start, warm, atStart, atWarm.get(0), pauses, relay, discovery);
    report("then", ready, done, warm, end, atWarm.get(0), atEnd.get(0), pauses, relay, discovery);
    if (burst[0] != 0) {
      long from = burst[0] - 5_000_000L;
      report(
          "second-after-burst",
          ready,
          done,
          from,
          from + 1_000_000_000L,
          atEnd.get(0),
          atEnd.get(0),
          pauses,
          relay,
          discovery);
    }
    if (!tasks.isEmpty()) {
      perRequest(done, warm);
    }
    if (number("log") > 0) {
      System.out.println(Files.readString(folder.resolve("relay.log")));
    }
  }

  private void churn(Agent discovery, long start, long end) {
    if (value("churn") <= 0) {
      return;
    }
    long gap = (long) (1e9 / value("churn"));
    long version = 6;
    boolean away = false;
    int endpoint = 0;
    for (long when = start; when < end; when += gap) {
      long number = version++;
      int which = endpoint;
      boolean back = away;
      at(
          when,
          () ->
              discovery.tell(
                  list(
                      number,
                      false,
                      List.of(entry(which, back, back ? System.currentTimeMillis() : 0)))));
      if (away) {
        endpoint = (endpoint + 7) % endpoints;
      }
      away = !away;
    }
  }

  /**
   * Arrivals as a Poisson stream of this rate, drawn beforehand (evenly spaced with cpu=1): none
   * waits for another's answer.
   */
  private void flow(long start, long end, double rate, boolean straight) {
    int number = straight ? 1_000_000 : 1;
    boolean even = number("cpu") > 0;
    for (double when = start;
        when < end;
        when += (even ? 1 : -Math.log(1 - chance.nextDouble())) * 1e9 / rate) {
      Asked asked = new Asked();
      asked.number = number++;
      asked.straight = straight;
      asked.intended = (long) when;
      at(
          asked.intended,
          () -> {
            ArrayDeque<Client> free = straight ? idleStraight : idle;
            free.removeIf(
                one -> !one.wantsMore()); // the relay ends those that ask nothing for two seconds
            Client client = free.poll();
            if (client != null) {
              client.ask(asked);
            } else {
              done.add(asked); // none was free: counted as unsent
            }
          });
    }
  }

  private void turn() throws IOException {
    Event next = events.peek();
    long left = next == null ? 100_000_000L : next.at - System.nanoTime();
    if (left <= 0) {
      selector.selectNow();
    } else if (left < 1_000_000) {
      selector.select(1);
    } else {
      selector.select(left / 1_000_000);
    }
    for (SelectionKey key : selector.selectedKeys()) {
      if (!key.isValid()) {
        continue;
      }
      if (key.attachment() instanceof ServerSocketChannel) {
        for (SocketChannel taken = ((ServerSocketChannel) key.channel()).accept();
            taken != null;
            taken = ((ServerSocketChannel) key.channel()).accept()) {
          new UnitSide(taken);
          connectionsToUnits++;
        }
      } else {
        ((Peer) key.attachment()).read();
      }
    }
    selector.selectedKeys().clear();
    while (!events.isEmpty() && events.peek().at <= System.nanoTime()) {
      events.poll().what.run();
    }
  }

  /**
   * Nanoseconds on a core of the relay's threads that there were when the measurement began, those
   * that ended included: of all, of the compilers, of the virtual machine's own (collections). Null
   * without cpu=1.
   */
  private long[] used() {
    if (tasks.isEmpty()) {
      return null;
    }
    long[] sums = new long[3];
    for (Map.Entry<Path, Integer> task : tasks.entrySet()) {
      try {
        String text = Files.readString(task.getKey());
        lastUsed.put(task.getKey(), Long.parseLong(text.substring(0, text.indexOf(' '))));
      } catch (IOException e) {
        // a compiler's thread that has ended: what it had used is known
      }
      long known = lastUsed.getOrDefault(task.getKey(), 0L);
      sums[0] += known;
      if (task.getValue() > 0) {
        sums[task.getValue()] += known;
      }
    }
    return sums;
  }

  private void watch(long pid) throws IOException {
    try (Stream<Path> each = Files.list(Path.of("/proc/" + pid + "/task"))) {
      for (Path task : (Iterable<Path>) each::iterator) {
        String name = name(task);
        if (name == null) {
          continue;
        }
        boolean compiles = name.startsWith("C1 ") || name.startsWith("C2 ");
        boolean collects =
            name.startsWith("VM Thread") || name.startsWith("G1 ") || name.startsWith("GC ");
        tasks.put(task.resolve("schedstat"), compiles ? 1 : collects ? 2 : 0);
      }
    }
  }

  /**
   * One line for each request that had the relay to itself: its part, kept connection or new,
   * microseconds of processor in and out.
   */
  private void perRequest(List<Asked> all, long warm) {
    List<Asked> inTime = new ArrayList<>(all);
    inTime.removeIf(one -> one.straight || one.written == 0);
    inTime.sort((a, b) -> Long.compare(a.written, b.written));
    for (int i = 0; i < inTime.size(); i++) {
      Asked one = inTime.get(i);
      boolean alone =
          (i == 0 || inTime.get(i - 1).read + SETTLED < one.written)
              && (i == inTime.size() - 1 || one.read + SETTLED < inTime.get(i + 1).written);
      if (!alone || !one.ok || Arrays.stream(one.used).anyMatch(used -> used == null)) {
        continue;
      }
      StringBuilder line =
          new StringBuilder(
              "cpu "
                  + given.get("label")
                  + " units="
                  + endpoints
                  + (one.intended < warm ? " first " : " then "));
      line.append(one.fresh ? "new" : one.settling ? "settling" : "kept");
      String[] names = {"", " compiling", " collecting"};
      for (int j = 0; j < 3; j++) {
        double in = (one.used[1][j] - one.used[0][j]) / 1e3;
        double out = (one.used[2][j] - one.used[1][j]) / 1e3;
        line.append(
            String.format(
                Locale.ROOT, j == 0 ? " in %.1f out %.1f" : names[j] + " %.1f %.1f", in, out));
      }
      System.out.println(line);
    }
  }

  /** A thread's name; null where it has ended meanwhile. */
  private static String name(Path task) {
    try {
      return Files.readString(task.resolve("comm")).trim();
    } catch (IOException e) {
      return null;
    }
  }

  /**
   * Of each thread of a process, by the kernel: nanoseconds on a core, nanoseconds it waited for
   * one, and turns on one.
   */
  private static Map<String, long[]> threads(long pid) {
    Map<String, long[]> found = new TreeMap<>();
    try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid + "/task"))) {
      for (Path task : (Iterable<Path>) tasks::iterator) {
        String name = name(task);
        if (name == null) {
          continue;
        }
        String[] words = Files.readString(task.resolve("schedstat")).trim().split(" ");
        long[] sum = found.computeIfAbsent(name, n -> new long[3]);
        for (int i = 0; i < 3; i++) {
          sum[i] += Long.parseLong(words[i]);
        }
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    return found;
  }

  /** When the virtual machine stood still, by its own log. */
  private record Pauses(List<long[]> stops, List<Double> collections) {
    static Pauses read(Path log) throws IOException {
      Pauses made = new Pauses(new ArrayList<>(), new ArrayList<>());
      for (String line : Files.readAllLines(log)) {
        long at = Long.parseLong(line.substring(1, line.indexOf("ns]")));
        int total = line.indexOf("Total: ");
        if (line.contains("Safepoint") && total > 0) {
          made.stops.add(
              new long[] {at - Long.parseLong(line.substring(total + 7).trim().split(" ")[0]), at});
        }
        if (line.contains("Pause") && line.endsWith("ms")) {
          made.collections.add(
              Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1, line.length() - 2)));
        }
      }
      return made;
    }

    boolean over(long from, long to) {
      return stops.stream().anyMatch(stop -> stop[0] < to && stop[1] > from);
    }
  }

  /** p50, p90, p99 and the most, then the mean, in milliseconds. */
  private static String ms(Histogram of) {
    if (of.getTotalCount() == 0) {
      return "-";
    }
    return String.format(
        Locale.ROOT,
        "%.3f/%.3f/%.3f/%.2f~%.3f",
        of.getValueAtPercentile(50) / 1e6,
        of.getValueAtPercentile(90) / 1e6,
        of.getValueAtPercentile(99) / 1e6,
        of.getMaxValue() / 1e6,
        of.getMean() / 1e6);
  }

  private static Histogram nanos() {
    return new Histogram(120_000_000_000L, 3);
  }

  private void report(
      String phase,
      double ready,
      List<Asked> asks,
      long from,
      long to,
      Map<String, long[]> before,
      Map<String, long[]> after,
      Pauses pauses,
      Process relay,
      Agent discovery)
      throws IOException {
    Histogram late = nanos();
    Histogram in = nanos();
    Histogram inKept = nanos();
    Histogram inSettling = nanos();
    Histogram inFresh = nanos();
    Histogram toConnection = nanos();
    Histogram out = nanos();
    Histogram added = nanos();
    Histogram straightIn = nanos();
    Histogram straightOut = nanos();
    Histogram straightAdded = nanos();
    int asked = 0;
    int notOk = 0;
    int unsent = 0;
    int attempts = 0;
    List<Asked> counted = new ArrayList<>();
    int lost =
        (int)
            open.values().stream().filter(one -> one.intended >= from && one.intended < to).count();
    for (Asked one : asks) {
      if (one.intended < from || one.intended >= to) {
        continue;
      }
      if (one.written == 0) {
        unsent++;
        continue;
      }
      if (!one.straight) {
        asked++;
      }
      if (!one.ok || one.atUnit == 0) {
        notOk++;
        continue;
      }
      late.recordValue(one.written - one.intended);
      long wayIn = Math.max(0, one.atUnit - one.written);
      long wayOut = Math.max(0, one.read - one.answered);
      (one.straight ? straightIn : in).recordValue(wayIn);
      (one.straight ? straightOut : out).recordValue(wayOut);
      (one.straight ? straightAdded : added).recordValue(wayIn + wayOut);
      if (one.straight) {
        continue;
      }
      attempts += one.attempts;
      (one.fresh ? inFresh : one.settling ? inSettling : inKept).recordValue(wayIn);
      if (one.fresh) {
        toConnection.recordValue(Math.max(0, one.connectionUp - one.written));
      }
      counted.add(one);
    }
    counted.sort(
        (a, b) ->
            Long.compare(
                b.atUnit - b.written + b.read - b.answered,
                a.atUnit - a.written + a.read - a.answered));
    int worst = Math.max(1, counted.size() / 100);
    int stopped = 0;
    int fresh = 0;
    int settling = 0;
    for (Asked one : counted.subList(0, Math.min(worst, counted.size()))) {
      if (pauses.over(one.written, one.atUnit) || pauses.over(one.answered, one.read)) {
        stopped++;
      }
      if (one.fresh) {
        fresh++;
      }
      if (one.settling) {
        settling++;
      }
    }
    double seconds = (to - from) / 1e9;
    StringBuilder threads = new StringBuilder();
    double cpu = 0;
    double waited = 0;
    for (Map.Entry<String, long[]> each : after.entrySet()) {
      long[] was = before.getOrDefault(each.getKey(), new long[3]);
      double us = (each.getValue()[0] - was[0]) / 1e3 / Math.max(1, asked);
      double waits = (each.getValue()[1] - was[1]) / 1e3 / Math.max(1, asked);
      cpu += Math.max(0, us); // of a thread that ended meanwhile nothing is known any more
      waited += Math.max(0, waits);
      if (us >= 5 || waits >= 20) {
        threads.append(
            String.format(
                Locale.ROOT, " %s %.0f+%.0f", each.getKey().replace(' ', '_'), us, waits));
      }
    }
    double[] stops =
        pauses.stops.stream()
            .filter(stop -> stop[0] >= from && stop[1] < to)
            .mapToDouble(stop -> (stop[1] - stop[0]) / 1e6)
            .sorted()
            .toArray();
    String rss =
        Files.readAllLines(Path.of("/proc/" + relay.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmRSS"))
            .findFirst()
            .orElse("?")
            .replaceAll("\\s+", " ");
    double all = Math.max(1, counted.size());
    StringBuilder line = new StringBuilder(given.get("label") + " " + phase);
    for (String name : List.of("units", "rate", "jvm", "churn", "burst", "service", "cpus")) {
      line.append(' ').append(name).append('=').append(given.get(name));
    }
    line.append(
        String.format(
            Locale.ROOT,
            " seconds=%.0f ready=%.1fs asked=%d notok=%d lost=%d unsent=%d",
            seconds,
            ready,
            asked,
            notOk,
            lost,
            unsent));
    line.append(
        String.format(
            Locale.ROOT,
            " attempts=%.3f fresh=%.3f settling=%.3f",
            attempts / all,
            inFresh.getTotalCount() / all,
            inSettling.getTotalCount() / all));
    line.append(" | late ")
        .append(ms(late))
        .append(" | in ")
        .append(ms(in))
        .append(" | in-kept ")
        .append(ms(inKept))
        .append(" | in-settling ")
        .append(ms(inSettling));
    line.append(" | in-fresh ")
        .append(ms(inFresh))
        .append(" | to-connection ")
        .append(ms(toConnection))
        .append(" | out ")
        .append(ms(out))
        .append(" | added ")
        .append(ms(added));
    line.append(" | straight in ")
        .append(ms(straightIn))
        .append(" out ")
        .append(ms(straightOut))
        .append(" added ")
        .append(ms(straightAdded));
    line.append(
        String.format(
            Locale.ROOT,
            " | worst 1%%: %d, fresh %d, settling %d, in a stop %d",
            worst,
            fresh,
            settling,
            stopped));
    line.append(
        String.format(
            Locale.ROOT,
            " | stops %d max %.1f ms, GC max %.1f ms",
            stops.length,
            stops.length == 0 ? 0 : stops[stops.length - 1],
            pauses.collections.stream().mapToDouble(Double::doubleValue).max().orElse(0)));
    line.append(
        String.format(
            Locale.ROOT,
            " | us an RPC on a core+waiting for one: %.0f+%.0f:%s",
            cpu,
            waited,
            threads));
    line.append(
        String.format(
            Locale.ROOT, " | %s watches=%d conns=%d", rss, discovery.asked, connectionsToUnits));
    System.out.println(line);
  }
}
