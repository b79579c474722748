package sprucerock.transport.tls;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A few threads with a bounded queue; results go back to the loop in the order in which work of one
 * caller ends.
 */
public final class Workers implements Aside, AutoCloseable {
  private final ThreadPoolExecutor pool;
  private final Consumer<Runnable> loop;
  private final Consumer<Throwable> broken;

  /**
   * {@code loop} runs what it is given on the loop's thread; what throws ends up with {@code
   * broken}.
   */
  public Workers(int threads, int waiting, Consumer<Runnable> loop, Consumer<Throwable> broken) {
    this.loop = loop;
    this.broken = broken;
    pool =
        new ThreadPoolExecutor(
            threads,
            threads,
            10,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(waiting),
            task -> {
              Thread thread = new Thread(task, "tls");
              thread.setDaemon(true);
              return thread;
            });
    pool.allowCoreThreadTimeOut(true);
  }

  @Override
  public boolean run(Runnable work, Runnable done) {
    try {
      pool.execute(
          () -> {
            try {
              work.run();
            } catch (RuntimeException | Error e) {
              broken.accept(e);
            }
            loop.accept(done);
          });
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  @Override
  public void close() {
    pool.shutdownNow();
  }
}
