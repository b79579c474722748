package sprucerock.relay.frames;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.config.ConfigException;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.model.Rpc;
import sprucerock.policy.RelayActions;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.tls.Buffers;
import sprucerock.transport.tls.Chain;
import sprucerock.transport.tls.Counter;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.TestCa;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.Result;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Told;
import sprucerock.transport.wire.v1.Work;

/** A relay whose connections use TLS, between scripted peers with certificates of their own. */
public class TlsConnectionsTest {
  private static final TestCa CA = TestCa.root("root");

  /** Sends each request to the one endpoint, and records the outcomes of attempts. */
  private static final class SingleEndpointPolicy
      extends sprucerock.relay.frames.RecordingRelayEvents {
    private RelayActions host;
    private Endpoint endpoint;
    private final List<AttemptOutcome> ends = new ArrayList<>();

    @Override
    public void endpointReady(Endpoint ready) {
      endpoint = ready;
    }

    @Override
    public void rpcArrived(Rpc rpc) {
      host.send(new Attempt(rpc, endpoint, host.now(), null));
    }

    @Override
    public void attemptEnded(Attempt attempt, boolean answers) {
      ends.add(attempt.outcome());
      if (!attempt.rpc.ended()) {
        host.reject(attempt.rpc, TimeSpan.ZERO);
      }
    }
  }

  private SimulatedNet net;
  private Aside aside;
  private FrameRelay relay;
  private SingleEndpointPolicy policy;
  private Path folder;
  private List<RecordingPeer> discoveries;
  private List<RecordingPeer> endpoints;
  private Credentials shown;
  private RecordingPeer client;
  private long lastCall;

  private static Credentials credentials(TestCa ca, TestCa.Wish wish, TestCa... trusted)
      throws Exception {
    TestCa.Identity made = ca.make(wish);
    Set<java.security.cert.X509Certificate> anchors =
        new java.util.HashSet<>(Set.of(CA.certificate()));
    for (TestCa one : trusted) {
      anchors.add(one.certificate());
    }
    return new Credentials(
        Material.of(anchors, List.of(), made.key(), made.chain(), "x"),
        Credentials.Policy.USUAL,
        Instant::now);
  }

  private TlsConnection.Place place() {
    return new TlsConnection.Place(net, new Buffers(), aside, TimeSpan.ofMs(500), Counter.NONE);
  }

  @BeforeMethod
  public void begin() throws Exception {
    net = new SimulatedNet(1000, 5);
    aside =
        (work, done) -> {
          work.run();
          net.at(net.now(), done);
          return true;
        };
    folder = Files.createTempDirectory("secured");
    Files.writeString(folder.resolve("trust.pem"), TestCa.pem(CA.certificate()));
    TestCa.write(folder.resolve("key.pem"), CA.make(TestCa.leaf("relay-0.example")));
    discoveries = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    RecordingPeer.listen(net, Role.DESK, 0, 1002);
    shown = credentials(CA, TestCa.leaf("unit-7.example"));
    endpoints = new ArrayList<>();
    net.listen(
        new InetSocketAddress("127.0.0.1", 2007),
        100,
        1 << 20,
        () -> {
          RecordingPeer person = new RecordingPeer(net, Role.UNIT, 7);
          endpoints.add(person);
          return TlsConnection.server(place(), shown, true, person.connection);
        });
    policy = new SingleEndpointPolicy();
    lastCall = 0;
  }

  private void startRelay(String clients, String attributes) throws Exception {
    String xml =
        FrameRelayTest.CONFIG
            .replace("number=\"1\"/>", "number=\"1\" name=\"relay-1.example\"/>")
            .replace(
                "  <site ",
                "  <tls trust=\""
                    + folder.resolve("trust.pem")
                    + "\" key=\""
                    + folder.resolve("key.pem")
                    + "\" clients=\""
                    + clients
                    + "\" peers=\""
                    + clients.equals("proven")
                    + "\" look-every=\"100ms\" move-within=\"1s\" "
                    + attributes
                    + "/>\n  <site ");
    relay = new FrameRelay(FrameRelayTest.config(xml), net, FrameTap.NONE);
    relay.start(
        (host, settings, seed) -> {
          policy.host = host;
          return policy;
        },
        aside);
    net.pass(20);
    sendListing("unit-7.example", 1);
    client =
        clients.equals("plain")
            ? RecordingPeer.connect(net, Role.CLIENT, 3, 1000)
            : caller(Role.CLIENT, 3, credentials(CA, TestCa.leaf("app")));
    net.pass(20);
  }

