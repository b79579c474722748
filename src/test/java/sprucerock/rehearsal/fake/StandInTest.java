package sprucerock.rehearsal.fake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Say;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Watch;
import sprucerock.transport.wire.v1.Work;

/** The stand-ins do to a relay what their command says, in simulated time. */
public class StandInTest {
  private SimulatedNet net;
  private TraceWriter trace;
  private Path file;
  private Site site;

  @BeforeMethod
  public void begin() throws Exception {
    net = new SimulatedNet(0, 1);
    Path folder = Files.createTempDirectory("standins");
    file = folder.resolve("t.trace");
    trace = new TraceWriter(net, file, "test");
    site = site(Site.Control.SINGLE, 1, 1);
  }

  private static Site site(Site.Control control, int on, int back) {
    TimeSpan soft = TimeSpan.ofMs(100);
    TimeSpan deadline = TimeSpan.ofMs(1000);
    return new Site(
        List.of(
            new Site.Method(
                "read", Site.Effect.IDEMPOTENT, 0.4, 10, soft, deadline, 1, TimeSpan.ZERO),
            new Site.Method(
                "reserve", Site.Effect.TOKENED, 0.3, 10, soft, deadline, 1, TimeSpan.ofMs(2000)),
            new Site.Method(
                "pay", Site.Effect.NON_IDEMPOTENT, 0.3, 10, soft, deadline, 1, TimeSpan.ZERO)),
        List.of(),
        List.of(new Site.Stage(0.1, 0.1), new Site.Stage(1, 1)),
        new Site.Desk(
            control,
            on,
            1,
            back,
            TimeSpan.ofMs(4000),
            TimeSpan.ofMs(500),
            TimeSpan.ofMs(2000),
            TimeSpan.ofMs(1000),
            1),
        new Site.Cold(0.4, TimeSpan.ofMs(3000), 3, TimeSpan.ofMs(1000)));
  }

  private FakeEndpoint unit(BuildFault fault, boolean cold) throws Exception {
    FakeEndpoint endpoint =
        new FakeEndpoint(
            net,
            trace,
            RecordingPeer.LIMITS,
            7,
            1,
            0,
            2,
            1,
            fault,
            site,
            new Shared(),
            (a, b, c, d) -> {},
            5);
    // in memory there is no system that gives out ports
    endpoint.start(cold);
    return endpoint;
  }

  private RecordingPeer at(int port) {
    RecordingPeer person = RecordingPeer.connect(net, Role.RELAY, 0, port);
    net.settle();
    return person;
  }

  private void work(RecordingPeer relay, long id, int method, long token, long leftMs) {
    net.turn(
        () ->
            relay.send(
                FrameKind.WORK,
                Work.newBuilder()
                    .setId(id)
                    .setMethod(method)
                    .setToken(token)
                    .setLeftUs(leftMs * 1000)
                    .build(),
                (byte) id,
                (byte) 1));
    net.settle();
  }

  private List<String> results(RecordingPeer relay) {
    return relay.<Done>heads(FrameKind.DONE).stream()
        .map(one -> one.getId() + " " + one.getResult())
        .toList();
  }

  private long noted(String name) throws Exception {
    return Files.readAllLines(file).stream()
        .filter(line -> line.contains("\t!\t" + name + "\t"))
        .count();
  }

  @Test
  public void aUnitWorksRefusesPastItsQueueAndDropsWhatNobodyWaitsFor() throws Exception {
    FakeEndpoint endpoint = unit(BuildFault.GOOD, false);
    RecordingPeer relay = at(endpoint.port());
    work(relay, 1, 0, 0, 1000);
    net.pass(60);
    assertEquals(results(relay), List.of("1 DONE"));
    endpoint.hang(true);
    for (int i = 2; i < 80; i++) {
      work(relay, i, 0, 0, 20);
    }
    assertEquals(
        relay.<Done>heads(FrameKind.DONE).size(), 1 + 78 - 64, "two cores, 32 waiting each");
    net.pass(500);
    endpoint.hang(false);
    net.pass(200);
    assertEquals(relay.<Done>heads(FrameKind.DONE).size(), 15, "all that waited is overdue");
    endpoint.drain();
    work(relay, 99, 0, 0, 1000);
    assertEquals(results(relay).get(15), "99 FULL");
  }

