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
 * Five real processes, three of them grantors, that campaign for the same leases through proxies
 * that cut, delay, lose and reset; the processes are killed and stopped. The place where acts land
 * is here, and so is the checker, which reads that and the processes' notes.
 */
final class LeaseProcessCluster implements AutoCloseable {
  private record Landed(String name, long token, boolean admitted) {}

  /** What came of it. */
  record Result(
      int taken,
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
  private final int names;
  private final TimeSpan term;
  private final boolean checked;
  private final boolean fenced;
  private final Random random;
  private final NioLoop loop;
  private final FencingTokenRegistry registry = new FencingTokenRegistry();
  private final List<Landed> landed = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Long> highest = new HashMap<>();
  private volatile int taken;
  private final int[] grantorPorts = {free(), free(), free()};
  private final List<List<FaultProxy>> proxies = new ArrayList<>();
  private final int[][] proxyPorts = new int[PROCESSES][3];
  private final Process[] processes = new Process[PROCESSES];
  private int placePort;
  private int kills;
  private int stops;
  private int cuts;

  LeaseProcessCluster(
      Path folder, int names, TimeSpan term, boolean checked, boolean fenced, long seed)
      throws Exception {
    this.folder = folder;
    this.names = names;
    this.term = term;
    this.checked = checked;
    this.fenced = fenced;
    random = new Random(seed);
    loop = new NioLoop("place", Throwable::printStackTrace);
    CountDownLatch up = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            Hello mine =
                Hello.newBuilder()
                    .setVersion(FrameConnection.VERSION)
                    .setRole(Role.UNIT)
                    .setName("place")
                    .build();
            placePort =
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        1000,
                        1 << 20,
                        () -> {
                          Place place = new Place();
                          place.connection =
                              new FrameConnection(
                                  loop,
                                  mine,
                                  new FrameLimits(64 * 1024, 1 << 20, TimeSpan.ofMs(2000)),
                                  FrameTap.NONE,
                                  place);
                          return place.connection;
                        })
                    .address()
                    .getPort();
            for (int i = 0; i < PROCESSES; i++) {
              List<FaultProxy> own = new ArrayList<>();
              for (int g = 0; g < 3; g++) {
                FaultProxy proxy =
                    new FaultProxy(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), grantorPorts[g]),
                        seed + i * 3L + g);
                proxyPorts[i][g] = proxy.start();
                own.add(proxy);
              }
              proxies.add(own);
            }
          } catch (IOException e) {
            throw new IllegalStateException(e);
          } finally {
            up.countDown();
          }
        });
    up.await();
    for (int i = 0; i < PROCESSES; i++) {
      start(i);
    }
  }

  private static int free() throws IOException {
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
                "" + placePort,
                folder.resolve("notes-" + i).toString(),
                "" + names,
                "" + (int) term.ms(),
                checked ? "guarded" : "unguarded"));
    for (int g = 0; g < 3; g++) {
      command.add("" + proxyPorts[i][g]);
    }
    processes[i] =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log-" + i).toFile()))
            .start();
  }

  private final class Place implements FrameListener {
    private FrameConnection connection;

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      // whoever comes may act, by its token
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      String[] words = new String(body, StandardCharsets.UTF_8).split(" ");
      long token = Long.parseLong(words[1]);
      boolean admitted = !fenced || registry.admits(words[0], token);
      landed.add(new Landed(words[0], token, admitted));
      if (!admitted) {
        connection.send(
            FrameKind.TOLD,
            Told.getDefaultInstance(),
            (words[0] + " " + registry.highestToken(words[0])).getBytes(StandardCharsets.UTF_8));
      }
      Long before = highest.get(words[0]);
      if (before == null || token > before) {
        highest.put(words[0], token);
        taken++;
      }
    }

    @Override
    public void closed(String why) {
      // it comes again
    }
  }

  private void signal(int i, String which) throws Exception {
    new ProcessBuilder("kill", "-" + which, Long.toString(processes[i].pid())).start().waitFor();
  }

  /**
   * Faults follow one another until so many leases were taken over and so many faults came, or the
   * time is over.
   */
  void run(int wanted, int faults, int maxSeconds) throws Exception {
    long until = System.nanoTime() + maxSeconds * 1_000_000_000L;
    for (int round = 0; (taken < wanted || round < faults) && System.nanoTime() < until; round++) {
      Thread.sleep((long) (term.ms() * (0.5 + random.nextDouble())));
      if (round < 4) {
        continue;
        // the first come up
      }
      int who = random.nextInt(PROCESSES);
      switch (random.nextInt(7)) {
        case 0 -> {
          processes[who].destroyForcibly().waitFor();
          kills++;
          start(who);
        }
        case 1, 2 -> {
          stops++;
          signal(who, "STOP");
          Thread.sleep((long) (term.ms() * (0.3 + 1.5 * random.nextDouble())));
          signal(who, "CONT");
        }
        case 3 -> {
          boolean there = random.nextBoolean();
          boolean back = !there || random.nextBoolean();
          cuts++;
          all(who, proxy -> proxy.cut(there, back));
          Thread.sleep((long) (term.ms() * (0.5 + 2 * random.nextDouble())));
          all(who, proxy -> proxy.cut(false, false));
        }
        case 4 ->
            all(who, proxy -> proxy.late(TimeSpan.ofMs(term.ms() * random.nextDouble() * 0.5)));
        case 5 -> {
          all(who, proxy -> proxy.reset(true));
          Thread.sleep((long) (term.ms() * 0.2));
          all(who, proxy -> proxy.reset(false));
        }
        default ->
            all(
                who,
                proxy -> {
                  proxy.late(TimeSpan.ZERO);
                  proxy.lose(random.nextDouble() * 0.1);
                });
      }
    }
  }

  private interface Fault {
    void disturb(FaultProxy proxy);
  }

  private void all(int who, Fault fault) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    loop.post(
        () -> {
          for (FaultProxy proxy : proxies.get(who)) {
            fault.disturb(proxy);
          }
          done.countDown();
        });
    done.await();
  }

  /** Ends all processes, then reads where acts landed, and what each process claimed. */
  Result end() throws Exception {
    for (Process one : processes) {
      one.destroyForcibly().waitFor();
    }
    Thread.sleep(100);
    String violation = null;
    Map<String, Long> last = new HashMap<>();
    long acts = 0;
    long rejected = 0;
    for (Landed one : List.copyOf(landed)) {
      acts++;
      if (!one.admitted) {
        rejected++;
        continue;
      }
      long before = last.getOrDefault(one.name, 0L);
      if (one.token < before) {
        violation =
            one.name + ": an act under " + one.token + " was taken after one under " + before;
      }
      last.put(one.name, Math.max(before, one.token));
    }
    Map<String, TreeMap<Long, long[]>> claims = new TreeMap<>();
    for (int i = 0; i < PROCESSES; i++) {
      if (!Files.exists(folder.resolve("notes-" + i))) {
        continue;
      }
      for (String line : Files.readAllLines(folder.resolve("notes-" + i))) {
        String[] words = line.split(" ");
        if (words.length < 3) {
          continue;
          // cut off by a kill
        }
        long at = Long.parseLong(words[2]);
        long[] span =
            claims
                .computeIfAbsent(words[0], any -> new TreeMap<>())
                .computeIfAbsent(Long.parseLong(words[1]), any -> new long[] {at, at});
        span[0] = Math.min(span[0], at);
        span[1] = Math.max(span[1], at);
      }
    }
    int takeOvers = 0;
    List<Double> gaps = new ArrayList<>();
    for (Map.Entry<String, TreeMap<Long, long[]>> one : claims.entrySet()) {
      long until = 0;
      for (Map.Entry<Long, long[]> claim : one.getValue().entrySet()) {
        takeOvers++;
        if (claim.getValue()[0] <= until) {
          violation =
              one.getKey()
                  + " under "
                  + claim.getKey()
                  + " was acted on "
                  + (until - claim.getValue()[0])
                  + " us before the former one's last act";
        }
        if (until > 0) {
          gaps.add((claim.getValue()[0] - until) / 1000.0);
        }
        until = Math.max(until, claim.getValue()[1]);
      }
    }
    Collections.sort(gaps);
    double median = gaps.isEmpty() ? 0 : gaps.get(gaps.size() / 2);
    return new Result(
        takeOvers,
        acts,
        rejected,
        kills,
        stops,
        cuts,
        gaps.isEmpty() ? 0 : gaps.get(gaps.size() - 1),
        median,
        violation);
  }

  @Override
  public void close() {
    for (Process one : processes) {
      if (one != null) {
        one.destroyForcibly();
      }
    }
    loop.close();
  }

  /**
   * {@code LeaseProcessCluster FOLDER TAKE-OVERS TROUBLES SECONDS [SEED]}: the same for as long as
   * one wants.
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
