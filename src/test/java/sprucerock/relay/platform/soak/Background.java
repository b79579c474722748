package sprucerock.relay.platform.soak;

import java.io.IOException;

/** Daemon threads with small stacks: a crowd of clients has hundreds of them. */
final class Background {
  private static final long STACK_BYTES = 256 * 1024;

  /** Work that ends when its socket does. */
  interface Work {
    void run() throws IOException, InterruptedException;
  }

  private Background() {}

  /** Starts a thread; an I/O error ends it, as the other side or the run is over. */
  static Thread start(String name, Work work) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (IOException | InterruptedException e) {
                // whoever waits for an outcome sees it by its own record
              }
            },
            name,
            STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
