package sprucerock.transport.tls;

/** Where work is done that would hold a loop up. */
public interface Aside {
  /**
   * Does {@code work} elsewhere, then {@code done} on the loop. False, and neither is done, where
   * too much waits already.
   */
  boolean run(Runnable work, Runnable done);
}
