package sprucerock.cli;

/**
 * Ends the process when a thread ends by what it did not catch. Guards against a process that has
 * lost a thread all input and output depends on, for want of memory say: it would stay, accept
 * connections, and answer nobody. Whoever supervises it starts another.
 */
final class FatalThreadHandler implements Thread.UncaughtExceptionHandler {
  private static final int BYTES_PER_KB = 1024;

  private FatalThreadHandler() {}

  /** Has it handle all threads of this process. */
  static void install() {
    Thread.setDefaultUncaughtExceptionHandler(new FatalThreadHandler());
  }

  @Override
  public void uncaughtException(Thread thread, Throwable fault) {
    try {
      Runtime machine = Runtime.getRuntime();
      System.err.println(
          "BROKEN thread "
              + thread.getName()
              + " ended: "
              + fault
              + "; the process ends; heap-kb "
              + (machine.totalMemory() - machine.freeMemory()) / BYTES_PER_KB
              + " of "
              + machine.maxMemory() / BYTES_PER_KB);
    } finally {
      // not exit: what runs at an orderly end may wait for the thread that has ended
      Runtime.getRuntime().halt(Commands.FAILED);
    }
  }
}
