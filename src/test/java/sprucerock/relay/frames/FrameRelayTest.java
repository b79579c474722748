package sprucerock.relay.frames;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.config.ConfigException;
import sprucerock.config.RelayConfig;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Rpc;
import sprucerock.model.Verdict;
import sprucerock.policy.RelayActions;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Flag;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Result;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Stop;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Work;

/** The relay between scripted peers, with a policy that each test directs. */
public class FrameRelayTest {
  static final String CONFIG =
      """
        <relay xmlns="urn:sprucerock:relay:1" name="r0" number="0" seed="1">
          <listen host="127.0.0.1" port="1000"/>
          <roster host="127.0.0.1" port="1001"/>
          <desk host="127.0.0.1" port="1002"/>
          <peer host="127.0.0.1" port="1003" number="1"/>
          <limits open="50" open-per-client="40" beat="2s" finish-within="3s" wait-for-list="0ms"/>
          <connections connect-within="200ms" per-unit="2" picks-each="3" waiting-per-unit="4" idle="5s"/>
          <site relays="2" tick="5ms">
            <method name="read" effect="idempotent" soft-deadline="200ms" deadline="1s" utility="1"/>
            <method name="pay" effect="non-idempotent" soft-deadline="200ms" deadline="1s" utility="2"/>
            <stage cap="0.1"/><stage cap="1"/>
            <rules drain-grace="250ms" cold="3s" start-capacity="0.4" tip-multiple="3" tip-after="1s" counted-over="3s" free-picks="3"/>
            <allowed picks="5" second-copies="true" cancel="true" peers="true" retry-after="true" most-retry-after="500ms"/>
            <votes control="single" life="4s" answer-within="1s"/>
          </site>
        </relay>
        """;

  /** Sends each request to the first ready endpoint, and rejects it unless the attempt succeeds. */
  private final class FirstReadyEndpointPolicy extends RecordingRelayEvents {
    private RelayActions actions;
    private final List<Endpoint> ready = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean waits;
    private boolean forbidsWrites;
    private boolean faulty;

    @Override
    public void endpointReady(Endpoint endpoint) {
      super.endpointReady(endpoint);
      ready.add(endpoint);
    }

    @Override
    public void endpointDraining(Endpoint endpoint) {
      super.endpointDraining(endpoint);
      ready.remove(endpoint);
    }

    @Override
    public void rpcArrived(Rpc rpc) {
      super.rpcArrived(rpc);
      if (faulty) {
        throw new IllegalStateException("a fault in the module");
      }
      if (!ready.isEmpty()) {
        send(rpc, null);
      }
      actions.schedule(
          rpc.deadline.minus(TimeSpan.ofMs(10)),
          () -> {
            if (!rpc.ended()) {
              actions.fail(rpc);
            }
          });
    }

    @Override
    public boolean mayWrite(Attempt attempt) {
      return !forbidsWrites;
    }

    Attempt send(Rpc rpc, TimeSpan patience) {
      Attempt attempt = new Attempt(rpc, ready.get(0), actions.now(), patience);
      attempts.add(attempt);
      actions.send(attempt);
      return attempt;
    }

    @Override
    public void attemptEnded(Attempt attempt, boolean answers) {
      super.attemptEnded(attempt, answers);
      if (!attempt.rpc.ended() && attempt.rpc.inFlight() == 0 && !waits) {
        actions.reject(attempt.rpc, TimeSpan.ofMs(20));
      }
    }
  }

  private SimulatedNet net;
  private FrameRelay relay;
  private FirstReadyEndpointPolicy policy;
  private List<RecordingPeer> discoveries;
  private List<RecordingPeer> controllers;
  private List<RecordingPeer> endpoints;
  private RecordingPeer client;

  static RelayConfig config(String xml) throws IOException, ConfigException {
    Path file = Files.createTempFile("relay", ".xml");
    Files.writeString(file, xml);
    return RelayConfig.read(file);
  }

  @BeforeMethod
  public void begin() throws Exception {
    net = new SimulatedNet(1000, 5);
    policy = new FirstReadyEndpointPolicy();
    discoveries = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    controllers = RecordingPeer.listen(net, Role.DESK, 0, 1002);
    endpoints = RecordingPeer.listen(net, Role.UNIT, 7, 2007);
    relay = new FrameRelay(config(CONFIG), net, FrameTap.NONE);
    relay.start(
        (host, settings, seed) -> {
          policy.actions = host;
          return policy;
        });
    client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
    net.pass(10);
    sendListing(Form.WHOLE, entry(7, 1, Health.READY));
    policy.calls.clear();
  }