  @Test
  public void tokenedRepeatsAreDroppedAndEffectsNoted() throws Exception {
    FakeEndpoint endpoint = unit(BuildFault.GOOD, false);
    RecordingPeer relay = at(endpoint.port());
    work(relay, 1, 1, 55, 1000);
    net.pass(60);
    work(relay, 2, 1, 55, 1000);
    work(relay, 3, 2, 0, 1000);
    net.pass(100);
    assertEquals(results(relay).stream().sorted().toList(), List.of("1 DONE", "2 DONE", "3 DONE"));
    assertEquals(noted("EFFECT"), 2);
    assertEquals(noted("REPEAT_DROPPED"), 1);
    net.pass(2500);
    work(relay, 4, 1, 55, 1000);
    net.pass(100);
    assertEquals(noted("EFFECT"), 3, "past the window it is another");
  }

  @Test
  public void faultsOfUnitsAndBuildsShowAsTheyShould() throws Exception {
    FakeEndpoint endpoint = unit(new BuildFault(BuildFault.What.METHOD, 1, 2), false);
    RecordingPeer relay = at(endpoint.port());
    work(relay, 1, 0, 0, 1000);
    work(relay, 2, 2, 0, 1000);
    net.pass(100);
    assertEquals(results(relay).stream().sorted().toList(), List.of("1 DONE", "2 ERROR"));
    endpoint.loseAnswers(1);
    work(relay, 3, 0, 0, 1000);
    net.pass(100);
    assertEquals(results(relay).size(), 2);
    endpoint.loseAnswers(0);
    endpoint.rubbish(true);
    work(relay, 4, 0, 0, 1000);
    net.pass(100);
    assertEquals(relay.heads(FrameKind.WORK).size(), 1);
    endpoint.connections(0);
    net.settle();
    assertEquals(relay.closeReason, "closed by the other side");
  }

  @Test
  public void aColdUnitPushedPastWhatItBearsFallsOverAndStaysDown() throws Exception {
    FakeEndpoint endpoint = unit(BuildFault.GOOD, true);
    RecordingPeer relay = at(endpoint.port());
    for (int i = 0; i < 100; i++) {
      work(relay, i, 0, 0, 1000);
    }
    assertFalse(
        endpoint.hasFallen(), "about a second of work is what two cores at 40% bear thrice over");
    for (int i = 100; i < 500; i++) {
      work(relay, i, 0, 0, 1000);
    }
    assertTrue(endpoint.hasFallen());
    endpoint.start(true);
    assertTrue(endpoint.isDown());
    assertEquals(noted("FELL"), 1);
  }

  @Test
  public void theRosterTellsLateAndInOrder() throws Exception {
    FakeDiscovery roster = new FakeDiscovery(net, trace, RecordingPeer.LIMITS, TimeSpan.ofMs(300));
    RecordingPeer relay = at(roster.start());
    net.turn(() -> relay.send(FrameKind.WATCH, Watch.getDefaultInstance()));
    net.settle();
    Entry.Builder entry = Entry.newBuilder().setUnit(1).setRun(1).setHealth(Health.READY);
    roster.late(TimeSpan.ofMs(1000));
    roster.changed(entry.build(), null);
    roster.late(TimeSpan.ZERO);
    roster.changed(entry.setHealth(Health.DRAINING).build(), null);
    net.pass(1200);
    assertEquals(relay.<Listing>heads(FrameKind.LISTING).size(), 1, "the whole list, empty");
    net.pass(200);
    assertEquals(
        relay.<Listing>heads(FrameKind.LISTING).stream()
            .flatMap(one -> one.getEntriesList().stream())
            .map(Entry::getHealth)
            .toList(),
        List.of(Health.READY, Health.DRAINING));
    roster.down(true);
    net.settle();
    assertEquals(relay.closeReason, "closed by the other side");
  }

  private final List<String> places = new ArrayList<>();

  private FakeController desk(Site ofSite) {
    places.clear();
    return new FakeController(
        net,
        trace,
        RecordingPeer.LIMITS,
        ofSite,
        new FakeController.Places() {
          @Override
          public void enter(int build, int stage) {
            places.add("enter " + build + "/" + stage);
          }

          @Override
          public void released(int build) {
            places.add("released " + build);
          }

          @Override
          public void takeOff(int build) {
            places.add("off " + build);
          }
        },
        1,
        5);
  }

  private void vote(RecordingPeer relay, int stage, Say say) {
    net.turn(
        () ->
            relay.send(
                FrameKind.VOTE,
                Vote.newBuilder().setId(stage).setBuild(2).setStage(stage).setSay(say).build()));
    net.settle();
  }

  private List<Taken> taken(RecordingPeer relay) {
    return relay.<Voted>heads(FrameKind.VOTED).stream().map(Voted::getTaken).toList();
  }

