package sprucerock.controller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import sprucerock.time.TimeSpan;

/**
 * Leadership by a lease file in the storage folder, which the leader rewrites at each heartbeat. A
 * controller that sees the file unchanged for the lease's duration, by its own steady clock, takes
 * the lease under a higher term.
 *
 * <p>Of two controllers that read and write the same folder only one acts, as long as no clock runs
 * at half the speed of another: a stalled leader finds that its lease has expired before it stores
 * anything. A frame of a stalled leader that is in flight may still arrive; endpoint lists
 * therefore have an epoch, and relays reject older ones. Each term begins new log files, so that
 * nothing a former leader still writes is ever read.
 *
 * <p>The file's text is {@code TERM HOLDER HEARTBEAT}, or {@code TERM free} after a release.
 */
public final class FileLeadership implements Leadership {
  private static final String LEASE_FILE = "lease";
  private static final String FREE = " free";

  /**
   * The file that holds the fencing token once leadership was granted by a quorum ({@link
   * LeadershipMark}). While it exists nobody takes leadership by the lease file, as a leader that
   * was granted by a quorum does not read the lease file.
   */
  static final String TOKEN_FILE = "seat";

  /** Longer than twice {@link Leadership#RENEW_INTERVAL}, so that the old holder sees the claim. */
  private static final TimeSpan CLAIM_DELAY = TimeSpan.ofMs(500);

  private final Storage storage;
  private final Engine.Clock clock;
  private final TimeSpan duration;
  private final String holder;

  /** The text of the lease file when it was last found changed. */
  private String lastSeenLease = "";

  /** When the lease file was last found changed. */
  private long lastChangedMs;

  /**
   * The text of the lease file with which this controller claims the lease; null without a claim.
   */
  private String claim;

  private long claimedMs;

  /** The text of the lease file as this controller wrote it last; null if it holds no lease. */
  private String ownLease;

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
   * Creates a leadership over a lease file in a folder of the file system.
   *
   * @param duration the time after which a lease that is not renewed may be taken over
   * @param holder a name without spaces, unique among the controllers that may lead
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
      // An unreadable lease is treated like any other: its holder renews it, or it is taken over.
      return 0;
    }
  }

  @Override
  public synchronized boolean tryAcquire() throws IOException {
    if (storage.list().contains(TOKEN_FILE)) {
      throw new IOException(
          "leadership of this folder is granted by a quorum of grantors, but no leases are"
              + " configured: configure them, or delete the file "
              + TOKEN_FILE);
    }
    String current = read();
    long nowMs = clock.steadyMs();
    if (claim != null) {
      return confirmClaim(current, nowMs);
    }
    if (!current.equals(lastSeenLease)) {
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

  /**
   * Takes the lease if the claim is unchanged after the delay: by then every controller that
   * claimed at the same moment has written its claim.
   */
  private boolean confirmClaim(String current, long nowMs) throws IOException {
    // Another controller wrote its claim later.
    if (!current.equals(claim)) {
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
    lastSeenLease = current;
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
      // This process stalled for too long. Nobody took the lease yet, but somebody may be doing so.
      ownLease = null;
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
