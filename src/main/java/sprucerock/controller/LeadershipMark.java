package sprucerock.controller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * The highest number under which a controller took this store's folder: who comes with a lower one
 * stood still too long.
 */
public final class LeadershipMark {
  private final Storage disk;

  LeadershipMark(Storage disk) {
    this.disk = disk;
  }

  /** Of a folder of the machine's. */
  public static LeadershipMark in(java.nio.file.Path folder) throws IOException {
    return new LeadershipMark(new FileStorage(folder));
  }

  /**
   * The highest that took it; 0: none did.
   *
   * @throws IOException if the file can't be read, or is none of ours
   */
  public long highest() throws IOException {
    if (!disk.list().contains(FileLeadership.MAJORITY)) {
      return 0;
    }
    String text = new String(disk.read(FileLeadership.MAJORITY), StandardCharsets.UTF_8).strip();
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IOException("the file " + FileLeadership.MAJORITY + " holds no number");
    }
  }

  /** Takes the folder under a number, for good on the disk; false if a higher one took it. */
  public boolean take(long number) throws IOException {
    long highest = highest();
    if (number < highest) {
      return false;
    }
    if (number > highest) {
      disk.replaceAtomically(
          FileLeadership.MAJORITY, Long.toString(number).getBytes(StandardCharsets.UTF_8));
    }
    return true;
  }
}
