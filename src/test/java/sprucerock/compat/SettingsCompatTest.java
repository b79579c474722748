package sprucerock.compat;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.w3c.dom.Element;
import sprucerock.agent.AgentConfig;
import sprucerock.config.ConfigException;
import sprucerock.config.LiveSettings;
import sprucerock.config.RelayConfig;

/**
 * Configurations of relays and agents, and all schemas: the values that are read, the errors, and
 * the names in the XML.
 */
public class SettingsCompatTest {
  private static final String SETTINGS = "settings/";
  private static final String PARTS = " => ";

  @DataProvider
  public Object[][] schemas() {
    return new Object[][] {{"relay"}, {"controller"}, {"agent"}, {"lease"}};
  }

  @Test(dataProvider = "schemas")
  public void schemaDeclaresWhatIsRecorded(String name) throws Exception {
    Corpus.holdsSorted(
        SETTINGS + name + "-schema.txt", Schemas.declarations(Schemas.schema(name + ".xsd")));
  }

  @DataProvider
  public Object[][] complete() {
    return new Object[][] {
      {"relay", Set.of("relay-every.xml"), true},
      {"controller", Set.of("controller-every.xml"), true},
      {"agent", Set.of("agent-every.xml"), false}
    };
  }

  /** So that no element and no attribute of a schema is left out of the recorded values. */
  @Test(dataProvider = "complete")
  public void documentsUseAllOfTheirSchema(String schema, Set<String> documents, boolean leases)
      throws Exception {
    Set<String> missing = new TreeSet<>(Schemas.allowed(Schemas.schema(schema + ".xsd")));
    if (leases) {
      missing.addAll(Schemas.allowed(leasesWithin(schema)));
    }
    for (String document : documents) {
      missing.removeAll(Schemas.used(Schemas.parse(Corpus.input(SETTINGS + document))));
    }
    assertEquals(missing, Set.of());
  }

  /** The included schema has types that only stand for something where an element has them. */
  private static Element leasesWithin(String schema) throws Exception {
    Element whole = Schemas.schema(schema + ".xsd");
    Element included = Schemas.schema("lease.xsd");
    while (included.getFirstChild() != null) {
      whole.appendChild(whole.getOwnerDocument().adoptNode(included.getFirstChild()));
    }
    return whole;
  }

  @DataProvider
  public Object[][] relays() {
    return new Object[][] {{"relay-every"}, {"relay-least"}, {"relay-plain-clients"}};
  }

  @Test(dataProvider = "relays")
  public void readsRelaySettingsAsRecorded(String name) throws Exception {
    Path file = Files.createTempFile("relay", ".xml");
    Files.writeString(file, Corpus.input(SETTINGS + name + ".xml"));
    Corpus.holds(SETTINGS + name + ".txt", relay(RelayConfig.read(file)));
    Files.delete(file);
  }

  @Test
  public void readsRelayExampleAsRecorded() throws Exception {
    Corpus.holds(
        SETTINGS + "relay-example.txt", relay(RelayConfig.read(Path.of("deploy", "relay.xml"))));
  }

  private static String relay(RelayConfig config) {
    Rendering text = new Rendering();
    text.put("name", config.name)
        .put("seed", config.seed)
        .put("listen", config.listen)
        .put("roster", config.discovery)
        .put("desk", config.controller);
    config.peers.forEach((number, address) -> text.put("peer." + number, address));
    config.peerNames.forEach((number, name) -> text.put("peer." + number + ".name", name));
    limits(text, config);
    text.put("figures.file", config.metricsFile)
        .put("figures.at", config.scrapeAddress)
        .put("figures.strict", config.rejectsOnMetricsDrift);
    text.put("racks.ask-every", config.rackPermitInterval)
        .put("racks.drift", config.rackClockDrift)
        .put("longest-deadline", config.longestDeadline);
    tls(text, config);
    return text.putLeases("leases", config.leases)
        .put("methods", config.methodNames)
        .putSettings("site.", config.settings)
        .toString();
  }

  private static void limits(Rendering text, RelayConfig config) {
    text.put("limits.open", config.maxOpenRequests)
        .put("limits.open-per-client", config.maxOpenRequestsPerClient)
        .put("limits.clients", config.maxClientConnections);
    text.put("limits.units", config.maxEndpoints)
        .put("limits.frame", config.connectionLimits.maxFrameBytes())
        .put("limits.unsent", config.connectionLimits.maxUnsentBytes());
    text.put("limits.beat", config.connectionLimits.heartbeat())
        .put("limits.peer-unsent", config.maxPeerUnsentBytes)
        .put("limits.finish-within", config.shutdownTimeout);
    text.put("limits.wait-for-list", config.discoveryTimeout)
        .put("connections.connect-within", config.connectTimeout);
    text.put("connections.per-unit", config.connectionsPerEndpoint)
        .put("connections.picks-each", config.attemptsPerConnection);
    text.put("connections.waiting-per-unit", config.waitingPerEndpoint)
        .put("connections.idle", config.idleTimeout);
    text.put("connections.pause-first", config.firstBackoff)
        .put("connections.pause-most", config.maxBackoff);
  }

