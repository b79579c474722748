package sprucerock.controller.server;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;

/** Runs tasks on a loop and waits for them. To be called from other threads than the loop's. */
final class LoopTasks {
  /** A task that may fail by its I/O. */
  interface IoTask {
    void run() throws IOException;
  }

  private LoopTasks() {}

  /**
   * Returns once the task has run.
   *
   * @throws IOException as the task does
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
   * Runs a task and returns {@code linger} later, so that what it sent can go out. Where the thread
   * is interrupted it returns at once and stays interrupted.
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
