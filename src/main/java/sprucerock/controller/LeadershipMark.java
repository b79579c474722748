package sprucerock.controller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The highest fencing token under which a controller took this store's folder, in a file there: who
 * comes with a lower one was stalled for too long.
 */
public final class LeadershipMark {
  private final Storage storage;

  LeadershipMark(Storage storage) {
    this.storage = storage;
  }

  /** Of a folder of the machine's. */
  public static LeadershipMark in(Path folder) throws IOException {
    return new LeadershipMark(new FileStorage(folder));
  }

  /**
   * The highest token that took it; 0: none did.
   *
   * @throws IOException if the file can't be read, or holds something else
   */
  public long highestToken() throws IOException {
    if (!storage.list().contains(FileLeadership.TOKEN_FILE)) {
      return 0;
    }
    String text =
        new String(storage.read(FileLeadership.TOKEN_FILE), StandardCharsets.UTF_8).strip();
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IOException("the file " + FileLeadership.TOKEN_FILE + " holds no number", e);
    }
  }

  /**
   * Takes the folder under a token, on disk for good.
   *
   * @return false if a higher one took it
   * @throws IOException if the file can't be read or written
   */
  public boolean claim(long token) throws IOException {
    long highest = highestToken();
    if (token < highest) {
      return false;
    }
    if (token > highest) {
      storage.replaceAtomically(
          FileLeadership.TOKEN_FILE, Long.toString(token).getBytes(StandardCharsets.UTF_8));
    }
    return true;
  }
}
