package sprucerock.controller.comparison;

/**
 * The measures that are compared; a higher value is always worse. The names appear in causes, which
 * are stored. Shares are of RPCs or of their weight; all other measures are logarithms, so that
 * their differences are logarithms of ratios.
 *
 * <p>The margin is a difference for which nobody would stop a deployment. Differences are cut off
 * at the maximal difference on both sides. It is about four standard deviations for a pair of
 * windows of {@link MatchedWindows#MIN_RPCS} RPCs each, so that cutting off is rare on either side
 * and hardly shifts the mean.
 */
enum Measure {
  /** The share of the requested weight that was not served in time. */
  UNSERVED(0.002, 0.25),
  REFUSED(0.005, 0.25),
  ABORTED(0.002, 0.2),
  /**
   * The share of RPCs that got no answer. Even one such RPC breaks an invariant; the share is
   * compared as well, as the check of the invariants may miss an RPC.
   */
  LOST(0.0005, 0.1),
  LATENCY(0.10, 1.0),
  /** Processor time per RPC. */
  WORK(0.25, 1.0),
  MEMORY(0.25, 1.0),
  /**
   * The growth of memory since the first window after the update, which shows a leak long before it
   * is large.
   */
  GROWTH(0.10, 0.5),
  CONNECTIONS(0.35, 1.5),
  /** Messages to peers, and votes, per RPC. */
  MESSAGES(0.5, 1.5);

  final double margin;
  final double maxDifference;

  Measure(double margin, double maxDifference) {
    this.margin = margin;
    this.maxDifference = maxDifference;
  }
}
