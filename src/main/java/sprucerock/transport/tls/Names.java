package sprucerock.transport.tls;

import java.net.IDN;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * Whether a certificate carries a name, after RFC 9525: only subject alternative names count, never
 * the common name; a wildcard stands for the whole left-most label and for one label; addresses are
 * compared as addresses, with IP entries only.
 */
public final class Names {
  private static final int DNS = 2;
  private static final int IP = 7;

  private Names() {}

  /** The DNS names and addresses in a certificate, in its order. */
  public static List<String> of(X509Certificate certificate) throws RefusedException {
    List<String> found = new ArrayList<>();
    for (List<?> entry : entries(certificate)) {
      int type = (Integer) entry.get(0);
      if (type == DNS || type == IP) {
        found.add((String) entry.get(1));
      }
    }
    return found;
  }

  private static Collection<List<?>> entries(X509Certificate certificate) throws RefusedException {
    try {
      Collection<List<?>> entries = certificate.getSubjectAlternativeNames();
      return entries == null ? List.of() : entries;
    } catch (CertificateParsingException e) {
      throw new RefusedException(Refusal.MALFORMED, "its alternative names: " + e.getMessage());
    }
  }

  /** Whether a certificate carries a name or, in numbers, an address. */
  public static boolean carries(X509Certificate certificate, String name) throws RefusedException {
    byte[] address = address(name);
    String wanted = address == null ? normal(name) : null;
    for (List<?> entry : entries(certificate)) {
      int type = (Integer) entry.get(0);
      if (address != null && type == IP && Arrays.equals(address, address((String) entry.get(1)))) {
        return true;
      }
      if (wanted != null && type == DNS && matches((String) entry.get(1), wanted)) {
        return true;
      }
    }
    return false;
  }

  /** An address in numbers; null where it is a name. */
  private static byte[] address(String text) {
    boolean numbers = text.indexOf(':') >= 0 || text.matches("[0-9]+(\\.[0-9]+){3}");
    if (!numbers) {
      return null;
    }
    try {
      return InetAddress.getByName(text).getAddress(); // in numbers, so nobody is asked
    } catch (UnknownHostException e) {
      return null;
    }
  }

  /**
   * Lower case, in the form that goes over the wire, without a dot at its end; null where that
   * can't be.
   */
  private static String normal(String name) {
    try {
      String ascii = IDN.toASCII(name, IDN.USE_STD3_ASCII_RULES).toLowerCase(Locale.ROOT);
      return ascii.endsWith(".") ? ascii.substring(0, ascii.length() - 1) : ascii;
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Whether an entry of a certificate, perhaps with a wildcard, matches a name in normal form. */
  static boolean matches(String entry, String wanted) {
    String shown = entry.toLowerCase(Locale.ROOT);
    if (!shown.startsWith("*.")) {
      return shown.indexOf('*') < 0 && shown.equals(wanted);
    }
    String rest = shown.substring(1);
    int dot = wanted.indexOf('.');
    // one whole label; and never a whole domain such as *.com
    boolean wide = rest.indexOf('.', 1) < 0 || rest.indexOf('*') >= 0;
    return !wide && dot > 0 && wanted.substring(dot).equals(rest);
  }
}
