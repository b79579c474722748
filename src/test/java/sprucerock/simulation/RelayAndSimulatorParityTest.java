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
 * Plays the same events through the simulator's adapter and through the relay, and checks that the
 * policy gets the same calls in the same order.
 */
public class RelayAndSimulatorParityTest {
  private static final double START_MS = 1000;
  private static final double STEP_MS = 5;
  private static final int STEP_COUNT = 2600;
  // Deadlines by method. Like real ones, they fall between two steps.
  private static final int[] DEADLINES_MS = {1502, 2002, 903};

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
   * The time until an endpoint answers an attempt. The time depends on the attempt only, so it is
   * the same in both hosts.
   */
  private static int latencyMs(long rpc, int number) {
    return 5 * (2 + new SplittableRandom(rpc * 31 + number).nextInt(12));
  }

  /**
   * The result of an attempt, the same in both hosts: 1 OK, 0 error, 2 full, -1 no answer. One
   * attempt in 20 gets no answer. The canary's endpoints, from 100, answer 30% with an error.
   */
  private static int outcomeCode(long rpc, int number, long endpoint) {
    int roll = new SplittableRandom(rpc * 17 + number + 5).nextInt(100);
    if (endpoint >= 100 && roll < 30) {
      return 0;
    }
    return roll < 5 ? -1 : roll < 8 ? 0 : roll < 11 ? 2 : 1;
  }

  /**
   * Passes events to a host. An endpoint's health is 0 (gone), 1 (ready) or 2 (draining); its age
   * is 0 if it started long ago. The state of a rollout is the ordinal of a RolloutState.
   */
  private interface PolicyDriver {
    void step();

    void arriveRpc(long id, int method, long key);

    void disconnectClient(long id);

    void listEndpoint(long endpoint, int build, int health, double ageMs);

    void changeRollout(int build, int stage, int state, float cap, double lastedMs);

    void sendCounts(int build, int method, int attempts, int failed, double meanMs);

    void sendPeerMessage(int sender, byte[] contents);

    void reportWrongAnswer(long endpoint, double agoMs);
  }

  private static void playEvents(PolicyDriver driver) {
    SplittableRandom random = new SplittableRandom(7);
    for (int endpoint = 1; endpoint <= 5; endpoint++) {
      driver.listEndpoint(endpoint, 1, 1, 0);
    }
    driver.changeRollout(1, 2, 2, 1, 60_000);
    long lastRpc = 0;
    for (int i = 0; i < STEP_COUNT; i++) {
      driver.step();
      if (i == 300) {
        driver.listEndpoint(2, 1, 2, 0);
      }
      if (i == 340) {
        driver.listEndpoint(2, 1, 0, 0);
      }
      if (i == 400) {
        for (int endpoint = 100; endpoint < 103; endpoint++) {
          driver.listEndpoint(endpoint, 2, 1, 50);
        }
        driver.changeRollout(2, 0, 0, 0.125f, 10);
      }
      if (i == 1500) {
        driver.changeRollout(2, 1, 0, 0.5f, 20);
      }
      if (i == 2200) {
        driver.changeRollout(2, 1, 1, 0, 15);
      }
      if (i == 2250) {
        for (int endpoint = 100; endpoint < 103; endpoint++) {
          driver.listEndpoint(endpoint, 2, 2, 0);
        }
      }
      if (i == 900) {
        // Another incarnation of the endpoint.
        driver.listEndpoint(3, 1, 1, 40);
      }
      if (i % 400 == 399) {
        for (int method = 0; method < 3; method++) {
          driver.sendCounts(1, method, 40, 2, 60);
        }
      }
      if (i == 1700) {
        driver.sendPeerMessage(1, new byte[] {3, 2, 1, 4, 1, 0, 1, 0});
      }
      if (i == 1710) {
        driver.sendPeerMessage(2, new byte[] {1, 9, 9, 0});
      }
      if (i == 1800) {
        driver.reportWrongAnswer(101, 300);
      }
      if (random.nextInt(100) < 35) {
        driver.arriveRpc(++lastRpc, random.nextInt(3), random.nextInt(50));
      }
      if (lastRpc > 0 && random.nextInt(100) < 2) {
        driver.disconnectClient(lastRpc);
      }
    }
  }

