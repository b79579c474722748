package sprucerock.controller.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.config.Address;
import sprucerock.config.ConfigException;
import sprucerock.config.LeaseConfig;
import sprucerock.config.XmlElement;
import sprucerock.controller.RolloutRules;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.maintenance.CapacityCheck;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.maintenance.Rack;
import sprucerock.time.TimeSpan;

/**
 * The configuration of a controller, checked; controller.xsd names the units and the values used
 * where one is left out.
 */
public final class ControllerConfig {
  /** Who may announce, and how it signs. */
  public record Source(String name, Signatures.Form form, List<byte[]> secrets, int aSecond) {}

  public final String name;
  public final Path folder;
  public final int firstBuild;

  /** Units that the fleet has. */
  public final int places;

  public final InetSocketAddress relays;
  public final int mostRelays;
  public final long unsent;
  public final TimeSpan tellEvery;
  public final InetSocketAddress hooks;
  public final int body;
  public final TimeSpan window;
  public final int atOnce;
  public final TimeSpan readWithin;
  public final Map<String, Source> sources;
  public final InetSocketAddress api;
  public final String token;
  public final List<WebhookOutbox.Target> tells;

  /** How long an active controller may be silent before another one takes its place. */
  public final TimeSpan lease;

  public final RolloutRules rules;

  /** Racks that can be frozen, and the room that has to be left; null: none. */
  public final CapacityCheck room;

  public final MaintenanceWindows.Rules freezes;

  /** Granters of leases, by which the seat is had; null: the store's folder gives it. */
  public final LeaseConfig leases;

  /** Where agents come; null: what relays run is not this controller's to change. */
  public final InetSocketAddress agents;

  public final int mostAgents;
  public final int piecesASecond;

  /** Where files of new versions are put for it; null as above. */
  public final Path incoming;

  /** Bytes of one file of a version. */
  public final long mostBytes;

  public final DeploymentPlan plan;

  // What a relay is told once, 14 bytes each, fits the frames and the bytes unsent that links have
  // unless they are set lower; a
  // fleet of 120,000 units has some 3,000.
  private static final int MOST_RACKS = 10_000;
  private static final int CANDIDATE =
      65_000; // among those who stand for leases; far over relays' numbers

  /** Reads and checks a file; the first thing that is wrong ends it. */
  public static ControllerConfig read(Path file) throws ConfigException {
    return new ControllerConfig(XmlElement.read(file, "/sprucerock/controller.xsd"));
  }

  private ControllerConfig(XmlElement root) throws ConfigException {
    name = root.text("name");
    folder = Path.of(root.text("folder"));
    firstBuild = root.count("first-build");
    places = root.count("places");
    if (firstBuild > 65_535) {
      throw root.invalid("first-build is 65535 at most");
    }
    XmlElement relayNode = root.child("relays");
    relays = address(relayNode);
    mostRelays = relayNode.count("most");
    unsent = relayNode.bytes("unsent");
    tellEvery = relayNode.span("tell-every");
    XmlElement hookNode = root.child("hooks");
    hooks = address(hookNode);
    body = (int) Math.min(hookNode.bytes("body"), 16 << 20);
    window = hookNode.span("window");
    atOnce = hookNode.count("at-once");
    readWithin = hookNode.span("read-within");
    Map<String, Source> found = new TreeMap<>();
    for (XmlElement node : hookNode.children("source")) {
      Signatures.Form form = Signatures.Form.valueOf(node.text("form").toUpperCase(Locale.ROOT));
      List<byte[]> secrets;
      try {
        secrets = Signatures.secrets(secret(node, "secrets"), form);
      } catch (IllegalArgumentException e) {
        throw node.invalid("secrets: a line of " + node.text("secrets") + " is no base64");
      }
      if (secrets.isEmpty()) {
        throw node.invalid("secrets: " + node.text("secrets") + " holds none");
      }
      if (found.put(
              node.text("name"),
              new Source(node.text("name"), form, secrets, node.count("a-second")))
          != null) {
        throw node.invalid("named twice");
      }
    }
    sources = found;
    XmlElement apiNode = root.child("api");
    api = address(apiNode);
    token = secret(apiNode, "token").strip();
    if (token.length() < 16) {
      throw apiNode.invalid("token: " + apiNode.text("token") + " holds fewer than 16 characters");
    }
    List<WebhookOutbox.Target> targets = new ArrayList<>();
    for (XmlElement node : root.children("tell")) {
      URI url;
      try {
        url = URI.create(node.text("url"));
      } catch (IllegalArgumentException e) {
        throw node.invalid("url is none: " + e.getMessage());
      }
      if (!"http".equals(url.getScheme()) && !"https".equals(url.getScheme())) {
        throw node.invalid("url begins with http:// or https://");
      }
      try {
        targets.add(
            new WebhookOutbox.Target(
                node.text("name"),
                url,
                Signatures.secrets(secret(node, "secret"), Signatures.Form.STANDARD).get(0),
                Duration.ofMillis((long) node.span("give-up").ms())));
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        throw node.invalid("secret: " + node.text("secret") + " holds no base64");
      }
    }
    tells = List.copyOf(targets);
    lease = root.span("lease");
    if (TimeSpan.ofMs(500).over(lease)) {
      throw root.invalid("lease is 500ms at least");
    }
    leases = LeaseConfig.of(root.child("leases"), CANDIDATE);
    XmlElement racks = root.child("racks");
    room = racks == null ? null : room(racks);
    freezes = racks == null ? null : freezes(racks);
    XmlElement agentsNode = root.child("agents");
    agents = agentsNode == null ? null : address(agentsNode);
    mostAgents = agentsNode == null ? 1 : agentsNode.count("most");
    piecesASecond = agentsNode == null ? 1 : agentsNode.count("pieces-a-second");
    mostBytes = agentsNode == null ? 0 : agentsNode.bytes("most-bytes");
    incoming = agentsNode == null ? null : Path.of(agentsNode.text("incoming"));
    plan = plan(agentsNode);
    List<RolloutRules.Stage> stages =
        root.children("stage").stream()
            .map(stage -> new RolloutRules.Stage(stage.number("share"), stage.number("cap")))
            .toList();
    XmlElement votes = root.child("votes");
    rules =
        new RolloutRules(
            stages,
            RolloutRules.Control.valueOf(votes.text("control").toUpperCase(Locale.ROOT)),
            votes.count("on"),
            votes.count("hold"),
            votes.count("back"),
            votes.span("life"),
            votes.span("least"),
            votes.span("step"),
            votes.span("start-within"),
            votes.span("going-back"),
            votes.span("watch"),
            votes.count("a-second"));
  }

