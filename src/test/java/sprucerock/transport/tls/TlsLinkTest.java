package sprucerock.transport.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;

/** The filter against peers of every kind, over a wire in memory. */
public class TlsLinkTest {
  private static final TestCa CA = TestCa.root("root");
  private static final TestCa OTHER_CA = TestCa.root("other");
  private static final String NAME = "orders-8.example";

  static Credentials credentials(
      Material material, List<String> versions, Supplier<Instant> clock) {
    Credentials.Policy usual = Credentials.Policy.USUAL;
    try {
      return new Credentials(
          material,
          new Credentials.Policy(
              versions, usual.skew(), usual.longestChain(), usual.sessions(), usual.sessionLife()),
          clock);
    } catch (java.security.GeneralSecurityException e) {
      throw new AssertionError(e);
    }
  }

  static Credentials credentials(Material material) {
    return credentials(material, Credentials.Policy.USUAL.versions(), Instant::now);
  }

  static Credentials relay() {
    return credentials(CA.make(TestCa.leaf("relay-0.example")).material(CA.certificate()));
  }

  static Credentials unit(TestCa.Wish wish) {
    return credentials(CA.make(wish).material(CA.certificate()));
  }

  private static void say(Connection connection, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    connection.reserve(bytes.length).put(bytes);
  }

  /** A client and a server that have done what they can. */
  static final class Pair {
    final Pipe pipe = new Pipe();
    final Pipe.Ear client = new Pipe.Ear();
    final Pipe.Ear server = new Pipe.Ear();
    final TlsConnection near;
    final TlsConnection far;

    Pair(Credentials relay, Credentials endpoint, String name, boolean proven) {
      this(relay, endpoint, name, 7000, proven);
    }

    Pair(Credentials relay, Credentials endpoint, String name, int port, boolean proven) {
      near = TlsConnection.client(pipe.place(), relay, name, port, client);
      far =
          TlsConnection.server(
              new TlsConnection.Place(
                  pipe, new Buffers(), pipe.place().aside(), pipe.within, Counter.NONE),
              endpoint,
              proven,
              server);
    }

    Pair meet() {
      pipe.up(near, far);
      pipe.settle();
      return this;
    }

    void up() {
      assertNotNull(client.connection, "refused: " + client.closed + "; server: " + server.closed);
      assertNotNull(server.connection);
    }
  }

  private static Pair meet(Credentials relay, Credentials endpoint) {
    return new Pair(relay, endpoint, NAME, false).meet();
  }

  @DataProvider
  public Object[][] versions() {
    return new Object[][] {
      {"TLSv1.3", "P-256"},
      {"TLSv1.2", "P-256"},
      {"TLSv1.3", "RSA-2048"},
      {"TLSv1.2", "RSA-2048"},
      {"TLSv1.3", "Ed25519"}
    };
  }

  @Test(dataProvider = "versions")
  public void whatIsWrittenArrivesBothWaysInOrderAndClosesInGoodOrder(String version, String kind) {
    Material material = CA.make(TestCa.leaf(NAME).keyKind(kind)).material(CA.certificate());
    Pair pair = meet(relay(), credentials(material, List.of(version), Instant::now));
    pair.up();
    say(pair.client.connection, "hello ");
    pair.client.connection.append("to you".getBytes(StandardCharsets.UTF_8));
    say(pair.server.connection, "x".repeat(100_000));
    pair.pipe.settle();
    assertEquals(pair.server.text(), "hello to you");
    assertEquals(pair.client.heard.size(), 100_000);
    say(pair.client.connection, ", goodbye");
    pair.client.connection.finish();
    pair.pipe.settle();
    assertEquals(pair.server.text(), "hello to you, goodbye");
    assertEquals(pair.server.closed, "closed by the other side");
    assertEquals(pair.client.closed, "done");
  }

