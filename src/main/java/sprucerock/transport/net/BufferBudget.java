package sprucerock.transport.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Shares a {@link MemoryLimit} among many connections whose reading can be paused.
 *
 * <p>What an account holds beyond {@link #FREE_BYTES} draws on the shared bytes, so that small
 * messages never wait for large ones. Accounts that find too few shared bytes are served in the
 * order in which they began to wait. While any waits, a holder that stays in the middle of a
 * message without receiving anything is evicted.
 *
 * <p>An account that holds much already may draw only a share of what is free, and waits beside the
 * others where it asks for more: one connection never takes the room of all.
 *
 * <p>Confined to the loop thread.
 */
public final class BufferBudget {
  /** Bytes of an account that are not drawn from the shared ones. */
  public static final int FREE_BYTES = 1024;

  /** What an account may draw however little is free: one large message and another behind it. */
  public static final int MIN_ACCOUNT_BYTES = 256 * 1024;

  /** Above that an account may draw up to the free bytes divided by this. */
  private static final int FREE_BYTES_DIVISOR = 4;

  private static final TimeSpan CHECK_INTERVAL = TimeSpan.ofMs(50);

  /** Who holds the bytes of an account. */
  public interface Holder {
    /** There may be room for what was refused: to be asked for again at once. */
    void roomAvailable();

    /** When bytes last arrived of a message that is still incomplete; null if there is none. */
    Timestamp incompleteSince();

    /** Must give up its incomplete message, and release what it holds for it. */
    void evict();
  }

  private final Timers timers;
  private final MemoryLimit shared;
  private final TimeSpan stallLimit;
  private final ArrayDeque<Account> waiting = new ArrayDeque<>();
  private final Set<Account> drawing = new LinkedHashSet<>();

  /** Those that wait until their own share allows more. */
  private final Set<Account> beyondShare = new LinkedHashSet<>();

  private boolean wakeScheduled;
  private boolean checkScheduled;

  /**
   * A budget without accounts.
   *
   * @param shared what all of them may draw together
   * @param stallLimit how long a message may stay incomplete without a further byte while another
   *     one waits
   */
  public BufferBudget(Timers timers, MemoryLimit shared, TimeSpan stallLimit) {
    this.timers = timers;
    this.shared = shared;
    this.stallLimit = stallLimit;
  }

  /** Opens an account that holds nothing yet. */
  public Account open(Holder holder) {
    return new Account(holder);
  }

  /** Whether an account waits for room that others hold. */
  public boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  /** One connection's part of the budget. */
  public final class Account {
    private final Holder holder;
    private long heldBytes;
    private long awaitedBytes;
    private boolean isDrawing;

    private Account(Holder holder) {
      this.holder = holder;
    }

    /**
     * Holds bytes if there is room. Otherwise the account waits until {@link Holder#roomAvailable}
     * or {@link #stopWaiting}.
     */
    public boolean tryHold(int bytes) {
      long draws = drawnOf(heldBytes + bytes) - drawnOf(heldBytes);
      if (draws > 0 && !isWithinShare(bytes)) {
        stopWaiting();
        beyondShare.add(this);
        scheduleCheck();
        return false;
      }
      boolean isNext = waiting.isEmpty() || waiting.peek() == this;
      if (draws > 0 && !(isNext && shared.tryHold(draws))) {
        await(draws);
        return false;
      }
      heldBytes += bytes;
      noteDrawing();
      stopWaiting();
      return true;
    }

    /**
     * Holds bytes whether or not there is room, and without waiting: for a small rest of what is
     * held. Guards against holders of large messages that all wait for a few bytes more.
     */
    public void hold(int bytes) {
      shared.hold(drawnOf(heldBytes + bytes) - drawnOf(heldBytes));
      heldBytes += bytes;
      noteDrawing();
    }

    /** Releases bytes that were held. */
    public void release(long bytes) {
      long before = drawnOf(heldBytes);
      heldBytes -= bytes;
      shared.release(before - drawnOf(heldBytes));
      noteDrawing();
      wakeNext();
      if (bytes > 0 && beyondShare.contains(this)) {
        timers.atTurnsEnd(this::wakeBeyondShare);
      }
    }

    /** Has it ask again if it still waits for its own share: the answer may be the same. */
    private void wakeBeyondShare() {
      if (beyondShare.contains(this)) {
        holder.roomAvailable();
      }
    }

    private boolean isWithinShare(int bytes) {
      long share = Math.max(MIN_ACCOUNT_BYTES, shared.freeBytes() / FREE_BYTES_DIVISOR);
      return heldBytes == 0 || drawnOf(heldBytes + bytes) <= share;
    }

    /** Waits for no room any more. */
    public void stopWaiting() {
      beyondShare.remove(this);
      if (awaitedBytes == 0) {
        return;
      }
      awaitedBytes = 0;
      waiting.remove(this);
      wakeNext();
    }

    private void await(long draws) {
      if (awaitedBytes == 0) {
        waiting.add(this);
      }
      awaitedBytes = draws;
      scheduleCheck();
    }

    private void noteDrawing() {
      boolean draws = drawnOf(heldBytes) > 0;
      if (draws && !isDrawing) {
        drawing.add(this);
      } else if (!draws && isDrawing) {
        drawing.remove(this);
      }
      isDrawing = draws;
    }
  }

  private static long drawnOf(long heldBytes) {
    return Math.max(0, heldBytes - FREE_BYTES);
  }

  private void wakeNext() {
    if (wakeScheduled || waiting.isEmpty() || !shared.hasRoomFor(waiting.peek().awaitedBytes)) {
      return;
    }
    wakeScheduled = true;
    timers.atTurnsEnd(
        () -> {
          wakeScheduled = false;
          if (!waiting.isEmpty() && shared.hasRoomFor(waiting.peek().awaitedBytes)) {
            waiting.peek().holder.roomAvailable();
          }
        });
  }

  private void scheduleCheck() {
    if (checkScheduled) {
      return;
    }
    checkScheduled = true;
    timers.at(timers.now().plus(CHECK_INTERVAL), this::check);
  }

  /** While an account waits: wakes it if room came without a release, and evicts who stalls. */
  private void check() {
    checkScheduled = false;
    if (!waiting.isEmpty()) {
      evictStalled();
      wakeNext();
    }
    for (Account account : List.copyOf(beyondShare)) {
      account.wakeBeyondShare();
    }
    if (!waiting.isEmpty() || !beyondShare.isEmpty()) {
      scheduleCheck();
    }
  }

  /** By what was heard: bytes that came while the loop stood still may not be read yet. */
  private void evictStalled() {
    Timestamp heardUpTo = timers.previousTurnStart();
    List<Account> stalled = new ArrayList<>();
    for (Account account : drawing) {
      Timestamp since = account.holder.incompleteSince();
      if (since != null && heardUpTo.since(since).over(stallLimit)) {
        stalled.add(account);
      }
    }
    for (Account account : stalled) {
      account.holder.evict();
    }
  }
}
