package sprucerock.controller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A file in the storage folder with the highest fencing token under which a controller claimed the
 * folder. A claim with a lower token comes from a former leader that stalled, and is rejected.
 */
public final class LeadershipMark {
  private final Storage storage;

  LeadershipMark(Storage storage) {
    this.storage = storage;
  }

  /** Creates a mark in a folder of the file system. */
  public static LeadershipMark in(Path folder) throws IOException {
    return new LeadershipMark(new FileStorage(folder));
  }

  /**
   * Returns the highest token that claimed the folder, or 0 if none did.
   *
   * @throws IOException if the file can't be read, or does not contain a number
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
      throw new IOException(
          "the file " + FileLeadership.TOKEN_FILE + " must contain a fencing token, a whole number",
          e);
    }
  }

  /**
   * Claims the folder under a token, durably.
   *
   * @return false if a higher token claimed the folder before
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