  @DataProvider
  public Object[][] wrongOnes() {
    TestCa.Wish right = TestCa.leaf(NAME);
    TestCa below = CA.below("below");
    Identities some = new Identities();
    return new Object[][] {
      {some.of(CA, TestCa.leaf("orders-7.example")), Refusal.WRONG_NAME},
      {some.of(CA, TestCa.leaf()), Refusal.WRONG_NAME}, // its common name does not count
      {some.of(CA, TestCa.leaf("10.0.0.8")), Refusal.WRONG_NAME},
      {some.of(CA, right.valid(Pipe.day(-9), Pipe.day(-1))), Refusal.EXPIRED},
      {some.of(CA, right.valid(Pipe.day(1), Pipe.day(9))), Refusal.NOT_YET_VALID},
      {some.of(CA, right.uses(Chain.Use.CLIENT)), Refusal.WRONG_USE},
      {some.of(OTHER_CA, right), Refusal.UNKNOWN_ISSUER},
      {some.of(CA, right.keyKind("RSA-1024")), Refusal.WEAK},
      {some.of(CA, right.signature("SHA1withECDSA")), Refusal.WEAK},
      {
        Material.of(
            Set.of(CA.certificate()),
            List.of(),
            below.make(right).key(),
            List.of(below.make(right).certificate()),
            "x"),
        null
      }, // a key that does not fit, see below
    };
  }

  private static final class Identities {
    Material of(TestCa ca, TestCa.Wish wish) {
      return ca.make(wish).material(ca.certificate());
    }
  }

  /** None of them ever hears a byte from the user, nor learns that there is one. */
  @Test(dataProvider = "wrongOnes")
  public void aPeerThatIsNotTheOneMeantIsRefusedForItsOwnReason(Material shows, Refusal why) {
    if (why == null) {
      return;
    }
    Pair pair = meet(relay(), credentials(shows));
    assertNull(pair.client.connection);
    assertEquals(pair.near.refused(), why, pair.client.closed);
    assertTrue(pair.client.closed.startsWith("TLS: " + why.words()), pair.client.closed);
    assertEquals(pair.pipe.counts.refused, List.of(why));
    assertEquals(pair.server.heard.size(), 0);
    assertNotNull(pair.server.closed);
  }

  @Test
  public void chainsThatAreTooLongIncompleteOrRevokedAreRefused() throws Exception {
    TestCa below = CA.below("middle");
    TestCa.Identity leaf = below.make(TestCa.leaf(NAME));
    meet(relay(), credentials(leaf.material(CA.certificate()))).up();
    Material incomplete =
        Material.of(
            Set.of(CA.certificate()), List.of(), leaf.key(), List.of(leaf.certificate()), "x");
    assertEquals(meet(relay(), credentials(incomplete)).near.refused(), Refusal.UNKNOWN_ISSUER);
    Credentials.Policy one =
        new Credentials.Policy(
            List.of("TLSv1.3"), Duration.ofMinutes(5), 1, 10, Duration.ofHours(1));
    Credentials strict =
        new Credentials(CA.make(TestCa.leaf("r")).material(CA.certificate()), one, Instant::now);
    assertEquals(
        meet(strict, credentials(leaf.material(CA.certificate()))).near.refused(),
        Refusal.CHAIN_TOO_LONG);
    Material revokes =
        Material.of(
            Set.of(CA.certificate()),
            List.of(below.revoke(leaf.certificate())),
            null,
            List.of(),
            "x");
    assertEquals(
        meet(credentials(revokes), credentials(leaf.material(CA.certificate()))).near.refused(),
        Refusal.REVOKED);
    Material notTheIssuers =
        Material.of(
            Set.of(CA.certificate()),
            List.of(OTHER_CA.revoke(leaf.certificate())),
            null,
            List.of(),
            "x");
    meet(credentials(notTheIssuers), credentials(leaf.material(CA.certificate()))).up();
  }

  @Test
  public void clocksMayDifferByTheSkewAndNoMore() {
    Material old =
        CA.make(TestCa.leaf(NAME).valid(Pipe.day(-2), Instant.now().minusSeconds(200)))
            .material(CA.certificate());
    meet(relay(), credentials(old)).up();
    Supplier<Instant> later = () -> Instant.now().plusSeconds(200);
    Credentials ahead =
        credentials(
            CA.make(TestCa.leaf("r")).material(CA.certificate()), List.of("TLSv1.3"), later);
    assertEquals(meet(ahead, credentials(old)).near.refused(), Refusal.EXPIRED);
  }