  private static Entry.Builder entry(long endpoint, long run, Health health) {
    return Entry.newBuilder()
        .setUnit(endpoint)
        .setRun(run)
        .setHost("127.0.0.1")
        .setPort(2000 + (int) endpoint)
        .setBuild(1)
        .setHealth(health)
        .setWeight(1);
  }

  private void sendListing(Form form, Entry.Builder... entries) {
    Listing.Builder listing = Listing.newBuilder().setForm(form);
    for (Entry.Builder one : entries) {
      listing.addEntries(one);
    }
    net.turn(() -> last(discoveries).send(FrameKind.LISTING, listing.build()));
    net.settle();
  }

  private static RecordingPeer last(List<RecordingPeer> people) {
    return people.get(people.size() - 1);
  }

  private void sendRequest(long id) {
    sendRequest(client, id, 0);
  }

  private void sendRequest(RecordingPeer who, long id, int method) {
    net.turn(
        () ->
            who.send(
                FrameKind.CALL,
                Call.newBuilder().setId(id).setMethod(method).setLeftUs(1_000_000).build(),
                (byte) id,
                (byte) 42));
    net.settle();
  }

  private void endpointAnswers(long workId, Result result) {
    net.turn(
        () ->
            last(endpoints)
                .send(
                    FrameKind.DONE,
                    Done.newBuilder().setId(workId).setResult(result).build(),
                    (byte) 99));
  }

  private List<String> answersTo(RecordingPeer who) {
    return who.<Answer>heads(FrameKind.ANSWER).stream()
        .map(one -> one.getId() + " " + one.getEnding())
        .toList();
  }

  @Test
  public void requestReachesItsEndpointAndItsAnswerTheClient() {
    sendRequest(1);
    RecordingPeer endpoint = endpoints.get(0);
    assertEquals(endpoint.received.get(0).body(), new byte[] {1, 42});
    Work work = (Work) endpoint.received.get(0).head();
    assertTrue(
        work.getLeftUs() > 980_000 && work.getLeftUs() <= 1_000_000, "left " + work.getLeftUs());
    net.pass(20);
    endpointAnswers(work.getId(), Result.DONE);
    net.settle();
    assertEquals(answersTo(client), List.of("1 OK"));
    assertEquals(client.received.get(0).body(), new byte[] {99});
    assertEquals(policy.calls, List.of("arrived 1", "ended 1.0 OK answers"));
  }

  @Test
  public void answerInTheTurnOfTheWithdrawalIsNotForwarded() {
    sendRequest(1);
    net.turn(
        () -> {
          client.send(FrameKind.LEAVE, Leave.newBuilder().setId(1).build());
          last(endpoints)
              .send(FrameKind.DONE, Done.newBuilder().setId(1).setResult(Result.DONE).build());
        });
    net.settle();
    assertTrue(client.received.isEmpty());
    assertEquals(policy.calls, List.of("arrived 1", "left 1", "ended 1.0 OK"));
  }

  @Test
  public void okAfterTheFinalAnswerIsNotForwarded() {
    sendRequest(1);
    net.pass(995);
    endpointAnswers(1, Result.DONE);
    net.pass(50);
    assertEquals(answersTo(client), List.of("1 ABORTED"));
    assertEquals(relay.requestTracker().trackedRpcs(), 0);
  }

  @Test
  public void attemptIsBrokenIfCutAfterItsFrameLeftAndNotConnectedBefore() {
    sendRequest(1);
    endpoints.get(0).connection.cut("crash");
    net.settle();
    assertEquals(policy.calls.get(1), "ended 1.0 BROKEN");
    policy.calls.clear();
    net.pass(2000);
    sendRequest(2);
    // a connection again
    endpointAnswers(1, Result.DONE);
    net.settle();
    policy.calls.clear();
    net.turn(
        () -> {
          // in one turn: the frame is written to the link, which is cut before anything went
          // out
          client.send(FrameKind.CALL, Call.newBuilder().setId(3).setLeftUs(1_000_000).build());
        });
    Attempt unsent = sendThenCut();
    assertEquals(unsent.outcome().name(), "NOT_CONNECTED");
  }