  private static void tls(Rendering text, RelayConfig config) {
    text.put("tls.units", config.tlsToEndpoints)
        .put("tls.peers", config.tlsPeers)
        .put("tls.clients", config.tlsClients);
    text.put("tls.proven-clients", config.clientsAuthenticated)
        .put("tls.workers", config.tlsWorkers)
        .put("tls.work-waiting", config.tlsQueueCapacity);
    if (config.tlsSetup == null) {
      return;
    }
    var files = config.tlsSetup.files();
    text.put("tls.trust", files.trust())
        .put("tls.key", files.key())
        .put("tls.chain", files.chain())
        .put("tls.password", files.password())
        .put("tls.crl", files.crl());
    var policy = config.tlsSetup.policy();
    text.put("tls.versions", policy.versions())
        .put("tls.skew", policy.skew().toMillis())
        .put("tls.longest-chain", policy.longestChain());
    text.put("tls.sessions", policy.sessions())
        .put("tls.session-life", policy.sessionLife().toMillis());
    text.put("tls.handshake-within", config.tlsSetup.within())
        .put("tls.look-every", config.tlsSetup.lookEvery())
        .put("tls.move-within", config.tlsSetup.moveWithin());
    var most = config.tlsSetup.most();
    text.put("tls.handshakes-a-second", most.aSecond())
        .put("tls.handshakes-at-once", most.atOnce());
    text.put("tls.handshakes-a-second-each", most.aSecondEach())
        .put("tls.handshakes-waiting", most.waiting());
  }

  @DataProvider
  public Object[][] agents() {
    return new Object[][] {{"agent-every"}, {"agent-least"}};
  }

  @Test(dataProvider = "agents")
  public void readsAgentSettingsAsRecorded(String name) throws Exception {
    Path file = Files.createTempFile("agent", ".xml");
    Files.writeString(file, Corpus.input(SETTINGS + name + ".xml"));
    Corpus.holds(SETTINGS + name + ".txt", agent(AgentConfig.read(file)));
    Files.delete(file);
  }

  private static String agent(AgentConfig config) {
    Rendering text = new Rendering();
    text.put("name", config.name)
        .put("number", config.number)
        .put("zone", config.zone)
        .put("folder", config.folder);
    for (int i = 0; i < config.controllers.size(); i++) {
      text.put("controller." + i, config.controllers.get(i));
    }
    text.put("relay.program", config.initialProgram)
        .put("relay.settings", config.initialSettings)
        .put("relay.java", config.javaCommand)
        .put("relay.options", config.jvmOptions);
    text.put("relay.arguments", config.relayArguments)
        .put("relay.cores", config.cores)
        .put("relay.memory-mb", config.maxMemoryMb);
    text.put("relay.descriptors", config.maxDescriptors);
    for (Map.Entry<String, String> value : config.templateValues.entrySet()) {
      text.put("value." + value.getKey(), value.getValue());
    }
    text.put("ready-within", config.timeouts.start())
        .put("end-within", config.timeouts.stop())
        .put("proven", config.timeouts.provenAfter());
    return text.put("say-every", config.reportInterval)
        .put("most-bytes", config.maxArtifactBytes)
        .put("versions", config.versionsKept)
        .toString();
  }

  /** Each line of the input is a part of the complete document and what stands there instead. */
  @Test
  public void invalidRelaySettingsHaveRecordedErrors() throws Exception {
    Corpus.holds(SETTINGS + "relay-wrong-errors.txt", errors("relay", RelayConfig::read));
  }

  @Test
  public void invalidAgentSettingsHaveRecordedErrors() throws Exception {
    Corpus.holds(SETTINGS + "agent-wrong-errors.txt", errors("agent", AgentConfig::read));
  }

  /** Reads a configuration. */
  private interface Reading {
    Object read(Path file) throws ConfigException;
  }

  private static String errors(String kind, Reading reading) throws Exception {
    StringBuilder text = new StringBuilder();
    String good = Corpus.input(SETTINGS + kind + "-every.xml");
    Path file = Files.createTempFile("wrong", ".xml");
    for (String line : Corpus.inputLines(SETTINGS + kind + "-wrong.txt")) {
      String[] parts = line.split(PARTS, 2);
      Files.writeString(file, Corpus.replaced(good, parts[0], parts[1]));
      String message = expectThrows(ConfigException.class, () -> reading.read(file)).getMessage();
      text.append(message.replace(file.toString(), "FILE")).append('\n');
    }
    Files.delete(file);
    return text.toString();
  }

  @Test
  public void livePathsAreAsRecorded() throws Exception {
    Corpus.holdsSorted(SETTINGS + "relay-live.txt", LiveSettings.paths());
  }

  @Test
  public void pathsThatNeedRestartAreAsRecorded() throws Exception {
    String least = Corpus.input(SETTINGS + "relay-least.xml");
    String plain = Corpus.input(SETTINGS + "relay-plain-clients.xml");
    Corpus.holds(
        SETTINGS + "relay-restart.txt",
        String.join("\n", LiveSettings.pathsThatNeedRestart(least, plain)) + "\n");
  }
}
