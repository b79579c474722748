import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery's agent: the list of units, and watches of its changes. */
class Roster extends Http {
  private final Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
  private final Map<String, Long> changedAt = new LinkedHashMap<>();
  private long version = 41;
  private long oldest = 41;
  private boolean down;

  /** Blanks a level in lists; -1: a list is one line. */
  volatile int indent = -1;

  Roster() throws IOException {
    super("roster");
  }

  synchronized void list(Collection<Map<String, Object>> all) {
    for (Map<String, Object> entry : all) {
      entries.put((String) entry.get("id"), entry);
    }
  }

  /** An entry changes, or is gone where its state is DELETED. */
  synchronized void change(Map<String, Object> entry) {
    version++;
    String id = (String) entry.get("id");
    if ("DELETED".equals(entry.get("state"))) {
      entries.remove(id);
    } else {
      entries.put(id, entry);
    }
    changes.put(version, entry);
    notifyAll();
  }

  private final Map<Long, Map<String, Object>> changes = new LinkedHashMap<>();

  /** It forgets what changed: from now on a watch begins with the whole list. */
  synchronized void forget() {
    oldest = version + 1;
  }

  /** The agent is silent for as long as this holds. */
  synchronized void down(boolean now) {
    down = now;
    generation += now ? 1 : 0;
    notifyAll();
  }

  private int generation;

  synchronized Map<String, Object> known() {
    return listing(version, true, new ArrayList<>(entries.values()));
  }

  private static Map<String, Object> listing(long version, boolean full, List<?> servers) {
    return Settings.map("version", version, "full", full, "servers", servers);
  }

  @Override
  void answer(String method, String path, String body, Socket socket)
      throws IOException, InterruptedException {
    OutputStream out = socket.getOutputStream();
    Log.line("roster is asked " + path);
    int born;
    synchronized (this) {
      while (down) {
        wait();
      }
      born = generation;
    }
    if (!path.contains("watch=1")) {
      String all;
      synchronized (this) {
        all = Settings.json(known());
      }
      whole(out, 200, "application/json", all);
      return;
    }
    long from = Long.parseLong(path.substring(path.indexOf("from=") + 5));
    chunked(out, "application/json");
    boolean first = true;
    while (true) {
      String text = "\n";
      synchronized (this) {
        if (born != generation) {
          wait(); // a watch that has fallen silent is broken
          continue;
        }
        if (first && (from < oldest || from > version)) {
          text = Settings.json(known(), indent) + "\n";
          from = version;
        } else if (first || from < version) {
          Map<String, Object> latest = new LinkedHashMap<>();
          for (Map.Entry<Long, Map<String, Object>> change : changes.entrySet()) {
            if (change.getKey() > from) {
              latest.put((String) change.getValue().get("id"), change.getValue());
            }
          }
          text =
              Settings.json(listing(version, false, new ArrayList<>(latest.values())), indent)
                  + "\n";
          from = version;
        }
      }
      first = false;
      chunk(out, text);
      if (text.length() > 1) {
        Log.line("roster told version " + from + " in " + text.length() + " bytes");
      }
      synchronized (this) {
        if (from >= version && born == generation) {
          wait(2000);
        }
      }
    }
  }
}
