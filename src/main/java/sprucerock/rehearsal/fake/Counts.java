package sprucerock.rehearsal.fake;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.TreeMap;

/**
 * What a stand-in counts for itself, apart from any trace or relay: its own word of what it saw.
 */
public final class Counts {
  private final Map<String, Long> counts = new TreeMap<>();

  void add(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  void add(String what, long many) {
    if (many > 0) {
      counts.merge(what, many, Long::sum);
    }
  }

  void set(String what, long many) {
    counts.put(what, many);
  }

  /** Zero for what was never counted. */
  public long of(String what) {
    return counts.getOrDefault(what, 0L);
  }

  /** The sum of all whose names begin so. */
  public long all(String prefix) {
    return counts.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** Takes another's in. */
  public void plus(Counts other) {
    other.counts.forEach((what, many) -> counts.merge(what, many, Long::sum));
  }

  /** Writes a line for each count of each place, as a properties file. */
  public static void write(Path file, Map<String, Counts> places) throws IOException {
    List<String> lines = new ArrayList<>();
    places.forEach(
        (place, counts) ->
            counts.counts.forEach((what, many) -> lines.add(place + "." + what + "=" + many)));
    Files.write(file, lines);
  }

  /**
   * Places by name.
   *
   * @throws IOException if there is no such file, or a line in it is no count
   */
  public static Map<String, Counts> read(Path file) throws IOException {
    Properties all = new Properties();
    try (Reader reader = Files.newBufferedReader(file)) {
      all.load(reader);
    }
    Map<String, Counts> places = new TreeMap<>();
    for (String key : all.stringPropertyNames()) {
      int dot = key.indexOf('.');
      try {
        places
            .computeIfAbsent(key.substring(0, Math.max(0, dot)), place -> new Counts())
            .set(key.substring(dot + 1), Long.parseLong(all.getProperty(key)));
      } catch (NumberFormatException e) {
        throw new IOException(file + ": " + key + " is no count: " + all.getProperty(key));
      }
    }
    return places;
  }
}