  private void sendListing(String name, long run) {
    Entry entry =
        Entry.newBuilder()
            .setUnit(7)
            .setRun(run)
            .setHost("127.0.0.1")
            .setPort(2007)
            .setBuild(1)
            .setHealth(Health.READY)
            .setWeight(1)
            .setName(name)
            .build();
    net.turn(
        () ->
            discoveries
                .get(discoveries.size() - 1)
                .send(
                    FrameKind.LISTING,
                    Listing.newBuilder().setForm(Form.WHOLE).addEntries(entry).build()));
    net.settle();
  }

  private RecordingPeer caller(Role role, int number, Credentials with) {
    RecordingPeer person = new RecordingPeer(net, role, number);
    net.connect(
        new InetSocketAddress("127.0.0.1", 1000),
        TimeSpan.ofMs(500),
        1 << 20,
        TlsConnection.client(place(), with, "relay-0.example", 1000, person.connection));
    return person;
  }

  private void sendRequest() {
    long id = ++lastCall;
    net.turn(
        () ->
            client.send(
                FrameKind.CALL,
                Call.newBuilder().setId(id).setLeftUs(5_000_000).build(),
                (byte) 7));
    net.pass(150);
  }

  private int workFrames() {
    return endpoints.stream().mapToInt(one -> one.heads(FrameKind.WORK).size()).sum();
  }

  private void endpointAnswers(RecordingPeer endpoint, long id) {
    net.turn(
        () ->
            endpoint.send(
                FrameKind.DONE,
                Done.newBuilder().setId(id).setResult(Result.DONE).build(),
                (byte) 9));
    net.pass(10);
  }

  private long handshakeCount(String how) {
    MethodAccounts accounts = relay.requestTracker().accounts();
    return accounts.value(accounts.handshakes, 0, accounts.handshakes.columns().indexOf(how));
  }

  @Test
  public void provenEndpointIsSentRequestsAndAnswersThem() throws Exception {
    startRelay("plain", "");
    sendRequest();
    assertEquals(workFrames(), 1);
    endpointAnswers(
        endpoints.get(0), ((Work) endpoints.get(0).heads(FrameKind.WORK).get(0)).getId());
    assertEquals(policy.ends, List.of(AttemptOutcome.OK));
    assertEquals(client.heads(FrameKind.ANSWER).size(), 1);
    assertEquals(handshakeCount("full"), 1);
    assertEquals(relay.requestTracker().accounts().check(), List.of());
  }

  @Test
  public void misnamedEndpointIsSentNothingAndTheAttemptIsNotConnected() throws Exception {
    shown = credentials(CA, TestCa.leaf("unit-8.example"));
    startRelay("plain", "");
    sendRequest();
    assertEquals(workFrames(), 0);
    assertEquals(policy.ends, List.of(AttemptOutcome.NOT_CONNECTED));
    assertEquals(handshakeCount("wrong_name"), 1);
    shown = credentials(CA, TestCa.leaf("unit-7.example"));
    net.pass(2000);
    sendRequest();
    assertEquals(workFrames(), 1);
  }

  @Test
  public void endpointRelistedByAnotherNameIsConnectedToByThatName() throws Exception {
    startRelay("plain", "");
    sendRequest();
    sendListing("unit-7b.example", 2);
    // the machine that listens there is still the old one
    sendRequest();
    assertEquals(workFrames(), 1);
    assertEquals(policy.ends.get(policy.ends.size() - 1), AttemptOutcome.NOT_CONNECTED);
    shown = credentials(CA, TestCa.leaf("unit-7b.example"));
    net.pass(2000);
    sendRequest();
    assertEquals(workFrames(), 2);
  }

  @Test
  public void endpointWithoutANameIsNotListed() throws Exception {
    startRelay("plain", "");
    Entry entry =
        Entry.newBuilder()
            .setUnit(8)
            .setRun(1)
            .setHost("127.0.0.1")
            .setPort(2008)
            .setBuild(1)
            .setHealth(Health.READY)
            .setWeight(1)
            .build();
    net.turn(
        () ->
            discoveries
                .get(0)
                .send(
                    FrameKind.LISTING,
                    Listing.newBuilder().setForm(Form.CHANGES).addEntries(entry).build()));
    net.settle();
    assertEquals(relay.requestTracker().endpoints().size(), 1);
  }

  @Test
  public void unfinishedHandshakeHoldsNoAttemptBeyondTheConnectTimeout() throws Exception {
    net.listen(
        new InetSocketAddress("127.0.0.1", 2007),
        100,
        1 << 20,
        () ->
            new ConnectionListener() {
              @Override
              public void connected(sprucerock.transport.net.Connection connection) {}

              @Override
              public void received(java.nio.ByteBuffer bytes) {}

              @Override
              public void closed(String why) {}
            });
    startRelay("plain", "handshake-within=\"3s\"");
    sendRequest();
    assertEquals(policy.ends, List.of());
    net.pass(100);
    // connect-within
    assertEquals(policy.ends, List.of(AttemptOutcome.NOT_CONNECTED));
    net.pass(3000);
    assertEquals(handshakeCount("timed_out"), 1);
  }

