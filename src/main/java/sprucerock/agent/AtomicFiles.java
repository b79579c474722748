package sprucerock.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Text files that a reader sees either as they were or as they are, never in between. */
final class AtomicFiles {
  private AtomicFiles() {}

  /**
   * Replaces a file by one renaming; it is not forced to the disk.
   *
   * @return the file
   * @throws IOException if the disk does not take it
   */
  static Path replace(Path file, String text) throws IOException {
    Path partial = file.resolveSibling(file.getFileName() + ".part");
    Files.writeString(partial, text);
    return Files.move(
        partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
