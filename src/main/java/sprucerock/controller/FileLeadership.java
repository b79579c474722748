package sprucerock.controller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import sprucerock.time.TimeSpan;

/**
 * Leadership by a lease file in the store's folder, which the leader rewrites again and again. Who
 * sees it unchanged for the lease's duration by its own steady clock takes it, under a higher term.
 *
 * <p>Of two controllers that read and write the same folder only one acts, as long as no clock runs
 * at half another's speed: one that was stalled finds, before it stores anything, that its lease
 * has expired. What this can't prevent is that such a one has a frame on its way: endpoint lists
 * therefore have an epoch, and relays reject older ones. Each term begins files of its own, so that
 * nothing a former leader still writes is ever read.
 *
 * <p>The file's text is {@code TERM HOLDER HEARTBEAT}, or {@code TERM free} once it was released.
 */
public final class FileLeadership implements Leadership {
  private static final String LEASE_FILE = "lease";
  private static final String FREE = " free";

  /**
   * Holds the fencing token once leadership was granted by a quorum ({@link LeadershipMark}); from
   * then on nobody takes it by the lease file, which that leader would not see.
   */
  static final String TOKEN_FILE = "seat";

  /** Twice as long as between two looks of whoever holds it. */
  private static final TimeSpan CLAIM_DELAY = TimeSpan.ofMs(500);

  private final Storage storage;
  private final Engine.Clock clock;
  private final TimeSpan duration;
  private final String holder;
  private String lastSeen = "";
  private long lastChangedMs;
  private String claim; // null: none was written, or another controller's replaced it
  private long claimedMs;
  private String ownLease; // null: not held
  private long renewedMs;
  private long heartbeats;

  FileLeadership(Storage storage, Engine.Clock clock, TimeSpan duration, String holder) {
    this.storage = storage;
    this.clock = clock;
    this.duration = duration;
    this.holder = holder;
    lastChangedMs = clock.steadyMs();
  }

  /**
   * One in a folder of the machine's.
   *
   * @param duration after which a lease that is not renewed may be taken over
   * @param holder names this process among all that may lead; without spaces
   * @throws IOException if the folder can't be opened
   */
  public static FileLeadership in(Path folder, Engine.Clock clock, TimeSpan duration, String holder)
      throws IOException {
    return new FileLeadership(new FileStorage(folder), clock, duration, holder);
  }

  private String read() throws IOException {
    return storage.list().contains(LEASE_FILE)
        ? new String(storage.read(LEASE_FILE), StandardCharsets.UTF_8)
        : "";
  }

  private void write(String lease) throws IOException {
    storage.replaceAtomically(LEASE_FILE, lease.getBytes(StandardCharsets.UTF_8));
  }

  private static long term(String lease) {
    try {
      return lease.isEmpty() ? 0 : Long.parseLong(lease.substring(0, lease.indexOf(' ')));
    } catch (NumberFormatException | StringIndexOutOfBoundsException e) {
      return 0; // not ours to judge: whoever wrote it renews it, or it is taken over
    }
  }

  @Override
  public synchronized boolean tryAcquire() throws IOException {
    if (storage.list().contains(TOKEN_FILE)) {
      throw new IOException(
          "the seat of this folder is granted by a majority: leases are to be configured, "
              + "or the file "
              + TOKEN_FILE
              + " taken away");
    }
    String current = read();
    long nowMs = clock.steadyMs();
    if (claim != null) {
      return confirmClaim(current, nowMs);
    }
    if (!current.equals(lastSeen)) {
      recordChange(current, nowMs);
      return false;
    }
    boolean running =
        !current.isEmpty() && !current.endsWith(FREE) && nowMs - lastChangedMs < duration.ms();
    if (!running) {
      claim = (term(current) + 1) + " " + holder + " 0";
      write(claim);
      claimedMs = clock.steadyMs();
    }
    return false;
  }

  /** A claim that stands after the delay wins: whoever claimed at the same moment has written. */
  private boolean confirmClaim(String current, long nowMs) throws IOException {
    if (!current.equals(claim)) { // another controller was quicker
      claim = null;
      recordChange(current, nowMs);
      return false;
    }
    if (nowMs - claimedMs < CLAIM_DELAY.atMost(duration.times(0.5)).ms()) {
      return false;
    }
    ownLease = claim;
    claim = null;
    renewedMs = claimedMs;
    return renew();
  }

  private void recordChange(String current, long nowMs) {
    lastSeen = current;
    lastChangedMs = nowMs;
  }

  @Override
  public synchronized boolean isHeld() {
    return ownLease != null && clock.steadyMs() - renewedMs < duration.ms();
  }

  @Override
  public synchronized boolean renew() throws IOException {
    if (ownLease == null) {
      return false;
    }
    long nowMs = clock.steadyMs();
    if (!read().equals(ownLease)) {
      ownLease = null;
      return false;
    }
    String next = term(ownLease) + " " + holder + " " + ++heartbeats;
    if (nowMs - renewedMs >= duration.ms()) {
      ownLease = null; // stalled for longer: nobody took it, but somebody may just now
      return false;
    }
    write(next);
    ownLease = next;
    renewedMs = nowMs;
    return true;
  }

  @Override
  public synchronized void release() throws IOException {
    if (ownLease != null && read().equals(ownLease)) {
      write(term(ownLease) + FREE);
    }
    ownLease = null;
  }
}