  @Test
  public void newCredentialsReplaceConnectionsOneByOneWithoutABrokenAttempt() throws Exception {
    startRelay("plain", "");
    sendRequest();
    RecordingPeer old = endpoints.get(0);
    TestCa.write(folder.resolve("key.pem"), CA.make(TestCa.leaf("relay-0.example")));
    net.pass(2000);
    assertEquals(endpoints.size(), 2);
    assertNull(old.closeReason);
    // a pick is out on it
    sendRequest();
    assertEquals(endpoints.get(1).heads(FrameKind.WORK).size(), 1);
    // what is new goes the new way
    endpointAnswers(old, ((Work) old.heads(FrameKind.WORK).get(0)).getId());
    assertEquals(policy.ends, List.of(AttemptOutcome.OK));
    net.pass(100);
    assertTrue(old.closeReason != null, "still open");
    assertEquals(handshakeCount("resumed"), 0);
    // never across a change
  }

  @Test
  public void invalidCredentialsStopTheStartAndLaterChangeNothing() throws Exception {
    startRelay("plain", "");
    Files.writeString(folder.resolve("key.pem"), "gone wrong");
    net.pass(1000);
    assertTrue(
        relay.requestTracker().accounts().value(relay.requestTracker().accounts().tlsFiles, 0, 2)
            == 1);
    sendRequest();
    assertEquals(workFrames(), 1);
    FrameRelay other =
        new FrameRelay(
            FrameRelayTest.config(
                FrameRelayTest.CONFIG
                    .replace("port=\"1000\"", "port=\"1100\"")
                    .replace(
                        "  <site ",
                        "  <tls trust=\"" + folder.resolve("none.pem") + "\"/>\n  <site ")),
            net,
            FrameTap.NONE);
    String message =
        expectThrows(
                Material.BadMaterialException.class,
                () -> other.start((host, settings, seed) -> policy, aside))
            .getMessage();
    assertEquals(message, folder.resolve("none.pem") + ": can't be read: NoSuchFileException");
  }

  @Test
  public void onlyProvenClientsAreAccepted() throws Exception {
    startRelay("proven", "");
    sendRequest();
    assertEquals(workFrames(), 1);
    RecordingPeer stranger =
        caller(Role.CLIENT, 4, credentials(TestCa.root("other"), TestCa.leaf("app")));
    RecordingPeer unitsKey =
        caller(Role.CLIENT, 5, credentials(CA, TestCa.leaf("app").uses(Chain.Use.SERVER)));
    RecordingPeer plain = RecordingPeer.connect(net, Role.CLIENT, 6, 1000);
    net.pass(3000);
    assertTrue(
        stranger.closeReason != null && unitsKey.closeReason != null && plain.closeReason != null,
        stranger.closeReason + ", " + unitsKey.closeReason + ", " + plain.closeReason);
    assertEquals(
        handshakeCount("no_certificate") + handshakeCount("wrong_use") + handshakeCount("not_tls"),
        3,
        "" + handshakeCount("ended"));
    assertNull(client.closeReason);
  }

  @Test
  public void peerIsAcceptedOnlyByItsName() throws Exception {
    startRelay("proven", "");
    RecordingPeer real = caller(Role.RELAY, 1, credentials(CA, TestCa.leaf("relay-1.example")));
    RecordingPeer pretends = caller(Role.RELAY, 1, credentials(CA, TestCa.leaf("app")));
    net.pass(50);
    for (RecordingPeer one : List.of(real, pretends)) {
      net.turn(() -> one.send(FrameKind.TOLD, Told.getDefaultInstance(), (byte) 1));
    }
    net.pass(50);
    assertNull(real.closeReason);
    assertTrue(pretends.closeReason != null, "it was taken for relay 1");
    assertEquals(
        policy.calls.stream().filter(call -> call.startsWith("peer 1 ")).count(),
        1,
        policy.calls.toString());
  }

  @Test
  public void inconsistentConfigurationsAreRefused() {
    for (String[] one :
        new String[][] {
          {"clients=\"tls\"", "clients need a key"}, {"peers=\"true\"", "a name is needed"}
        }) {
      String xml =
          FrameRelayTest.CONFIG.replace(
              "  <site ", "  <tls trust=\"t.pem\" " + one[0] + "/>\n  <site ");
      String message =
          expectThrows(ConfigException.class, () -> FrameRelayTest.config(xml)).getMessage();
      assertTrue(message.contains(one[1]), message);
    }
  }
}
