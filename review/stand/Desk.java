import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;

/** The platform: the state of the newest build, told and asked, and votes. */
final class Desk extends Http {
  private final int build;
  private final int stage;
  private final String phase;
  private final double cap;
  private final double since = Log.ms();

  Desk(int build, int stage, String phase, double cap) throws IOException {
    super("desk");
    this.build = build;
    this.stage = stage;
    this.phase = phase;
    this.cap = cap;
  }

  Map<String, Object> news() {
    return Settings.map(
        "build", build, "stage", stage, "phase", phase, "cap", cap, "age_ms",
        (long) (Log.ms() - since));
  }

  private String form() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Object> pair : news().entrySet()) {
      text.append(text.length() == 0 ? "" : "&").append(pair.getKey()).append('=');
      text.append(pair.getValue());
    }
    return text.toString();
  }

  private String xml() {
    StringBuilder text =
        new StringBuilder("<?xml version=\"1.0\"?>\n<Response><entries><item>");
    for (Map.Entry<String, Object> pair : news().entrySet()) {
      text.append('<').append(pair.getKey()).append('>').append(pair.getValue());
      text.append("</").append(pair.getKey()).append('>');
    }
    return text.append("</item></entries></Response>").toString();
  }

  @Override
  void answer(String method, String path, String body, Socket socket)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    if (method.equals("POST")) {
      Log.line("desk gets the vote " + body);
      whole(out, 200, "application/xml", xml());
      return;
    }
    chunked(out, "text/event-stream");
    for (int second = 0; ; second++) {
      if (second % 4 == 0) {
        String news = form();
        chunk(out, "event: news\ndata: " + news + "\n\n");
        Log.line("desk told " + news);
      } else {
        chunk(out, ":\n\n");
      }
      Thread.sleep(1000);
    }
  }
}
