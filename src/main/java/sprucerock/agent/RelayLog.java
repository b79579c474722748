package sprucerock.agent;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The file that a relay's output goes to: a file, not a pipe, as the relay outlives its agent. */
final class RelayLog {
  private static final String FILE = "relay.log";
  private static final String PREVIOUS_SUFFIX = ".1";

  /** Beyond this size the file is renamed at the relay's next start. */
  private static final long MAX_BYTES = 16 << 20;

  /** How far text is looked for: a relay says STARTED after some ten lines. */
  private static final long MAX_SEARCHED_BYTES = 1 << 16;

  private final Path file;

  RelayLog(Path folder) {
    file = folder.resolve(FILE);
  }

  Path file() {
    return file;
  }

  /** Its size in bytes; 0 where there is none. */
  long size() throws IOException {
    return Files.exists(file) ? Files.size(file) : 0;
  }

  /** Begins a new file where this one is too large, and keeps the last one beside it. */
  void rotate() throws IOException {
    if (size() > MAX_BYTES) {
      Path previous = file.resolveSibling(FILE + PREVIOUS_SUFFIX);
      Files.move(file, previous, StandardCopyOption.REPLACE_EXISTING);
    }
  }

  /** Whether the text stands in what was written from that offset on. */
  boolean contains(String text, long offset) throws IOException {
    try (FileChannel channel = FileChannel.open(file)) {
      long available = Math.max(0, channel.size() - offset);
      ByteBuffer bytes = ByteBuffer.allocate((int) Math.min(MAX_SEARCHED_BYTES, available));
      channel.read(bytes, offset);
      return new String(bytes.array(), StandardCharsets.UTF_8).contains(text);
    }
  }
}
