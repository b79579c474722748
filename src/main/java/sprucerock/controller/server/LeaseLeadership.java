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
 * The controller's leadership by a lease that a quorum of grantors grants: no clock of a file
 * server has a part in it. Each leader leaves its fencing token in the store's folder, and who
 * comes with a lower one gives up; each start writes files of its own, so that what a former leader
 * still writes is never read. Calls but for {@link #tryAcquire} and {@link #release} come on the
 * loop's thread; those two block until the loop has answered.
 */
final class LeaseLeadership implements Leadership {
  /** Work for the loop's thread. */
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

  /** Campaigns for the lease of that name from now on. */
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
              public void lost(String why) {
                leaseHeld = false;
                lost |= acquired;
              }
            });
  }

  private <T> T callOnLoop(LoopTask<T> task) throws IOException {
    CompletableFuture<T> answer = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            answer.complete(task.run());
          } catch (IOException e) {
            answer.completeExceptionally(e);
          } catch (RuntimeException e) {
            answer.completeExceptionally(e);
            throw e; // the loop's to report
          }
        });
    try {
      return answer.get();
    } catch (InterruptedException e) {
      throw new IOException("interrupted while it waited for the seat", e);
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
    boolean[] highest = {false};
    try {
      boolean held = check.runIfHeld(token -> highest[0] = claim(token));
      // the disk may take long: the lease is checked again behind it
      acquired = held && highest[0] && check.isHeld();
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
    leases.withdraw(name, -1); // grantors forgot their tokens: it is requested under a higher one
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
    boolean[] highest = {false};
    boolean held = check.runIfHeld(token -> highest[0] = isHighest(token));
    lost |= !held || !highest[0];
    return !lost;
  }

  private boolean isHighest(long token) {
    try {
      return mark.highestToken() == token;
    } catch (IOException e) {
      return true; // not known: time still guards, and the store says by itself what it can't write
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
