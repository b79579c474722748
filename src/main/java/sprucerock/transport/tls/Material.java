package sprucerock.transport.tls;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.MessageDigest;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bouncycastle.asn1.pkcs.PrivateKeyInfo;
import org.bouncycastle.cert.X509CRLHolder;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509CRLConverter;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.openssl.PEMKeyPair;
import org.bouncycastle.openssl.PEMParser;
import org.bouncycastle.openssl.jcajce.JcaPEMKeyConverter;

/**
 * Whom to trust, and the own key with its chain, read together from files, PEM or PKCS#12, and
 * checked against each other. What is wrong is said in one line that names the file and never holds
 * any of its contents.
 */
public final class Material {
  /** Files that can't be used; the message says which, why, and what to do. */
  public static final class BadMaterialException extends Exception {
    private static final long serialVersionUID = 1L;

    BadMaterialException(String message) {
      super(message);
    }
  }

  /**
   * The files; each but {@code trust} may be null. A PKCS#12 file holds key and chain; its password
   * is in a file.
   */
  public record Sources(Path trust, Path key, Path chain, Path password, Path crl) {
    List<Path> all() {
      List<Path> all = new ArrayList<>();
      for (Path one : new Path[] {trust, key, chain, password, crl}) {
        if (one != null) {
          all.add(one);
        }
      }
      return all;
    }
  }

  private static final int MOST_BYTES = 4 << 20;

  public final Set<X509Certificate> anchors;
  public final List<X509CRL> crls;

  /** Null without an own key. */
  public final PrivateKey key;

  /** The own certificates, leaf first; empty without a key. */
  public final List<X509Certificate> chain;

  /** Of all the files' bytes: the same, the same material. */
  public final String digest;

  private Material(
      Set<X509Certificate> anchors,
      List<X509CRL> crls,
      PrivateKey key,
      List<X509Certificate> chain,
      String digest) {
    this.anchors = Collections.unmodifiableSet(anchors);
    this.crls = List.copyOf(crls);
    this.key = key;
    this.chain = List.copyOf(chain);
    this.digest = digest;
  }

  /** Made elsewhere than from files. */
  public static Material of(
      Set<X509Certificate> anchors,
      List<X509CRL> crls,
      PrivateKey key,
      List<X509Certificate> chain,
      String digest) {
    return new Material(anchors, crls, key, chain, digest);
  }

  /** Reads all of them, or fails. */
  public static Material read(Sources from) throws BadMaterialException {
    MessageDigest digest = sha256();
    Set<X509Certificate> anchors = new LinkedHashSet<>();
    byte[] trust = bytes(from.trust, digest);
    if (pkcs12(from.trust)) {
      store(from.trust, trust, null, anchors);
    } else {
      for (Object one : pem(from.trust, trust)) {
        if (one instanceof X509Certificate certificate) {
          anchors.add(certificate);
        }
      }
    }
    if (anchors.isEmpty()) {
      throw bad(from.trust, "holds no certificate to trust");
    }
    List<X509CRL> crls = new ArrayList<>();
    if (from.crl != null) {
      for (Object one : pem(from.crl, bytes(from.crl, digest))) {
        if (one instanceof X509CRL crl) {
          crls.add(crl);
        }
      }
      if (crls.isEmpty()) {
        throw bad(from.crl, "holds no revocation list in PEM");
      }
    }
    PrivateKey key = null;
    List<X509Certificate> chain = new ArrayList<>();
    if (from.key != null) {
      secret(from.key);
      byte[] bytes = bytes(from.key, digest);
      if (pkcs12(from.key)) {
        key = store(from.key, bytes, password(from.password, digest), chain);
      } else {
        for (Object one : pem(from.key, bytes)) {
          if (one instanceof PrivateKey found) {
            key = found;
          } else if (one instanceof X509Certificate certificate) {
            chain.add(certificate);
          }
        }
      }
      if (from.chain != null) {
        for (Object one : pem(from.chain, bytes(from.chain, digest))) {
          if (one instanceof X509Certificate certificate) {
            chain.add(certificate);
          }
        }
      }
      if (key == null) {
        throw bad(from.key, "holds no private key in PKCS#8, PKCS#1 or SEC1 PEM, or in PKCS#12");
      }
      if (chain.isEmpty()) {
        throw bad(from.chain == null ? from.key : from.chain, "holds no certificate of that key");
      }
      if (!fits(key, chain.get(0))) {
        throw bad(
            from.key,
            "is not the key of the first certificate, " + chain.get(0).getSubjectX500Principal());
      }
    }
    return new Material(
        anchors, crls, key, chain, java.util.HexFormat.of().formatHex(digest.digest()));
  }

  /** Whether the files, all read, are still those of this digest; false where one can't be read. */
  public static String digest(Sources from) throws BadMaterialException {
    MessageDigest digest = sha256();
    // in the order in which read() takes them
    for (Path one :
        new Path[] {
          from.trust, from.crl, from.key, pkcs12(from.key) ? from.password : null, from.chain
        }) {
      if (one != null && (one != from.chain || from.key != null)) {
        bytes(one, digest);
      }
    }
    return java.util.HexFormat.of().formatHex(digest.digest());
  }

  /** The first end of any certificate that is shown or trusted. */
  public Instant ends() {
    Instant first = Instant.MAX;
    List<X509Certificate> all = new ArrayList<>(chain);
    all.addAll(anchors);
    for (X509Certificate one : all) {
      if (one.getNotAfter().toInstant().isBefore(first)) {
        first = one.getNotAfter().toInstant();
      }
    }
    return first;
  }

