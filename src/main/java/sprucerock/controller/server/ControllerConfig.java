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
 * The validated configuration of a controller. controller.xsd states the units and the defaults of
 * the values. Immutable.
 */
public final class ControllerConfig {
  /**
   * A build pipeline that may announce builds.
   *
   * @param scheme the scheme of its signatures
   * @param secrets all valid secrets; several while a secret is rotated
   * @param maxPerSecond maximum number of deliveries per second; also the maximum size of a burst
   */
  public record WebhookSource(
      String name, Signatures.SignatureScheme scheme, List<byte[]> secrets, int maxPerSecond) {}

  /** The controller's name, in logs and in greetings to relays and agents. */
  public final String name;

  /** The folder of the engine's log and snapshots. */
  public final Path storeFolder;

  /** The build that a new fleet runs, 1 to 65535. */
  public final int firstBuild;

  /** Number of endpoints in the fleet. */
  public final int endpointCount;

  /** The address where relays connect. */
  public final InetSocketAddress relayAddress;

  /** Maximum number of connected relays. */
  public final int maxRelays;

  /** Maximum number of unsent bytes per relay. */
  public final long maxUnsentBytes;

  /** How often all relays get the rollout's status even if nothing has changed. */
  public final TimeSpan statusInterval;

  /** The address that receives webhooks. */
  public final InetSocketAddress webhookAddress;

  /** Maximum size of a webhook's body in bytes, 16 MiB at most. */
  public final int maxWebhookBodyBytes;

  /** The allowed difference between a sender's clock and this controller's clock. */
  public final TimeSpan signatureTimeTolerance;

  /** Maximum number of concurrent webhooks, and of further webhooks that wait in a queue. */
  public final int maxConcurrentWebhooks;

  /** How long a sender may take between two reads. */
  public final TimeSpan webhookReadTimeout;

  /** Build pipelines by their names. */
  public final Map<String, WebhookSource> webhookSources;

  /** The address of the operators' API. */
  public final InetSocketAddress apiAddress;

  /** The bearer token that operators need, 16 characters at least. */
  public final String apiToken;

  /** The targets that are notified of each step of a rollout. */
  public final List<WebhookOutbox.Target> outboxTargets;

  /** How long leadership lasts without renewal before another controller may acquire it. */
  public final TimeSpan leaseDuration;

  /** The rules by which a build is rolled out. */
  public final RolloutRules rolloutRules;

  /**
   * The racks that can be under maintenance, and the capacity that must remain; null if no racks
   * are configured.
   */
  public final CapacityCheck capacityCheck;

  /** The rules by which maintenance windows are accepted; null if no racks are configured. */
  public final MaintenanceWindows.Rules maintenanceRules;

  /** The grantors of the leadership lease; null if a lease file in the store's folder is used. */
  public final LeaseConfig leaseConfig;

  /** The address where agents connect; null if this controller runs no deployments. */
  public final InetSocketAddress agentAddress;

  /** Maximum number of connected agents. */
  public final int maxAgents;

  /** Maximum number of artifact pieces per second, for all agents together. */
  public final int maxPiecesPerSecond;

  /** The folder where operators put files of new versions; null if there are no agents. */
  public final Path incomingFolder;

  /** Maximum size of an artifact in bytes. */
  public final long maxArtifactBytes;

  /** The stages and limits of deployments. */
  public final DeploymentPlan deploymentPlan;

  /** The controller's number among the candidates for leases, far above the numbers of relays. */
  private static final int LEASE_CANDIDATE = 65_000;

  private static final int MAX_BUILD = 65_535;
  private static final int MAX_WEBHOOK_BODY_BYTES = 16 << 20;
  private static final int MIN_TOKEN_LENGTH = 16;
  private static final TimeSpan MIN_LEASE_DURATION = TimeSpan.ofMs(500);

  /**
   * Reads and validates a configuration file.
   *
   * @throws ConfigException with the first error, its element and its position in the file
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
      throw root.invalid("first-build must be at most 65535");
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
    if (MIN_LEASE_DURATION.over(leaseDuration)) {
      throw root.invalid("lease must be at least 500ms");
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
        throw node.invalid("secrets: a line of " + node.text("secrets") + " is not valid base64");
      }
      if (secrets.isEmpty()) {
        throw node.invalid("secrets: " + node.text("secrets") + " contains no secret");
      }
      if (sources.put(
              node.text("name"),
              new WebhookSource(node.text("name"), scheme, secrets, node.count("a-second")))
          != null) {
        throw node.invalid("two sources have the same name");
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
        throw node.invalid("url is not a valid URL: " + e.getMessage());
      }
      if (!"http".equals(url.getScheme()) && !"https".equals(url.getScheme())) {
        throw node.invalid("url must begin with http:// or https://");
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
        throw node.invalid("secret: " + node.text("secret") + " contains no valid base64 secret");
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

  /**
   * Reads the plan of deployments. If no agents are configured, returns a placeholder, because the
   * engine requires a plan.
   */
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
          "host \"" + node.text("host") + "\" is not a numeric IPv4 or IPv6 address");
    }
    return address;
  }
}