  @Test
  public void aServerMayAskForProofAndRefusesWhoHasNone() {
    Credentials endpoint = unit(TestCa.leaf(NAME));
    Pair proven = new Pair(relay(), endpoint, NAME, true).meet();
    proven.up();
    assertEquals(proven.far.peer().getSubjectX500Principal().getName(), "CN=relay-0.example");
    Credentials nobody =
        credentials(
            Material.of(Set.of(CA.certificate()), List.of(), null, List.of(), "x"),
            List.of("TLSv1.2"),
            Instant::now);
    Pair pair = new Pair(nobody, endpoint, NAME, true).meet();
    assertNull(pair.server.connection);
    assertNull(pair.client.connection);
    Credentials asUnit = unit(TestCa.leaf("x").uses(Chain.Use.SERVER));
    Pair wrongUse = new Pair(asUnit, endpoint, NAME, true).meet();
    assertNull(wrongUse.server.connection);
    assertEquals(wrongUse.far.refused(), Refusal.WRONG_USE);
  }

  @DataProvider
  public Object[][] both() {
    return new Object[][] {{"TLSv1.3"}, {"TLSv1.2"}};
  }

  @Test(dataProvider = "both")
  public void sessionsAreResumedForTheSameNameOnlyAndNeverAcrossAChange(String version) {
    Credentials relay = relay();
    Credentials endpoint =
        credentials(
            CA.make(TestCa.leaf(NAME, "orders-9.example")).material(CA.certificate()),
            List.of(version),
            Instant::now);
    assertEquals(meet(relay, endpoint).pipe.counts.full, 1);
    assertEquals(meet(relay, endpoint).pipe.counts.resumed, 1);
    Pair otherName = new Pair(relay, endpoint, "orders-9.example", false).meet();
    assertEquals(otherName.pipe.counts.full, 1);
    assertEquals(meet(relay(), endpoint).pipe.counts.full, 1); // the same files loaded anew
    Credentials replaced =
        unit(
            TestCa.leaf(
                "orders-7.example")); // ticket of the old one, shown to a machine with another name
    assertEquals(meet(relay, replaced).near.refused(), Refusal.WRONG_NAME);
  }

  @Test(dataProvider = "both")
  public void aResumedSessionWhoseCertificateRanOutSinceIsRefused(String version) {
    Instant[] now = {Instant.now()};
    Credentials relay =
        credentials(
            CA.make(TestCa.leaf("r")).material(CA.certificate()), List.of(version), () -> now[0]);
    Credentials endpoint =
        credentials(
            CA.make(TestCa.leaf(NAME).valid(Pipe.day(-1), Pipe.day(1))).material(CA.certificate()),
            List.of(version),
            Instant::now);
    meet(relay, endpoint).up();
    assertEquals(meet(relay, endpoint).pipe.counts.resumed, 1);
    now[0] = Pipe.day(2);
    Pair pair = meet(relay, endpoint);
    assertEquals(pair.near.refused(), Refusal.EXPIRED);
    assertNull(pair.client.connection);
    assertEquals(pair.server.heard.size(), 0);
  }

  @Test
  public void aHandshakeThatNeverEndsIsEndedInItsTime() {
    Pipe pipe = new Pipe();
    Pipe.Ear ear = new Pipe.Ear();
    TlsConnection connection = TlsConnection.client(pipe.place(), relay(), NAME, 1, ear);
    Pipe.Ear silent = new Pipe.Ear();
    pipe.up(connection, silent);
    pipe.settle();
    pipe.pass(999);
    assertNull(ear.closed);
    pipe.pass(2);
    assertEquals(connection.refused(), Refusal.TIMED_OUT);
    assertEquals(ear.closed, "TLS: its handshake took too long (over 1000.0 ms)");
  }

  @Test
  public void whatIsNoTlsOrEndsWithinTheHandshakeHasItsReason() {
    for (String first : new String[] {"HTTP/1.1 400 Bad Request\r\n\r\n", ""}) {
      Pipe pipe = new Pipe();
      Pipe.Ear ear = new Pipe.Ear();
      TlsConnection connection = TlsConnection.client(pipe.place(), relay(), NAME, 1, ear);
      pipe.up(connection, new Pipe.Ear());
      if (first.isEmpty()) {
        pipe.near.cut("closed by the other side");
      } else {
        connection.received(ByteBuffer.wrap(first.getBytes(StandardCharsets.US_ASCII)));
      }
      pipe.settle();
      assertEquals(
          connection.refused(), first.isEmpty() ? Refusal.ENDED : Refusal.NOT_TLS, ear.closed);
      assertNull(ear.connection);
    }
  }