  /** Without agents there is a plan too, which nobody goes by. */
  private static DeploymentPlan plan(XmlElement node) throws ConfigException {
    if (node == null) {
      return new DeploymentPlan(
          List.of(new DeploymentPlan.Stage(1, 0.1)),
          TimeSpan.ofMs(1),
          TimeSpan.ofMs(1),
          TimeSpan.ofMs(1),
          1,
          0,
          TimeSpan.ofMs(1));
    }
    List<DeploymentPlan.Stage> stages = new ArrayList<>();
    for (XmlElement stage : node.children("change-stage")) {
      stages.add(new DeploymentPlan.Stage(stage.number("share"), stage.number("harm")));
    }
    try {
      return new DeploymentPlan(
          stages,
          node.span("watch"),
          node.span("patience"),
          node.span("ready-within"),
          node.number("out"),
          node.number("refused"),
          node.span("silent"));
    } catch (IllegalArgumentException e) {
      throw node.invalid(e.getMessage());
    }
  }

  private static CapacityCheck room(XmlElement node) throws ConfigException {
    Map<String, Rack> racks = new TreeMap<>();
    Set<Integer> places = new java.util.HashSet<>();
    for (XmlElement one : node.children("rack")) {
      Map<Integer, Double> endpoints = new TreeMap<>();
      for (XmlElement some : one.children("units")) {
        if (endpoints.put(some.count("kind"), (double) some.count("count")) != null) {
          throw some.invalid("kind " + some.text("kind") + " is named twice");
        }
      }
      Rack rack =
          new Rack(
              one.text("name"),
              one.count("zone"),
              one.count("cell"),
              endpoints,
              (long) (one.has("notice") ? one : node).span("notice").ms());
      if (racks.put(rack.name(), rack) != null) {
        throw one.invalid("two racks have one name");
      }
      if (rack.noticeMs() <= 0) {
        throw one.invalid("notice is over 0");
      }
      if (rack.zone() > 32_767) {
        throw one.invalid("a zone is 0 to 32767");
      }
      if (!places.add(rack.zone() << 16 | rack.cell())) {
        throw one.invalid("two racks have one zone and cell");
      }
      if (racks.size() > MOST_RACKS) {
        throw one.invalid("more than " + MOST_RACKS + " racks");
      }
    }
    Map<Integer, CapacityCheck.Forecast> forecasts = new TreeMap<>();
    for (XmlElement one : node.children("forecast")) {
      String[] words = one.text("by-hour").trim().split("\\s+");
      if (words.length != 24) {
        throw one.invalid(
            "by-hour has a number for each of the 24 hours of the day in UTC, not " + words.length);
      }
      double[] byHour = new double[24];
      for (int i = 0; i < 24; i++) {
        byHour[i] = Double.parseDouble(words[i]);
      }
      if (forecasts.put(
              one.count("zone"),
              new CapacityCheck.Forecast(one.count("kind"), one.count("method"), byHour))
          != null) {
        throw one.invalid("a zone has two forecasts");
      }
    }
    return new CapacityCheck(racks.values(), forecasts, node.number("reserve"));
  }

  private static MaintenanceWindows.Rules freezes(XmlElement node) throws ConfigException {
    try {
      return new MaintenanceWindows.Rules(
          (long) node.span("warm").ms(), (long) node.span("step").ms(), node.number("confidence"));
    } catch (IllegalArgumentException e) {
      throw node.invalid(e.getMessage());
    }
  }

  private static InetSocketAddress address(XmlElement node) throws ConfigException {
    InetSocketAddress address = Address.of(node.text("host"), node.count("port"));
    if (address == null) {
      throw node.invalid(
          "host \"" + node.text("host") + "\" is no IPv4 or IPv6 address in numbers");
    }
    return address;
  }

  /** A secret that others may read is none. */
  private static String secret(XmlElement node, String key) throws ConfigException {
    Path file = Path.of(node.text(key));
    try {
      Set<PosixFilePermission> open = Files.getPosixFilePermissions(file);
      open.removeAll(
          Set.of(
              PosixFilePermission.OWNER_READ,
              PosixFilePermission.OWNER_WRITE,
              PosixFilePermission.OWNER_EXECUTE));
      if (!open.isEmpty()) {
        throw node.invalid(key + ": " + file + " is open to others than its owner; chmod 600 it");
      }
      return Files.readString(file);
    } catch (IOException e) {
      throw node.invalid(key + ": " + file + " can't be read: " + e.getClass().getSimpleName());
    }
  }
}
