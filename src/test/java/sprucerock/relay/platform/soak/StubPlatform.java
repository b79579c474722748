package sprucerock.relay.platform.soak;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Discovery and the release API at one address: a list that stays, and a build that is released.
 */
final class StubPlatform implements Closeable {
  private static final int BACKLOG = 128;
  private static final long SIGN_OF_LIFE_MS = 1000;
  private static final String NEWS = "build=7&stage=0&phase=Healthy&cap=1.0&age_ms=60000";
  private static final String VOTE_ANSWER =
      "<?xml version=\"1.0\"?><Response><entries><item><build>7</build><stage>0</stage>"
          + "<phase>Healthy</phase><cap>1.0</cap><age_ms>60000</age_ms></item></entries></Response>";

  private final ServerSocket server =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final List<String> entries;

  StubPlatform(List<String> entries) throws IOException {
    this.entries = List.copyOf(entries);
    Background.start(
        "platform",
        () -> {
          while (true) {
            Socket socket = server.accept();
            Background.start("platform connection", () -> serve(socket));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private String list() {
    return "{\"version\":4,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}\n";
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      while (true) {
        String request = in.readLine();
        if (request == null) {
          return;
        }
        int bodyBytes = readHead(in);
        in.skip(bodyBytes);
        OutputStream out = socket.getOutputStream();
        if (request.contains("watch=")) {
          stream(out, list(), "\n");
        } else if (request.contains("/bulletin")) {
          stream(out, "event: news\ndata: " + NEWS + "\n\n", ":\n");
        } else {
          String body = request.startsWith("GET") ? list() : VOTE_ANSWER;
          write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }
      }
    }
  }

  /** Reads the head's other lines; the length of the body. */
  private static int readHead(BufferedReader in) throws IOException {
    int bodyBytes = 0;
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        bodyBytes = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
      }
    }
    return bodyBytes;
  }

  private static void stream(OutputStream out, String first, String signOfLife)
      throws IOException, InterruptedException {
    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    chunk(out, first);
    while (true) {
      Thread.sleep(SIGN_OF_LIFE_MS);
      chunk(out, signOfLife);
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