  /** An attempt written in a turn in which its connection is cut too. */
  private Attempt sendThenCut() {
    net.settle();
    Attempt[] made = new Attempt[1];
    net.turn(
        () -> {
          Rpc rpc = policy.attempts.get(policy.attempts.size() - 1).rpc;
          made[0] = policy.send(rpc, null);
          ((FrameExchange) made[0].attachment).connection.connection.cut("a turn that went wrong");
        });
    net.settle();
    return made[0];
  }

  @Test
  public void requestIdMayBeReusedOnlyOnceAnswered() {
    sendRequest(1);
    endpointAnswers(1, Result.DONE);
    net.settle();
    sendRequest(1);
    endpointAnswers(2, Result.DONE);
    net.settle();
    assertEquals(answersTo(client), List.of("1 OK", "1 OK"));
    sendRequest(4);
    sendRequest(4);
    net.settle();
    assertEquals(client.closeReason, "closed by the other side");
    assertTrue(policy.calls.contains("left 3"), policy.calls.toString());
  }

  @Test
  public void malformedOrSilentConnectionIsClosedAndOthersStay() {
    List<String> ends = new ArrayList<>();
    byte[][] talks = {
      {0, 0, 0, 9, 99, 0, 0, 0, 1, 2, 3, 4, 5}, {0, 0, 0}, {}, {-1, -1, -1, -1, 0, 0, 0, 0}
    };
    for (byte[] talk : talks) {
      net.connect(
          new java.net.InetSocketAddress("127.0.0.1", 1000),
          TimeSpan.ofMs(100),
          1000,
          new ConnectionListener() {
            @Override
            public void connected(Connection connection) {
              if (talk.length > 0) {
                connection.append(talk);
              }
            }

            @Override
            public void received(ByteBuffer bytes) {}

            @Override
            public void closed(String why) {
              ends.add(why);
            }
          });
    }
    net.pass(7000);
    assertEquals(ends.size(), 4);
    sendRequest(1);
    endpointAnswers(1, Result.DONE);
    net.settle();
    assertEquals(answersTo(client), List.of("1 OK"));
  }

  @Test
  public void wrongEndpointBehindTheAddressIsSentNothing() throws IOException {
    List<RecordingPeer> others = new ArrayList<>();
    net.listen(
        new java.net.InetSocketAddress("127.0.0.1", 2008),
        10,
        1000,
        () -> {
          RecordingPeer other = new RecordingPeer(net, Role.UNIT, 9);
          others.add(other);
          return other.connection;
        });
    sendListing(Form.WHOLE, entry(8, 1, Health.READY));
    sendRequest(1);
    assertEquals(policy.calls.get(3), "ended 1.0 NOT_CONNECTED");
    assertTrue(others.get(0).received.isEmpty());
    assertEquals(answersTo(client), List.of("1 PUSHED_BACK"));
  }

  @Test
  public void attemptsWaitInBoundsAndNoneIsSentOnceTheEndpointDrains() {
    policy.waits = true;
    for (int i = 1; i <= 12; i++) {
      sendRequest(i);
    }
    assertEquals(endpoints.size(), 2);
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
    assertEquals(policy.calls.stream().filter(call -> call.endsWith("NOT_CONNECTED")).count(), 2);
    sendListing(Form.CHANGES, entry(7, 1, Health.DRAINING));
    assertEquals(policy.calls.stream().filter(call -> call.endsWith("NOT_CONNECTED")).count(), 6);
    endpointAnswers(1, Result.DONE);
    net.pass(300);
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
  }

  @Test
  public void waitingAttemptIsNotSentOnceItsRequestHasEnded() {
    policy.waits = true;
    for (int i = 1; i <= 7; i++) {
      sendRequest(i);
    }
    net.turn(() -> client.send(FrameKind.LEAVE, Leave.newBuilder().setId(7).build()));
    net.settle();
    endpointAnswers(1, Result.DONE);
    // room for the one that waited
    net.settle();
    assertEquals(policy.attempts.get(6).outcome().name(), "MOOT");
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
  }

  /** Guards against an attempt that is written though what it was selected by holds no more. */
  @Test
  public void waitingAttemptIsNotSentOnceThePolicyForbidsIt() {
    policy.waits = true;
    for (int i = 1; i <= 7; i++) {
      sendRequest(i);
    }
    policy.forbidsWrites = true;
    endpointAnswers(1, Result.DONE);
    net.settle();
    assertEquals(policy.attempts.get(6).outcome().name(), "MOOT");
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
  }

