package sprucerock.controller.server;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;

/** Runs tasks on a loop and waits for them. Must not be called on the loop's own thread. */
final class LoopTasks {
  /** A task that may fail with an I/O error. */
  interface IoTask {
    void run() throws IOException;
  }

  private LoopTasks() {}

  /**
   * Runs a task and returns once it has ended.
   *
   * @throws IOException if the task throws it
   */
  static void runAndWait(NioLoop loop, IoTask task) throws IOException, InterruptedException {
    IOException[] failure = new IOException[1];
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            task.run();
          } catch (IOException e) {
            failure[0] = e;
          } finally {
            done.countDown();
          }
        });
    done.await();
    if (failure[0] != null) {
      throw failure[0];
    }
  }

  /**
   * Runs a task, then waits for {@code linger}, so that the task's messages are sent. If the
   * calling thread is interrupted, returns at once and leaves the thread's interrupt flag set.
   */
  static void runAndLinger(NioLoop loop, Runnable task, TimeSpan linger) {
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          task.run();
          loop.at(loop.now().plus(linger), done::countDown);
        });
    try {
      done.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
