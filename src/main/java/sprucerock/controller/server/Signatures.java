package sprucerock.controller.server;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import sprucerock.time.TimeSpan;

/**
 * Signs webhooks and verifies their signatures. The scheme of Standard Webhooks
 * (standardwebhooks.com) signs id, timestamp and body with HMAC-SHA256 and allows several
 * signatures while secrets are rotated. GitHub's scheme signs the body with HMAC-SHA256; it has no
 * timestamp, so the delivery's id alone protects against replays. No I/O, no state.
 */
public final class Signatures {
  /** Defines which content is signed, and which headers carry the signature. */
  public enum SignatureScheme {
    STANDARD,
    GITHUB
  }

  /** A request's signature headers; null for a header that was not sent. */
  public record Headers(String id, String timestamp, String signature) {}

  /**
   * The outcome of a verification.
   *
   * @param id the delivery's id; null if the signature is invalid
   * @param rejection why the signature is invalid, in words that may be sent to any client; null if
   *     it is valid
   */
  public record Verdict(String id, String rejection) {}

  private static final int MAX_SIGNATURES = 10;
  private static final int MAX_ID_LENGTH = 200;

  private Signatures() {}

  /**
   * The names of a scheme's headers, in the order of the components of {@link Headers}. GitHub's
   * scheme has no timestamp; the header Date takes its place and is ignored.
   */
  public static List<String> headerNames(SignatureScheme scheme) {
    return scheme == SignatureScheme.STANDARD
        ? List.of("webhook-id", "webhook-timestamp", "webhook-signature")
        : List.of("X-GitHub-Delivery", "Date", "X-Hub-Signature-256");
  }

  /**
   * Parses the text of a file with one secret per line: base64 after an optional prefix whsec_, or
   * plain text for GitHub. Skips empty lines and lines that begin with #.
   *
   * @throws IllegalArgumentException if a line is not valid base64
   */
  public static List<byte[]> parseSecrets(String text, SignatureScheme scheme) {
    return text.lines()
        .map(String::strip)
        .filter(line -> !line.isEmpty() && !line.startsWith("#"))
        .map(
            line ->
                scheme == SignatureScheme.STANDARD
                    ? Base64.getDecoder()
                        .decode(line.startsWith("whsec_") ? line.substring(6) : line)
                    : line.getBytes(StandardCharsets.UTF_8))
        .toList();
  }

  /**
   * Verifies that one of a delivery's signatures matches one of the secrets, in constant time.
   *
   * @param nowSeconds seconds since the Unix epoch
   * @param tolerance the allowed difference between the sender's clock and this one
   */
  public static Verdict verify(
      SignatureScheme scheme,
      Headers headers,
      byte[] body,
      List<byte[]> secrets,
      long nowSeconds,
      TimeSpan tolerance) {
    boolean hasId =
        headers.id != null
            && !headers.id.isEmpty()
            && headers.id.length() <= MAX_ID_LENGTH
            && headers.id.chars().allMatch(c -> c > 32 && c < 127);
    if (!hasId || headers.signature == null) {
      return new Verdict(null, "the headers " + headerNames(scheme) + " are needed");
    }
    byte[] signed = body;
    if (scheme == SignatureScheme.STANDARD) {
      long timeSeconds;
      try {
        timeSeconds = Long.parseLong(String.valueOf(headers.timestamp));
      } catch (NumberFormatException e) {
        return new Verdict(null, "its time is no number of seconds");
      }
      if (Math.abs(nowSeconds - timeSeconds) * 1000.0 > tolerance.ms()) {
        return new Verdict(
            null, "its time is more than " + Math.round(tolerance.ms() / 1000) + " s from ours");
      }
      signed = standardSignedContent(headers.id, timeSeconds, body);
    }
    return matches(scheme, headers.signature, signed, secrets)
        ? new Verdict(headers.id, null)
        : new Verdict(null, "no signature of it is right");
  }

  /**
   * Compares all pairs of a signature and a secret, so that the time taken reveals nothing about
   * the secrets.
   */
  private static boolean matches(
      SignatureScheme scheme, String signatures, byte[] signed, List<byte[]> secrets) {
    boolean matches = false;
    for (byte[] secret : secrets) {
      byte[] expected = hmacSha256(secret, signed);
      String[] given = signatures.split(" ", MAX_SIGNATURES + 1);
      for (int i = 0; i < Math.min(given.length, MAX_SIGNATURES); i++) {
        matches |= MessageDigest.isEqual(expected, decode(scheme, given[i]));
      }
    }
    return matches;
  }

  private static byte[] decode(SignatureScheme scheme, String signature) {
    try {
      if (scheme == SignatureScheme.STANDARD) {
        return signature.startsWith("v1,")
            ? Base64.getDecoder().decode(signature.substring(3))
            : new byte[0];
      }
      return signature.startsWith("sha256=")
          ? HexFormat.of().parseHex(signature.substring(7).toLowerCase(Locale.ROOT))
          : new byte[0];
    } catch (IllegalArgumentException e) {
      // an empty array equals no signature
      return new byte[0];
    }
  }

  private static byte[] hmacSha256(byte[] secret, byte[] signed) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(secret, "HmacSHA256"));
      return mac.doFinal(signed);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform has HmacSHA256", e);
    }
  }

  /**
   * Signs a delivery and returns the value of the signature header.
   *
   * @param timeSeconds seconds since the Unix epoch
   */
  public static String sign(
      SignatureScheme scheme, String id, long timeSeconds, byte[] body, byte[] secret) {
    if (scheme == SignatureScheme.GITHUB) {
      return "sha256=" + HexFormat.of().formatHex(hmacSha256(secret, body));
    }
    return "v1,"
        + Base64.getEncoder()
            .encodeToString(hmacSha256(secret, standardSignedContent(id, timeSeconds, body)));
  }

  /** The content that a Standard Webhooks signature covers. */
  private static byte[] standardSignedContent(String id, long timeSeconds, byte[] body) {
    byte[] head = (id + "." + timeSeconds + ".").getBytes(StandardCharsets.UTF_8);
    byte[] content = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, content, head.length, body.length);
    return content;
  }
}