  @Test
  public void connectTimeoutEndsWaitingAttemptsAsNotConnected() {
    net.setConnectsHang(true);
    sendRequest(1);
    net.pass(195);
    assertEquals(policy.calls.size(), 1);
    net.pass(10);
    assertEquals(policy.calls.get(1), "ended 1.0 NOT_CONNECTED");
  }

  @Test
  public void failedConnectionsAreRetriedWithBackoff() throws IOException {
    sendListing(Form.WHOLE, entry(8, 1, Health.READY));
    // nobody listens there
    policy.calls.clear();
    for (int i = 1; i <= 400; i++) {
      sendRequest(i);
      net.pass(5);
    }
    assertEquals(policy.calls.stream().filter(call -> call.endsWith("NOT_CONNECTED")).count(), 400);
    assertTrue(
        net.connectCount() <= 11,
        "seven in two seconds at most, beside three links: " + net.connectCount());
    endpoints = RecordingPeer.listen(net, Role.UNIT, 8, 2008);
    net.pass(1000);
    sendRequest(500);
    assertEquals(endpoints.size(), 1);
  }

  @Test
  public void idleConnectionIsSentNothingOnceItCloses() {
    sendRequest(1);
    endpointAnswers(1, Result.DONE);
    net.pass(4990);
    for (int i = 0; i < 6; i++) {
      // around the moment at which it is closed
      sendRequest(10 + i);
      endpointAnswers(2 + i, Result.DONE);
      net.settle();
      net.pass(5);
    }
    net.pass(11_000);
    assertEquals(endpoints.get(0).closeReason, "closed by the other side");
    sendRequest(30);
    assertEquals(endpoints.size(), 2);
    assertTrue(
        policy.calls.stream().noneMatch(call -> call.endsWith("BROKEN")), policy.calls.toString());
  }

  @Test
  public void unsignedNumbersOfTheWireReachThePolicyAsSuch() {
    net.turn(
        () ->
            client.send(
                FrameKind.CALL,
                Call.newBuilder().setId(-1).setCustomer(-1).setLeftUs(-1).setHintUs(-1).build()));
    net.settle();
    Rpc rpc = policy.attempts.get(0).rpc;
    assertTrue(
        rpc.tenant > 0 && rpc.deadline.since(net.now()).ms() == 86_400_000 && rpc.workHint == null);
    endpointAnswers(1, Result.DONE);
    net.settle();
    assertEquals(client.<Answer>heads(FrameKind.ANSWER).get(0).getId(), -1);
  }

  @Test
  public void attemptPastItsTimeoutIsTimedOutAndItsLateAnswerDropped() {
    policy.waits = true;
    sendRequest(1);
    Attempt second = policy.send(policy.attempts.get(0).rpc, TimeSpan.ofMs(50));
    net.pass(60);
    assertEquals(second.outcome().name(), "TIMED_OUT");
    endpointAnswers(2, Result.DONE);
    net.settle();
    assertTrue(client.received.isEmpty());
    net.turn(() -> policy.actions.cancel(policy.attempts.get(0)));
    net.settle();
    assertEquals(last(endpoints).<Stop>heads(FrameKind.STOP).get(0).getId(), 1);
    assertEquals(policy.attempts.get(0).outcome().name(), "CANCELLED");
  }

  /** Guards against a second copy of a result that frees the place of another attempt. */
  @Test
  public void secondResultOfAnAttemptDoesNotFreeThePlaceOfAnother() {
    policy.waits = true;
    for (int i = 1; i <= 6; i++) {
      sendRequest(i);
    }
    RecordingPeer endpoint = endpoints.get(0);
    Attempt abandoned = policy.attempts.get(endpoint.received.get(1).body()[0] - 1);
    net.turn(() -> policy.actions.cancel(abandoned));
    Done done = Done.newBuilder().setId(1).setResult(Result.DONE).build();
    for (int copy = 0; copy < 2; copy++) {
      net.turn(() -> endpoint.send(FrameKind.DONE, done, (byte) 99));
      net.settle();
    }
    sendRequest(7);
    sendRequest(8);
    assertEquals(endpoint.<Work>heads(FrameKind.WORK).size(), 4);
  }

  @Test
  public void unresponsiveEndpointDoesNotKeepItsConnectionFull() {
    policy.waits = true;
    for (int i = 1; i <= 6; i++) {
      sendRequest(i);
    }
    net.pass(1100);
    assertEquals(endpoints.get(0).closeReason, "closed by the other side");
    sendRequest(9);
    assertEquals(last(endpoints).<Work>heads(FrameKind.WORK).size(), 1);
  }

