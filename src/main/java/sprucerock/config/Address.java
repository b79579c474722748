package sprucerock.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Addresses written as numbers: no name is ever looked up, which could hold a loop up for seconds.
 */
public final class Address {
  private static final Pattern V4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
  private static final Pattern V6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

  private Address() {}

  /** The address, or null where it is not written in numbers or the port is none. */
  public static InetSocketAddress of(String host, int port) {
    if (port < 0 || port > 65535 || !V4.matcher(host).matches() && !V6.matcher(host).matches()) {
      return null;
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (UnknownHostException e) {
      return null; // such as 1.2.3.400
    }
  }
}
