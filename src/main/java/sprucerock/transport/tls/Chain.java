package sprucerock.transport.tls;

import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.security.cert.CertPathValidator;
import java.security.cert.CertPathValidatorException;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.PKIXParameters;
import java.security.cert.PKIXReason;
import java.security.cert.TrustAnchor;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.security.interfaces.ECPublicKey;
import java.security.interfaces.EdECPublicKey;
import java.security.interfaces.RSAPublicKey;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Judges a chain of certificates at a stated time. No I/O; nothing is fetched from where a
 * certificate says.
 */
public final class Chain {
  /** What a leaf is shown for. */
  public enum Use {
    SERVER("1.3.6.1.5.5.7.3.1"),
    CLIENT("1.3.6.1.5.5.7.3.2");

    private final String id;

    Use(String id) {
      this.id = id;
    }
  }

  private static final int RSA_BITS = 2048; // NIST SP 800-57, part 1: below 112 bits of security
  private static final int EC_BITS = 256;

  /**
   * What is trusted, and how far.
   *
   * @param skew by how much clocks may differ
   * @param longest certificates that a peer may show
   */
  public record Trust(
      Set<X509Certificate> anchors, List<X509CRL> crls, Duration skew, int longest) {}

  private Chain() {}

  /** Returns if all is in order; the leaf comes first. */
  public static void check(List<X509Certificate> chain, Trust trust, Use use, Instant now)
      throws RefusedException {
    if (chain.isEmpty()) {
      throw new RefusedException(Refusal.NO_CERTIFICATE, "none came");
    }
    if (chain.size() > trust.longest) {
      throw new RefusedException(
          Refusal.CHAIN_TOO_LONG,
          chain.size() + " certificates, " + trust.longest + " are allowed");
    }
    for (X509Certificate one : chain) {
      valid(one, trust, now);
      if (!trust.anchors.contains(one)) {
        strong(one);
      }
    }
    use(chain.get(0), use);
    List<X509Certificate> path = new ArrayList<>(chain);
    path.removeIf(trust.anchors::contains); // a peer may show its root, too
    path(path.isEmpty() ? List.of() : path, trust, now);
    revoked(chain, trust);
  }

  private static String subject(X509Certificate certificate) {
    return certificate.getSubjectX500Principal().getName();
  }

  private static void valid(X509Certificate one, Trust trust, Instant now) throws RefusedException {
    Instant from = one.getNotBefore().toInstant();
    Instant to = one.getNotAfter().toInstant();
    if (now.plus(trust.skew).isBefore(from)) {
      throw new RefusedException(
          Refusal.NOT_YET_VALID, subject(one) + ", valid from " + from + ", now it is " + now);
    }
    if (now.minus(trust.skew).isAfter(to)) {
      throw new RefusedException(
          Refusal.EXPIRED, subject(one) + ", valid until " + to + ", now it is " + now);
    }
  }

  private static void strong(X509Certificate one) throws RefusedException {
    String weak = weakness(one.getPublicKey());
    String algorithm = one.getSigAlgName().toUpperCase(Locale.ROOT);
    if (weak == null
        && (algorithm.contains("MD5") || algorithm.contains("MD2") || algorithm.contains("SHA1"))) {
      weak = "signed with " + one.getSigAlgName();
    }
    if (weak != null) {
      throw new RefusedException(Refusal.WEAK, subject(one) + ", " + weak);
    }
  }

  private static String weakness(PublicKey key) {
    if (key instanceof RSAPublicKey rsa) {
      return rsa.getModulus().bitLength() >= RSA_BITS
          ? null
          : "RSA with " + rsa.getModulus().bitLength() + " bits";
    }
    if (key instanceof ECPublicKey ec) {
      int bits = ec.getParams().getOrder().bitLength();
      return bits >= EC_BITS ? null : "a curve with " + bits + " bits";
    }
    return key instanceof EdECPublicKey ? null : "a key of " + key.getAlgorithm();
  }

