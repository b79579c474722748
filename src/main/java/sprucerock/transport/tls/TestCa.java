package sprucerock.transport.tls;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.math.BigInteger;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import java.util.Set;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.CRLReason;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.X509v2CRLBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CRLConverter;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * Makes certificates for rehearsals and tests, also wrong ones. Nothing that it makes belongs where
 * real traffic is.
 */
public final class TestCa {
  /**
   * What a certificate is to be like; begin with {@link #leaf} and change what the case is about.
   */
  public record Wish(
      String subject,
      List<String> names,
      String keyKind,
      String signature,
      Instant from,
      Instant to,
      boolean issuer,
      int pathLength,
      List<Chain.Use> uses) {
    public Wish keyKind(String kind) {
      return new Wish(subject, names, kind, signature, from, to, issuer, pathLength, uses);
    }

    public Wish signature(String algorithm) {
      return new Wish(subject, names, keyKind, algorithm, from, to, issuer, pathLength, uses);
    }

    public Wish valid(Instant since, Instant until) {
      return new Wish(subject, names, keyKind, signature, since, until, issuer, pathLength, uses);
    }

    public Wish uses(Chain.Use... wanted) {
      return new Wish(
          subject, names, keyKind, signature, from, to, issuer, pathLength, List.of(wanted));
    }
  }

  /** A certificate with its key, and the certificates up to its issuer's, without the root. */
  public record Identity(PrivateKey key, X509Certificate certificate, List<X509Certificate> chain) {
    /** As a peer that trusts that root shows itself. */
    public Material material(X509Certificate... trusted) {
      return Material.of(
          Set.of(trusted), List.of(), key, chain, certificate.getSerialNumber().toString(16));
    }
  }

  private static final Duration BEFORE =
      Duration.ofHours(1); // clocks of one machine differ by less

  private final Identity own;
  private final boolean root;
  private long serial = System.nanoTime(); // told apart from those of an earlier run

  private TestCa(Identity own, boolean root) {
    this.own = own;
    this.root = root;
  }

  /** A root with a P-256 key, valid for a year. */
  public static TestCa root(String name) {
    Wish wish =
        new Wish(
            name,
            List.of(),
            "P-256",
            null,
            Instant.now().minus(BEFORE),
            Instant.now().plus(Duration.ofDays(365)),
            true,
            2,
            List.of());
    KeyPair pair = pair(wish.keyKind);
    X509Certificate certificate =
        sign(wish, pair, name(name), pair.getPrivate(), BigInteger.valueOf(System.nanoTime()));
    return new TestCa(new Identity(pair.getPrivate(), certificate, List.of(certificate)), true);
  }

  /** An issuer below this one. */
  public TestCa below(String name) {
    Identity made =
        make(
            new Wish(
                name,
                List.of(),
                "P-256",
                null,
                Instant.now().minus(BEFORE),
                Instant.now().plus(Duration.ofDays(300)),
                true,
                0,
                List.of()));
    return new TestCa(made, false);
  }

  /** A leaf for both ends, valid for 90 days, with a P-256 key. */
  public static Wish leaf(String... names) {
    return new Wish(
        names.length == 0 ? "nameless" : names[0],
        List.of(names),
        "P-256",
        null,
        Instant.now().minus(BEFORE),
        Instant.now().plus(Duration.ofDays(90)),
        false,
        0,
        List.of(Chain.Use.SERVER, Chain.Use.CLIENT));
  }

  public X509Certificate certificate() {
    return own.certificate;
  }

  /** Makes one. */
  public Identity make(Wish wish) {
    KeyPair pair = pair(wish.keyKind);
    X509Certificate made = sign(wish, pair, own.certificate, own.key, BigInteger.valueOf(++serial));
    List<X509Certificate> chain = new java.util.ArrayList<>();
    chain.add(made);
    if (!root) {
      chain.addAll(own.chain);
    }
    return new Identity(pair.getPrivate(), made, List.copyOf(chain));
  }