  @Test
  public void aPeerWithoutTheProductsProtocolIsRefused() throws Exception {
    // a server of the library's own making, which knows nothing of the protocol
    javax.net.ssl.SSLContext context = javax.net.ssl.SSLContext.getInstance("TLS");
    TestCa.Identity identity = CA.make(TestCa.leaf(NAME));
    java.security.KeyStore store = java.security.KeyStore.getInstance("PKCS12");
    store.load(null, null);
    store.setKeyEntry(
        "own",
        identity.key(),
        new char[0],
        new java.security.cert.Certificate[] {identity.certificate()});
    javax.net.ssl.KeyManagerFactory keys = javax.net.ssl.KeyManagerFactory.getInstance("PKIX");
    keys.init(store, new char[0]);
    context.init(keys.getKeyManagers(), null, null);
    javax.net.ssl.SSLEngine engine = context.createSSLEngine();
    engine.setUseClientMode(false);
    Pipe pipe = new Pipe();
    Pipe.Ear ear = new Pipe.Ear();
    TlsConnection connection = TlsConnection.client(pipe.place(), relay(), NAME, 1, ear);
    pipe.up(connection, new Engine(engine));
    pipe.settle();
    assertEquals(connection.refused(), Refusal.NO_PROTOCOL, ear.closed);
    assertNull(ear.connection);
  }

  /** The library's engine without our filter. */
  private static final class Engine implements ConnectionListener {
    private final javax.net.ssl.SSLEngine engine;
    private Connection connection;
    private ByteBuffer in = ByteBuffer.allocate(40_000);

    Engine(javax.net.ssl.SSLEngine engine) {
      this.engine = engine;
    }

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      in.put(bytes).flip();
      try {
        for (int i = 0; i < 50; i++) {
          for (Runnable task = engine.getDelegatedTask();
              task != null;
              task = engine.getDelegatedTask()) {
            task.run();
          }
          if (engine.getHandshakeStatus()
              == javax.net.ssl.SSLEngineResult.HandshakeStatus.NEED_WRAP) {
            ByteBuffer out = ByteBuffer.allocate(20_000);
            engine.wrap(ByteBuffer.allocate(0), out);
            out.flip();
            connection.reserve(out.remaining()).put(out);
          } else {
            engine.unwrap(in, ByteBuffer.allocate(20_000));
          }
        }
      } catch (javax.net.ssl.SSLException e) {
        connection.cut("refused: " + e.getMessage());
      }
      in.compact();
    }