  private static void use(X509Certificate leaf, Use use) throws RefusedException {
    try {
      List<String> extended = leaf.getExtendedKeyUsage();
      boolean[] usage = leaf.getKeyUsage();
      String wrong =
          extended != null && !extended.contains(use.id)
              ? "not for a " + use.name().toLowerCase(Locale.ROOT)
              : usage != null && !usage[0]
                  ? "not for signatures"
                  : leaf.getBasicConstraints() >= 0 ? "for an issuer" : null;
      if (wrong != null) {
        throw new RefusedException(Refusal.WRONG_USE, subject(leaf) + ", " + wrong);
      }
    } catch (RefusedException e) {
      throw e;
    } catch (CertificateException e) {
      throw new RefusedException(Refusal.MALFORMED, subject(leaf) + ": " + e.getMessage());
    }
  }

  private static void path(List<X509Certificate> path, Trust trust, Instant now)
      throws RefusedException {
    if (path.isEmpty()) {
      return; // the leaf itself is trusted
    }
    try {
      Set<TrustAnchor> anchors =
          trust.anchors.stream().map(one -> new TrustAnchor(one, null)).collect(Collectors.toSet());
      if (anchors.isEmpty()) {
        throw new RefusedException(Refusal.UNKNOWN_ISSUER, "nobody is trusted");
      }
      PKIXParameters parameters = new PKIXParameters(anchors);
      parameters.setRevocationEnabled(false); // looked up below, in the lists at hand
      parameters.setDate(Date.from(within(path, now)));
      CertPathValidator.getInstance("PKIX")
          .validate(CertificateFactory.getInstance("X.509").generateCertPath(path), parameters);
    } catch (CertPathValidatorException e) {
      throw new RefusedException(
          refusal(e), subject(path.get(Math.max(0, e.getIndex()))) + ": " + e.getMessage());
    } catch (RefusedException e) {
      throw e;
    } catch (GeneralSecurityException e) {
      throw new RefusedException(Refusal.MALFORMED, e.getMessage());
    }
  }

  /** Now, or by the allowed skew another time at which all of them are valid. */
  private static Instant within(List<X509Certificate> path, Instant now) {
    Instant time = now;
    for (X509Certificate one : path) {
      if (time.isBefore(one.getNotBefore().toInstant())) {
        time = one.getNotBefore().toInstant();
      }
      if (time.isAfter(one.getNotAfter().toInstant())) {
        time = one.getNotAfter().toInstant();
      }
    }
    return time;
  }

  private static Refusal refusal(CertPathValidatorException e) {
    if (e.getReason() == PKIXReason.NO_TRUST_ANCHOR || e.getReason() == PKIXReason.NAME_CHAINING) {
      return Refusal.UNKNOWN_ISSUER;
    }
    if (e.getReason() == PKIXReason.PATH_TOO_LONG) {
      return Refusal.CHAIN_TOO_LONG;
    }
    if (e.getReason() == PKIXReason.NOT_CA_CERT || e.getReason() == PKIXReason.INVALID_KEY_USAGE) {
      return Refusal.WRONG_USE;
    }
    if (e.getReason() == CertPathValidatorException.BasicReason.ALGORITHM_CONSTRAINED) {
      return Refusal.WEAK;
    }
    if (e.getReason() == CertPathValidatorException.BasicReason.INVALID_SIGNATURE) {
      return Refusal.UNKNOWN_ISSUER;
    }
    return Refusal.MALFORMED;
  }

  private static void revoked(List<X509Certificate> chain, Trust trust) throws RefusedException {
    for (int i = 0; i < chain.size(); i++) {
      X509Certificate one = chain.get(i);
      for (X509CRL crl : trust.crls) {
        if (!crl.getIssuerX500Principal().equals(one.getIssuerX500Principal())) {
          continue;
        }
        if (crl.isRevoked(one) && signed(crl, chain, i, trust)) {
          throw new RefusedException(
              Refusal.REVOKED, subject(one) + ", serial " + one.getSerialNumber().toString(16));
        }
      }
    }
  }

  /** A list counts only if the certificate's issuer signed it. */
  private static boolean signed(X509CRL crl, List<X509Certificate> chain, int index, Trust trust) {
    List<X509Certificate> issuers = new ArrayList<>(trust.anchors);
    issuers.addAll(chain.subList(index + 1, chain.size()));
    for (X509Certificate issuer : issuers) {
      try {
        crl.verify(issuer.getPublicKey());
        return true;
      } catch (GeneralSecurityException e) {
        continue; // not by this one
      }
    }
    return false;
  }
}
