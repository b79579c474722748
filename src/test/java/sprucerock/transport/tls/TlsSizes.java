package sprucerock.transport.tls;

import java.util.ArrayList;
import java.util.List;

/**
 * Prints the bytes of a handshake and of a small frame, and the heap that a connection holds at
 * both ends together.
 */
public final class TlsSizes {
  private static final int MANY = 2000;

  private TlsSizes() {}

  public static void main(String[] arguments) {
    for (String version : new String[] {"TLSv1.3", "TLSv1.2"}) {
      TestCa ca = TestCa.root("root");
      Credentials relay =
          TlsLinkTest.credentials(ca.make(TestCa.leaf("relay")).material(ca.certificate()));
      Credentials endpoint =
          TlsLinkTest.credentials(
              ca.make(TestCa.leaf("unit")).material(ca.certificate()),
              List.of(version),
              java.time.Instant::now);
      StringBuilder said = new StringBuilder(version + ":");
      for (int i = 0; i < 2; i++) {
        TlsLinkTest.Pair pair = new TlsLinkTest.Pair(relay, endpoint, "unit", false).meet();
        said.append(pair.pipe.counts.resumed == 1 ? " resumed" : " full")
            .append(' ')
            .append(pair.pipe.near.written)
            .append(" bytes there, ")
            .append(pair.pipe.far.written)
            .append(" back;");
        long before = pair.pipe.near.written;
        pair.client.connection.reserve(100).put(new byte[100]);
        pair.pipe.settle();
        said.append(" 100 bytes take ").append(pair.pipe.near.written - before).append(';');
      }
      System.out.println(said);
      List<Object> kept = new ArrayList<>();
      long before = used();
      for (int i = 0; i < MANY; i++) {
        TlsLinkTest.Pair pair = new TlsLinkTest.Pair(relay, endpoint, "unit", false).meet();
        pair.pipe.sent.reset();
        kept.add(pair);
      }
      System.out.println(
          "  heap of a connection, both ends: "
              + (used() - before) / MANY
              + " bytes; "
              + kept.size()
              + " kept");
    }
  }

  private static long used() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
