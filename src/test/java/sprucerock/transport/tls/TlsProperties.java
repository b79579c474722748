package sprucerock.transport.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** The filter under any way in which bytes can come, and with any of them changed. */
class TlsProperties {
  private static final TestCa CA = TestCa.root("root");
  private static final Credentials RELAY =
      TlsLinkTest.credentials(CA.make(TestCa.leaf("relay")).material(CA.certificate()));
  private static final Credentials UNIT =
      TlsLinkTest.credentials(CA.make(TestCa.leaf("unit")).material(CA.certificate()));

  private static TlsLinkTest.Pair pair(SplittableRandom random) {
    TlsLinkTest.Pair pair = new TlsLinkTest.Pair(RELAY, UNIT, "unit", true);
    pair.pipe.split =
        length ->
            switch (random.nextInt(4)) {
              case 0 -> 1;
              case 1 -> length;
              default -> 1 + random.nextInt(length);
            };
    return pair;
  }

  @Property(seed = "20261204", tries = 60)
  void anySplitGivesTheSamePlainText(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int pieces) {
    SplittableRandom random = new SplittableRandom(seed);
    TlsLinkTest.Pair pair = pair(random);
    pair.meet().up();
    StringBuilder said = new StringBuilder();
    for (int i = 0; i < pieces; i++) {
      String piece =
          ("" + (char) ('a' + random.nextInt(26)))
              .repeat(1 + random.nextInt(random.nextInt(5) == 0 ? 40_000 : 200));
      said.append(piece);
      if (random.nextBoolean()) {
        pair.client.connection.reserve(piece.length()).put(piece.getBytes());
      } else {
        pair.client.connection.append(piece.getBytes());
      }
      if (random.nextInt(3) == 0) {
        pair.pipe.settle();
      }
    }
    pair.client.connection.finish();
    pair.pipe.settle();
    assertEquals(pair.server.text(), said.toString());
    assertEquals(pair.server.closed, "closed by the other side");
  }

  /**
   * Whichever byte is changed on its way, in the handshake or after: nothing else than what was
   * said is ever heard.
   */
  @Property(seed = "20261205", tries = 150)
  void anyChangedByteEndsIt(@ForAll long seed, @ForAll @LongRange(min = 0, max = 2500) long place) {
    TlsLinkTest.Pair pair = pair(new SplittableRandom(seed));
    pair.pipe.flips = place;
    pair.meet();
    String said = "";
    for (int i = 0; i < 8 && pair.client.connection != null && pair.client.closed == null; i++) {
      String piece = "piece " + i + " of what is said; ";
      pair.client.connection.reserve(piece.length()).put(piece.getBytes());
      said += piece;
      pair.pipe.settle();
    }
    assertTrue(said.startsWith(pair.server.text()), pair.server.text());
    boolean hit =
        pair.pipe.crossed > place && !isVersionOfARecord(pair.pipe.sent.toByteArray(), place);
    if (hit) {
      pair.pipe.pass(2000);
      assertTrue(
          pair.server.closed != null,
          "byte " + place + " of " + pair.pipe.crossed + " went unseen");
    }
  }

  /** These two bytes of a record's head mean nothing and have to be ignored: RFC 8446, 5.1. */
  private static boolean isVersionOfARecord(byte[] sent, long place) {
    for (int at = 0; at + 5 <= sent.length; ) {
      if (place == at + 1 || place == at + 2) {
        return true;
      }
      at += 5 + ((sent[at + 3] & 0xff) << 8 | sent[at + 4] & 0xff);
    }
    return false;
  }
}