  /** Imitates the simulator around its adapter, as far as the events need it. */
  private static final class SimulatorDriver implements PolicyDriver {
    private record Timer(double when, long order, Runnable task) {}

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
    private final Map<Long, List<Long>> attemptEndpoints = new HashMap<>();
    private final Map<Long, Double> startedAt = new HashMap<>();
    private final Map<Long, Double> sentAt = new HashMap<>();
    private final Map<Long, Double> deadlines = new HashMap<>();
    private final Map<Long, double[]> openRpcs = new HashMap<>();
    private final List<String> endedRpcs = new ArrayList<>();
    private final List<Runnable> pendingVotes = new ArrayList<>();
    private double now = START_MS;
    private long nextTimerOrder;
    private News lastRollout;

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
      // The numbers are the outgoing codes of WireCodes.
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
                    frame.getDouble(),
                    nextTimerOrder++,
                    () -> handleEvent(70, fields(4).putInt(token))));
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
      List<Long> endpoints = attemptEndpoints.computeIfAbsent(id, key -> new ArrayList<>());
      int attempt = endpoints.size();
      endpoints.add(endpoint);
      sentAt.put(id * 100 + attempt, now);
      double until = Math.min(deadlines.get(id), timeoutMs > 0 ? now + timeoutMs : 1e12);
      timers.add(new Timer(until, nextTimerOrder++, () -> attemptEnded(id, attempt, 3)));
      int outcomeCode = outcomeCode(id, attempt, endpoint);
      if (outcomeCode >= 0) {
        answers
            .computeIfAbsent(now + latencyMs(id, attempt), key -> new TreeMap<>())
            .put(id * 100 + attempt, () -> attemptEnded(id, attempt, outcomeCode));
      }
    }

    private void attemptEnded(long id, int attempt, int outcomeCode) {
      Long endpoint = attemptEndpoints.get(id).get(attempt);
      if (endpoint < 0) {
        return; // The attempt has ended already.
      }
      attemptEndpoints.get(id).set(attempt, -1L);
      boolean closes = !openRpcs.containsKey(id) || outcomeCode == 1;
      if (openRpcs.containsKey(id) && outcomeCode == 1) {
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
              .put((byte) outcomeCode)
              .put((byte) 0));
    }

    @Override
    public void step() {
      now += STEP_MS;
      while (!timers.isEmpty() && timers.peek().when <= now + 1e-9) {
        timers.poll().task.run();
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
      News news = lastRollout;
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
    public void listEndpoint(long endpoint, int build, int health, double ageMs) {
      if (ageMs > 0) {
        startedAt.put(endpoint, now - ageMs);
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
    public void changeRollout(int build, int stage, int state, float cap, double lastedMs) {
      lastRollout =
          News.newBuilder()
              .setBuild(build)
              .setStage(stage)
              .setStandingValue(state + 1)
              .setCap(cap)
              .build();
      handleEvent(
          110,
          fields(30)
              .putShort((short) build)
              .put((byte) stage)
              .put((byte) state)
              .put((byte) 0)
              .put((byte) 1)
              .putFloat(cap)
              .putDouble(lastedMs));
    }

    @Override
    public void sendCounts(int build, int method, int attempts, int failed, double meanMs) {
      handleEvent(
          120,
          fields(40)
              .putShort((short) build)
              .putShort((short) method)
              .putInt(attempts)
              .putInt(failed)
              .putDouble(meanMs)
              .putDouble(0));
    }

    @Override
    public void sendPeerMessage(int sender, byte[] contents) {
      handleEvent(90, fields(20).putInt(sender).putShort((short) contents.length).put(contents));
    }

    @Override
    public void reportWrongAnswer(long endpoint, double agoMs) {
      handleEvent(130, fields(20).putInt((int) endpoint).putShort((short) 0).putDouble(agoMs));
    }
  }

  /** Passes the events to a relay over its connections. */
  private static final class RelayDriver implements PolicyDriver {
    private final RecordingRelayEvents recorder = new RecordingRelayEvents();
    private final SimulatedNet net = new SimulatedNet(START_MS, STEP_MS);
    private final List<RecordingPeer> discoveries = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    private final List<RecordingPeer> controllers = RecordingPeer.listen(net, Role.DESK, 0, 1002);
    private final Map<Long, List<RecordingPeer>> endpointPeers = new TreeMap<>();
    private final Map<RecordingPeer, Integer> readFrameCounts = new HashMap<>();
    private final Map<Long, Integer> attemptsByRpc = new HashMap<>();
    private final TreeMap<Double, TreeMap<Long, Runnable>> answers = new TreeMap<>();
    private final RecordingPeer client;
    private final Map<Integer, RecordingPeer> peers = new TreeMap<>();
    private int votesAnswered;
    private News lastRollout;

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

    private void runAndSettle(Runnable task) {
      net.turn(task);
      net.settle();
      answerNewWork();
    }

    private void answerNewWork() {
      for (Map.Entry<Long, List<RecordingPeer>> endpoint : endpointPeers.entrySet()) {
        for (RecordingPeer connection : endpoint.getValue()) {
          List<RecordingPeer.ReceivedFrame> frames = connection.received;
          for (int i = readFrameCounts.merge(connection, 0, Integer::sum); i < frames.size(); i++) {
            if (frames.get(i).kind() == FrameKind.WORK) {
              scheduleAnswer(
                  endpoint.getKey(),
                  connection,
                  (Work) frames.get(i).head(),
                  ByteBuffer.wrap(frames.get(i).body()).getLong());
            }
          }
          readFrameCounts.put(connection, frames.size());
        }
      }
    }

    private void scheduleAnswer(long endpoint, RecordingPeer connection, Work work, long rpc) {
      int attempt = attemptsByRpc.merge(rpc, 1, Integer::sum) - 1;
      int outcomeCode = outcomeCode(rpc, attempt, endpoint);
      if (outcomeCode < 0) {
        return;
      }
      Result result =
          outcomeCode == 1 ? Result.DONE : outcomeCode == 2 ? Result.FULL : Result.ERROR;
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
      for (int voteCount = votes.size(); votesAnswered < voteCount; votesAnswered++) {
        long id = votes.get(votesAnswered).getId();
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
                    .send(FrameKind.NEWS, lastRollout.toBuilder().setLastedUs(100_000).build()));
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
    public void listEndpoint(long endpoint, int build, int health, double ageMs) {
      int port = 2000 + (int) endpoint;
      if (!endpointPeers.containsKey(endpoint)) {
        try {
          endpointPeers.put(endpoint, RecordingPeer.listen(net, Role.UNIT, (int) endpoint, port));
        } catch (java.io.IOException e) {
          throw new AssertionError(e);
        }
      }
      Health listedHealth =
          health == 1 ? Health.READY : health == 2 ? Health.DRAINING : Health.GONE;
      int incarnation = endpoint == 3 && ageMs > 0 ? 2 : 1;
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
                                  .setRun(incarnation)
                                  .setHost("127.0.0.1")
                                  .setPort(port)
                                  .setBuild(build)
                                  .setHealth(listedHealth)
                                  .setWeight(1)
                                  .setAgeUs((long) (ageMs * 1000)))
                          .build()));
    }

    @Override
    public void changeRollout(int build, int stage, int state, float cap, double lastedMs) {
      lastRollout =
          News.newBuilder()
              .setBuild(build)
              .setStage(stage)
              .setStanding(Stand.forNumber(state + 1))
              .setCap(cap)
              .setLastedUs((long) (lastedMs * 1000))
              .build();
      runAndSettle(() -> controllers.get(0).send(FrameKind.NEWS, lastRollout));
    }

    @Override
    public void sendCounts(int build, int method, int attempts, int failed, double meanMs) {
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
                          .setMeanUs((long) (meanMs * 1000))
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
    public void reportWrongAnswer(long endpoint, double agoMs) {
      runAndSettle(
          () ->
              client.send(
                  FrameKind.FLAG,
                  Flag.newBuilder().setUnit(endpoint).setAgoUs((long) (agoMs * 1000)).build()));
    }

    List<String> endedRpcs() {
      return client.<Answer>heads(FrameKind.ANSWER).stream()
          .map(answer -> answer.getId() + " " + answer.getEnding())
          .toList();
    }
  }

  @Test
  public void sameEventsCauseTheSamePolicyCallsInBothHosts() throws Exception {
    SimulatorDriver simulator = new SimulatorDriver();
    RelayDriver relay = new RelayDriver();
    playEvents(simulator);
    playEvents(relay);
    for (int i = 0;
        i < Math.min(simulator.recorder.calls.size(), relay.recorder.calls.size());
        i++) {
      int index = i;
      assertEquals(
          relay.recorder.calls.get(i),
          simulator.recorder.calls.get(i),
          "call "
              + i
              + " after "
              + simulator.recorder.calls.subList(Math.max(0, index - 5), index));
    }
    assertEquals(relay.recorder.calls.size(), simulator.recorder.calls.size());
    assertEquals(relay.endedRpcs(), simulator.endedRpcs);
    // The events must cover all kinds of calls to the policy.
    String allCalls = String.join("\n", simulator.recorder.calls);
    for (String expected :
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
      assertTrue(allCalls.contains(expected), "no " + expected);
    }
    assertTrue(simulator.recorder.calls.size() > 2000, "only " + simulator.recorder.calls.size());
  }
}
