package sprucerock.cli;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import sprucerock.config.ConfigException;
import sprucerock.policy.RoutingPolicy;
import sprucerock.relay.platform.PlatformConfig;
import sprucerock.relay.platform.PlatformRelay;
import sprucerock.relay.platform.WarmUp;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.nio.NioLoop;
import sun.misc.Signal;

/** Named here for the help; Main starts it without this command line. */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description =
        "Runs a relay on the operators' platform, configured by LB_CONFIG. SIGHUP reads it anew; SIGTERM ends it once every open RPC has its answer.")
public final class ServeCommand implements Callable<Integer> {
  private static final double NANOS_PER_MS = 1e6;

  @Override
  public Integer call() throws Exception {
    return serve();
  }

  /** Runs until it is told to end; returns the exit code. */
  public static int serve() throws InterruptedException {
    final long beganNanos = System.nanoTime();
    AtomicReference<PlatformRelay> serving = new AtomicReference<>();
    CountDownLatch ended = new CountDownLatch(1);
    AtomicReference<String> wrong = new AtomicReference<>();
    Semaphore asks = new Semaphore(0);
    Consumer<IOException> listenFailed =
        e -> {
          wrong.set("an address can't be listened at: " + e.getMessage());
          ended.countDown();
        };
    FatalThreadHandler.install();
    try {
      PlatformConfig config = PlatformConfig.read(System.getenv());
      Logs.to(Logs.Form.PLAIN);
      WarmUp.run(RoutingPolicy::new);
      NioLoop loop =
          new NioLoop(
              "serving",
              e -> {
                if (serving.get() != null) {
                  serving.get().internalError(e);
                } else {
                  e.printStackTrace(System.err);
                }
              },
              config.maxSockets());
      loop.post(
          () -> {
            try {
              serving.set(
                  new PlatformRelay(config, loop, System.currentTimeMillis(), asks::release));
              TimeSpan startupTime = TimeSpan.ofMs((System.nanoTime() - beganNanos) / NANOS_PER_MS);
              serving.get().start(RoutingPolicy::new, startupTime, listenFailed);
            } catch (IOException e) {
              listenFailed.accept(e);
            }
          });
      Thread settings = new Thread(() -> readWhenAsked(asks, loop, serving), "settings");
      settings.setDaemon(true);
      settings.start();
      Signal.handle(new Signal("HUP"), signal -> asks.release());
      Signal.handle(
          new Signal("TERM"), signal -> loop.post(() -> serving.get().shutdown(ended::countDown)));
      ended.await();
      if (wrong.get() == null) {
        return Commands.DONE;
      }
      System.err.println(wrong.get());
      return Commands.FAILED;
    } catch (ConfigException e) {
      System.err.println(e.getMessage());
      return Commands.USAGE;
    } catch (IOException e) {
      System.err.println("no loop can be started: " + e.getMessage());
      return Commands.FAILED;
    }
  }

  /**
   * Loads what {@link #serve} needs and ends, so that the virtual machine can write it into an
   * archive of classes. Run by the build; opens sockets on loopback alone.
   */
  public static void warm() throws IOException, InterruptedException {
    Logs.to(Logs.Form.PLAIN);
    int answered = WarmUp.run(RoutingPolicy::new);
    CountDownLatch heard = new CountDownLatch(1);
    NioLoop loop = new NioLoop("warm", Throwable::printStackTrace);
    loop.post(
        () -> {
          try {
            java.net.InetSocketAddress here =
                new java.net.InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), 0);
            TimeSpan within = TimeSpan.ofMs(1000);
            Net.Listener listener = loop.listen(here, 4, 1 << 16, () -> new Echo(false, heard));
            loop.connect(listener.address(), within, 1 << 16, new Echo(true, heard));
            loop.datagrams(here, (from, bytes) -> {}).send(listener.address(), new byte[4]);
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
    boolean done = heard.await(5, java.util.concurrent.TimeUnit.SECONDS);
    loop.close();
    System.out.println(
        "warm: "
            + answered
            + " RPCs answered in memory, sockets "
            + (done ? "spoke" : "were silent"));
  }

  /** Sends some bytes back and forth. */
  private static final class Echo implements ConnectionListener {
    private final boolean first;
    private final CountDownLatch heard;
    private Connection connection;
    private int rounds;

    Echo(boolean first, CountDownLatch heard) {
      this.first = first;
      this.heard = heard;
    }

    @Override
    public void connected(Connection made) {
      connection = made;
      if (first) {
        connection.append(new byte[64]);
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (++rounds == 100) {
        heard.countDown();
      }
      if (rounds < 200) {
        connection.append(new byte[bytes.remaining()]);
      } else {
        connection.finish();
      }
    }

    @Override
    public void closed(String why) {}
  }

  /**
   * The loop reads no files: a thread of its own does, for a signal and for a relay that has lost
   * what it was told.
   */
  private static void readWhenAsked(
      Semaphore asks, NioLoop loop, AtomicReference<PlatformRelay> serving) {
    while (true) {
      asks.acquireUninterruptibly();
      asks.drainPermits(); // one reading answers all that asked before it
      reload(loop, serving);
    }
  }

  private static void reload(NioLoop loop, AtomicReference<PlatformRelay> serving) {
    try {
      PlatformConfig anew = PlatformConfig.read(System.getenv());
      loop.post(() -> serving.get().reload(anew));
    } catch (ConfigException | RuntimeException e) {
      loop.post(() -> serving.get().notReloaded(e.getMessage()));
    }
  }
}
