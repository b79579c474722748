package sprucerock.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;
import sprucerock.config.RelayConfig;
import sprucerock.policy.RoutingPolicy;
import sprucerock.relay.frames.RecordingRelayEvents;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Counts;
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
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Work;

/**
 * One stretch of events, given to the simulator's adapter and to the relay: the policy is told the
 * same, in the same order.
 */
public class RelayAndSimulatorParityTest {
  private static final double START_MS = 1000;
  private static final double STEP_MS = 5;
  private static final int STEP_COUNT = 2600;
  private static final int[] DEADLINES_MS = {1502, 2002, 903};
  // by method; between the steps, like real ones

  private static final String SETTINGS =
      """
        balancers=3
        classes.count=3
        classes.0.effect=read_like
        classes.0.on_time=300.0
        classes.0.worth=2.0
        classes.1.effect=idempotency_key
        classes.1.on_time=250.0
        classes.1.window=2000.0
        classes.1.worth=5.0
        classes.2.effect=non_idempotent
        classes.2.on_time=400.0
        classes.2.worth=3.0
        membership_mode=push
        index=0
        my_zone=0
        obligations.ask_within=10000.0
        obligations.cold=3000.0
        obligations.start_capacity=0.4
        obligations.tip_after=1000.0
        obligations.tip_multiple=3.0
        permissions.cancel=true
        permissions.max_retry_after=500.0
        permissions.peers=true
        permissions.retry_after=true
        permissions.second_copies=true
        permissions.send_cap=5
        specifics.ballot_ttl=4000.0
        specifics.call_timeout=1000.0
        specifics.caps=0.125,0.5,1.0
        specifics.per=all
        specifics.sums_every=2000.0
        specifics.uncounted=3.0
        specifics.vote_mode=single
        tick=5.0
        """;

  /**
   * How and when an endpoint ends an attempt: the same at both hosts, by the attempt alone. Every
   * 20th is never answered.
   */
  private static int latencyMs(long rpc, int number) {
    return 5 * (2 + new SplittableRandom(rpc * 31 + number).nextInt(12));
  }

  private static int outcomeCode(long rpc, int number, long endpoint) {
    // 1 ok, 0 error, 2 full, -1 silence
    int dice = new SplittableRandom(rpc * 17 + number + 5).nextInt(100);
    if (endpoint >= 100 && dice < 30) {
      return 0;
    }
    return dice < 5 ? -1 : dice < 8 ? 0 : dice < 11 ? 2 : 1;
  }

  /** What the stretch gives to a host; a listing's age is in milliseconds, 0 long ago. */
  private interface PolicyDriver {
    void step();

    void arriveRpc(long id, int method, long key);

    void disconnectClient(long id);

    void listEndpoint(long endpoint, int build, int health, double age);

    void changeRollout(int build, int stage, int standing, float cap, double lasted);

    void sendCounts(int build, int method, int attempts, int failed, double mean);

    void sendPeerMessage(int sender, byte[] contents);

    void reportWrongAnswer(long endpoint, double ago);
  }

  private static void playEvents(PolicyDriver side) {
    SplittableRandom random = new SplittableRandom(7);
    for (int endpoint = 1; endpoint <= 5; endpoint++) {
      side.listEndpoint(endpoint, 1, 1, 0);
    }
    side.changeRollout(1, 2, 2, 1, 60_000);
    long lastRpc = 0;
    for (int i = 0; i < STEP_COUNT; i++) {
      side.step();
      if (i == 300) {
        side.listEndpoint(2, 1, 2, 0);
      }
      if (i == 340) {
        side.listEndpoint(2, 1, 0, 0);
      }
      if (i == 400) {
        for (int endpoint = 100; endpoint < 103; endpoint++) {
          side.listEndpoint(endpoint, 2, 1, 50);
        }
        side.changeRollout(2, 0, 0, 0.125f, 10);
      }
      if (i == 1500) {
        side.changeRollout(2, 1, 0, 0.5f, 20);
      }
      if (i == 2200) {
        side.changeRollout(2, 1, 1, 0, 15);
      }
      if (i == 2250) {
        for (int endpoint = 100; endpoint < 103; endpoint++) {
          side.listEndpoint(endpoint, 2, 2, 0);
        }
      }
      if (i == 900) {
        side.listEndpoint(3, 1, 1, 40);
        // as another run
      }
      if (i % 400 == 399) {
        for (int method = 0; method < 3; method++) {
          side.sendCounts(1, method, 40, 2, 60);
        }
      }
      if (i == 1700) {
        side.sendPeerMessage(1, new byte[] {3, 2, 1, 4, 1, 0, 1, 0});
      }
      if (i == 1710) {
        side.sendPeerMessage(2, new byte[] {1, 9, 9, 0});
      }
      if (i == 1800) {
        side.reportWrongAnswer(101, 300);
      }
      if (random.nextInt(100) < 35) {
        side.arriveRpc(++lastRpc, random.nextInt(3), random.nextInt(50));
      }
      if (lastRpc > 0 && random.nextInt(100) < 2) {
        side.disconnectClient(lastRpc);
      }
    }
  }

