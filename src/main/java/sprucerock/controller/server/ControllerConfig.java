package sprucerock.controller.server;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.config.Address;
import sprucerock.config.ConfigException;
import sprucerock.config.LeaseConfig;
import sprucerock.config.XmlElement;
import sprucerock.controller.RolloutRules;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.maintenance.CapacityCheck;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.time.TimeSpan;

/**
 * The configuration of a controller, validated. controller.xsd states the units of what is written
 * there, and the values used where one is left out. Immutable.
 */
public final class ControllerConfig {
  /**
   * A build pipeline that may announce builds.
   *
   * @param scheme how it signs
   * @param secrets any of which counts, so that they can be rotated
   * @param maxPerSecond deliveries that are taken, with bursts of as many
   */
  public record WebhookSource(
      String name, Signatures.SignatureScheme scheme, List<byte[]> secrets, int maxPerSecond) {}

  /** The controller's name, in logs and in greetings to relays and agents. */
  public final String name;

  /** Where the engine's log and snapshots are kept. */
  public final Path storeFolder;

  /** The build that a new fleet runs, 1 to 65535. */
  public final int firstBuild;

  /** Endpoints that the fleet has. */
  public final int endpointCount;

  /** Where relays connect. */
  public final InetSocketAddress relayAddress;

  /** Connections of relays at a time. */
  public final int maxRelays;

  /** Bytes that may wait for one relay to read them. */
  public final long maxUnsentBytes;

  /** How often all relays get the rollout's status though nothing has changed. */
  public final TimeSpan statusInterval;

  /** Where webhooks are taken. */
  public final InetSocketAddress webhookAddress;

  /** Bytes of a webhook's body, 16 MiB at most. */
  public final int maxWebhookBodyBytes;

  /** By how much a sender's clock may differ from this one's. */
  public final TimeSpan signatureTimeTolerance;

  /** Webhooks that are read at a time; others wait in as long a queue. */
  public final int maxConcurrentWebhooks;

  /** How long a sender may take between two reads. */
  public final TimeSpan webhookReadTimeout;

  /** Pipelines by their names. */
  public final Map<String, WebhookSource> webhookSources;

  /** Where operators are answered. */
  public final InetSocketAddress apiAddress;

  /** The bearer token that operators need, 16 characters at least. */
  public final String apiToken;

  /** Who is notified of each step of a rollout. */
  public final List<WebhookOutbox.Target> outboxTargets;

  /** How long a leader may go without renewing before another controller takes its place. */
  public final TimeSpan leaseDuration;

  /** By which rules a build is rolled out. */
  public final RolloutRules rolloutRules;

  /** Racks that can be put under maintenance, and the capacity that has to be left; null: none. */
  public final CapacityCheck capacityCheck;

  /** By which rules maintenance windows are accepted; null: there are no racks. */
  public final MaintenanceWindows.Rules maintenanceRules;

  /** Grantors of leases, by which leadership is had; null: the store's folder gives it. */
  public final LeaseConfig leaseConfig;

  /** Where agents connect; null: this controller doesn't change what relays run. */
  public final InetSocketAddress agentAddress;

  /** Connections of agents at a time. */
  public final int maxAgents;

  /** Pieces of artifacts that are sent to all agents together, each second. */
  public final int maxPiecesPerSecond;

  /** Where operators put files of new versions; null as above. */
  public final Path incomingFolder;

  /** Bytes of one artifact. */
  public final long maxArtifactBytes;

  /** By which stages and limits deployments are rolled out. */
  public final DeploymentPlan deploymentPlan;

  /** The controller's number among the candidates for leases; far above those of relays. */
  private static final int LEASE_CANDIDATE = 65_000;

  private static final int MAX_BUILD = 65_535;
  private static final int MAX_WEBHOOK_BODY_BYTES = 16 << 20;
  private static final int MIN_TOKEN_LENGTH = 16;
  private static final TimeSpan MIN_LEASE = TimeSpan.ofMs(500);

  /**
   * Reads and validates a file.
   *
   * @throws ConfigException with the first error, its element and its place in the file
   */
  public static ControllerConfig read(Path file) throws ConfigException {
    return new ControllerConfig(XmlElement.read(file, "/sprucerock/controller.xsd"));
  }

