package sprucerock.scale;

import java.nio.ByteBuffer;
import sprucerock.transport.wire.FrameReader;

/**
 * Prints processor time of one thread for messages and for RPCs at several list sizes. For
 * docs/scale; its verdicts are nobody's. Not a test.
 */
public final class CpuCount {
  private CpuCount() {}

  public static void main(String[] args) throws Exception {
    if (args[0].equals("rpc")) {
      rpc(args);
    } else {
      told();
    }
  }

  private static void rpc(String[] args) {
    System.out.println("units phase cpuMs/s of one hub at 169 RPCs/s | of one that is not the hub");
    for (int i = 1; i < args.length; i++) {
      int endpoints = Integer.parseInt(args[i]);
      for (boolean trial : new boolean[] {false, true}) {
        Cluster cluster = new Cluster(1, endpoints, 169);
        if (trial) {
          cluster.offer(Math.max(3, endpoints / 10));
        }
        cluster.pass(20_000); // code is compiled
        long began = ListsCount.cpu();
        cluster.pass(20_000);
        double hub = (ListsCount.cpu() - began) / 20e6;
        System.out.printf("%d %s %.2f%n", endpoints, trial ? "trial" : "released", hub);
      }
    }
  }

  private static void told() throws Exception {
    byte[] contents = {3, 2, 2, 5, 0, 0, 0, 0};
    byte[] frame = new byte[8 + contents.length];
    ByteBuffer.wrap(frame).putInt(4 + contents.length).putInt(9 << 24).put(contents);
    ByteBuffer many = ByteBuffer.allocate(1000 * frame.length);
    for (int i = 0; i < 1000; i++) {
      many.put(frame);
    }
    FrameReader reader = new FrameReader(1 << 20);
    long[] read = new long[1];
    for (int round = 0; round < 5; round++) {
      long began = ListsCount.cpu();
      for (int i = 0; i < 1000; i++) {
        reader.feed(many.duplicate().flip(), (kind, head, body) -> read[0] += body.length);
      }
      System.out.printf("codec ns/message %.0f%n", (ListsCount.cpu() - began) / 1e6);
    }
    Cluster cluster = new Cluster(1, 60, 20);
    cluster.pass(1000);
    cluster.offer(30);
    cluster.pass(1000);
    for (int round = 0; round < 5; round++) {
      long began = ListsCount.cpu();
      for (int i = 0; i < 1_000_000; i++) {
        cluster.toldPairs(1 + i % 7699, contents);
      }
      System.out.printf("module ns/pairs message %.0f%n", (ListsCount.cpu() - began) / 1e6);
    }
    byte[] attempt = {1, 0, 0, 0};
    for (int round = 0; round < 5; round++) {
      long began = ListsCount.cpu();
      for (int i = 0; i < 1_000_000; i++) {
        cluster.toldPairs(1 + i % 7699, attempt);
      }
      System.out.printf(
          "module ns/pick message at the hub %.0f%n", (ListsCount.cpu() - began) / 1e6);
    }
  }
}
