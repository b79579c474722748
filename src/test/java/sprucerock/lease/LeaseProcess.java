package sprucerock.lease;

import com.google.protobuf.MessageLite;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import sprucerock.config.LeaseConfig;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Told;

/**
 * One process of {@link LeaseProcessesTest}: a client for many leases, and in some processes a
 * grantor. While it holds a lease it repeatedly sends acts to the test's receiver. Sometimes it
 * stalls between the lease check and the act. It logs each act, with the machine's clock, before it
 * sends it.
 */
public final class LeaseProcess {
  private final NioLoop loop;
  private final FileChannel actLog;
  private final ReconnectingConnection actReceiver;
  private final LeaseManager leases;
  private final SplittableRandom random;
  private final TimeSpan term;
  private final boolean checksLease;

  private LeaseProcess(String[] args) throws Exception {
    int memberNumber = Integer.parseInt(args[0]);
    int grantor = Integer.parseInt(args[1]);
    int ownPort = Integer.parseInt(args[2]);
    int leaseCount = Integer.parseInt(args[5]);
    term = TimeSpan.ofMs(Integer.parseInt(args[6]));
    checksLease = !args[7].equals("unguarded");
    actLog =
        FileChannel.open(Path.of(args[4]), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    List<InetSocketAddress> grantors = new ArrayList<>();
    for (int i = 8; i < args.length; i++) {
      grantors.add(loopbackAddress(Integer.parseInt(args[i])));
    }
    LeaseConfig config =
        new LeaseConfig(
            memberNumber,
            grantor,
            loopbackAddress(ownPort),
            grantors,
            term,
            term,
            0.01,
            100,
            null,
            null);
    loop = new NioLoop("lease-" + memberNumber, Throwable::printStackTrace);
    long incarnation = System.nanoTime() ^ ProcessHandle.current().pid() << 32;
    random = new SplittableRandom(incarnation);
    LeaseManager.Log log =
        new LeaseManager.Log() {
          @Override
          public void info(String message) {
            // The thousands of acquired leases are not logged.
          }

          @Override
          public void warn(String message) {
            System.out.println(message);
          }
        };
    Hello hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(memberNumber)
            .setName("process")
            .build();
    actReceiver =
        new ReconnectingConnection(
            loop,
            loopbackAddress(Integer.parseInt(args[3])),
            hello,
            new FrameLimits(64 * 1024, 1 << 20, TimeSpan.ofMs(2000)),
            FrameTap.NONE,
            new DeterministicRandom(incarnation),
            new FrameListener() {
              @Override
              public void helloReceived(FrameConnection connection, Hello other) {
                // The receiver's hello needs no answer.
              }

              @Override
              public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
                tokenRejected(new String(body, StandardCharsets.UTF_8));
              }

              @Override
              public void closed(String reason) {
                // The connection is opened again.
              }
            });
    leases =
        new LeaseManager(
            loop,
            config,
            "process-" + memberNumber,
            incarnation,
            FrameTap.NONE,
            System::currentTimeMillis,
            log);
    loop.post(
        () -> {
          try {
            if (grantor >= 0) {
              new GrantorListener(loop, config, "process-" + memberNumber, FrameTap.NONE, log)
                  .start();
            }
          } catch (java.io.IOException e) {
            e.printStackTrace();
            System.exit(3);
          }
          actReceiver.connect();
          leases.start();
          for (int i = 0; i < leaseCount; i++) {
            campaign("name-" + i);
          }
          System.out.println("UP");
        });
  }

  private static InetSocketAddress loopbackAddress(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private final java.util.Map<String, LeaseCheck> checks = new java.util.TreeMap<>();

  private void campaign(String name) {
    boolean[] held = new boolean[1];
    LeaseCheck check =
        leases.campaign(
            name,
            new LeaseManager.Listener() {
              @Override
              public void acquired(LeaseCheck check) {
                held[0] = true;
                act(name, check, held);
                if (random.nextInt(4) > 0) {
                  loop.at(
                      loop.now().plus(TimeSpan.ofMs(20 + random.nextInt(200))),
                      () -> withdraw(name, held));
                }
              }

              @Override
              public void lost(String reason) {
                if (checksLease) {
                  held[0] = false;
                } else {
                  // Without lease checks the process continues to act after it lost the lease.
                  loop.at(loop.now().plus(term.times(2)), () -> held[0] = false);
                }
              }
            });
    checks.put(name, check);
  }

  /** Releases a lease, often for a successor, and campaigns for it again a little later. */
  private void withdraw(String name, boolean[] held) {
    if (!held[0]) {
      return;
    }
    leases.withdraw(name, random.nextInt(3) == 0 ? random.nextInt(5) : -1);
    loop.at(loop.now().plus(TimeSpan.ofMs(random.nextInt(100))), () -> campaign(name));
  }

  private long lastToken;

  private void act(String name, LeaseCheck check, boolean[] held) {
    if (!held[0] || checks.get(name) != check) {
      return;
    }
    if (checksLease) {
      check.runIfHeld(token -> sendAct(name, token));
    } else {
      if (check.isHeld()) {
        check.runIfHeld(token -> lastToken = token);
      }
      sendAct(name, lastToken);
    }
    loop.at(loop.now().plus(TimeSpan.ofMs(5 + random.nextInt(20))), () -> act(name, check, held));
  }

  private void sendAct(String name, long token) {
    try {
      actLog.write(
          ByteBuffer.wrap(
              (name + " " + token + " " + NioLoop.monotonicMicros() + "\n")
                  .getBytes(StandardCharsets.UTF_8)));
      if (random.nextInt(400) == 0) {
        // The process stalls between the lease check and the act.
        Thread.sleep((long) (term.ms() * 1.5));
      }
    } catch (java.io.IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    actReceiver.send(
        FrameKind.TOLD,
        Told.getDefaultInstance(),
        (name + " " + token).getBytes(StandardCharsets.UTF_8));
  }

  private void tokenRejected(String text) {
    String[] words = text.split(" ");
    if (checks.containsKey(words[0])) {
      checks.get(words[0]).tokenRejected(Long.parseLong(words[1]));
    }
  }

  /**
   * Arguments: member number, grantor number or -1, the grantor's port, the receiver's port, the
   * file of the act log, the number of leases, the term in ms, "guarded" or "unguarded", and the
   * ports of all grantors.
   */
  public static void main(String[] args) throws Exception {
    new LeaseProcess(args);
    // The loop's thread does not keep the process alive.
    Thread.currentThread().join();
  }
}
