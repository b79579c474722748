package sprucerock.transport.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.SimulatedNet;

/** Files that can be used, files that can't, and their change while in use. */
public class MaterialTest {
  private static final TestCa CA = TestCa.root("root");
  private Path folder;
  private Path trust;
  private Path key;

  @BeforeMethod
  public void begin() throws Exception {
    folder = Files.createTempDirectory("material");
    trust = folder.resolve("trust.pem");
    key = folder.resolve("key.pem");
    Files.writeString(trust, TestCa.pem(CA.certificate()));
    TestCa.write(key, CA.make(TestCa.leaf("relay")));
  }

  private Material.Sources sources() {
    return new Material.Sources(trust, key, null, null, null);
  }

  private String wrong(Material.Sources from) {
    String message =
        expectThrows(Material.BadMaterialException.class, () -> Material.read(from)).getMessage();
    assertFalse(message.contains("\n") || message.contains("MII"), message);
    return message.replace(folder.toString() + "/", "");
  }

  @Test
  public void pemAndPkcs12GiveTheSame() throws Exception {
    Material pem = Material.read(sources());
    assertEquals(pem.chain.size(), 1);
    assertEquals(Material.digest(sources()), pem.digest);
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, null);
    store.setKeyEntry(
        "own", pem.key, "secret".toCharArray(), pem.chain.toArray(new Certificate[0]));
    Path p12 = folder.resolve("key.p12");
    try (var out = Files.newOutputStream(p12)) {
      store.store(out, "secret".toCharArray());
    }
    Path password = folder.resolve("password");
    Files.writeString(password, "secret\n");
    for (Path one : List.of(p12, password)) {
      Files.setPosixFilePermissions(one, PosixFilePermissions.fromString("rw-------"));
    }
    Material.Sources from = new Material.Sources(trust, p12, null, password, null);
    Material read = Material.read(from);
    assertEquals(read.key, pem.key);
    assertEquals(read.chain, pem.chain);
    assertEquals(Material.digest(from), read.digest);
    Files.writeString(password, "another");
    assertEquals(wrong(from), "key.p12: is damaged, no PKCS#12, or its password is another");
  }

  @Test
  public void whatIsWrongIsSaidInOneLineWithoutAnySecret() throws Exception {
    Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-r-----"));
    assertEquals(
        wrong(sources()),
        "key.pem: holds a key and is open to others than its owner; chmod 600 it");
    Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
    String whole = Files.readString(key);
    Files.writeString(key, whole.substring(0, 90));
    assertTrue(wrong(sources()).startsWith("key.pem: is damaged, or no PEM"), wrong(sources()));
    Files.writeString(key, TestCa.pem(CA.make(TestCa.leaf("relay")).certificate()));
    assertTrue(wrong(sources()).startsWith("key.pem: holds no private key"), wrong(sources()));
    Files.writeString(
        key, TestCa.pem(CA.make(TestCa.leaf("a")).key(), CA.make(TestCa.leaf("b")).certificate()));
    assertTrue(
        wrong(sources()).startsWith("key.pem: is not the key of the first certificate"),
        wrong(sources()));
    Files.writeString(trust, "nothing to see");
    assertEquals(wrong(sources()), "trust.pem: holds no certificate to trust");
    Files.delete(trust);
    assertEquals(wrong(sources()), "trust.pem: can't be read: NoSuchFileException");
  }

  @Test
  public void daysLeftAreThoseOfTheOwnCertificate() throws Exception {
    TestCa.write(key, CA.make(TestCa.leaf("relay").valid(Pipe.day(-1), Pipe.day(9))));
    assertEquals(Material.read(sources()).daysLeft(Instant.now()), 8);
    assertTrue(Material.read(sources()).daysLeft(Pipe.day(10)) < 0);
  }

  private final List<String> told = new ArrayList<>();

  private final Tls.Owner owner =
      new Tls.Owner() {
        @Override
        public void handshakeBegun() {}

        @Override
        public void handshakeDone(boolean resumed) {}

        @Override
        public void handshakeRefused(Refusal why) {}

        @Override
        public void loaded(String wrong) {
          told.add(wrong == null ? "loaded" : wrong.replace(folder.toString() + "/", ""));
        }

        @Override
        public void changed() {
          told.add("changed");
        }
      };

  @Test
  public void aChangeCountsOnceItIsWholeAndABrokenOneLeavesTheOldInPlace() throws Exception {
    SimulatedNet net = new SimulatedNet(0, 10);
    Tls tls =
        new Tls(
            net,
            new Tls.Setup(
                sources(),
                Credentials.Policy.USUAL,
                TimeSpan.ofMs(1000),
                TimeSpan.ofMs(1000),
                TimeSpan.ofMs(1000),
                new Handshakes.Most(100, 100, 100, 100)),
            (work, done) -> {
              work.run();
              net.at(net.now(), done);
              return true;
            },
            Instant::now,
            owner);
    Credentials first = tls.credentials();
    net.pass(5000);
    assertEquals(told, List.of());
    String good = Files.readString(key);
    Files.writeString(key, good.substring(0, 200)); // half a file
    net.pass(5000);
    assertEquals(
        told,
        List.of("key.pem: is damaged, or no PEM: " + told.get(0).replaceFirst(".*PEM: ", "")));
    assertTrue(tls.broken());
    assertEquals(tls.credentials(), first);
    TestCa.write(key, CA.make(TestCa.leaf("relay")));
    net.pass(1000);
    assertEquals(tls.credentials(), first); // seen once
    net.pass(2000);
    assertNotEquals(tls.credentials(), first);
    assertFalse(tls.broken());
    assertEquals(told.subList(1, told.size()), List.of("loaded", "changed"));
    tls.stop();
    TestCa.write(key, CA.make(TestCa.leaf("relay")));
    net.pass(5000);
    assertEquals(told.size(), 3);
  }
}