  /** The bench's world around its adapter, as far as the stretch needs it. */
  private static final class SimulatorDriver implements PolicyDriver {
    private record Timer(double when, long order, Runnable what) {}

    private final RecordingRelayEvents recorder = new RecordingRelayEvents();
    private final ReplyWriter replies = new ReplyWriter();
    private final SimulatedRelay relay =
        new SimulatedRelay(
            3,
            replies,
            (host, settings, seed) -> {
              recorder.clock = host;
              recorder.delegate = new RoutingPolicy(host, settings, seed);
              return recorder;
            });
    private final PriorityQueue<Timer> timers =
        new PriorityQueue<>(
            (a, b) ->
                a.when != b.when ? Double.compare(a.when, b.when) : Long.compare(a.order, b.order));
    private final TreeMap<Double, TreeMap<Long, Runnable>> answers = new TreeMap<>();
    private final Map<Long, List<Long>> attempts = new HashMap<>();
    private final Map<Long, Double> startedAt = new HashMap<>();
    private final Map<Long, Double> sentAt = new HashMap<>();
    private final Map<Long, Double> deadlines = new HashMap<>();
    private final Map<Long, double[]> openRpcs = new HashMap<>();
    private final List<String> endedRpcs = new ArrayList<>();
    private final List<Runnable> pendingVotes = new ArrayList<>();
    private double now = START_MS;
    private long order;
    private News lastNews;

    SimulatorDriver() {
      relay.start(Timestamp.ofMs(now), 1, SETTINGS);
      applyReplies();
    }

