import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Discovery's agent: a list of units that does not change, and watches of it. */
final class Roster extends Http {
  private static final long VERSION = 41;
  private static final int EMPTY_LINE_MS = 2000;

  private final List<Map<String, Object>> entries = new ArrayList<>();

  Roster() throws IOException {
    super("roster");
  }

  synchronized void list(Collection<Map<String, Object>> all) {
    entries.addAll(all);
  }

  /** The whole list. */
  synchronized Map<String, Object> known() {
    return listing(true, new ArrayList<>(entries));
  }

  private static Map<String, Object> listing(boolean full, List<?> servers) {
    return Settings.map("version", VERSION, "full", full, "servers", servers);
  }

  @Override
  void answer(String method, String path, String body, Socket socket)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    Log.line("roster is asked " + path);
    if (!path.contains("watch=1")) {
      whole(out, 200, "application/json", Settings.json(known()));
      return;
    }
    chunked(out, "application/json");
    // what changed after the version that is known, or else the whole list
    boolean upToDate = path.endsWith("from=" + VERSION);
    chunk(out, Settings.json(upToDate ? listing(false, List.of()) : known()) + "\n");
    while (true) {
      Thread.sleep(EMPTY_LINE_MS);
      chunk(out, "\n");
    }
  }
}
