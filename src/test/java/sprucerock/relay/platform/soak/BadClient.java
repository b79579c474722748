package sprucerock.relay.platform.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import sprucerock.transport.postgres.MessageWriter;

/**
 * Clients that send what can't be served, or too much of it, at full speed. They read whatever they
 * are sent. Each play is one connection.
 */
enum BadClient {
  /** Bytes that are no protocol. */
  NOISE {
    @Override
    void play(Session session) throws IOException {
      byte[] noise = new byte[4096];
      session.random.nextBytes(noise);
      session.sendUntilClosed(noise, FLOOD_MS);
    }
  },
  /** A message whose length is negative or huge. */
  WRONG_LENGTH {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      int length = session.random.nextBoolean() ? -5 : Integer.MAX_VALUE;
      session.send(ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).array());
      session.sendUntilClosed(text("SELECT v FROM records WHERE k = '"), FLOOD_MS);
    }
  },
  /** A value of 60 MB. */
  HUGE_VALUE {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      session.send(MessageWriter.queryHeader(60_000_000));
      session.send(text("INSERT INTO records (k, v) VALUES ('ab', '\\x"));
      session.sendUntilClosed(text("0f".repeat(8192)), FLOOD_MS);
    }
  },
  /** Statements with a class that does not exist, under ever new ids, at full speed. */
  UNKNOWN_CLASS {
    @Override
    void play(Session session) throws IOException {
      session.flood(() -> select("c=no-such-class,d=1166", ""));
    }
  },
  /** The same, each padded so that some thirty fill a read buffer. */
  PADDED_STATEMENTS {
    @Override
    void play(Session session) throws IOException {
      int padding = 100 + session.random.nextInt(1200);
      session.flood(() -> select("c=no-such-class,d=1166", ";".repeat(padding)));
    }
  },
  /** Blank queries, each as long as can be with some thirty to a read buffer. */
  PADDED_BLANKS {
    @Override
    void play(Session session) throws IOException {
      String blank = ";".repeat(520 + session.random.nextInt(700));
      session.flood(() -> blank);
    }
  },
  /** Statements of a class that does not exist, with the longest comment that is read. */
  LONG_COMMENTS {
    @Override
    void play(Session session) throws IOException {
      String name = "n".repeat(256);
      session.flood(
          () -> select("c=" + name + ",d=1166,x=" + "x".repeat(64) + ",y=" + "y".repeat(20), ""));
    }
  },
  /** Statements of nearly the largest size that can't be read, at full speed. */
  LARGE_UNSOUND {
    @Override
    void play(Session session) throws IOException {
      String padding = ";".repeat(100_000 + session.random.nextInt(50_000));
      session.flood(() -> select("c=look,d=1166", padding));
    }
  },
  /** Statements whose deadline is no number. */
  BAD_DEADLINE {
    @Override
    void play(Session session) throws IOException {
      session.flood(() -> select("c=look,d=soon", ""));
    }
  },
  /** Statements without an id. */
  NO_ID {
    @Override
    void play(Session session) throws IOException {
      session.flood(() -> "SELECT v FROM records WHERE k = 'aa' /* c=look,d=500 */");
    }
  },
  /** Empty queries at full speed: the smallest command, with the smallest answer. */
  EMPTY_QUERIES {
    @Override
    void play(Session session) throws IOException {
      session.flood(() -> "");
    }
  },
  /** Bursts of small commands, each burst as long as may wait on one connection. */
  BURSTS {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      byte[] one = MessageWriter.query(text(select("c=no-such-class,d=1166", "")));
      byte[] burst = repeat(one, 30);
      long until = System.nanoTime() + FLOOD_MS * 1_000_000L;
      while (System.nanoTime() < until && session.isOpen()) {
        session.send(burst);
      }
    }
  },
  /** Sound requests behind one another, hundreds at once. */
  HUNDREDS_AT_ONCE {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      byte[][] all = new byte[300][];
      for (int i = 0; i < all.length; i++) {
        all[i] = MessageWriter.query(text(session.sound(RequestClass.LOOK)));
      }
      session.send(MessageWriter.concat(all));
      session.awaitClose(FLOOD_MS);
    }
  },
  /** The id of another client's open request. */
  STOLEN_ID {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      for (int i = 0; i < 50 && session.isOpen(); i++) {
        String id = session.openIds.any();
        session.send(MessageWriter.query(text(RequestClass.PAY.statement(id, 1000, 2))));
        session.pause(2);
      }
    }
  },
  /** Asks, leaves at once, and comes again with the same id. */
  SAME_ID_AFTER_LEAVING {
    @Override
    void play(Session session) throws IOException {
      byte[] query = MessageWriter.query(text(session.sound(RequestClass.PAY)));
      session.startup();
      session.send(query);
      session.pause(session.random.nextInt(30));
      session.close();
      try (Session again = session.another()) {
        again.startup();
        again.send(query);
        again.awaitClose(300);
      }
    }
  },
  /** Sends many sound requests, and closes before it has read an answer. */
  CLOSES_UNREAD {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      int count = 1 + session.random.nextInt(30);
      int valueBytes = session.random.nextBoolean() ? 2 : 4096;
      for (int i = 0; i < count; i++) {
        session.send(MessageWriter.query(text(session.soundToBeLeft(valueBytes))));
      }
      session.close();
      session.left();
    }
  },
  /** Half a command, then a close. */
  HALF_COMMAND {
    @Override
    void play(Session session) throws IOException {
      byte[] query = MessageWriter.query(text(session.sound(RequestClass.ORDER)));
      session.startup();
      session.send(Arrays.copyOf(query, query.length / 2));
    }
  },
  /** Most of a large request; then it stays. */
  HALF_LARGE_REQUEST {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      session.send(Arrays.copyOf(largeQuery(), 100_000 + session.random.nextInt(50_000)));
      session.awaitClose(STAY_MS);
    }
  },
  /** A large request in small pieces, with pauses that are shorter than any limit on silence. */
  SLOW_WRITER {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      byte[] query = largeQuery();
      int step = query.length / 60;
      for (int i = 0; i + step <= query.length && session.isOpen(); i += step) {
        session.send(Arrays.copyOfRange(query, i, i + step));
        session.pause(40);
      }
    }
  },
  /** A startup message of very many short parameters. */
  MANY_PARAMETERS {
    @Override
    void play(Session session) throws IOException {
      ByteBuffer startup = ByteBuffer.allocate(10_000);
      startup.putInt(10_000).putInt(3 << 16);
      while (startup.remaining() > 6) {
        startup.put(text("a\0b\0"));
      }
      session.send(startup.array());
      session.sendUntilClosed(MessageWriter.query(text("")), FLOOD_MS);
    }
  },
  /** Asks for encryption again and again, and never for a session. */
  ENCRYPTION_REQUESTS {
    @Override
    void play(Session session) throws IOException {
      byte[] request = ByteBuffer.allocate(8).putInt(8).putInt(80877103).array();
      session.sendUntilClosed(repeat(request, 1000), FLOOD_MS);
    }
  },
  /** Connects and says nothing. */
  SAYS_NOTHING {
    @Override
    void play(Session session) throws IOException {
      session.awaitClose(STAY_MS);
    }
  },
  /** Asks something unsound, closes, and connects again at once. */
  RECONNECTS {
    @Override
    void play(Session session) throws IOException {
      session.startup();
      session.send(repeat(MessageWriter.query(text(select("c=no-such-class,d=9", ""))), 40));
      session.awaitClose(20);
    }
  },
  /** Empty queries and pauses, while it reads nothing for a while. */
  READS_LATE {
    @Override
    void play(Session session) throws IOException {
      session.stopReading();
      session.startup();
      byte[] burst = repeat(MessageWriter.query(text("")), 30);
      long until = System.nanoTime() + STAY_MS * 1_000_000L;
      while (System.nanoTime() < until && session.isOpen()) {
        session.send(burst);
        session.pause(1);
      }
    }
  };

  static final int FLOOD_MS = 3000;
  static final int STAY_MS = 3000;

  abstract void play(Session session) throws IOException;

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] repeat(byte[] one, int count) {
    ByteBuffer all = ByteBuffer.allocate(one.length * count);
    for (int i = 0; i < count; i++) {
      all.put(one);
    }
    return all.array();
  }

  private static byte[] largeQuery() {
    return MessageWriter.query(
        text(RequestClass.PAY.statement("large-" + System.nanoTime(), 1000, 64 * 1024)));
  }

  private static String select(String comment, String behind) {
    return "SELECT v FROM records WHERE k = '15db5f1a2bbf00d5' /* id="
        + Long.toHexString(System.nanoTime())
        + ","
        + comment
        + " */"
        + behind;
  }

  /** One connection of a bad client; a thread of its own reads what comes. */
  static final class Session implements AutoCloseable {
    /** What is sent next. */
    interface Texts {
      String next();
    }

    private static final int BATCH_BYTES = 8 * 1024;

    final Random random;
    final OpenIds openIds;
    private final int port;
    private final String idPrefix;
    private final LeftRequests leftRequests;
    private final java.util.List<String> sentIds = new java.util.ArrayList<>();
    private final Socket socket = new Socket();
    private volatile boolean open = true;
    private volatile boolean reads = true;
    private int ids;

    Session(int port, String idPrefix, Random random, OpenIds openIds, LeftRequests leftRequests)
        throws IOException {
      this.port = port;
      this.idPrefix = idPrefix;
      this.random = random;
      this.openIds = openIds;
      this.leftRequests = leftRequests;
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5000);
      Background.start("bad client's reader", this::read);
    }

    Session another() throws IOException {
      return new Session(port, idPrefix + "again-", random, openIds, leftRequests);
    }

    private void read() throws IOException, InterruptedException {
      byte[] bytes = new byte[16 * 1024];
      try {
        InputStream in = socket.getInputStream();
        while (open && !reads) {
          Thread.sleep(10);
        }
        while (in.read(bytes) >= 0) {
          // whatever it is
        }
      } finally {
        open = false;
      }
    }

    void stopReading() {
      reads = false;
    }

    boolean isOpen() {
      return open;
    }

    void startup() throws IOException {
      send(MessageWriter.startupMessage("svc", "main"));
    }

    void send(byte[] bytes) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(bytes);
    }

    String sound(RequestClass requestClass) {
      return requestClass.statement(nextId(requestClass), 1000, 2);
    }

    /** A sound request that may run once, or not at all where its client has left. */
    String soundToBeLeft(int valueBytes) {
      String id = nextId(RequestClass.PAY);
      sentIds.add(id);
      return RequestClass.PAY.statement(id, 3000, valueBytes);
    }

    private String nextId(RequestClass requestClass) {
      return idPrefix + requestClass.wireName + "-" + ids++;
    }

    /** Has closed with these open. */
    void left() {
      leftRequests.add(sentIds, System.nanoTime());
    }

    /**
     * Sends statements at full speed, some at a time, until the relay closes or the time is over.
     */
    void flood(Texts texts) throws IOException {
      startup();
      long until = System.nanoTime() + FLOOD_MS * 1_000_000L;
      ByteBuffer batch = ByteBuffer.allocate(256 * 1024);
      while (System.nanoTime() < until && open) {
        batch.clear();
        do {
          batch.put(MessageWriter.query(text(texts.next())));
        } while (batch.position() < BATCH_BYTES && random.nextInt(24) != 0);
        socket.getOutputStream().write(batch.array(), 0, batch.position());
      }
    }

    void sendUntilClosed(byte[] bytes, long forMs) throws IOException {
      long until = System.nanoTime() + forMs * 1_000_000L;
      while (System.nanoTime() < until && open) {
        send(bytes);
      }
    }

    void awaitClose(long forMs) {
      long until = System.nanoTime() + forMs * 1_000_000L;
      while (System.nanoTime() < until && open) {
        pause(5);
      }
    }

    void pause(long ms) {
      try {
        Thread.sleep(ms);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void close() {
      open = false;
      try {
        socket.close();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }
}
