package sprucerock.relay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucerock.config.Address;
import sprucerock.config.ConfigException;
import sprucerock.config.settings.SettingsText;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;

/** What the platform tells a relay at its start, in the file that LB_CONFIG names. */
public final class PlatformConfig {
  private static final int LEAST_SOCKETS =
      80; // ten for units, beside what clients and the relay itself have (Serving)
  private static final long MAX_FILE_BYTES = 8 * 1024 * 1024;

  /** Of the heap's size: what is read of a file takes some ten times its bytes for a moment. */
  private static final double FILE_SHARE = 1.0 / 24;

  final String name;
  final InetSocketAddress listen;
  final InetSocketAddress discovery;
  final InetSocketAddress desk;
  final long seed;
  final int sockets;
  final InetSocketAddress peerListen;
  final List<InetSocketAddress> peers = new ArrayList<>();
  final InetSocketAddress peersAll;

  /** The list of units and the news as they were known last; absent ones are missing nodes. */
  final JsonNode known;

  final JsonNode news;
  final Settings settings;
  final List<String> methodNames = new ArrayList<>();
  final List<String> zones;
  final List<String> kinds;
  final TimeSpan connectWithin;

  /** The longest that a client waits. */
  final TimeSpan longest;

  private PlatformConfig(Path file, JsonNode root, Map<String, String> environment)
      throws ConfigException {
    name = environment.getOrDefault("LB_NAME", text(file, root, "name", "relay"));
    listen = listenAddress(file, text(file, root, "listen", null), environment.get("LB_LISTEN"));
    discovery =
        address(file, text(file, root, "discovery", environment.get("LB_DISCOVERY")), "discovery");
    desk =
        address(file, text(file, root.path("release_api"), "address", null), "release_api.address");
    seed = seed(file, text(file, root, "seed", "1"));
    sockets = root.path("limits").path("sockets").asInt(1024);
    if (sockets < LEAST_SOCKETS) {
      throw new ConfigException(
          file + ": limits.sockets is " + sockets + "; at least " + LEAST_SOCKETS + " are needed");
    }
    String peerAt = text(file, root, "peer_listen", "");
    peerListen = peerAt.isEmpty() ? null : address(file, peerAt, "peer_listen");
    for (JsonNode peer : root.path("peers")) {
      peers.add(address(file, peer.asText(), "peers"));
    }
    String all = text(file, root, "peers_all", "");
    peersAll = all.isEmpty() ? null : address(file, all, "peers_all");
    known = root.path("known");
    news = root.path("release_api").path("news");
    Map<String, String> pairs = new LinkedHashMap<>();
    flatten("", root.path("settings"), pairs);
    try {
      settings = SettingsText.read(pairs);
      for (int i = 0; i < settings.methods.size(); i++) {
        methodNames.add(pairs.getOrDefault("classes." + i + ".name", "" + i));
      }
      zones = List.of(pairs.getOrDefault("zones", "").split(","));
      kinds = List.of(pairs.getOrDefault("kinds", "").split(","));
      double most = 0;
      for (int i = 0; i < settings.methods.size(); i++) {
        most =
            Math.max(
                most,
                Double.parseDouble(pairs.getOrDefault("classes." + i + ".hard_limit", "3000")));
      }
      longest = TimeSpan.ofMs(most);
      connectWithin =
          TimeSpan.ofMs(
              Double.parseDouble(pairs.getOrDefault("permissions.connect_timeout", "250")));
    } catch (IllegalArgumentException e) {
      throw new ConfigException(file + ": settings: " + e.getMessage());
    }
  }

  /**
   * @throws ConfigException in one line that says what is wrong and where
   */
  public static PlatformConfig read(Map<String, String> environment) throws ConfigException {
    String named = environment.get("LB_CONFIG");
    if (named == null || named.isEmpty()) {
      throw new ConfigException(
          "LB_CONFIG is not set; it names the file that holds the relay's configuration");
    }
    Path file = Path.of(named);
    try {
      long most = Math.min(MAX_FILE_BYTES, (long) (Runtime.getRuntime().maxMemory() * FILE_SHARE));
      if (Files.size(file) > most) {
        throw new ConfigException(
            file
                + ": more than "
                + most
                + " bytes, which is all that this heap has room for; name fewer units in known");
      }
      return of(file, Files.readAllBytes(file), environment);
    } catch (IOException e) {
      throw new ConfigException(
          file + ": can't be read: " + String.valueOf(e.getMessage()).split("\n")[0]);
    }
  }

  /** How many descriptors the relay may hold. */
  public int maxSockets() {
    return sockets;
  }

  static PlatformConfig of(Path file, byte[] json, Map<String, String> environment)
      throws ConfigException, IOException {
    JsonNode root = new ObjectMapper().readTree(json);
    if (root == null || !root.isObject()) {
      throw new ConfigException(file + ": is no JSON object");
    }
    return new PlatformConfig(file, root, environment);
  }

  private static String text(Path file, JsonNode in, String key, String otherwise)
      throws ConfigException {
    JsonNode value = in.path(key);
    if (value.isTextual()) {
      return value.asText();
    }
    if (otherwise == null) {
      throw new ConfigException(file + ": " + key + " is missing; it has to be a text");
    }
    return otherwise;
  }

  private static InetSocketAddress address(Path file, String text, String key)
      throws ConfigException {
    InetSocketAddress address = of(text);
    if (address == null) {
      throw new ConfigException(
          file
              + ": "
              + key
              + " is \""
              + text
              + "\"; it has to be an address and a port, such as 127.0.0.1:5433");
    }
    return address;
  }

  /**
   * Where to listen. The system chooses a port in place of 0, which only the environment may have:
   * who starts the process reads the port in its log.
   */
  private static InetSocketAddress listenAddress(Path file, String inFile, String inEnvironment)
      throws ConfigException {
    if (inEnvironment == null) {
      return address(file, inFile, "listen");
    }
    InetSocketAddress address = parse(inEnvironment);
    return address != null ? address : address(file, inEnvironment, "listen");
  }

  /** An address and its port; null where the text is none. */
  static InetSocketAddress of(String text) {
    InetSocketAddress address = parse(text);
    return address == null || address.getPort() == 0 ? null : address;
  }

  /** The same, with the port 0 allowed. */
  private static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
      return null;
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    return port > 65535 ? null : Address.of(text.substring(0, colon), port);
  }

  private static long seed(Path file, String text) throws ConfigException {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new ConfigException(
          file + ": seed is \"" + text + "\"; it has to be a hexadecimal number of 64 bits");
    }
  }

  /**
   * Nested settings as the paths that the reader of settings knows: lists of plain values are
   * joined by commas.
   */
  private static void flatten(String path, JsonNode node, Map<String, String> into) {
    String under = path.isEmpty() ? "" : path + ".";
    if (node.isObject()) {
      for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
        Map.Entry<String, JsonNode> field = fields.next();
        flatten(under + field.getKey(), field.getValue(), into);
      }
    } else if (node.isArray() && node.size() > 0 && node.get(0).isContainerNode()) {
      into.put(under + "count", Integer.toString(node.size()));
      for (int i = 0; i < node.size(); i++) {
        flatten(under + i, node.get(i), into);
      }
    } else if (node.isArray()) {
      List<String> values = new ArrayList<>();
      for (JsonNode value : node) {
        values.add(value.asText());
      }
      into.put(path, String.join(",", values));
    } else if (!node.isNull() && !node.isMissingNode()) {
      into.put(path, node.asText());
    }
  }
}
