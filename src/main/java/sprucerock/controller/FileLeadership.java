package sprucerock.controller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import sprucerock.time.TimeSpan;

/**
 * Who of two controllers acts: a file in the store's folder that the active one writes anew, again
 * and again. Who sees it unchanged for the lease's time by its own steady clock takes it, under a
 * higher term. It promises that of two which read and write the same folder only one keeps inputs,
 * as long as no clock runs at half another's speed: one that was held up finds, before it keeps
 * anything, that its time is over. What it can't promise is that such a one has not a frame on its
 * way: news therefore has an epoch, and relays refuse older ones. Each term begins files of its
 * own, so that nothing a former one still writes is ever read.
 */
public final class FileLeadership implements Leadership {
  private static final String FILE = "lease";

  /**
   * Once the seat was granted by a majority, nobody takes it by this file: who was granted it would
   * not see that.
   */
  static final String MAJORITY = "seat";

  private static final TimeSpan CLAIM =
      TimeSpan.ofMs(500); // twice as long as between two looks of whoever holds it

  private final Storage disk;
  private final Engine.Clock clock;
  private final TimeSpan time;
  private final String holder;
  private String seen = "";
  private long seenAt;
  private String claimed;
  private long claimedAt;
  private String own;
  private long renewedAt;
  private long beats;

  FileLeadership(Storage disk, Engine.Clock clock, TimeSpan time, String holder) {
    this.disk = disk;
    this.clock = clock;
    this.time = time;
    this.holder = holder;
    seenAt = clock.steadyMs();
  }

  /**
   * One in a folder of the machine's; {@code holder} names this process among all that may hold it.
   */
  public static FileLeadership in(
      java.nio.file.Path folder, Engine.Clock clock, TimeSpan time, String holder)
      throws IOException {
    return new FileLeadership(new FileStorage(folder), clock, time, holder);
  }

  private String read() throws IOException {
    return disk.list().contains(FILE) ? new String(disk.read(FILE), StandardCharsets.UTF_8) : "";
  }

  private static long term(String lease) {
    try {
      return lease.isEmpty() ? 0 : Long.parseLong(lease.substring(0, lease.indexOf(' ')));
    } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
      return 0; // not ours to judge: whoever wrote it renews it, or it is taken
    }
  }

  @Override
  public synchronized boolean take() throws IOException {
    if (disk.list().contains(MAJORITY)) {
      throw new IOException(
          "the seat of this folder is granted by a majority: leases are to be configured, or the"
              + " file "
              + MAJORITY
              + " taken away");
    }
    String now = read();
    long at = clock.steadyMs();
    if (claimed != null) {
      if (!now.equals(claimed)) { // another one was quicker
        claimed = null;
        seen = now;
        seenAt = at;
        return false;
      }
      if (at - claimedAt < CLAIM.atMost(time.times(0.5)).ms()) {
        return false; // whoever claimed at the same moment has written by then
      }
      own = claimed;
      claimed = null;
      renewedAt = claimedAt;
      return renew();
    }
    if (!now.equals(seen)) {
      seen = now;
      seenAt = at;
      return false;
    }
    if (!now.isEmpty() && !now.endsWith(" free") && at - seenAt < time.ms()) {
      return false;
    }
    claimed = (term(now) + 1) + " " + holder + " 0";
    disk.replaceAtomically(FILE, claimed.getBytes(StandardCharsets.UTF_8));
    claimedAt = clock.steadyMs();
    return false;
  }

  @Override
  public synchronized boolean holds() {
    return own != null && clock.steadyMs() - renewedAt < time.ms();
  }

  @Override
  public synchronized boolean renew() throws IOException {
    if (own == null) {
      return false;
    }
    long at = clock.steadyMs();
    if (!read().equals(own)) {
      own = null;
      return false;
    }
    String next = term(own) + " " + holder + " " + ++beats;
    if (at - renewedAt
        >= time.ms()) { // held up for longer: nobody took it, but somebody may just now
      own = null;
      return false;
    }
    disk.replaceAtomically(FILE, next.getBytes(StandardCharsets.UTF_8));
    own = next;
    renewedAt = at;
    return true;
  }

  @Override
  public synchronized void release() throws IOException {
    if (own != null && read().equals(own)) {
      disk.replaceAtomically(FILE, (term(own) + " free").getBytes(StandardCharsets.UTF_8));
    }
    own = null;
  }
}
