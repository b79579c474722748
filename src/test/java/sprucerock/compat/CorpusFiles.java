package sprucerock.compat;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Access to the recorded files of the compatibility corpus, which tests read from the class path
 * and never write.
 */
public final class CorpusFiles {
  private static final int BYTES_PER_LINE = 32;

  private CorpusFiles() {}

  /** The place of a recorded file or folder, by its path below the corpus. */
  public static Path path(String name) {
    try {
      return Path.of(CorpusFiles.class.getResource("/compat").toURI()).resolve(name);
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  public static String text(String name) throws IOException {
    return Files.readString(path(name));
  }

  /** The lines of a recorded text that are neither empty nor a comment. */
  public static List<String> lines(String name) throws IOException {
    return text(name).lines().filter(line -> !line.isEmpty() && !line.startsWith("#")).toList();
  }

  /** The bytes that a recorded text has in hexadecimal; white space in it means nothing. */
  public static byte[] hex(String name) throws IOException {
    return HexFormat.of().parseHex(text(name).replaceAll("\\s", ""));
  }

  /** The names of the files of a recorded folder, sorted. */
  public static List<String> names(String folder) throws IOException {
    try (Stream<Path> files = Files.list(path(folder))) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    }
  }

  /**
   * All files of a folder with their bytes in hexadecimal, by name, for a comparison whose failure
   * can be read.
   */
  public static Map<String, String> contents(Path folder) throws IOException {
    Map<String, String> found = new TreeMap<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        found.put(file.getFileName().toString(), dump(Files.readAllBytes(file)));
      }
    }
    return found;
  }

  /** A copy of a recorded folder of files that a test may change; {@link #remove} takes it away. */
  public static Path copy(String folder) throws IOException {
    Path copy = Files.createTempDirectory("compat");
    for (String name : names(folder)) {
      Files.copy(path(folder).resolve(name), copy.resolve(name));
    }
    return copy;
  }

  /** Removes a folder with all that is in it. */
  public static void remove(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(one);
      }
    }
  }

  /** Bytes in hexadecimal, some on each line. */
  public static String dump(byte[] bytes) {
    StringBuilder text = new StringBuilder();
    for (int from = 0; from < bytes.length; from += BYTES_PER_LINE) {
      text.append(
              HexFormat.of().formatHex(bytes, from, Math.min(bytes.length, from + BYTES_PER_LINE)))
          .append('\n');
    }
    return text.toString();
  }
}
