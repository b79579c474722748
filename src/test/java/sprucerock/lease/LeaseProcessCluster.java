package sprucerock.lease;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import sprucerock.rehearsal.fake.FaultProxy;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Told;

/**
 * Five real processes, three of them grantors, that campaign for the same leases. Their connections
 * to the grantors go through fault proxies that cut or reset connections and delay or lose data.
 * Processes are also killed and stopped. This class receives the acts, and checks them together
 * with the processes' act logs.
 */
final class LeaseProcessCluster implements AutoCloseable {
  private record ReceivedAct(String name, long token, boolean admitted) {}

  /**
   * The result of a run.
   *
   * @param acquisitions the number of leases taken over, by the act logs
   * @param acts the number of received acts
   * @param rejectedByToken the number of acts rejected for a lower token
   * @param worstGapMs the longest time from the last act of a holder to the first of the next one
   * @param violation the last violation found; null: none
   */
  record Result(
      int acquisitions,
      long acts,
      long rejectedByToken,
      int kills,
      int stops,
      int cuts,
      double worstGapMs,
      double medianGapMs,
      String violation) {}

  private static final int PROCESSES = 5;

  private final Path folder;
  private final int leaseCount;
  private final TimeSpan term;
  private final boolean checksLease;
  private final boolean checksToken;
  private final Random random;
  private final NioLoop loop;
  private final FencingTokenRegistry registry = new FencingTokenRegistry();
  private final List<ReceivedAct> receivedActs = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Long> highestTokens = new HashMap<>();
  private volatile int acquisitions;
  private final int[] grantorPorts = {findFreePort(), findFreePort(), findFreePort()};
  private final List<List<FaultProxy>> proxies = new ArrayList<>();
  private final int[][] proxyPorts = new int[PROCESSES][3];
  private final Process[] processes = new Process[PROCESSES];
  private int actReceiverPort;
  private int kills;
  private int stops;
  private int cuts;

