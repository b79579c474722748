/** Daemon threads with small stacks; what one throws is noted. */
final class Threads {
  interface Work {
    void run() throws Exception;
  }

  private Threads() {}

  static Thread start(String name, Work work) {
    Thread made =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } catch (Exception e) {
                Log.line(name + " ended: " + e);
              }
            },
            name,
            256 * 1024);
    made.setDaemon(true);
    made.start();
    return made;
  }
}
