package sprucerock.controller.comparison;

/**
 * What is compared, so that more is always worse. Shares are of RPCs or of their worth; all else
 * counts by the logarithm of how many times as much it is.
 *
 * <p>The margin is what nobody would stop a change for; the reach is the largest difference that is
 * told from a larger one, some four standard deviations of a pair of windows of {@link
 * Couple#ENOUGH} RPCs each, so that what is cut off is as rare above as below.
 */
enum Measure {
  /** Worth that was not served in time, of the worth asked for. */
  UNSERVED(0.002, 0.25),
  REFUSED(0.005, 0.25),
  ABORTED(0.002, 0.2),
  /**
   * RPCs that had no answer. One would be a broken rule: counted all the same, as the judge may not
   * see it.
   */
  LOST(0.0005, 0.1),
  LATENCY(0.10, 1.0),
  /** Processor time an RPC. */
  WORK(0.25, 1.0),
  MEMORY(0.25, 1.0),
  /**
   * By how many times memory has grown since the window after the start: what leaks is seen long
   * before it is much.
   */
  GROWTH(0.10, 0.5),
  CONNECTIONS(0.35, 1.5),
  /** Messages to peers and votes, an RPC. */
  MESSAGES(0.5, 1.5);

  final double margin;
  final double maxDifference;

  Measure(double margin, double reach) {
    this.margin = margin;
    this.maxDifference = reach;
  }
}
