package sprucerock.benchmark;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import sprucerock.transport.net.nio.NioLoop;

/** Has something done on a loop's thread, and waits for it. */
final class Loops {
  interface Task<T> {
    T run() throws IOException;
  }

  private Loops() {}

  static <T> T on(NioLoop loop, Task<T> task) throws IOException, InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            result.complete(task.run());
          } catch (IOException | RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
  }
}
