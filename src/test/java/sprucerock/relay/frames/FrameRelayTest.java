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

/** The relay between scripted people, with a module that does as each story says. */
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

  /**
   * Sends each RPC to the first unit that is ready, and pushes back what ends otherwise than ok.
   */
  private final class Simple extends RecordingRelayEvents {
    private RelayActions actions;
    private final List<Endpoint> ready = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private boolean waits;
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
      actions.wake(
          rpc.deadline.minus(TimeSpan.ofMs(10)),
          () -> {
            if (!rpc.ended()) {
              actions.abort(rpc);
            }
          });
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
      if (!attempt.rpc.ended() && attempt.rpc.out() == 0 && !waits) {
        actions.pushBack(attempt.rpc, TimeSpan.ofMs(20));
      }
    }
  }

  private SimulatedNet net;
  private FrameRelay relay;
  private Simple module;
  private List<RecordingPeer> rosters;
  private List<RecordingPeer> desks;
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
    module = new Simple();
    rosters = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    desks = RecordingPeer.listen(net, Role.DESK, 0, 1002);
    endpoints = RecordingPeer.listen(net, Role.UNIT, 7, 2007);
    relay = new FrameRelay(config(CONFIG), net, FrameTap.NONE);
    relay.start(
        (host, settings, seed) -> {
          module.actions = host;
          return module;
        });
    client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
    net.pass(10);
    lists(Form.WHOLE, entry(7, 1, Health.READY));
    module.calls.clear();
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

  private void lists(Form form, Entry.Builder... entries) {
    Listing.Builder listing = Listing.newBuilder().setForm(form);
    for (Entry.Builder one : entries) {
      listing.addEntries(one);
    }
    net.turn(() -> last(rosters).send(FrameKind.LISTING, listing.build()));
    net.settle();
  }

  private static RecordingPeer last(List<RecordingPeer> people) {
    return people.get(people.size() - 1);
  }

  private void calls(long id) {
    calls(client, id, 0);
  }

  private void calls(RecordingPeer who, long id, int method) {
    net.turn(
        () ->
            who.send(
                FrameKind.CALL,
                Call.newBuilder().setId(id).setMethod(method).setLeftUs(1_000_000).build(),
                (byte) id,
                (byte) 42));
    net.settle();
  }

  private void answers(long workId, Result result) {
    net.turn(
        () ->
            last(endpoints)
                .send(
                    FrameKind.DONE,
                    Done.newBuilder().setId(workId).setResult(result).build(),
                    (byte) 99));
  }

  private List<String> answered(RecordingPeer who) {
    return who.<Answer>heads(FrameKind.ANSWER).stream()
        .map(one -> one.getId() + " " + one.getEnding())
        .toList();
  }

  @Test
  public void anRpcGoesToItsUnitAndTheAnswerBack() {
    calls(1);
    RecordingPeer endpoint = endpoints.get(0);
    assertEquals(endpoint.received.get(0).body(), new byte[] {1, 42});
    Work work = (Work) endpoint.received.get(0).head();
    assertTrue(
        work.getLeftUs() > 980_000 && work.getLeftUs() <= 1_000_000, "left " + work.getLeftUs());
    net.pass(20);
    answers(work.getId(), Result.DONE);
    net.settle();
    assertEquals(answered(client), List.of("1 OK"));
    assertEquals(client.received.get(0).body(), new byte[] {99});
    assertEquals(module.calls, List.of("arrived 1", "ended 1.0 OK answers"));
  }

  @Test
  public void anAnswerInTheTurnOfTheClientsLeavingIsNotPassedOn() {
    calls(1);
    net.turn(
        () -> {
          client.send(FrameKind.LEAVE, Leave.newBuilder().setId(1).build());
          last(endpoints)
              .send(FrameKind.DONE, Done.newBuilder().setId(1).setResult(Result.DONE).build());
        });
    net.settle();
    assertTrue(client.received.isEmpty());
    assertEquals(module.calls, List.of("arrived 1", "left 1", "ended 1.0 OK"));
  }

  @Test
  public void anOkAfterTheFinalAnswerIsNotPassedOn() {
    calls(1);
    net.pass(995);
    answers(1, Result.DONE);
    net.pass(50);
    assertEquals(answered(client), List.of("1 ABORTED"));
    assertEquals(relay.requestTracker().known(), 0);
  }

  @Test
  public void aCutAfterTheRequestWasWrittenMayHaveRunAndOneBeforeDidNot() {
    calls(1);
    endpoints.get(0).connection.cut("crash");
    net.settle();
    assertEquals(module.calls.get(1), "ended 1.0 BROKEN");
    module.calls.clear();
    net.pass(2000);
    calls(2); // a connection again
    answers(1, Result.DONE);
    net.settle();
    module.calls.clear();
    net.turn(
        () -> { // in one turn: the frame is written to the link, which is cut before anything went
          // out
          client.send(FrameKind.CALL, Call.newBuilder().setId(3).setLeftUs(1_000_000).build());
        });
    Attempt unsent = sendThenCut();
    assertEquals(unsent.outcome().name(), "NOT_CONNECTED");
  }

  /** A pick written in a turn in which its link is cut too. */
  private Attempt sendThenCut() {
    net.settle();
    Attempt[] made = new Attempt[1];
    net.turn(
        () -> {
          Rpc rpc = module.attempts.get(module.attempts.size() - 1).rpc;
          made[0] = module.send(rpc, null);
          ((FrameExchange) made[0].door).connection.connection.cut("a turn that went wrong");
        });
    net.settle();
    return made[0];
  }

  @Test
  public void anIdMayComeBackOnceItsRpcIsAnsweredAndNotBefore() {
    calls(1);
    answers(1, Result.DONE);
    net.settle();
    calls(1);
    answers(2, Result.DONE);
    net.settle();
    assertEquals(answered(client), List.of("1 OK", "1 OK"));
    calls(4);
    calls(4);
    net.settle();
    assertEquals(client.closeReason, "closed by the other side");
    assertTrue(module.calls.contains("left 3"), module.calls.toString());
  }

  @Test
  public void rubbishHalfAHeaderOrNothingCutsOnlyItsOwnLink() {
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
            public void up(Connection connection) {
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
    calls(1);
    answers(1, Result.DONE);
    net.settle();
    assertEquals(answered(client), List.of("1 OK"));
  }

  @Test
  public void anotherUnitBehindTheAddressIsNeverSentAnything() throws IOException {
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
    lists(Form.WHOLE, entry(8, 1, Health.READY));
    calls(1);
    assertEquals(module.calls.get(3), "ended 1.0 NOT_CONNECTED");
    assertTrue(others.get(0).received.isEmpty());
    assertEquals(answered(client), List.of("1 PUSHED_BACK"));
  }

  @Test
  public void picksWaitForRoomInBoundsAndNoneIsSentOnceTheUnitLeaves() {
    module.waits = true;
    for (int i = 1; i <= 12; i++) {
      calls(i);
    }
    assertEquals(endpoints.size(), 2);
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
    assertEquals(module.calls.stream().filter(call -> call.endsWith("NOT_CONNECTED")).count(), 2);
    lists(Form.CHANGES, entry(7, 1, Health.DRAINING));
    assertEquals(module.calls.stream().filter(call -> call.endsWith("NOT_CONNECTED")).count(), 6);
    answers(1, Result.DONE);
    net.pass(300);
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
  }

  @Test
  public void aPickThatWaitsIsNotSentOnceItsRpcHasEnded() {
    module.waits = true;
    for (int i = 1; i <= 7; i++) {
      calls(i);
    }
    net.turn(() -> client.send(FrameKind.LEAVE, Leave.newBuilder().setId(7).build()));
    net.settle();
    answers(1, Result.DONE); // room for the one that waited
    net.settle();
    assertEquals(module.attempts.get(6).outcome().name(), "MOOT");
    assertEquals(endpoints.get(0).received.size() + endpoints.get(1).received.size(), 6);
  }

  @Test
  public void aConnectionThatDoesNotComeUpInTimeEndsItsPicksAsNeverSent() {
    net.connectsHang(true);
    calls(1);
    net.pass(195);
    assertEquals(module.calls.size(), 1);
    net.pass(10);
    assertEquals(module.calls.get(1), "ended 1.0 NOT_CONNECTED");
  }

  @Test
  public void afterAFailedConnectionNoneIsTriedForAPauseThatGrows() throws IOException {
    lists(Form.WHOLE, entry(8, 1, Health.READY)); // nobody listens there
    module.calls.clear();
    for (int i = 1; i <= 400; i++) {
      calls(i);
      net.pass(5);
    }
    assertEquals(module.calls.stream().filter(call -> call.endsWith("NOT_CONNECTED")).count(), 400);
    assertTrue(
        net.connects() <= 11,
        "seven in two seconds at most, beside three links: " + net.connects());
    endpoints = RecordingPeer.listen(net, Role.UNIT, 8, 2008);
    net.pass(1000);
    calls(500);
    assertEquals(endpoints.size(), 1);
  }

  @Test
  public void aConnectionThatClosesForBeingIdleGetsNoPickAnyMore() {
    calls(1);
    answers(1, Result.DONE);
    net.pass(4990);
    for (int i = 0; i < 6; i++) { // around the moment at which it is closed
      calls(10 + i);
      answers(2 + i, Result.DONE);
      net.settle();
      net.pass(5);
    }
    net.pass(11_000);
    assertEquals(endpoints.get(0).closeReason, "closed by the other side");
    calls(30);
    assertEquals(endpoints.size(), 2);
    assertTrue(
        module.calls.stream().noneMatch(call -> call.endsWith("BROKEN")), module.calls.toString());
  }

  @Test
  public void numbersThatAreUnsignedOnTheWireReachTheModuleSo() {
    net.turn(
        () ->
            client.send(
                FrameKind.CALL,
                Call.newBuilder().setId(-1).setCustomer(-1).setLeftUs(-1).setHintUs(-1).build()));
    net.settle();
    Rpc rpc = module.attempts.get(0).rpc;
    assertTrue(
        rpc.tenant > 0 && rpc.deadline.since(net.now()).ms() == 86_400_000 && rpc.hint == null);
    answers(1, Result.DONE);
    net.settle();
    assertEquals(client.<Answer>heads(FrameKind.ANSWER).get(0).getId(), -1);
  }

  @Test
  public void aPickPastItsPatienceIsTimedOutAndItsLateAnswerDropped() {
    module.waits = true;
    calls(1);
    Attempt second = module.send(module.attempts.get(0).rpc, TimeSpan.ofMs(50));
    net.pass(60);
    assertEquals(second.outcome().name(), "TIMED_OUT");
    answers(2, Result.DONE);
    net.settle();
    assertTrue(client.received.isEmpty());
    net.turn(() -> module.actions.cancel(module.attempts.get(0)));
    net.settle();
    assertEquals(last(endpoints).<Stop>heads(FrameKind.STOP).get(0).getId(), 1);
    assertEquals(module.attempts.get(0).outcome().name(), "CANCELLED");
  }

  @Test
  public void aUnitThatNeverAnswersDoesNotKeepItsConnectionFull() {
    module.waits = true;
    for (int i = 1; i <= 6; i++) {
      calls(i);
    }
    net.pass(1100);
    assertEquals(endpoints.get(0).closeReason, "closed by the other side");
    calls(9);
    assertEquals(last(endpoints).<Work>heads(FrameKind.WORK).size(), 1);
  }

  @Test
  public void clientsWaitUntilListAndNewsAreThereOrTheWaitIsOver() throws Exception {
    for (boolean comes : new boolean[] {true, false}) {
      net = new SimulatedNet(1000, 5);
      rosters = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
      desks = RecordingPeer.listen(net, Role.DESK, 0, 1002);
      new FrameRelay(
              config(CONFIG.replace("wait-for-list=\"0ms\"", "wait-for-list=\"1s\"")),
              net,
              FrameTap.NONE)
          .start(
              (host, settings, seed) -> {
                module.actions = host;
                return module;
              });
      client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
      net.pass(300);
      lists(Form.WHOLE, entry(7, 1, Health.READY));
      assertNull(client.connection.remoteHello(), "no news yet");
      if (comes) {
        net.turn(
            () ->
                desks
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
  public void beyondALimitAnRpcIsTurnedAwayUnseen() {
    module.waits = true;
    for (int i = 1; i <= 41; i++) {
      calls(i);
    }
    assertEquals(answered(client), List.of("41 PUSHED_BACK"));
    RecordingPeer other = RecordingPeer.connect(net, Role.CLIENT, 4, 1000);
    net.settle();
    for (int i = 1; i <= 11; i++) {
      calls(other, i, 0);
    }
    assertEquals(answered(other), List.of("11 PUSHED_BACK"));
    calls(other, 12, 77);
    assertEquals(answered(other).get(1), "12 ABORTED");
    assertEquals(module.calls.stream().filter(call -> call.startsWith("arrived")).count(), 50);
  }

  @Test
  public void thousandsOfRpcsThatEndAtOneDeadlineGetOneAnswerEach() throws Exception {
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
          module.actions = host;
          return module;
        });
    client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
    net.pass(10);
    module.ready.clear();
    net.turn(
        () -> {
          for (int i = 1; i <= 5000; i++) {
            client.send(FrameKind.CALL, Call.newBuilder().setId(i).setLeftUs(500_000).build());
          }
        });
    net.pass(480);
    assertTrue(client.received.isEmpty());
    net.pass(100);
    assertEquals(answered(client).stream().distinct().count(), 5000);
    assertEquals(client.received.size(), 5000);
    assertEquals(relay.requestTracker().open(), 0);
  }

  @Test
  public void anRpcThatAFaultyModuleForgetsIsAbortedAtItsDeadline() {
    module.faulty = true;
    net.turn(
        () -> client.send(FrameKind.CALL, Call.newBuilder().setId(1).setLeftUs(300_000).build()));
    try {
      net.settle();
    } catch (IllegalStateException e) {
      assertEquals(e.getMessage(), "a fault in the module"); // the loop logs it and goes on
    }
    net.pass(295);
    assertTrue(client.received.isEmpty());
    net.pass(10);
    assertEquals(answered(client), List.of("1 ABORTED"));
    assertEquals(relay.requestTracker().open(), 0);
  }

  @Test
  public void finishingAnswersAllThatIsOpenAndTakesNothingNew() {
    boolean[] done = new boolean[1];
    calls(1);
    calls(2);
    net.turn(() -> relay.shutdown(() -> done[0] = true));
    calls(3);
    assertEquals(answered(client), List.of("3 PUSHED_BACK"));
    answers(1, Result.DONE);
    net.pass(100);
    assertTrue(!done[0]);
    net.pass(1200);
    assertEquals(answered(client), List.of("3 PUSHED_BACK", "1 OK", "2 ABORTED"));
    assertTrue(done[0]);
    assertEquals(client.closeReason, "closed by the other side");
  }

  @Test
  public void aRestartOfAUnitIsAnotherUnitWhatAgeItMayTell() {
    lists(Form.CHANGES, entry(7, 1, Health.READY).setAgeUs(5));
    assertTrue(module.calls.isEmpty(), "an age told late is no restart: " + module.calls);
    lists(Form.CHANGES, entry(7, 2, Health.READY).setAgeUs(300_000));
    assertEquals(module.calls, List.of("leaving 7", "ready 7"));
    assertEquals(module.ready.get(0).started.ms(), 1010 - 300, 1.0);
  }

  @Test
  public void whatTheListHasWrongIsLeftOutAndTheRestStands() {
    lists(
        Form.CHANGES,
        entry(8, 1, Health.READY).setPort(0),
        entry(9, 1, Health.READY).setHost("unit.example"),
        entry(10, 1, Health.HEALTH_UNKNOWN),
        entry(11, 1, Health.READY).setWeight(Double.NaN),
        entry(12, 1, Health.READY));
    assertEquals(module.calls, List.of("ready 12"));
    lists(Form.FORM_UNKNOWN);
    assertEquals(module.ready.size(), 2);
  }

  @Test
  public void theRosterAndDeskComeBackByThemselves() {
    rosters.get(0).connection.cut("restart");
    desks.get(0).connection.cut("restart");
    net.pass(300);
    assertEquals(rosters.size(), 2);
    assertEquals(desks.size(), 2);
    assertEquals(last(rosters).received.get(0).kind(), FrameKind.WATCH);
    assertEquals(module.ready.size(), 1, "what was listed holds");
  }

  @Test
  public void votesAreAnsweredOnceOrUnansweredInTime() {
    Build build = module.ready.get(0).build;
    net.turn(() -> module.actions.vote(build, 1, Verdict.BACK));
    net.settle();
    Vote vote = desks.get(0).<Vote>heads(FrameKind.VOTE).get(0);
    net.turn(
        () ->
            desks
                .get(0)
                .send(
                    FrameKind.VOTED,
                    Voted.newBuilder().setId(vote.getId()).setTaken(Taken.MOOT).build()));
    net.turn(() -> module.actions.vote(build, 1, Verdict.BACK));
    net.pass(1100);
    net.turn(
        () ->
            desks
                .get(0)
                .send(
                    FrameKind.VOTED,
                    Voted.newBuilder().setId(vote.getId() + 1).setTaken(Taken.COUNTS).build()));
    net.settle();
    assertEquals(module.calls, List.of("vote MOOT", "vote UNANSWERED"));
  }

  @Test
  public void newsThatCantBeIsRefused() {
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
            desks.get(0).send(FrameKind.NEWS, news);
          }
        });
    net.settle();
    assertEquals(module.calls, List.of("news 2 1 ON_TRIAL 0.5"));
    assertNull(desks.get(0).closeReason);
  }

  @Test
  public void peersAreToldOverLinksOfTheirOwnAndLossesAreBorne() throws IOException {
    net.turn(() -> module.actions.tellPeers(new byte[] {1}));
    List<RecordingPeer> peers = RecordingPeer.listen(net, Role.RELAY, 1, 1003);
    net.pass(300);
    net.turn(() -> module.actions.tellPeer(1, new byte[] {2}));
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
    assertEquals(module.calls, List.of("peer 1 2", "flagged 7"));
  }
}