  private ControllerConfig(XmlElement root) throws ConfigException {
    name = root.text("name");
    storeFolder = Path.of(root.text("folder"));
    firstBuild = root.count("first-build");
    endpointCount = root.count("places");
    if (firstBuild > MAX_BUILD) {
      throw root.invalid("first-build is 65535 at most");
    }
    XmlElement relayNode = root.child("relays");
    relayAddress = address(relayNode);
    maxRelays = relayNode.count("most");
    maxUnsentBytes = relayNode.bytes("unsent");
    statusInterval = relayNode.span("tell-every");
    XmlElement hookNode = root.child("hooks");
    webhookAddress = address(hookNode);
    maxWebhookBodyBytes = (int) Math.min(hookNode.bytes("body"), MAX_WEBHOOK_BODY_BYTES);
    signatureTimeTolerance = hookNode.span("window");
    maxConcurrentWebhooks = hookNode.count("at-once");
    webhookReadTimeout = hookNode.span("read-within");
    webhookSources = webhookSources(hookNode);
    XmlElement apiNode = root.child("api");
    apiAddress = address(apiNode);
    apiToken = SecretFile.read(apiNode, "token").strip();
    if (apiToken.length() < MIN_TOKEN_LENGTH) {
      throw apiNode.invalid("token: " + apiNode.text("token") + " holds fewer than 16 characters");
    }
    outboxTargets = outboxTargets(root);
    leaseDuration = root.span("lease");
    if (MIN_LEASE.over(leaseDuration)) {
      throw root.invalid("lease is 500ms at least");
    }
    leaseConfig = LeaseConfig.of(root.child("leases"), LEASE_CANDIDATE);
    XmlElement racks = root.child("racks");
    capacityCheck = racks == null ? null : RackConfig.capacityCheck(racks);
    maintenanceRules = racks == null ? null : RackConfig.maintenanceRules(racks);
    XmlElement agentsNode = root.child("agents");
    agentAddress = agentsNode == null ? null : address(agentsNode);
    maxAgents = agentsNode == null ? 1 : agentsNode.count("most");
    maxPiecesPerSecond = agentsNode == null ? 1 : agentsNode.count("pieces-a-second");
    maxArtifactBytes = agentsNode == null ? 0 : agentsNode.bytes("most-bytes");
    incomingFolder = agentsNode == null ? null : Path.of(agentsNode.text("incoming"));
    deploymentPlan = deploymentPlan(agentsNode);
    rolloutRules = rolloutRules(root);
  }

  private static Map<String, WebhookSource> webhookSources(XmlElement hookNode)
      throws ConfigException {
    Map<String, WebhookSource> sources = new TreeMap<>();
    for (XmlElement node : hookNode.children("source")) {
      Signatures.SignatureScheme scheme =
          Signatures.SignatureScheme.valueOf(node.text("form").toUpperCase(Locale.ROOT));
      List<byte[]> secrets;
      try {
        secrets = Signatures.parseSecrets(SecretFile.read(node, "secrets"), scheme);
      } catch (IllegalArgumentException e) {
        throw node.invalid("secrets: a line of " + node.text("secrets") + " is no base64");
      }
      if (secrets.isEmpty()) {
        throw node.invalid("secrets: " + node.text("secrets") + " holds none");
      }
      if (sources.put(
              node.text("name"),
              new WebhookSource(node.text("name"), scheme, secrets, node.count("a-second")))
          != null) {
        throw node.invalid("named twice");
      }
    }
    return sources;
  }

  private static List<WebhookOutbox.Target> outboxTargets(XmlElement root) throws ConfigException {
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
                Signatures.parseSecrets(
                        SecretFile.read(node, "secret"), Signatures.SignatureScheme.STANDARD)
                    .get(0),
                Duration.ofMillis((long) node.span("give-up").ms())));
      } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
        throw node.invalid("secret: " + node.text("secret") + " holds no base64");
      }
    }
    return List.copyOf(targets);
  }

  private static RolloutRules rolloutRules(XmlElement root) throws ConfigException {
    List<RolloutRules.Stage> stages =
        root.children("stage").stream()
            .map(stage -> new RolloutRules.Stage(stage.number("share"), stage.number("cap")))
            .toList();
    XmlElement votes = root.child("votes");
    return new RolloutRules(
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

  /** Without agents the engine needs a plan too, which is never used. */
  private static DeploymentPlan deploymentPlan(XmlElement node) throws ConfigException {
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

  private static InetSocketAddress address(XmlElement node) throws ConfigException {
    InetSocketAddress address = Address.of(node.text("host"), node.count("port"));
    if (address == null) {
      throw node.invalid(
          "host \"" + node.text("host") + "\" is no IPv4 or IPv6 address in numbers");
    }
    return address;
  }
}