  /** A list that revokes some. */
  public X509CRL revoke(X509Certificate... gone) {
    X509v2CRLBuilder builder =
        new X509v2CRLBuilder(
            X500Name.getInstance(own.certificate.getSubjectX500Principal().getEncoded()),
            new Date());
    builder.setNextUpdate(Date.from(Instant.now().plus(Duration.ofDays(7))));
    for (X509Certificate one : gone) {
      builder.addCRLEntry(one.getSerialNumber(), new Date(), CRLReason.keyCompromise);
    }
    try {
      return new JcaX509CRLConverter()
          .getCRL(builder.build(new JcaContentSignerBuilder(algorithm(own.key)).build(own.key)));
    } catch (GeneralSecurityException | OperatorCreationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static KeyPair pair(String kind) {
    try {
      KeyPairGenerator generator =
          KeyPairGenerator.getInstance(
              kind.startsWith("RSA") ? "RSA" : kind.equals("Ed25519") ? "Ed25519" : "EC");
      if (kind.startsWith("RSA")) {
        generator.initialize(Integer.parseInt(kind.substring(4)));
      } else if (kind.startsWith("P-")) {
        generator.initialize(new ECGenParameterSpec("secp" + kind.substring(2) + "r1"));
      }
      return generator.generateKeyPair();
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException(
          "no key of kind " + kind + "; there are RSA-n, P-256, P-384, Ed25519", e);
    }
  }

  private static String algorithm(PrivateKey key) {
    return key.getAlgorithm().equals("RSA")
        ? "SHA256withRSA"
        : key.getAlgorithm().startsWith("EC") ? "SHA256withECDSA" : "Ed25519";
  }

  private static X500Name name(String subject) {
    return new X500Name("CN=" + subject.replaceAll("[^A-Za-z0-9.-]", "-"));
  }

  private static X509Certificate sign(
      Wish wish, KeyPair pair, Object issuer, PrivateKey with, BigInteger number) {
    try {
      Date from = Date.from(wish.from);
      Date to = Date.from(wish.to);
      JcaX509v3CertificateBuilder builder =
          issuer instanceof X509Certificate by
              ? new JcaX509v3CertificateBuilder(
                  by, number, from, to, name(wish.subject), pair.getPublic())
              : new JcaX509v3CertificateBuilder(
                  (X500Name) issuer, number, from, to, name(wish.subject), pair.getPublic());
      if (wish.issuer) {
        builder.addExtension(
            Extension.basicConstraints, true, new BasicConstraints(wish.pathLength));
        builder.addExtension(
            Extension.keyUsage, true, new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
      } else {
        builder.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.digitalSignature));
        KeyPurposeId[] uses =
            wish.uses.stream()
                .map(
                    use ->
                        use == Chain.Use.SERVER
                            ? KeyPurposeId.id_kp_serverAuth
                            : KeyPurposeId.id_kp_clientAuth)
                .toArray(KeyPurposeId[]::new);
        if (uses.length > 0) {
          builder.addExtension(Extension.extendedKeyUsage, false, new ExtendedKeyUsage(uses));
        }
        GeneralName[] names = wish.names.stream().map(TestCa::general).toArray(GeneralName[]::new);
        if (names.length > 0) {
          builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(names));
        }
      }
      String algorithm = wish.signature != null ? wish.signature : algorithm(with);
      return new JcaX509CertificateConverter()
          .getCertificate(builder.build(new JcaContentSignerBuilder(algorithm).build(with)));
    } catch (GeneralSecurityException | OperatorCreationException | IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static GeneralName general(String name) {
    boolean address = name.indexOf(':') >= 0 || name.matches("[0-9.]+");
    return new GeneralName(address ? GeneralName.iPAddress : GeneralName.dNSName, name);
  }

  /** The certificates as PEM. */
  public static String pem(Object... all) {
    StringWriter text = new StringWriter();
    try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
      for (Object one : all) {
        writer.writeObject(one instanceof PrivateKey key ? new JcaPKCS8Generator(key, null) : one);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  /**
   * Writes a key with its chain, first beside the file and then in its place, so that no reader
   * finds half.
   */
  public static void write(Path file, Identity identity) throws IOException {
    Object[] all = new Object[1 + identity.chain.size()];
    all[0] = identity.key;
    for (int i = 0; i < identity.chain.size(); i++) {
      all[1 + i] = identity.chain.get(i);
    }
    Path next = file.resolveSibling(file.getFileName() + ".new");
    Files.deleteIfExists(next);
    Files.createFile(
        next, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    Files.writeString(next, pem(all), StandardOpenOption.WRITE);
    Files.move(
        next,
        file,
        java.nio.file.StandardCopyOption.ATOMIC_MOVE,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  /** The address of this machine that rehearsals use, as a certificate may carry it. */
  public static String loopback() {
    return InetAddress.getLoopbackAddress().getHostAddress();
  }
}
