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
 * One process of {@link LeaseProcessesTest}: a client for many leases, perhaps a grantor too. While
 * it holds one it acts on the test's own place again and again; sometimes it stands still between
 * the look at its check and the act. Each act is noted before it is sent, with the machine's clock.
 */
public final class LeaseProcess {
  private final NioLoop loop;
  private final FileChannel notes;
  private final ReconnectingConnection place;
  private final LeaseManager leases;
  private final SplittableRandom random;
  private final TimeSpan term;
  private final boolean checked;

  private LeaseProcess(String[] args) throws Exception {
    int me = Integer.parseInt(args[0]);
    int grantor = Integer.parseInt(args[1]);
    int own = Integer.parseInt(args[2]);
    int names = Integer.parseInt(args[5]);
    term = TimeSpan.ofMs(Integer.parseInt(args[6]));
    checked = !args[7].equals("unguarded");
    notes =
        FileChannel.open(Path.of(args[4]), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    List<InetSocketAddress> grantors = new ArrayList<>();
    for (int i = 8; i < args.length; i++) {
      grantors.add(at(Integer.parseInt(args[i])));
    }
    LeaseConfig config =
        new LeaseConfig(me, grantor, at(own), grantors, term, term, 0.01, 100, null, null);
    loop = new NioLoop("lease-" + me, Throwable::printStackTrace);
    long incarnation = System.nanoTime() ^ ProcessHandle.current().pid() << 32;
    random = new SplittableRandom(incarnation);
    LeaseManager.Log log =
        new LeaseManager.Log() {
          @Override
          public void info(String what) {
            // thousands of take-overs
          }

          @Override
          public void warn(String what) {
            System.out.println(what);
          }
        };
    Hello hello =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(me)
            .setName("process")
            .build();
    place =
        new ReconnectingConnection(
            loop,
            at(Integer.parseInt(args[3])),
            hello,
            new FrameLimits(64 * 1024, 1 << 20, TimeSpan.ofMs(2000)),
            FrameTap.NONE,
            new DeterministicRandom(incarnation),
            new FrameListener() {
              @Override
              public void helloReceived(FrameConnection connection, Hello other) {
                // it only listens
              }

              @Override
              public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
                tokenRejected(new String(body, StandardCharsets.UTF_8));
              }

              @Override
              public void closed(String why) {
                // dialled again
              }
            });
    leases =
        new LeaseManager(
            loop,
            config,
            "process-" + me,
            incarnation,
            FrameTap.NONE,
            System::currentTimeMillis,
            log);
    loop.post(
        () -> {
          try {
            if (grantor >= 0) {
              new GrantorListener(loop, config, "process-" + me, FrameTap.NONE, log).start();
            }
          } catch (java.io.IOException e) {
            e.printStackTrace();
            System.exit(3);
          }
          place.connect();
          leases.start();
          for (int i = 0; i < names; i++) {
            campaign("name-" + i);
          }
          System.out.println("UP");
        });
  }

  private static InetSocketAddress at(int port) {
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
              public void lost(String why) {
                if (checked) {
                  held[0] = false;
                } else {
                  loop.at(loop.now().plus(term.times(2)), () -> held[0] = false);
                  // goes on as if nothing were
                }
              }
            });
    checks.put(name, check);
  }

  /** Gives it back, often to one by name, and stands for it again a little later. */
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
    if (checked) {
      check.runIfHeld(number -> sendAct(name, number));
    } else {
      if (check.isHeld()) {
        check.runIfHeld(number -> lastToken = number);
      }
      sendAct(name, lastToken);
    }
    loop.at(loop.now().plus(TimeSpan.ofMs(5 + random.nextInt(20))), () -> act(name, check, held));
  }

  private void sendAct(String name, long number) {
    try {
      notes.write(
          ByteBuffer.wrap(
              (name + " " + number + " " + NioLoop.monotonicMicros() + "\n")
                  .getBytes(StandardCharsets.UTF_8)));
      if (random.nextInt(400) == 0) {
        Thread.sleep((long) (term.ms() * 1.5));
        // between the look and the act
      }
    } catch (java.io.IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
    place.send(
        FrameKind.TOLD,
        Told.getDefaultInstance(),
        (name + " " + number).getBytes(StandardCharsets.UTF_8));
  }

  private void tokenRejected(String text) {
    String[] words = text.split(" ");
    if (checks.containsKey(words[0])) {
      checks.get(words[0]).tokenRejected(Long.parseLong(words[1]));
    }
  }

  /**
   * Number, grantor or -1, its port, the place's port, notes, names, term in ms, checked or
   * unguarded, ports of all grantors.
   */
  public static void main(String[] args) throws Exception {
    new LeaseProcess(args);
    Thread.currentThread().join();
    // the loop's thread keeps no process up
  }
}