    @Override
    public void closed(String why) {}
  }

  @Test
  public void anEndWithoutTlssCloseIsToldAsCutOff() {
    Pair pair = meet(relay(), unit(TestCa.leaf(NAME)));
    say(pair.server.connection, "half an ans");
    pair.pipe.settle();
    pair.pipe.near.cut("closed by the other side");
    pair.pipe.settle();
    assertEquals(pair.client.closed, "cut off: ended without TLS's close");
  }

  @Test
  public void aChangedByteEndsTheConnection() {
    Pair pair = meet(relay(), unit(TestCa.leaf(NAME)));
    pair.pipe.flips = pair.pipe.crossed + 9;
    say(pair.client.connection, "pay 100 to north");
    pair.pipe.settle();
    assertEquals(pair.server.text(), "");
    assertTrue(pair.server.closed.startsWith("damaged: "), pair.server.closed);
  }

  @Test
  public void recordsCutAtEveryByteGiveTheSame() {
    Pair pair = new Pair(relay(), unit(TestCa.leaf(NAME)), NAME, true);
    pair.pipe.split = length -> 1;
    pair.meet().up();
    say(pair.client.connection, "as it was written");
    say(pair.server.connection, "and back");
    pair.pipe.settle();
    assertEquals(pair.server.text() + ", " + pair.client.text(), "as it was written, and back");
  }

  @Test
  public void workAsideThatFindsNoRoomEndsTheHandshake() {
    Pair pair = new Pair(relay(), unit(TestCa.leaf(NAME)), NAME, false);
    pair.pipe.asideFull = true;
    pair.meet();
    assertEquals(pair.far.refused(), Refusal.TOO_MANY, pair.server.closed);
    assertNull(pair.client.connection);
  }

  @Test
  public void whatMayHaveLeftIsCountedInPlainBytes() {
    Pair pair = meet(relay(), unit(TestCa.leaf(NAME)));
    assertEquals(pair.near.bytesWritten(), 0);
    say(pair.client.connection, "12345");
    assertEquals(pair.near.bytesWritten(), 5);
    assertEquals(pair.near.bytesHandedOver(), 0); // not even a record yet
    pair.pipe.settle();
    assertEquals(pair.near.bytesHandedOver(), 5);
  }

  @Test
  public void nothingIsTakenFromTheUserOnceItIsOver() {
    Pair pair = meet(relay(), unit(TestCa.leaf(NAME)));
    pair.client.connection.cut("enough");
    pair.pipe.settle();
    assertEquals(pair.client.closed, "enough");
    say(pair.client.connection, "more");
    pair.pipe.settle();
    assertEquals(pair.server.text(), "");
    assertFalse(pair.server.closed == null);
  }

  @Test
  public void aPeerOfTls12ThatWantsToRenegotiateIsCutOff() throws Exception {
    Pair pair =
        meet(
            relay(),
            credentials(
                CA.make(TestCa.leaf(NAME)).material(CA.certificate()),
                List.of("TLSv1.2"),
                Instant::now));
    pair.up();
    java.lang.reflect.Field engine = TlsConnection.class.getDeclaredField("engine");
    engine.setAccessible(true);
    ((javax.net.ssl.SSLEngine) engine.get(pair.far)).beginHandshake(); // a HelloRequest
    say(pair.server.connection, "again?");
    pair.pipe.settle();
    assertTrue(pair.client.closed != null || pair.server.closed != null, "still open");
    assertEquals(pair.pipe.counts.full, 1);
  }

  /** Run by the test below in a Java of its own, whose keys are worn out after few bytes. */
  public static void main(String[] arguments) {
    Pair pair = meet(relay(), unit(TestCa.leaf(NAME)));
    for (int i = 0; i < 40; i++) {
      say(pair.client.connection, "abcdefgh".repeat(2000));
      say(pair.server.connection, "x".repeat(3000));
      pair.pipe.settle();
    }
    System.out.println(
        "arrived "
            + pair.server.text().equals("abcdefgh".repeat(80_000))
            + " "
            + pair.client.heard.size()
            + " "
            + pair.client.closed);
  }

  @Test
  public void newKeysOnTheWayGoUnnoticed() throws Exception {
    java.nio.file.Path limits = java.nio.file.Files.createTempFile("limits", ".properties");
    java.nio.file.Files.writeString(
        limits,
        "jdk.tls.keyLimits=AES/GCM/NoPadding KeyUpdate 100000, ChaCha20-Poly1305 KeyUpdate 100000\n");
    Process process =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-Djava.security.properties=" + limits,
                "-Djavax.net.debug=ssl:handshake",
                "-cp",
                System.getProperty("java.class.path"),
                TlsLinkTest.class.getName())
            .redirectErrorStream(true)
            .start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    java.nio.file.Files.delete(limits);
    assertTrue(
        said.contains("Produced KeyUpdate") || said.contains("KeyUpdate post-handshake"),
        "no key was changed");
    assertTrue(
        said.contains("arrived true 120000 null"),
        said.substring(Math.max(0, said.length() - 500)));
  }

  @Test
  public void aHandshakeTooSlowToBeWorthItIsNotBegunTwice() {
    Pipe pipe = new Pipe();
    pipe.within = TimeSpan.ofMs(50);
    Pipe.Ear ear = new Pipe.Ear();
    TlsConnection connection = TlsConnection.client(pipe.place(), relay(), NAME, 1, ear);
    pipe.up(connection, new Pipe.Ear());
    pipe.pass(60);
    pipe.pass(60);
    assertEquals(pipe.counts.refused, List.of(Refusal.TIMED_OUT));
    assertNotNull(ear.closed);
  }
}
