package sprucerock.controller.server;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import sprucerock.controller.Leadership;
import sprucerock.controller.LeadershipMark;
import sprucerock.lease.LeaseCheck;
import sprucerock.lease.LeaseManager;
import sprucerock.transport.net.nio.NioLoop;

/**
 * The controller's seat by a lease that a majority grants: no clock of a file server has a part in
 * it. Where it lands, in the store's folder, each holder leaves its number, and who comes with a
 * lower one gives up; each start writes files of its own, so that what a former holder still writes
 * is never read. Calls but for {@link #take} and {@link #release} come on the loop's thread.
 */
final class LeaseLeadership implements Leadership {
  private final NioLoop loop;
  private final LeaseManager leases;
  private final LeadershipMark mark;
  private final String name;
  private LeaseCheck guard;
  private boolean held;
  private boolean taken;
  private boolean lost;

  LeaseLeadership(NioLoop loop, LeaseManager leases, LeadershipMark mark, String name) {
    this.loop = loop;
    this.leases = leases;
    this.mark = mark;
    this.name = name;
    loop.post(this::stand);
  }

  private void stand() {
    guard =
        leases.campaign(
            name,
            new LeaseManager.Listener() {
              @Override
              public void acquired(LeaseCheck by) {
                held = true;
              }

              @Override
              public void lost(String why) {
                held = false;
                lost |= taken;
              }
            });
  }

  private <T> T onLoop(Supplier<T> what) throws IOException {
    CountDownLatch done = new CountDownLatch(1);
    Object[] answer = new Object[1];
    loop.post(
        () -> {
          try {
            answer[0] = what.get();
          } finally {
            done.countDown();
          }
        });
    try {
      done.await();
    } catch (InterruptedException e) {
      throw new IOException("interrupted while it waited for the seat");
    }
    @SuppressWarnings("unchecked")
    T typed = (T) answer[0];
    return typed;
  }

  @Override
  public boolean tryAcquire() throws IOException {
    String[] wrong = new String[1];
    boolean is =
        onLoop(
            () -> {
              if (!held || !guard.isHeld()) {
                return false;
              }
              try {
                // the disk may take long: the guard is asked again behind it
                boolean[] first = {false};
                boolean may = guard.runIfHeld(number -> first[0] = takeFolder(number));
                taken = may && first[0] && guard.isHeld();
              } catch (java.io.UncheckedIOException e) {
                wrong[0] = e.getCause().getMessage();
              }
              return taken;
            });
    if (wrong[0] != null) {
      throw new IOException(wrong[0]);
    }
    return is;
  }

  private boolean takeFolder(long number) {
    try {
      if (mark.claim(number)) {
        return true;
      }
      guard.tokenRejected(mark.highestToken());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    leases.withdraw(name, -1); // granters forgot their numbers: it is asked for under a higher one
    stand();
    return false;
  }

  @Override
  public boolean isHeld() {
    return taken && !lost && guard.isHeld();
  }

  @Override
  public boolean renew() throws IOException {
    if (!isHeld()) {
      return false;
    }
    boolean[] first = {false};
    boolean may = guard.runIfHeld(number -> first[0] = isHighest(number));
    lost |= !may || !first[0];
    return !lost;
  }

  private boolean isHighest(long number) {
    try {
      return mark.highestToken() == number;
    } catch (IOException e) {
      return true; // not known: time still guards, and the store says by itself what it can't write
    }
  }

  @Override
  public void release() throws IOException {
    onLoop(
        () -> {
          taken = false;
          leases.stop();
          return null;
        });
  }
}
