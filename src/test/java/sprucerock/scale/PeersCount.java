package sprucerock.scale;

/**
 * Prints what relays tell each other at several sizes: counts of the real module, for docs/scale.
 * Not a test.
 */
public final class PeersCount {
  private PeersCount() {}

  /** Arguments: RPCs a second at each relay, seconds counted, then sizes. */
  public static void main(String[] args) {
    double rate = Double.parseDouble(args[0]);
    double seconds = Double.parseDouble(args[1]);
    System.out.println(
        "phase relays rpcs/s hubInMsg/s hubInB/s hubOutMsg/s hubOutB/s otherOutMsg/s otherOutB/s otherInMsg/s otherInB/s pickOut/rpc loadsIn/s loadsInB/s pairsOut/s votes/s");
    for (int i = 2; i < args.length; i++) {
      int size = Integer.parseInt(args[i]);
      Cluster cluster = new Cluster(size, 60, rate);
      cluster.pass(2000);
      cluster.begin();
      cluster.pass(1000 * seconds);
      print("released", size, cluster, seconds);
      cluster.offer(30);
      cluster.pass(500);
      cluster.begin();
      cluster.pass(1000 * seconds);
      print("trial", size, cluster, seconds);
    }
  }

  private static void print(String phase, int size, Cluster cluster, double s) {
    Cluster.Counts hub = cluster.hub();
    Cluster.Counts other = cluster.other();
    System.out.printf(
        "%s %d %.1f %.0f %.0f %.0f %.0f %.1f %.0f %.1f %.0f %.3f %.2f %.0f %.1f %.1f%n",
        phase,
        size,
        other.rpcs / s,
        hub.messagesIn / s,
        hub.bytesIn / s,
        hub.messagesOut / s,
        hub.bytesOut / s,
        other.messagesOut / s,
        other.bytesOut / s,
        other.messagesIn / s,
        other.bytesIn / s,
        other.outByKind[1] / (double) Math.max(1, other.rpcs),
        other.inByKind[2] / s,
        other.bytesInByKind[2] / s,
        other.outByKind[3] / s,
        other.votes / s);
  }
}