  @Test
  public void clientsAreAcceptedOnceListAndNewsAreThereOrTheWaitIsOver() throws Exception {
    for (boolean comes : new boolean[] {true, false}) {
      net = new SimulatedNet(1000, 5);
      discoveries = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
      controllers = RecordingPeer.listen(net, Role.DESK, 0, 1002);
      new FrameRelay(
              config(CONFIG.replace("wait-for-list=\"0ms\"", "wait-for-list=\"1s\"")),
              net,
              FrameTap.NONE)
          .start(
              (host, settings, seed) -> {
                policy.actions = host;
                return policy;
              });
      client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
      net.pass(300);
      sendListing(Form.WHOLE, entry(7, 1, Health.READY));
      assertNull(client.connection.remoteHello(), "no news yet");
      if (comes) {
        net.turn(
            () ->
                controllers
                    .get(0)
                    .send(
                        FrameKind.NEWS,
                        News.newBuilder()
                            .setBuild(1)
                            .setStage(1)
                            .setStanding(Stand.RELEASED)
                            .setCap(1)
                            .build()));
      }
      net.pass(20);
      assertEquals(client.connection.remoteHello() != null, comes);
      net.pass(1000);
      assertTrue(client.connection.remoteHello() != null);
    }
  }

  @Test
  public void requestBeyondALimitIsRejectedUnseenByThePolicy() {
    policy.waits = true;
    for (int i = 1; i <= 41; i++) {
      sendRequest(i);
    }
    assertEquals(answersTo(client), List.of("41 PUSHED_BACK"));
    RecordingPeer other = RecordingPeer.connect(net, Role.CLIENT, 4, 1000);
    net.settle();
    for (int i = 1; i <= 11; i++) {
      sendRequest(other, i, 0);
    }
    assertEquals(answersTo(other), List.of("11 PUSHED_BACK"));
    sendRequest(other, 12, 77);
    assertEquals(answersTo(other).get(1), "12 ABORTED");
    assertEquals(policy.calls.stream().filter(call -> call.startsWith("arrived")).count(), 50);
  }

  @Test
  public void thousandsOfRequestsWithOneDeadlineGetOneAnswerEach() throws Exception {
    net = new SimulatedNet(1000, 5);
    relay =
        new FrameRelay(
            config(
                CONFIG.replace(
                    "open=\"50\" open-per-client=\"40\"",
                    "open=\"9000\" open-per-client=\"9000\"")),
            net,
            FrameTap.NONE);
    relay.start(
        (host, settings, seed) -> {
          policy.actions = host;
          return policy;
        });
    client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
    net.pass(10);
    policy.ready.clear();
    net.turn(
        () -> {
          for (int i = 1; i <= 5000; i++) {
            client.send(FrameKind.CALL, Call.newBuilder().setId(i).setLeftUs(500_000).build());
          }
        });
    net.pass(480);
    assertTrue(client.received.isEmpty());
    net.pass(100);
    assertEquals(answersTo(client).stream().distinct().count(), 5000);
    assertEquals(client.received.size(), 5000);
    assertEquals(relay.requestTracker().openRpcs(), 0);
  }

  @Test
  public void requestForgottenByAFaultyPolicyIsAbortedAtItsDeadline() {
    policy.faulty = true;
    net.turn(
        () -> client.send(FrameKind.CALL, Call.newBuilder().setId(1).setLeftUs(300_000).build()));
    try {
      net.settle();
    } catch (IllegalStateException e) {
      assertEquals(e.getMessage(), "a fault in the module");
      // the loop logs it and goes on
    }
    net.pass(295);
    assertTrue(client.received.isEmpty());
    net.pass(10);
    assertEquals(answersTo(client), List.of("1 ABORTED"));
    assertEquals(relay.requestTracker().openRpcs(), 0);
  }

  @Test
  public void shutdownAnswersOpenRequestsAndRejectsNewOnes() {
    boolean[] done = new boolean[1];
    sendRequest(1);
    sendRequest(2);
    net.turn(() -> relay.shutdown(() -> done[0] = true));
    sendRequest(3);
    assertEquals(answersTo(client), List.of("3 PUSHED_BACK"));
    endpointAnswers(1, Result.DONE);
    net.pass(100);
    assertTrue(!done[0]);
    net.pass(1200);
    assertEquals(answersTo(client), List.of("3 PUSHED_BACK", "1 OK", "2 ABORTED"));
    assertTrue(done[0]);
    assertEquals(client.closeReason, "closed by the other side");
  }