  LeaseProcessCluster(
      Path folder,
      int leaseCount,
      TimeSpan term,
      boolean checksLease,
      boolean checksToken,
      long seed)
      throws Exception {
    this.folder = folder;
    this.leaseCount = leaseCount;
    this.term = term;
    this.checksLease = checksLease;
    this.checksToken = checksToken;
    random = new Random(seed);
    loop = new NioLoop("place", Throwable::printStackTrace);
    CountDownLatch started = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            Hello hello =
                Hello.newBuilder()
                    .setVersion(FrameConnection.VERSION)
                    .setRole(Role.UNIT)
                    .setName("place")
                    .build();
            actReceiverPort =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        1000,
                        1 << 20,
                        () -> {
                          ActReceiver receiver = new ActReceiver();
                          receiver.connection =
                              new FrameConnection(
                                  loop,
                                  hello,
                                  new FrameLimits(64 * 1024, 1 << 20, TimeSpan.ofMs(2000)),
                                  FrameTap.NONE,
                                  receiver);
                          return receiver.connection;
                        })
                    .address()
                    .getPort();
            for (int i = 0; i < PROCESSES; i++) {
              List<FaultProxy> proxiesOfProcess = new ArrayList<>();
              for (int g = 0; g < 3; g++) {
                FaultProxy proxy =
                    new FaultProxy(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), grantorPorts[g]),
                        seed + i * 3L + g);
                proxyPorts[i][g] = proxy.start();
                proxiesOfProcess.add(proxy);
              }
              proxies.add(proxiesOfProcess);
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          } finally {
            started.countDown();
          }
        });
    started.await();
    for (int i = 0; i < PROCESSES; i++) {
      start(i);
    }
  }

  private static int findFreePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private void start(int i) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "sprucerock.lease.LeaseProcess",
                "" + i,
                "" + (i < 3 ? i : -1),
                "" + (i < 3 ? grantorPorts[i] : 0),
                "" + actReceiverPort,
                folder.resolve("notes-" + i).toString(),
                "" + leaseCount,
                "" + (int) term.ms(),
                checksLease ? "guarded" : "unguarded"));
    for (int g = 0; g < 3; g++) {
      command.add("" + proxyPorts[i][g]);
    }
    processes[i] =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log-" + i).toFile()))
            .start();
  }

  private final class ActReceiver implements FrameListener {
    private FrameConnection connection;

    @Override
    public void helloReceived(FrameConnection helloConnection, Hello other) {
      // Every process may act. Only its tokens are checked.
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      String[] words = new String(body, StandardCharsets.UTF_8).split(" ");
      long token = Long.parseLong(words[1]);
      boolean admitted = !checksToken || registry.admits(words[0], token);
      receivedActs.add(new ReceivedAct(words[0], token, admitted));
      if (!admitted) {
        connection.send(
            FrameKind.TOLD,
            Told.getDefaultInstance(),
            (words[0] + " " + registry.highestToken(words[0])).getBytes(StandardCharsets.UTF_8));
      }
      Long before = highestTokens.get(words[0]);
      if (before == null || token > before) {
        highestTokens.put(words[0], token);
        acquisitions++;
      }
    }

    @Override
    public void closed(String reason) {
      // The process connects again.
    }
  }

  private void signal(int i, String which) throws Exception {
    new ProcessBuilder("kill", "-" + which, Long.toString(processes[i].pid())).start().waitFor();
  }

  /**
   * Applies faults until the numbers of acquisitions and faults are reached, or the time is over.
   */
  void run(int requiredAcquisitions, int faults, int maxSeconds) throws Exception {
    long deadlineNanos = System.nanoTime() + maxSeconds * 1_000_000_000L;
    for (int round = 0;
        (acquisitions < requiredAcquisitions || round < faults)
            && System.nanoTime() < deadlineNanos;
        round++) {
      Thread.sleep((long) (term.ms() * (0.5 + random.nextDouble())));
      if (round < 4) {
        // The processes are still starting.
        continue;
      }
      int process = random.nextInt(PROCESSES);
      switch (random.nextInt(7)) {
        case 0 -> {
          processes[process].destroyForcibly().waitFor();
          kills++;
          start(process);
        }
        case 1, 2 -> {
          stops++;
          signal(process, "STOP");
          Thread.sleep((long) (term.ms() * (0.3 + 1.5 * random.nextDouble())));
          signal(process, "CONT");
        }
        case 3 -> {
          boolean cutRequests = random.nextBoolean();
          boolean cutAnswers = !cutRequests || random.nextBoolean();
          cuts++;
          applyToProxies(process, proxy -> proxy.cut(cutRequests, cutAnswers));
          Thread.sleep((long) (term.ms() * (0.5 + 2 * random.nextDouble())));
          applyToProxies(process, proxy -> proxy.cut(false, false));
        }
        case 4 ->
            applyToProxies(
                process, proxy -> proxy.late(TimeSpan.ofMs(term.ms() * random.nextDouble() * 0.5)));
        case 5 -> {
          applyToProxies(process, proxy -> proxy.reset(true));
          Thread.sleep((long) (term.ms() * 0.2));
          applyToProxies(process, proxy -> proxy.reset(false));
        }
        default ->
            applyToProxies(
                process,
                proxy -> {
                  proxy.late(TimeSpan.ZERO);
                  proxy.lose(random.nextDouble() * 0.1);
                });
      }
    }
  }

  private interface ProxyFault {
    void apply(FaultProxy proxy);
  }

  private void applyToProxies(int process, ProxyFault fault) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          for (FaultProxy proxy : proxies.get(process)) {
            fault.apply(proxy);
          }
          done.countDown();
        });
    done.await();
  }

  /** Ends all processes, then checks the received acts and the act logs of all processes. */
  Result end() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
    // The loop receives the acts that are still in flight.
    Thread.sleep(100);
    String violation = null;
    Map<String, Long> highestAdmitted = new HashMap<>();
    long acts = 0;
    long rejected = 0;
    for (ReceivedAct act : List.copyOf(receivedActs)) {
      acts++;
      if (!act.admitted) {
        rejected++;
        continue;
      }
      long before = highestAdmitted.getOrDefault(act.name, 0L);
      if (act.token < before) {
        violation =
            act.name
                + ": an act under token "
                + act.token
                + " was admitted after one under "
                + before;
      }
      highestAdmitted.put(act.name, Math.max(before, act.token));
    }
    Map<String, TreeMap<Long, long[]>> actTimesByLease = new TreeMap<>();
    for (int i = 0; i < PROCESSES; i++) {
      if (!Files.exists(folder.resolve("notes-" + i))) {
        continue;
      }
      for (String line : Files.readAllLines(folder.resolve("notes-" + i))) {
        String[] words = line.split(" ");
        if (words.length < 3) {
          // A kill has truncated the line.
          continue;
        }
        long micros = Long.parseLong(words[2]);
        long[] span =
            actTimesByLease
                .computeIfAbsent(words[0], absent -> new TreeMap<>())
                .computeIfAbsent(Long.parseLong(words[1]), absent -> new long[] {micros, micros});
        span[0] = Math.min(span[0], micros);
        span[1] = Math.max(span[1], micros);
      }
    }
    int logAcquisitions = 0;
    List<Double> gapsMs = new ArrayList<>();
    for (Map.Entry<String, TreeMap<Long, long[]>> lease : actTimesByLease.entrySet()) {
      long lastActMicros = 0;
      for (Map.Entry<Long, long[]> actTimes : lease.getValue().entrySet()) {
        logAcquisitions++;
        if (actTimes.getValue()[0] <= lastActMicros) {
          violation =
              lease.getKey()
                  + " under token "
                  + actTimes.getKey()
                  + " was acted on "
                  + (lastActMicros - actTimes.getValue()[0])
                  + " us before the last act of the former holder";
        }
        if (lastActMicros > 0) {
          gapsMs.add((actTimes.getValue()[0] - lastActMicros) / 1000.0);
        }
        lastActMicros = Math.max(lastActMicros, actTimes.getValue()[1]);
      }
    }
    Collections.sort(gapsMs);
    double medianMs = gapsMs.isEmpty() ? 0 : gapsMs.get(gapsMs.size() / 2);
    return new Result(
        logAcquisitions,
        acts,
        rejected,
        kills,
        stops,
        cuts,
        gapsMs.isEmpty() ? 0 : gapsMs.get(gapsMs.size() - 1),
        medianMs,
        violation);
  }

  @Override
  public void close() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    loop.close();
  }

  /**
   * Runs a cluster for a chosen time: {@code LeaseProcessCluster FOLDER ACQUISITIONS FAULTS SECONDS
   * [SEED]}.
   */
  public static void main(String[] args) throws Exception {
    Path folder = Files.createDirectories(Path.of(args[0]));
    try (LeaseProcessCluster cluster =
        new LeaseProcessCluster(
            folder,
            30,
            TimeSpan.ofMs(400),
            true,
            true,
            args.length > 4 ? Long.parseLong(args[4]) : 1)) {
      cluster.run(Integer.parseInt(args[1]), Integer.parseInt(args[2]), Integer.parseInt(args[3]));
      System.out.println(cluster.end());
    }
  }
}
