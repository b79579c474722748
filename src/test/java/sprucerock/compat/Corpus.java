package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;

/**
 * The compatibility corpus under src/test/resources/compat: inputs, and what the program made of
 * them when they were recorded. A test hands over what the program makes of an input today, which
 * has to be the recorded text, character by character. With {@code -Dcompat.record=DIR} the outputs
 * are written into that folder instead and nothing is compared.
 */
public final class Corpus {
  private static final Path FOLDER = Path.of("src", "test", "resources", "compat");
  private static final String RECORD_INTO = "compat.record";

  private Corpus() {}

  /** An input of the corpus, as text. */
  public static String input(String name) throws IOException {
    return Files.readString(FOLDER.resolve(name));
  }

  /** The lines of an input that are neither empty nor comments. */
  public static List<String> inputLines(String name) throws IOException {
    return input(name).lines().filter(line -> !line.isBlank() && !line.startsWith("#")).toList();
  }

  /** Compares with the recorded output, or records it. */
  public static void holds(String name, String output) throws IOException {
    String into = System.getProperty(RECORD_INTO);
    if (into == null) {
      assertEquals(
          output, Files.readString(FOLDER.resolve(name)), "differs from the recorded " + name);
      return;
    }
    Path file = Path.of(into).resolve(name);
    Files.createDirectories(file.getParent());
    Files.writeString(file, output, StandardCharsets.UTF_8);
  }

  /** The same for lines whose order says nothing. */
  public static void holdsSorted(String name, Iterable<String> lines) throws IOException {
    List<String> sorted = new ArrayList<>();
    lines.forEach(sorted::add);
    sorted.sort(null);
    holds(name, String.join("\n", sorted) + "\n");
  }

  /** A file that only its owner may read, as secrets have to be. */
  public static Path secret(Path file, String text) throws IOException {
    Files.writeString(file, text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    return file;
  }

  /** An input with one part replaced; the part has to be there. */
  public static String replaced(String text, String part, String instead) {
    int at = text.indexOf(part);
    if (at < 0) {
      throw new AssertionError("the input does not hold \"" + part + "\"");
    }
    return text.substring(0, at) + instead + text.substring(at + part.length());
  }
}