  /**
   * Whole days until the own certificate, or without one the first trusted one, ends; below zero
   * once it has.
   */
  public long daysLeft(Instant now) {
    Instant end = chain.isEmpty() ? ends() : chain.get(0).getNotAfter().toInstant();
    return Math.floorDiv(Duration.between(now, end).getSeconds(), 86_400);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e); // every Java has it
    }
  }

  private static boolean pkcs12(Path file) {
    return file != null && (file.toString().endsWith(".p12") || file.toString().endsWith(".pfx"));
  }

  private static BadMaterialException bad(Path file, String what) {
    return new BadMaterialException(file + ": " + what);
  }

  private static byte[] bytes(Path file, MessageDigest digest) throws BadMaterialException {
    try (InputStream in = Files.newInputStream(file)) {
      byte[] bytes = in.readNBytes(MOST_BYTES + 1);
      if (bytes.length > MOST_BYTES) {
        throw bad(file, "is larger than " + MOST_BYTES + " bytes");
      }
      digest.update((byte) bytes.length);
      digest.update(bytes);
      return bytes;
    } catch (IOException e) {
      throw bad(file, "can't be read: " + e.getClass().getSimpleName());
    }
  }

  /** A key that others may read is no secret. */
  private static void secret(Path file) throws BadMaterialException {
    try {
      Set<PosixFilePermission> open = Files.getPosixFilePermissions(file);
      open.removeAll(
          Set.of(
              PosixFilePermission.OWNER_READ,
              PosixFilePermission.OWNER_WRITE,
              PosixFilePermission.OWNER_EXECUTE));
      if (!open.isEmpty()) {
        throw bad(file, "holds a key and is open to others than its owner; chmod 600 it");
      }
    } catch (IOException e) {
      throw bad(file, "can't be looked at: " + e.getClass().getSimpleName());
    } catch (UnsupportedOperationException e) {
      throw bad(file, "is on a file system without permissions");
    }
  }

  private static char[] password(Path file, MessageDigest digest) throws BadMaterialException {
    if (file == null) {
      return new char[0];
    }
    secret(file);
    return new String(bytes(file, digest), StandardCharsets.UTF_8).strip().toCharArray();
  }

  /** Certificates, lists and keys in a PEM file, in its order. */
  private static List<Object> pem(Path file, byte[] bytes) throws BadMaterialException {
    List<Object> found = new ArrayList<>();
    try (PEMParser parser =
        new PEMParser(new StringReader(new String(bytes, StandardCharsets.US_ASCII)))) {
      for (Object one = parser.readObject(); one != null; one = parser.readObject()) {
        if (one instanceof X509CertificateHolder holder) {
          found.add(new JcaX509CertificateConverter().getCertificate(holder));
        } else if (one instanceof X509CRLHolder holder) {
          found.add(new JcaX509CRLConverter().getCRL(holder));
        } else if (one instanceof PrivateKeyInfo info) {
          found.add(new JcaPEMKeyConverter().getPrivateKey(info));
        } else if (one instanceof PEMKeyPair pair) {
          found.add(new JcaPEMKeyConverter().getPrivateKey(pair.getPrivateKeyInfo()));
        } else if (one.getClass().getSimpleName().contains("Encrypted")) {
          throw bad(file, "is encrypted; keep it in PKCS#12 with a password file");
        }
      }
    } catch (IOException | GeneralSecurityException | RuntimeException e) {
      throw bad(
          file,
          "is damaged, or no PEM: "
              + e.getClass().getSimpleName()); // its message may quote what it read
    }
    return found;
  }

  /**
   * Reads a PKCS#12 file: its certificates into {@code into}, the key's chain first; returns its
   * key.
   */
  private static PrivateKey store(
      Path file, byte[] bytes, char[] password, java.util.Collection<X509Certificate> into)
      throws BadMaterialException {
    try {
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(new java.io.ByteArrayInputStream(bytes), password);
      PrivateKey key = null;
      for (String alias : Collections.list(store.aliases())) {
        if (store.isKeyEntry(alias) && key == null) {
          key = (PrivateKey) store.getKey(alias, password);
          for (Certificate one : store.getCertificateChain(alias)) {
            into.add((X509Certificate) one);
          }
        } else if (store.isCertificateEntry(alias)) {
          into.add((X509Certificate) store.getCertificate(alias));
        }
      }
      return key;
    } catch (IOException | GeneralSecurityException | RuntimeException e) {
      throw bad(file, "is damaged, no PKCS#12, or its password is another");
    } finally {
      if (password != null) {
        Arrays.fill(password, '\0');
      }
    }
  }

  /** Whether a key signs what a certificate's key finds right. */
  private static boolean fits(PrivateKey key, X509Certificate certificate) {
    String algorithm =
        switch (key.getAlgorithm()) {
          case "RSA" -> "SHA256withRSA";
          case "EC", "ECDSA" -> "SHA256withECDSA";
          default -> "Ed25519";
        };
    try {
      Signature signs = Signature.getInstance(algorithm);
      signs.initSign(key);
      signs.update(new byte[] {1, 2, 3});
      byte[] signature = signs.sign();
      Signature proves = Signature.getInstance(algorithm);
      proves.initVerify(certificate.getPublicKey());
      proves.update(new byte[] {1, 2, 3});
      return proves.verify(signature);
    } catch (GeneralSecurityException e) {
      return false;
    }
  }
}
