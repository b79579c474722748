package sprucerock.relay.platform.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import sprucerock.transport.postgres.MessageWriter;

/** A client's connection: one request at a time, each waited for until its time is over. */
final class PgClient implements Closeable {
  private static final int CONNECT_MS = 5000;
  private static final int READY_MS = 2000;

  /** On loopback a reset comes within microseconds; both processes may wait for a core. */
  private static final int RESET_MS = 50;

  /** What came for a request. */
  record Answer(RequestEnd.Kind kind, long sentNanos, long endedNanos, String detail) {}

  private final Socket socket = new Socket();
  private final DataInputStream in;
  private boolean usable = true;
  private boolean fresh = true;

  PgClient(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    socket.getOutputStream().write(MessageWriter.startupMessage("svc", "main"));
  }

  boolean isUsable() {
    return usable;
  }

  /** Whether nothing was asked on it yet. */
  boolean isFresh() {
    return fresh;
  }

  /** Sends bytes as they are. */
  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /**
   * Asks, and waits for a final answer.
   *
   * @param waitMs after its last byte is written
   */
  Answer ask(String id, String statement, long waitMs) {
    fresh = false;
    long sent = System.nanoTime();
    try {
      send(MessageWriter.query(statement.getBytes(StandardCharsets.ISO_8859_1)));
      sent = System.nanoTime();
      return readAnswer(id, sent, sent + TimeUnit.MILLISECONDS.toNanos(waitMs));
    } catch (SocketTimeoutException e) {
      return ended(RequestEnd.Kind.SILENT, sent, "");
    } catch (EOFException e) {
      return ended(wasRead() ? RequestEnd.Kind.READ_AND_CLOSED : RequestEnd.Kind.CLOSED, sent, "");
    } catch (IOException e) {
      return ended(RequestEnd.Kind.RESET, sent, e.getMessage());
    }
  }

  /**
   * Whether the relay had read all that was sent before it closed. Its system resets a connection
   * that is closed with bytes unread, and one that gets bytes after its close; the first byte
   * written after an end in good order is taken.
   */
  private boolean wasRead() {
    try {
      Thread.sleep(RESET_MS);
      socket.getOutputStream().write('X');
      return true;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private Answer ended(RequestEnd.Kind kind, long sent, String detail) {
    close();
    return new Answer(kind, sent, System.nanoTime(), detail);
  }

  private Answer readAnswer(String id, long sent, long until) throws IOException {
    String value = null;
    while (true) {
      long leftMs = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
      if (leftMs <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) leftMs + 1);
      int type = in.readByte();
      byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
      long now = System.nanoTime();
      switch (type) {
        case 'D' -> value = new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
        case 'C' -> {
          boolean right = value != null && value.equals(StubEndpoint.valueFor(id, value.length()));
          awaitReady();
          return new Answer(
              right ? RequestEnd.Kind.SERVED : RequestEnd.Kind.WRONG_VALUE, sent, now, "");
        }
        case 'E' -> {
          String error = new String(body, StandardCharsets.ISO_8859_1);
          if (error.startsWith("SFATAL")) {
            close();
          } else {
            awaitReady();
          }
          boolean refused = error.contains("\0C53300\0") || error.contains("\0C57P03\0");
          return new Answer(
              refused ? RequestEnd.Kind.REFUSED : RequestEnd.Kind.FAILED,
              sent,
              now,
              error.replace('\0', ' '));
        }
        default -> {
          // the welcome, or a row's description
        }
      }
    }
  }

  private void awaitReady() {
    try {
      socket.setSoTimeout(READY_MS);
      byte type = in.readByte();
      in.readNBytes(in.readInt() - Integer.BYTES);
      if (type != 'Z') {
        close();
      }
    } catch (IOException e) {
      close();
    }
  }

  @Override
  public void close() {
    usable = false;
    try {
      socket.close();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
