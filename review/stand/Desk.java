import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;

/** The platform: the state of the newest build, told and asked, and votes. */
class Desk extends Http {
  private int build;
  private int stage;
  private String phase;
  private double cap;
  private double since = Log.ms();
  private int told;

  Desk(int build, int stage, String phase, double cap) throws IOException {
    super("desk");
    this.build = build;
    this.stage = stage;
    this.phase = phase;
    this.cap = cap;
  }

  synchronized void state(int newBuild, int newStage, String newPhase, double newCap) {
    build = newBuild;
    stage = newStage;
    phase = newPhase;
    cap = newCap;
    since = Log.ms();
    told++;
    notifyAll();
  }

  synchronized Map<String, Object> news() {
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
    int last = -1;
    double pushed = 0;
    while (true) {
      String text = ":\n\n";
      synchronized (this) {
        if (told != last || Log.ms() - pushed > 4000) {
          last = told;
          pushed = Log.ms();
          text = "event: news\ndata: " + form() + "\n\n";
        }
      }
      chunk(out, text);
      if (text.length() > 3) {
        Log.line("desk told " + text.substring(12).trim());
      }
      synchronized (this) {
        if (told == last) {
          wait(1000);
        }
      }
    }
  }
}
