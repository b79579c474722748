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
import sprucerock.config.Node;
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
  public record WebhookSource(
      String name, Signatures.SignatureScheme scheme, List<byte[]> secrets, int maxPerSecond) {}

  public final String name;
  public final Path storeFolder;
  public final int firstBuild;

  /** Units that the fleet has. */
  public final int endpointCount;

  public final InetSocketAddress relayAddress;
  public final int maxRelays;
  public final long maxUnsentBytes;
  public final TimeSpan newsInterval;
  public final InetSocketAddress webhookAddress;
  public final int maxWebhookBodyBytes;
  public final TimeSpan signatureTimeTolerance;
  public final int maxConcurrentWebhooks;
  public final TimeSpan webhookReadTimeout;
  public final Map<String, WebhookSource> webhookSources;
  public final InetSocketAddress apiAddress;
  public final String apiToken;
  public final List<WebhookOutbox.Target> outboxTargets;

  /** How long an active controller may be silent before another one takes its place. */
  public final TimeSpan leaseDuration;

  public final RolloutRules rolloutRules;

  /** Racks that can be frozen, and the room that has to be left; null: none. */
  public final CapacityCheck capacityCheck;

  public final MaintenanceWindows.Rules maintenanceRules;

  /** Granters of leases, by which the seat is had; null: the store's folder gives it. */
  public final LeaseConfig leaseConfig;

  /** Where agents come; null: what relays run is not this controller's to change. */
  public final InetSocketAddress agentAddress;

  public final int maxAgents;
  public final int maxPiecesPerSecond;

  /** Where files of new versions are put for it; null as above. */
  public final Path incomingFolder;

  /** Bytes of one file of a version. */
  public final long maxArtifactBytes;

  public final DeploymentPlan deploymentPlan;

  // What a relay is told once, 14 bytes each, fits the frames and the bytes unsent that links have
  // unless they are set lower; a
  // fleet of 120,000 units has some 3,000.
  private static final int MAX_RACKS = 10_000;
  private static final int LEASE_CANDIDATE =
      65_000; // among those who stand for leases; far over relays' numbers

  /** Reads and checks a file; the first thing that is wrong ends it. */
  public static ControllerConfig read(Path file) throws ConfigException {
    return new ControllerConfig(Node.read(file, "/sprucerock/controller.xsd"));
  }

  private ControllerConfig(Node root) throws ConfigException {
    name = root.text("name");
    storeFolder = Path.of(root.text("folder"));
    firstBuild = root.count("first-build");
    endpointCount = root.count("places");
    if (firstBuild > 65_535) {
      throw root.wrong("first-build is 65535 at most");
    }
    Node relayNode = root.child("relays");
    relayAddress = address(relayNode);
    maxRelays = relayNode.count("most");
    maxUnsentBytes = relayNode.bytes("unsent");
    newsInterval = relayNode.span("tell-every");
    Node hookNode = root.child("hooks");
    webhookAddress = address(hookNode);
    maxWebhookBodyBytes = (int) Math.min(hookNode.bytes("body"), 16 << 20);
    signatureTimeTolerance = hookNode.span("window");
    maxConcurrentWebhooks = hookNode.count("at-once");
    webhookReadTimeout = hookNode.span("read-within");
    Map<String, WebhookSource> found = new TreeMap<>();
    for (Node node : hookNode.all("source")) {
      Signatures.SignatureScheme form =
          Signatures.SignatureScheme.valueOf(node.text("form").toUpperCase(Locale.ROOT));
      List<byte[]> secrets;
      try {
        secrets = Signatures.parseSecrets(secret(node, "secrets"), form);
      } catch (IllegalArgumentException e) {
        throw node.wrong("secrets: a line of " + node.text("secrets") + " is no base64");
      }
      if (secrets.isEmpty()) {
        throw node.wrong("secrets: " + node.text("secrets") + " holds none");
      }
      if (found.put(
              node.text("name"),
              new WebhookSource(node.text("name"), form, secrets, node.count("a-second")))
          != null) {
        throw node.wrong("named twice");
      }
    }
    webhookSources = found;
    Node apiNode = root.child("api");
    apiAddress = address(apiNode);
    apiToken = secret(apiNode, "token").strip();
    if (apiToken.length() < 16) {
      throw apiNode.wrong("token: " + apiNode.text("token") + " holds fewer than 16 characters");
    }
    List<WebhookOutbox.Target> targets = new ArrayList<>();
    for (Node node : root.all("tell")) {
      URI url;
      try {
        url = URI.create(node.text("url"));
      } catch (IllegalArgumentException e) {
        throw node.wrong("url is none: " + e.getMessage());
      }
      if (!"http".equals(url.getScheme()) && !"https".equals(url.getScheme())) {
        throw node.wrong("url begins with http:// or https://");
      }
      try {
        targets.add(
            new WebhookOutbox.Target(
                node.text("name"),
                url,
                Signatures.parseSecrets(secret(node, "secret"), Signatures.SignatureScheme.STANDARD)
                    .get(0),
                Duration.ofMillis((long) node.span("give-up").ms())));
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        throw node.wrong("secret: " + node.text("secret") + " holds no base64");
      }
    }
    outboxTargets = List.copyOf(targets);
    leaseDuration = root.span("lease");
    if (TimeSpan.ofMs(500).over(leaseDuration)) {
      throw root.wrong("lease is 500ms at least");
    }
    leaseConfig = LeaseConfig.of(root.child("leases"), LEASE_CANDIDATE);
    Node racks = root.child("racks");
    capacityCheck = racks == null ? null : capacityCheck(racks);
    maintenanceRules = racks == null ? null : maintenanceRules(racks);
    Node agentsNode = root.child("agents");
    agentAddress = agentsNode == null ? null : address(agentsNode);
    maxAgents = agentsNode == null ? 1 : agentsNode.count("most");
    maxPiecesPerSecond = agentsNode == null ? 1 : agentsNode.count("pieces-a-second");
    maxArtifactBytes = agentsNode == null ? 0 : agentsNode.bytes("most-bytes");
    incomingFolder = agentsNode == null ? null : Path.of(agentsNode.text("incoming"));
    deploymentPlan = deploymentPlan(agentsNode);
    List<RolloutRules.Stage> stages =
        root.all("stage").stream()
            .map(stage -> new RolloutRules.Stage(stage.number("share"), stage.number("cap")))
            .toList();
    Node votes = root.child("votes");
    rolloutRules =
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
  private static DeploymentPlan deploymentPlan(Node node) throws ConfigException {
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
    for (Node stage : node.all("change-stage")) {
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
      throw node.wrong(e.getMessage());
    }
  }

  private static CapacityCheck capacityCheck(Node node) throws ConfigException {
    Map<String, Rack> racks = new TreeMap<>();
    Set<Integer> places = new java.util.HashSet<>();
    for (Node one : node.all("rack")) {
      Map<Integer, Double> endpoints = new TreeMap<>();
      for (Node some : one.all("units")) {
        if (endpoints.put(some.count("kind"), (double) some.count("count")) != null) {
          throw some.wrong("kind " + some.text("kind") + " is named twice");
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
        throw one.wrong("two racks have one name");
      }
      if (rack.noticeMs() <= 0) {
        throw one.wrong("notice is over 0");
      }
      if (rack.zone() > 32_767) {
        throw one.wrong("a zone is 0 to 32767");
      }
      if (!places.add(rack.zone() << 16 | rack.cell())) {
        throw one.wrong("two racks have one zone and cell");
      }
      if (racks.size() > MAX_RACKS) {
        throw one.wrong("more than " + MAX_RACKS + " racks");
      }
    }
    Map<Integer, CapacityCheck.Forecast> forecasts = new TreeMap<>();
    for (Node one : node.all("forecast")) {
      String[] words = one.text("by-hour").trim().split("\\s+");
      if (words.length != 24) {
        throw one.wrong(
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
        throw one.wrong("a zone has two forecasts");
      }
    }
    return new CapacityCheck(racks.values(), forecasts, node.number("reserve"));
  }

  private static MaintenanceWindows.Rules maintenanceRules(Node node) throws ConfigException {
    try {
      return new MaintenanceWindows.Rules(
          (long) node.span("warm").ms(), (long) node.span("step").ms(), node.number("confidence"));
    } catch (IllegalArgumentException e) {
      throw node.wrong(e.getMessage());
    }
  }

  private static InetSocketAddress address(Node node) throws ConfigException {
    InetSocketAddress address = Address.of(node.text("host"), node.count("port"));
    if (address == null) {
      throw node.wrong("host \"" + node.text("host") + "\" is no IPv4 or IPv6 address in numbers");
    }
    return address;
  }

  /** A secret that others may read is none. */
  private static String secret(Node node, String key) throws ConfigException {
    Path file = Path.of(node.text(key));
    try {
      Set<PosixFilePermission> open = Files.getPosixFilePermissions(file);
      open.removeAll(
          Set.of(
              PosixFilePermission.OWNER_READ,
              PosixFilePermission.OWNER_WRITE,
              PosixFilePermission.OWNER_EXECUTE));
      if (!open.isEmpty()) {
        throw node.wrong(key + ": " + file + " is open to others than its owner; chmod 600 it");
      }
      return Files.readString(file);
    } catch (IOException e) {
      throw node.wrong(key + ": " + file + " can't be read: " + e.getClass().getSimpleName());
    }
  }
}