    private ByteBuffer fields(int bytes) {
      return ByteBuffer.allocate(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    private void handleEvent(int code, ByteBuffer fields) {
      assertTrue(relay.handleEvent(code, fields.flip(), Timestamp.ofMs(now)));
      applyReplies();
    }

    private void applyReplies() {
      ByteBuffer frame =
          ByteBuffer.wrap(replies.takeFrame(1)).order(ByteOrder.LITTLE_ENDIAN).position(12);
      List<Runnable> cancels = new ArrayList<>();
      while (frame.hasRemaining()) {
        int code = frame.get() & 0xff;
        int end = frame.getInt() + frame.position();
        frame.getInt();
        switch (code) {
          case 10 -> attemptSent(frame.getInt(), frame.getInt(), frame.getDouble());
          case 20, 30 -> {
            long id = frame.getInt();
            if (!openRpcs.containsKey(id)) {
              break;
            }
            openRpcs.remove(id);
            endedRpcs.add(id + (code == 20 ? " PUSHED_BACK" : " ABORTED"));
          }
          case 40 -> {
            long id = frame.getInt();
            int attempt = frame.get();
            cancels.add(() -> attemptEnded(id, attempt, 6));
          }
          case 50 -> {
            int token = frame.getInt();
            timers.add(
                new Timer(
                    frame.getDouble(), order++, () -> handleEvent(70, fields(4).putInt(token))));
          }
          case 100 -> throw new AssertionError(new String(frame.array(), StandardCharsets.UTF_8));
          case 130 -> pendingVotes.add(() -> answerVote());
          default -> {}
        }
        frame.position(end);
      }
      cancels.forEach(Runnable::run);
    }

    private void attemptSent(long id, long endpoint, double timeoutMs) {
      List<Long> endpoints = attempts.computeIfAbsent(id, key -> new ArrayList<>());
      int attempt = endpoints.size();
      endpoints.add(endpoint);
      sentAt.put(id * 100 + attempt, now);
      double until = Math.min(deadlines.get(id), timeoutMs > 0 ? now + timeoutMs : 1e12);
      timers.add(new Timer(until, order++, () -> attemptEnded(id, attempt, 3)));
      int how = outcomeCode(id, attempt, endpoint);
      if (how >= 0) {
        answers
            .computeIfAbsent(now + latencyMs(id, attempt), key -> new TreeMap<>())
            .put(id * 100 + attempt, () -> attemptEnded(id, attempt, how));
      }
    }

    private void attemptEnded(long id, int attempt, int how) {
      Long endpoint = attempts.get(id).get(attempt);
      if (endpoint < 0) {
        return;
        // ended already
      }
      attempts.get(id).set(attempt, -1L);
      boolean closes = !openRpcs.containsKey(id) || how == 1;
      if (openRpcs.containsKey(id) && how == 1) {
        openRpcs.remove(id);
        endedRpcs.add(id + " OK");
      }
      handleEvent(
          50,
          fields(30)
              .putInt((int) id)
              .put((byte) attempt)
              .putDouble(now - sentAt.get(id * 100 + attempt))
              .put((byte) (closes ? 1 : 0))
              .putInt((int) (long) endpoint)
              .put((byte) how)
              .put((byte) 0));
    }

    @Override
    public void step() {
      now += STEP_MS;
      while (!timers.isEmpty() && timers.peek().when <= now + 1e-9) {
        timers.poll().what.run();
      }
      for (Runnable vote : List.copyOf(pendingVotes)) {
        vote.run();
      }
      pendingVotes.subList(0, pendingVotes.size()).clear();
      while (!answers.isEmpty() && answers.firstKey() <= now + 1e-9) {
        answers.pollFirstEntry().getValue().values().forEach(Runnable::run);
      }
    }

    private void answerVote() {
      News news = lastNews;
      handleEvent(
          110,
          fields(30)
              .putShort((short) news.getBuild())
              .put((byte) news.getStage())
              .put((byte) (news.getStanding().getNumber() - 1))
              .put((byte) 1)
              .put((byte) 1)
              .putFloat((float) news.getCap())
              .putDouble(100));
    }

    @Override
    public void arriveRpc(long id, int method, long key) {
      deadlines.put(id, now + DEADLINES_MS[method]);
      openRpcs.put(id, new double[0]);
      handleEvent(
          30,
          fields(50)
              .putInt((int) id)
              .putShort((short) method)
              .putInt(0)
              .putLong(key)
              .putDouble(now + DEADLINES_MS[method])
              .putDouble(0)
              .put((byte) 0));
    }

    @Override
    public void disconnectClient(long id) {
      if (openRpcs.remove(id) != null) {
        handleEvent(60, fields(4).putInt((int) id));
      }
    }

    @Override
    public void listEndpoint(long endpoint, int build, int health, double age) {
      if (age > 0) {
        startedAt.put(endpoint, now - age);
      }
      relay.endpointListReceived(
          Timestamp.ofMs(now),
          0,
          new SimulationHost.ListedEndpoint[] {
            new SimulationHost.ListedEndpoint(
                endpoint, 0, 0, 0, build, health, 1, startedAt.getOrDefault(endpoint, 0.0))
          });
      applyReplies();
    }

    @Override
    public void changeRollout(int build, int stage, int standing, float cap, double lasted) {
      lastNews =
          News.newBuilder()
              .setBuild(build)
              .setStage(stage)
              .setStandingValue(standing + 1)
              .setCap(cap)
              .build();
      handleEvent(
          110,
          fields(30)
              .putShort((short) build)
              .put((byte) stage)
              .put((byte) standing)
              .put((byte) 0)
              .put((byte) 1)
              .putFloat(cap)
              .putDouble(lasted));
    }

    @Override
    public void sendCounts(int build, int method, int seen, int failed, double mean) {
      handleEvent(
          120,
          fields(40)
              .putShort((short) build)
              .putShort((short) method)
              .putInt(seen)
              .putInt(failed)
              .putDouble(mean)
              .putDouble(0));
    }

    @Override
    public void sendPeerMessage(int sender, byte[] contents) {
      handleEvent(90, fields(20).putInt(sender).putShort((short) contents.length).put(contents));
    }

    @Override
    public void reportWrongAnswer(long endpoint, double ago) {
      handleEvent(130, fields(20).putInt((int) endpoint).putShort((short) 0).putDouble(ago));
    }
  }

  /** The same stretch over the relay's links. */
  private static final class RelayDriver implements PolicyDriver {
    private final RecordingRelayEvents recorder = new RecordingRelayEvents();
    private final SimulatedNet net = new SimulatedNet(START_MS, STEP_MS);
    private final List<RecordingPeer> discoveries = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    private final List<RecordingPeer> controllers = RecordingPeer.listen(net, Role.DESK, 0, 1002);
    private final Map<Long, List<RecordingPeer>> endpointPeers = new TreeMap<>();
    private final Map<RecordingPeer, Integer> readFrames = new HashMap<>();
    private final Map<Long, Integer> attemptsByRpc = new HashMap<>();
    private final TreeMap<Double, TreeMap<Long, Runnable>> answers = new TreeMap<>();
    private final RecordingPeer client;
    private final Map<Integer, RecordingPeer> peers = new TreeMap<>();
    private int votesSeen;
    private News lastNews;

    RelayDriver() throws Exception {
      Path file = Files.createTempFile("both", ".xml");
      Files.writeString(
          file,
          """
                <relay xmlns="urn:sprucerock:relay:1" name="r0" number="0" seed="1">
                  <listen host="127.0.0.1" port="1000"/><roster host="127.0.0.1" port="1001"/><desk host="127.0.0.1" port="1002"/>
                  <limits wait-for-list="0ms"/><connections picks-each="1000"/>
                  <site relays="3" tick="5ms">
                    <method name="a" effect="idempotent" soft-deadline="300ms" deadline="9s" utility="2"/>
                    <method name="b" effect="tokened" window="2s" soft-deadline="250ms" deadline="9s" utility="5"/>
                    <method name="c" effect="non-idempotent" soft-deadline="400ms" deadline="9s" utility="3"/>
                    <stage cap="0.125"/><stage cap="0.5"/><stage cap="1"/>
                    <rules drain-grace="500ms" cold="3s" start-capacity="0.4" tip-multiple="3" tip-after="1s" counted-over="3s" free-picks="3"/>
                    <allowed picks="5" second-copies="true" cancel="true" peers="true" retry-after="true" most-retry-after="500ms"/>
                    <votes control="single" life="4s" answer-within="1s" counts-every="2s"/>
                  </site>
                </relay>
                """);
      sprucerock.relay.frames.FrameRelay relay =
          new sprucerock.relay.frames.FrameRelay(RelayConfig.read(file), net, FrameTap.NONE);
      Files.delete(file);
      relay.start(
          (host, settings, seed) -> {
            recorder.clock = host;
            recorder.delegate = new RoutingPolicy(host, settings, seed);
            return recorder;
          });
      client = RecordingPeer.connect(net, Role.CLIENT, 3, 1000);
      for (int i = 1; i < 3; i++) {
        peers.put(i, RecordingPeer.connect(net, Role.RELAY, i, 1000));
      }
      net.settle();
    }

    private void runAndSettle(Runnable what) {
      net.turn(what);
      net.settle();
      answerNewWork();
    }

    private void answerNewWork() {
      for (Map.Entry<Long, List<RecordingPeer>> endpoint : endpointPeers.entrySet()) {
        for (RecordingPeer connection : endpoint.getValue()) {
          List<RecordingPeer.ReceivedFrame> got = connection.received;
          for (int i = readFrames.merge(connection, 0, Integer::sum); i < got.size(); i++) {
            if (got.get(i).kind() == FrameKind.WORK) {
              scheduleAnswer(
                  endpoint.getKey(),
                  connection,
                  (Work) got.get(i).head(),
                  ByteBuffer.wrap(got.get(i).body()).getLong());
            }
          }
          readFrames.put(connection, got.size());
        }
      }
    }

    private void scheduleAnswer(long endpoint, RecordingPeer connection, Work work, long rpc) {
      int attempt = attemptsByRpc.merge(rpc, 1, Integer::sum) - 1;
      int how = outcomeCode(rpc, attempt, endpoint);
      if (how < 0) {
        return;
      }
      Result result = how == 1 ? Result.DONE : how == 2 ? Result.FULL : Result.ERROR;
      answers
          .computeIfAbsent(net.now().ms() + latencyMs(rpc, attempt), key -> new TreeMap<>())
          .put(
              rpc * 100 + attempt,
              () ->
                  runAndSettle(
                      () ->
                          connection.send(
                              FrameKind.DONE,
                              Done.newBuilder().setId(work.getId()).setResult(result).build())));
    }

    @Override
    public void step() {
      net.pass(STEP_MS);
      answerNewWork();
      List<Vote> votes = controllers.get(0).heads(FrameKind.VOTE);
      for (int many = votes.size(); votesSeen < many; votesSeen++) {
        long id = votes.get(votesSeen).getId();
        runAndSettle(
            () ->
                controllers
                    .get(0)
                    .send(
                        FrameKind.VOTED,
                        Voted.newBuilder().setId(id).setTaken(Taken.COUNTS).build()));
        runAndSettle(
            () ->
                controllers
                    .get(0)
                    .send(FrameKind.NEWS, lastNews.toBuilder().setLastedUs(100_000).build()));
      }
      while (!answers.isEmpty() && answers.firstKey() <= net.now().ms() + 1e-9) {
        answers.pollFirstEntry().getValue().values().forEach(Runnable::run);
      }
    }

    @Override
    public void arriveRpc(long id, int method, long key) {
      byte[] body = ByteBuffer.allocate(8).putLong(id).array();
      runAndSettle(
          () ->
              client.send(
                  FrameKind.CALL,
                  Call.newBuilder()
                      .setId(id)
                      .setMethod(method)
                      .setKey(key)
                      .setLeftUs(DEADLINES_MS[method] * 1000L)
                      .build(),
                  body));
    }

    @Override
    public void disconnectClient(long id) {
      runAndSettle(() -> client.send(FrameKind.LEAVE, Leave.newBuilder().setId(id).build()));
    }

    @Override
    public void listEndpoint(long endpoint, int build, int health, double age) {
      int port = 2000 + (int) endpoint;
      if (!endpointPeers.containsKey(endpoint)) {
        try {
          endpointPeers.put(endpoint, RecordingPeer.listen(net, Role.UNIT, (int) endpoint, port));
        } catch (java.io.IOException e) {
          throw new AssertionError(e);
        }
      }
      Health said = health == 1 ? Health.READY : health == 2 ? Health.DRAINING : Health.GONE;
      int run = endpoint == 3 && age > 0 ? 2 : 1;
      runAndSettle(
          () ->
              discoveries
                  .get(0)
                  .send(
                      FrameKind.LISTING,
                      Listing.newBuilder()
                          .setForm(Form.CHANGES)
                          .addEntries(
                              Entry.newBuilder()
                                  .setUnit(endpoint)
                                  .setRun(run)
                                  .setHost("127.0.0.1")
                                  .setPort(port)
                                  .setBuild(build)
                                  .setHealth(said)
                                  .setWeight(1)
                                  .setAgeUs((long) (age * 1000)))
                          .build()));
    }

    @Override
    public void changeRollout(int build, int stage, int standing, float cap, double lasted) {
      lastNews =
          News.newBuilder()
              .setBuild(build)
              .setStage(stage)
              .setStanding(Stand.forNumber(standing + 1))
              .setCap(cap)
              .setLastedUs((long) (lasted * 1000))
              .build();
      runAndSettle(() -> controllers.get(0).send(FrameKind.NEWS, lastNews));
    }

    @Override
    public void sendCounts(int build, int method, int attempts, int failed, double mean) {
      runAndSettle(
          () ->
              controllers
                  .get(0)
                  .send(
                      FrameKind.COUNTS,
                      Counts.newBuilder()
                          .setBuild(build)
                          .setMethod(method)
                          .setPicks(attempts)
                          .setFailed(failed)
                          .setMeanUs((long) (mean * 1000))
                          .build()));
    }

    @Override
    public void sendPeerMessage(int sender, byte[] contents) {
      runAndSettle(
          () ->
              peers
                  .get(sender)
                  .send(
                      FrameKind.TOLD,
                      sprucerock.transport.wire.v1.Told.getDefaultInstance(),
                      contents));
    }

    @Override
    public void reportWrongAnswer(long endpoint, double ago) {
      runAndSettle(
          () ->
              client.send(
                  FrameKind.FLAG,
                  Flag.newBuilder().setUnit(endpoint).setAgoUs((long) (ago * 1000)).build()));
    }

    List<String> endedRpcs() {
      return client.<Answer>heads(FrameKind.ANSWER).stream()
          .map(one -> one.getId() + " " + one.getEnding())
          .toList();
    }
  }

  @Test
  public void sameEventsCauseTheSamePolicyCallsInBothHosts() throws Exception {
    SimulatorDriver bench = new SimulatorDriver();
    RelayDriver connected = new RelayDriver();
    playEvents(bench);
    playEvents(connected);
    for (int i = 0;
        i < Math.min(bench.recorder.calls.size(), connected.recorder.calls.size());
        i++) {
      int at = i;
      assertEquals(
          connected.recorder.calls.get(i),
          bench.recorder.calls.get(i),
          "call " + i + " after " + bench.recorder.calls.subList(Math.max(0, at - 5), at));
    }
    assertEquals(connected.recorder.calls.size(), bench.recorder.calls.size());
    assertEquals(connected.endedRpcs(), bench.endedRpcs);
    // the comparison covers everything the policy can be notified of
    String all = String.join("\n", bench.recorder.calls);
    for (String part :
        new String[] {
          " OK answers",
          " ERROR",
          " FULL",
          " TIMED_OUT",
          " CANCELLED",
          "left ",
          "leaving ",
          "vote COUNTS",
          "counted ",
          "flagged ",
          "peer ",
          "news 2 1 GOING_BACK"
        }) {
      assertTrue(all.contains(part), "no " + part);
    }
    assertTrue(bench.recorder.calls.size() > 2000, "only " + bench.recorder.calls.size());
  }
}
