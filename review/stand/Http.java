import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain HTTP/1.1 server; its subclasses say what is answered. */
abstract class Http {
  final ServerSocket listener;

  Http(String name) throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    Threads.start(
        name,
        () -> {
          while (true) {
            Socket socket = listener.accept();
            Threads.start(name + " connection", () -> serve(socket));
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String first = line(in);
        if (first == null) {
          return;
        }
        int length = 0;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
          if (header.toLowerCase().startsWith("content-length:")) {
            length = Integer.parseInt(header.substring(15).trim());
          }
        }
        byte[] body = in.readNBytes(length);
        String[] words = first.split(" ");
        answer(words[0], words[1], new String(body, StandardCharsets.US_ASCII), socket);
      }
    } catch (IOException e) {
      Log.line("an HTTP connection ended: " + e);
    }
  }

  /** Answers, or stays for as long as it tells something. */
  abstract void answer(String method, String path, String body, Socket socket)
      throws IOException, InterruptedException;

  static void whole(OutputStream out, int status, String type, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + (status == 200 ? " OK" : " No")
            + "\r\nContent-Type: "
            + type
            + "\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n";
    out.write(Pg.join(head.getBytes(StandardCharsets.US_ASCII), bytes));
  }

  static void chunked(OutputStream out, String type) throws IOException {
    out.write(
        ("HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
  }

  static void chunk(OutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    String head = Integer.toHexString(bytes.length) + "\r\n";
    out.write(
        Pg.join(
            head.getBytes(StandardCharsets.US_ASCII),
            bytes,
            "\r\n".getBytes(StandardCharsets.US_ASCII)));
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return text.toString().stripTrailing();
      }
      text.append((char) c);
    }
    return null;
  }
}