  @Test
  public void oneVoteMovesABuildAndOneCallsItBackEvenOnceReleased() throws Exception {
    FakeController desk = desk(site);
    RecordingPeer relay = at(desk.start());
    net.pass(300);
    assertEquals(relay.<News>heads(FrameKind.NEWS).get(0).getStanding(), Stand.RELEASED);
    desk.offer(2);
    vote(relay, 0, Say.ON);
    net.pass(1000);
    assertEquals(desk.stage(), 0, "it has not run for its least time");
    net.pass(700);
    assertEquals(desk.stage(), 1);
    vote(relay, 0, Say.ON);
    vote(relay, 1, Say.ON);
    net.pass(1700);
    assertEquals(desk.standing(), Stand.RELEASED);
    vote(relay, 1, Say.BACK);
    net.pass(1700);
    assertEquals(desk.standing(), Stand.WITHDRAWN);
    assertEquals(places, List.of("enter 2/0", "enter 2/1", "released 2", "off 2"));
    assertEquals(taken(relay), List.of(Taken.COUNTS, Taken.MOOT, Taken.COUNTS, Taken.COUNTS));
    News last = relay.<News>heads(FrameKind.NEWS).get(relay.<News>heads(FrameKind.NEWS).size() - 1);
    assertEquals(last.getCap(), 0.0);
  }

  @Test
  public void amongManyAMajorityMovesAndVotesExpire() throws Exception {
    FakeController desk = desk(site(Site.Control.MAJORITY, 2, 2));
    int port = desk.start();
    RecordingPeer one = RecordingPeer.connect(net, Role.RELAY, 1, port);
    RecordingPeer two = RecordingPeer.connect(net, Role.RELAY, 2, port);
    net.pass(10);
    desk.offer(2);
    vote(one, 0, Say.ON);
    net.pass(4100);
    vote(two, 0, Say.ON);
    net.pass(100);
    assertEquals(desk.stage(), 0, "the first vote has expired");
    vote(one, 0, Say.ON);
    net.pass(100);
    assertEquals(desk.stage(), 1);
    vote(one, 1, Say.BACK);
    assertEquals(desk.standing(), Stand.ON_TRIAL);
    vote(two, 1, Say.BACK);
    assertEquals(desk.standing(), Stand.GOING_BACK);
  }

  @Test
  public void theClockMovesAStageUnlessSomeoneHolds() throws Exception {
    FakeController desk = desk(site(Site.Control.CLOCKED, 0, 1));
    RecordingPeer relay = at(desk.start());
    desk.offer(2);
    vote(relay, 0, Say.HOLD);
    net.pass(3900);
    assertEquals(desk.stage(), 0);
    net.pass(4000);
    assertEquals(desk.stage(), 1);
    desk.down(true);
    vote(relay, 1, Say.BACK);
    assertEquals(taken(relay), List.of(Taken.COUNTS), "a desk that is down answers nothing");
    net.pass(500);
    assertEquals(desk.standing(), Stand.ON_TRIAL);
  }

  @Test
  public void clientsTryAgainOnlyAsTheirMethodAllows() throws Exception {
    List<RecordingPeer> relays = RecordingPeer.listen(net, Role.RELAY, 0, 3000);
    Map<FakeClient.End, Integer> ends = new HashMap<>();
    Map<Integer, Integer> tries = new HashMap<>();
    FakeClient client =
        new FakeClient(
            net,
            trace,
            RecordingPeer.LIMITS,
            site,
            new FakeClient.Manners(2, TimeSpan.ofMs(20), 0, 0),
            new FakeClient.Ear() {
              @Override
              public void asked(FakeClient.Order order) {}

              @Override
              public void ended(FakeClient.Order order, FakeClient.End end) {
                ends.merge(end, 1, Integer::sum);
                tries.merge(order.method, order.tries, Math::max);
              }
            },
            1,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 3000),
            200,
            9);
    client.start();
    net.pass(10);
    RecordingPeer relay = relays.get(0);
    for (int i = 0, answered = 0; i < 1500; i++) {
      net.pass(1);
      List<Call> calls = relay.heads(FrameKind.CALL);
      for (; answered < calls.size(); answered++) {
        long id = calls.get(answered).getId();
        net.turn(
            () ->
                relay.send(
                    FrameKind.ANSWER,
                    Answer.newBuilder().setId(id).setEnding(Ending.ABORTED).build()));
      }
      if (i == 400) {
        client.stop();
      }
    }
    assertEquals(ends.keySet(), java.util.Set.of(FakeClient.End.ABORTED));
    assertEquals(tries, Map.of(0, 3, 1, 3, 2, 1));
    assertEquals(client.open(), 0);
  }
}
