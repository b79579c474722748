package sprucerock.controller.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import sprucerock.controller.Leadership;
import sprucerock.controller.LeadershipMark;
import sprucerock.lease.LeaseCheck;
import sprucerock.lease.LeaseManager;
import sprucerock.transport.net.nio.NioLoop;

/**
 * The controller's leadership by a lease that a quorum of grantors grants. It does not depend on
 * the clock of a file server. Each leader writes its fencing token to the store's folder, and a
 * controller with a lower token gives up leadership. The engine begins new files at each start, so
 * that a leader never reads what a former leader still writes. {@link #tryAcquire} and {@link
 * #release} block until the loop has run them; all other methods must be called on the loop's
 * thread.
 */
final class LeaseLeadership implements Leadership {
  /** A task that runs on the loop's thread and returns a result. */
  private interface LoopTask<T> {
    T run() throws IOException;
  }

  private final NioLoop loop;
  private final LeaseManager leases;
  private final LeadershipMark mark;
  private final String name;
  private LeaseCheck check;
  private boolean leaseHeld;
  private boolean acquired;
  private boolean lost;

  /** Starts to campaign for the lease {@code name}. */
  LeaseLeadership(NioLoop loop, LeaseManager leases, LeadershipMark mark, String name) {
    this.loop = loop;
    this.leases = leases;
    this.mark = mark;
    this.name = name;
    loop.post(this::campaign);
  }

  private void campaign() {
    check =
        leases.campaign(
            name,
            new LeaseManager.Listener() {
              @Override
              public void acquired(LeaseCheck held) {
                leaseHeld = true;
              }

              @Override
              public void lost(String reason) {
                leaseHeld = false;
                lost |= acquired;
              }
            });
  }

  private <T> T callOnLoop(LoopTask<T> task) throws IOException {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            result.complete(task.run());
          } catch (IOException e) {
            result.completeExceptionally(e);
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
            // the loop reports the exception
            throw e;
          }
        });
    try {
      return result.get();
    } catch (InterruptedException e) {
      throw new IOException("interrupted while waiting for leadership", e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
  }

  @Override
  public boolean tryAcquire() throws IOException {
    return callOnLoop(this::claimFolder);
  }

  private boolean claimFolder() throws IOException {
    if (!leaseHeld || !check.isHeld()) {
      return false;
    }
    boolean[] tokenIsHighest = {false};
    try {
      boolean held = check.runIfHeld(token -> tokenIsHighest[0] = claim(token));
      // the lease is checked again, since the disk may take longer than the lease lasts
      acquired = held && tokenIsHighest[0] && check.isHeld();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
    return acquired;
  }

  private boolean claim(long token) {
    try {
      if (mark.claim(token)) {
        return true;
      }
      check.tokenRejected(mark.highestToken());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    // The folder has a higher token, so the grantors have lost theirs. Requests the lease again,
    // with a token above the folder's.
    leases.withdraw(name, -1);
    campaign();
    return false;
  }

  @Override
  public boolean isHeld() {
    return acquired && !lost && check.isHeld();
  }

  @Override
  public boolean renew() throws IOException {
    if (!isHeld()) {
      return false;
    }
    boolean[] tokenIsHighest = {false};
    boolean held = check.runIfHeld(token -> tokenIsHighest[0] = isHighest(token));
    lost |= !held || !tokenIsHighest[0];
    return !lost;
  }

  private boolean isHighest(long token) {
    try {
      return mark.highestToken() == token;
    } catch (IOException e) {
      // The highest token can't be read. The lease's expiry still protects the store, and the store
      // reports its failed writes itself.
      return true;
    }
  }

  @Override
  public void release() throws IOException {
    callOnLoop(
        () -> {
          acquired = false;
          leases.stop();
          return true;
        });
  }
}