  @Test
  public void restartedEndpointIsAnotherEndpointWhateverItsAge() {
    sendListing(Form.CHANGES, entry(7, 1, Health.READY).setAgeUs(5));
    assertTrue(policy.calls.isEmpty(), "an age told late is no restart: " + policy.calls);
    sendListing(Form.CHANGES, entry(7, 2, Health.READY).setAgeUs(300_000));
    assertEquals(policy.calls, List.of("leaving 7", "ready 7"));
    assertEquals(policy.ready.get(0).startedAt.ms(), 1010 - 300, 1.0);
  }

  @Test
  public void invalidEntriesOfAListingAreSkippedAndTheRestApplied() {
    sendListing(
        Form.CHANGES,
        entry(8, 1, Health.READY).setPort(0),
        entry(9, 1, Health.READY).setHost("unit.example"),
        entry(10, 1, Health.HEALTH_UNKNOWN),
        entry(11, 1, Health.READY).setWeight(Double.NaN),
        entry(12, 1, Health.READY));
    assertEquals(policy.calls, List.of("ready 12"));
    sendListing(Form.FORM_UNKNOWN);
    assertEquals(policy.ready.size(), 2);
  }

  @Test
  public void discoveryAndControllerAreReconnectedTo() {
    discoveries.get(0).connection.cut("restart");
    controllers.get(0).connection.cut("restart");
    net.pass(300);
    assertEquals(discoveries.size(), 2);
    assertEquals(controllers.size(), 2);
    assertEquals(last(discoveries).received.get(0).kind(), FrameKind.WATCH);
    assertEquals(policy.ready.size(), 1, "what was listed holds");
  }

  @Test
  public void voteGetsOneReplyOrIsUnansweredAfterTheTimeout() {
    Build build = policy.ready.get(0).build;
    net.turn(() -> policy.actions.vote(build, 1, Verdict.BACK));
    net.settle();
    Vote vote = controllers.get(0).<Vote>heads(FrameKind.VOTE).get(0);
    net.turn(
        () ->
            controllers
                .get(0)
                .send(
                    FrameKind.VOTED,
                    Voted.newBuilder().setId(vote.getId()).setTaken(Taken.MOOT).build()));
    net.turn(() -> policy.actions.vote(build, 1, Verdict.BACK));
    net.pass(1100);
    net.turn(
        () ->
            controllers
                .get(0)
                .send(
                    FrameKind.VOTED,
                    Voted.newBuilder().setId(vote.getId() + 1).setTaken(Taken.COUNTS).build()));
    net.settle();
    assertEquals(policy.calls, List.of("vote MOOT", "vote UNANSWERED"));
  }

  @Test
  public void invalidNewsIsRefused() {
    News.Builder good =
        News.newBuilder().setBuild(2).setStage(1).setStanding(Stand.ON_TRIAL).setCap(0.5);
    net.turn(
        () -> {
          for (News news :
              List.of(
                  good.build(),
                  good.clone().setCap(Double.NaN).build(),
                  good.clone().setStage(9).build(),
                  good.clone().setStanding(Stand.STAND_UNKNOWN).build())) {
            controllers.get(0).send(FrameKind.NEWS, news);
          }
        });
    net.settle();
    assertEquals(policy.calls, List.of("news 2 1 ON_TRIAL 0.5"));
    assertNull(controllers.get(0).closeReason);
  }

  @Test
  public void peerMessagesGoOverConnectionsOfTheirOwnAndMayBeLost() throws IOException {
    net.turn(() -> policy.actions.sendToPeers(new byte[] {1}));
    List<RecordingPeer> peers = RecordingPeer.listen(net, Role.RELAY, 1, 1003);
    net.pass(300);
    net.turn(() -> policy.actions.sendToPeer(1, new byte[] {2}));
    net.settle();
    assertEquals(last(peers).received.get(0).body(), new byte[] {2});
    RecordingPeer peer = RecordingPeer.connect(net, Role.RELAY, 1, 1000);
    net.settle();
    net.turn(
        () ->
            peer.send(
                FrameKind.TOLD,
                sprucerock.transport.wire.v1.Told.getDefaultInstance(),
                (byte) 5,
                (byte) 6));
    net.turn(() -> client.send(FrameKind.FLAG, Flag.newBuilder().setUnit(7).setAgoUs(1).build()));
    net.settle();
    assertEquals(policy.calls, List.of("peer 1 2", "flagged 7"));
  }
}
