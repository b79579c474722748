package sprucerock.relay.platform;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import sprucerock.transport.postgres.MessageWriter;

/**
 * Clients, units, discovery and desk on real sockets, each with threads of its own that block: a
 * test holds one event back until it has seen the other. What a test waits for it waits for as long
 * as {@link #LONG}: that bounds a failure, and no verdict.
 */
final class Peers implements AutoCloseable {
  static final long LONG = 30;

  private final List<AutoCloseable> open = Collections.synchronizedList(new ArrayList<>());

  static <T> T next(BlockingQueue<T> queue, String what) throws InterruptedException {
    T one = queue.poll(LONG, TimeUnit.SECONDS);
    if (one == null) {
      throw new AssertionError("never seen: " + what);
    }
    return one;
  }

  /** The next statement that comes to any of these units. */
  static Unit.Query nextOf(Unit... units) throws InterruptedException {
    for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONG);
        System.nanoTime() < until; ) {
      for (Unit unit : units) {
        Unit.Query query = unit.asked.poll(2, TimeUnit.MILLISECONDS);
        if (query != null) {
          return query;
        }
      }
    }
    throw new AssertionError("never seen: a statement at any unit");
  }

  static void await(CountDownLatch latch, String what) throws InterruptedException {
    if (!latch.await(LONG, TimeUnit.SECONDS)) {
      throw new AssertionError("never seen: " + what);
    }
  }

  /** Runs until its sockets are closed. */
  private interface Reads {
    void run() throws IOException;
  }

  private static void aside(String name, Reads what) {
    Thread thread =
        new Thread(
            () -> {
              try {
                what.run();
              } catch (EOFException | SocketException e) {
                // the other side, or the test, has closed it: whoever waits for that sees it by the
                // latch
              } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable one : new ArrayList<>(open)) {
      one.close();
    }
  }

  /**
   * Waits until all that was written to this socket has come to the other side's system, whether or
   * not it was read there.
   */
  static void delivered(Socket from) throws IOException, InterruptedException {
    until(from.getLocalPort(), from.getPort(), fields -> empty(fields, 0));
  }

  /**
   * Waits until the other side's process has accepted this connection, and all that was written to
   * it is there.
   */
  static void accepted(Socket from) throws IOException, InterruptedException {
    delivered(from);
    until(
        from.getPort(),
        from.getLocalPort(),
        fields -> !fields[9].equals("0")); // no inode: in the queue of the listener
  }

  /** Waits until the other side's process has read all that was written to this socket. */
  static void read(Socket from) throws IOException, InterruptedException {
    delivered(from);
    until(from.getPort(), from.getLocalPort(), fields -> empty(fields, 1));
  }

  /**
   * Waits until the other side's system has been told that this socket is closed, or the other side
   * has closed it too.
   */
  static void closed(Socket from) throws IOException, InterruptedException {
    until(from.getPort(), from.getLocalPort(), fields -> !fields[3].equals(ESTABLISHED));
  }

  private static final String ESTABLISHED = "01";

  private static boolean empty(String[] fields, int queue) {
    return fields[4].split(":")[queue].equals("00000000");
  }

  /**
   * Waits until the system's own table of connections says so of one, or has it no more: nothing
   * else tells what a process has read.
   */
  private static void until(int local, int remote, Predicate<String[]> what)
      throws IOException, InterruptedException {
    String here = String.format(Locale.ROOT, ":%04X", local);
    String other = String.format(Locale.ROOT, ":%04X", remote);
    for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONG);
        System.nanoTime() < until;
        Thread.sleep(1)) {
      boolean there = false;
      for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
        if (!Files.exists(Path.of(table))) {
          continue;
        }
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] fields = line.trim().split("\\s+");
          if (fields.length < 10 || !fields[1].endsWith(here) || !fields[2].endsWith(other)) {
            continue;
          }
          if (what.test(fields)) {
            return;
          }
          there = true;
        }
      }
      if (!there) {
        return;
      }
    }
    throw new AssertionError(
        "never so of the connection between the ports " + local + " and " + remote);
  }

  /** Discovery or desk: each call is kept, and answered as the test says. */
  final class Agent {
    final ServerSocket server = listen();
    final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    Agent() throws IOException {
      aside(
          "agent",
          () -> {
            while (true) {
              Socket taken = server.accept();
              open.add(taken);
              aside("call", () -> new Call(taken).read());
            }
          });
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    Call call() throws InterruptedException {
      return next(calls, "a call of discovery or desk");
    }

    final class Call {
      final Socket socket;
      final CountDownLatch closed = new CountDownLatch(1);
      String head;

      Call(Socket socket) {
        this.socket = socket;
      }

      private void read() throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder said = new StringBuilder();
        try {
          for (int b = in.read(); b >= 0; b = in.read()) {
            said.append((char) b);
            if (!said.toString().endsWith("\r\n\r\n")) {
              continue;
            }
            head = said.toString();
            said.setLength(0);
            calls.add(this);
          }
        } finally {
          closed.countDown();
        }
      }

      Call begins() throws IOException {
        return says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      }

      Call chunk(String text) throws IOException {
        return says(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      }

      Call list(int version, boolean full, String... entries) throws IOException {
        return chunk(
            "{\"version\":"
                + version
                + ",\"full\":"
                + full
                + ",\"servers\":["
                + String.join(",", entries)
                + "]}\n");
      }

      Call says(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        return this;
      }
    }
  }

  private ServerSocket listen() throws IOException {
    ServerSocket made = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    open.add(made);
    return made;
  }

  /**
   * A unit: takes connections, welcomes them unless told to hold, and keeps what it is asked until
   * the test answers.
   */
  final class Unit {
    final ServerSocket server = listen();
    final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();
    final BlockingQueue<Query> asked = new LinkedBlockingQueue<>();

    /** All that were ever made, and the texts of all statements that came whole. */
    final List<Connection> connections = Collections.synchronizedList(new ArrayList<>());

    final List<String> seen = Collections.synchronizedList(new ArrayList<>());
    volatile boolean holdsWelcomes;

    Unit() throws IOException {
      aside(
          "unit",
          () -> {
            while (true) {
              Connection made = new Connection(server.accept());
              connections.add(made);
              aside("unit's connection", made::read);
            }
          });
    }

    String entry(String id, String state, int build) {
      return "{\"id\":\""
          + id
          + "\",\"addr\":\"127.0.0.1:"
          + server.getLocalPort()
          + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\""
          + state
          + "\",\"weight\":1.0,\"started_ms\":0,\"image_id\":"
          + build
          + "}";
    }

    Query query() throws InterruptedException {
      return next(asked, "a statement at a unit");
    }

    record Query(Connection on, String text) {}

    final class Connection {
      final Socket socket;
      final CountDownLatch closed = new CountDownLatch(1);

      Connection(Socket socket) throws IOException {
        this.socket = socket;
        open.add(socket);
      }

      private void read() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        try {
          in.readNBytes(in.readInt() - 4);
          accepted.add(this);
          if (!holdsWelcomes) {
            welcome();
          }
          while (true) {
            int type = in.readByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type != 'Q') {
              continue;
            }
            String text = new String(body, 0, body.length - 1, StandardCharsets.US_ASCII);
            if (text.isEmpty()) {
              says(MessageWriter.emptyQueryResponse(), MessageWriter.readyForQuery());
              continue;
            }
            seen.add(text);
            asked.add(new Query(this, text));
          }
        } finally {
          closed.countDown();
        }
      }

      void welcome() throws IOException {
        says(MessageWriter.sessionStart());
      }

      void says(byte[]... messages) throws IOException {
        socket.getOutputStream().write(MessageWriter.concat(messages));
      }
    }
  }

  /** An answer's four messages. */
  static byte[][] value(String value) {
    byte[] column =
        ByteBuffer.allocate(22).putShort((short) 1).put((byte) 'v').put((byte) 0).array();
    byte[] bytes = value.getBytes(StandardCharsets.US_ASCII);
    byte[] row =
        ByteBuffer.allocate(6 + bytes.length)
            .putShort((short) 1)
            .putInt(bytes.length)
            .put(bytes)
            .array();
    return new byte[][] {
      MessageWriter.message('T', column),
      MessageWriter.message('D', row),
      MessageWriter.message('C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII)),
      MessageWriter.readyForQuery()
    };
  }

  /** A client that reads only when the test does. */
  final class Client {
    final Socket socket = new Socket();
    private final DataInputStream in;

    Client(int port) throws IOException {
      this(port, 0);
    }

    /** {@code room}: bytes that the system keeps for it unread; 0: what it does by itself. */
    Client(int port, int room) throws IOException {
      this(port, room, MessageWriter.startupMessage("svc", "main"));
    }

    /** One that begins with these bytes. */
    Client(int port, byte[] begins) throws IOException {
      this(port, 0, begins);
    }

    private Client(int port, int room, byte[] begins) throws IOException {
      if (room > 0) {
        socket.setReceiveBufferSize(room);
      }
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LONG));
      open.add(socket);
      in = new DataInputStream(socket.getInputStream());
      sends(begins);
    }

    /** Reads its welcome. */
    Client welcomed() throws IOException {
      String end = answer();
      if (!end.isEmpty()) {
        throw new AssertionError("not welcomed: " + end);
      }
      return this;
    }

    void sends(byte[]... bytes) throws IOException {
      socket.getOutputStream().write(MessageWriter.concat(bytes));
    }

    void asks(String... texts) throws IOException {
      byte[][] all = new byte[texts.length][];
      for (int i = 0; i < all.length; i++) {
        all[i] = MessageWriter.query(texts[i].getBytes(StandardCharsets.UTF_8));
      }
      sends(all);
    }

    /**
     * The next message: a value, an error's code, a type, "closed" at the end, "reset" at a hard
     * one.
     */
    String reads() throws IOException {
      try {
        int type = in.read();
        if (type < 0) {
          return "closed";
        }
        byte[] body = in.readNBytes(in.readInt() - 4);
        if (type == 'D') {
          return "value " + new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
        }
        if (type != 'E') {
          return "" + (char) type;
        }
        String text = new String(body, StandardCharsets.ISO_8859_1);
        int code = text.indexOf("\0C") + 2;
        return "error "
            + text.substring(
                text.startsWith("C") ? 1 : code,
                text.indexOf('\0', text.startsWith("C") ? 1 : code));
      } catch (SocketException e) {
        return "reset";
      }
    }

    /**
     * What comes up to readiness or the end: "value x", "error CODE", "" for an empty query's
     * answer, "closed", "reset".
     */
    String answer() throws IOException {
      String told = "";
      while (true) {
        String next = reads();
        if (next.equals("Z")) {
          return told;
        }
        if (next.equals("closed") || next.equals("reset")) {
          return told.isEmpty() ? next : told + ", " + next;
        }
        if (next.startsWith("value") || next.startsWith("error")) {
          told = next;
        }
      }
    }
  }
}
