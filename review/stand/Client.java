import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client's connection: one request at a time. */
final class Client implements AutoCloseable {
  /** What became of a request: served, refused, failed, closed (without an answer) or silent. */
  record Answer(String how, String text, double sentMs, double endedMs) {}

  private final int port;
  private Socket socket;
  private DataInputStream in;

  Client(int port) {
    this.port = port;
  }

  private void connect() throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 5000);
    in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    socket.getOutputStream().write(Pg.startup());
  }

  boolean open() {
    return socket != null;
  }

  /**
   * Asks, and waits for at most so long. Where the relay closed the connection between two requests
   * it is asked once more on a new connection.
   */
  Answer ask(String statement, double waitMs) throws IOException {
    boolean used = socket != null;
    Answer answer = askOnce(statement, waitMs);
    if (used && answer.how.equals("closed")) {
      Log.line("client asks once more: " + Pg.said(statement, "id"));
      answer = askOnce(statement, waitMs);
    }
    return answer;
  }

  private Answer askOnce(String statement, double waitMs) throws IOException {
    double sent = Log.ms();
    try {
      if (socket == null) {
        connect();
      }
      socket.getOutputStream().write(Pg.query(statement));
      sent = Log.ms();
      String value = null;
      while (true) {
        double left = sent + waitMs - Log.ms();
        if (left <= 0) {
          throw new SocketTimeoutException();
        }
        socket.setSoTimeout((int) Math.ceil(left));
        Pg.Message message = Pg.read(in);
        switch (message.type()) {
          case 'D' ->
              value =
                  new String(
                      message.body(), 6, message.body().length - 6, StandardCharsets.US_ASCII);
          case 'C' -> {
            double at = Log.ms();
            readiness();
            return new Answer("served", value, sent, at);
          }
          case 'E' -> {
            double at = Log.ms();
            String code = Pg.errorField(message.body(), 'C');
            if (Pg.errorField(message.body(), 'S').equals("FATAL")) {
              close();
            } else {
              readiness();
            }
            boolean refused = code.equals("53300") || code.equals("57P03");
            return new Answer(refused ? "refused" : "failed", code, sent, at);
          }
          default -> {}
        }
      }
    } catch (SocketTimeoutException e) {
      close();
      return new Answer("silent", "", sent, Log.ms());
    } catch (IOException e) {
      close();
      return new Answer("closed", e.toString(), sent, Log.ms());
    }
  }

  private void readiness() throws IOException {
    try {
      socket.setSoTimeout(2000);
      if (Pg.read(in).type() != 'Z') {
        close();
      }
    } catch (IOException e) {
      close();
    }
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      Log.line("a client's socket: " + e);
    }
    socket = null;
  }
}
