package sprucerock.controller.server;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import sprucerock.time.TimeSpan;

/**
 * Whether a webhook was signed by who knows a secret: the form of Standard Webhooks
 * (standardwebhooks.com: id, time and body under HMAC-SHA256, several signatures while secrets
 * rotate) and GitHub's (the body under HMAC-SHA256; no time, so the delivery's id alone guards
 * against replay). No I/O.
 */
public final class Signatures {
  public enum SignatureScheme {
    STANDARD,
    GITHUB
  }

  /** Headers as they came; null where there was none. */
  public record Headers(String id, String time, String signature) {}

  /** An id where it is right; else why it is not, fit to be told to a stranger. */
  public record Verdict(String id, String refused) {}

  private static final int MAX_SIGNATURES = 10;
  private static final int MAX_ID_LENGTH = 200;

  private Signatures() {}

  /** The names of the headers of a form, in the order of {@link Headers}. */
  public static List<String> headerNames(SignatureScheme form) {
    return form == SignatureScheme.STANDARD
        ? List.of("webhook-id", "webhook-timestamp", "webhook-signature")
        : List.of("X-GitHub-Delivery", "Date", "X-Hub-Signature-256");
  }

  /** The secrets in a file's text, one a line; whsec_ and base64, or for GitHub as they are. */
  public static List<byte[]> parseSecrets(String text, SignatureScheme form) {
    return text.lines()
        .map(String::strip)
        .filter(line -> !line.isEmpty() && !line.startsWith("#"))
        .map(
            line ->
                form == SignatureScheme.STANDARD
                    ? Base64.getDecoder()
                        .decode(line.startsWith("whsec_") ? line.substring(6) : line)
                    : line.getBytes(StandardCharsets.UTF_8))
        .toList();
  }

  /** {@code window}: by how much a sender's clock may differ. */
  public static Verdict verify(
      SignatureScheme form,
      Headers headers,
      byte[] body,
      List<byte[]> secrets,
      long nowSeconds,
      TimeSpan window) {
    boolean named =
        headers.id != null
            && !headers.id.isEmpty()
            && headers.id.length() <= MAX_ID_LENGTH
            && headers.id.chars().allMatch(c -> c > 32 && c < 127);
    if (!named || headers.signature == null) {
      return new Verdict(null, "the headers " + headerNames(form) + " are needed");
    }
    byte[] signed = body;
    if (form == SignatureScheme.STANDARD) {
      long time;
      try {
        time = Long.parseLong(String.valueOf(headers.time));
      } catch (NumberFormatException e) {
        return new Verdict(null, "its time is no number of seconds");
      }
      if (Math.abs(nowSeconds - time) * 1000.0 > window.ms()) {
        return new Verdict(
            null, "its time is more than " + Math.round(window.ms() / 1000) + " s from ours");
      }
      byte[] head = (headers.id + "." + time + ".").getBytes(StandardCharsets.UTF_8);
      signed = new byte[head.length + body.length];
      System.arraycopy(head, 0, signed, 0, head.length);
      System.arraycopy(body, 0, signed, head.length, body.length);
    }
    boolean right = false;
    for (byte[] secret : secrets) {
      byte[] wanted = hmac(secret, signed);
      String[] given = headers.signature.split(" ", MAX_SIGNATURES + 1);
      for (int i = 0; i < Math.min(given.length, MAX_SIGNATURES); i++) {
        right |= MessageDigest.isEqual(wanted, decode(form, given[i]));
      }
    }
    return right ? new Verdict(headers.id, null) : new Verdict(null, "no signature of it is right");
  }

  private static byte[] decode(SignatureScheme form, String signature) {
    try {
      if (form == SignatureScheme.STANDARD) {
        return signature.startsWith("v1,")
            ? Base64.getDecoder().decode(signature.substring(3))
            : new byte[0];
      }
      return signature.startsWith("sha256=")
          ? HexFormat.of().parseHex(signature.substring(7).toLowerCase(Locale.ROOT))
          : new byte[0];
    } catch (IllegalArgumentException e) {
      return new byte[0]; // equal to nothing
    }
  }

  private static byte[] hmac(byte[] secret, byte[] signed) {
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(secret, "HmacSHA256"));
      return mac.doFinal(signed);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(e); // every Java has it
    }
  }

  /** As a sender signs: the header's text. */
  public static String sign(
      SignatureScheme form, String id, long time, byte[] body, byte[] secret) {
    if (form == SignatureScheme.GITHUB) {
      return "sha256=" + HexFormat.of().formatHex(hmac(secret, body));
    }
    byte[] head = (id + "." + time + ".").getBytes(StandardCharsets.UTF_8);
    byte[] signed = new byte[head.length + body.length];
    System.arraycopy(head, 0, signed, 0, head.length);
    System.arraycopy(body, 0, signed, head.length, body.length);
    return "v1," + Base64.getEncoder().encodeToString(hmac(secret, signed));
  }
}
