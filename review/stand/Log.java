import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: one line an event, with the milliseconds since the start. */
final class Log {
  private static final long START = System.nanoTime();
  private static BufferedWriter out;

  private Log() {}

  static synchronized void open(Path file) throws IOException {
    out = Files.newBufferedWriter(file);
  }

  static double ms() {
    return (System.nanoTime() - START) / 1e6;
  }

  static synchronized void line(String text) {
    if (out == null) {
      return;
    }
    try {
      out.write(String.format("%10.2f %s%n", ms(), text));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  static void say(String text) {
    line(text);
    System.out.println(text);
  }

  static synchronized void close() throws IOException {
    out.close();
    out = null;
  }
}
