package sprucerock.relay.platform;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import sprucerock.relay.engine.RelayEngine;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;

/** A relay that runs on a loop of this process, at a port that the system chooses. */
record LoopRelay(PlatformRelay relay, NioLoop loop) {
  /** The environment of a configuration that leaves the port to the system. */
  static final Map<String, String> ANY_PORT = Map.of("LB_LISTEN", "127.0.0.1:0");

  /** Starts one, which listens once it has its list; throws what kept it from starting. */
  static LoopRelay start(NioLoop loop, PlatformConfig config, RelayEngine.PolicyFactory maker)
      throws Exception {
    CompletableFuture<LoopRelay> started = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            PlatformRelay relay =
                new PlatformRelay(config, loop, System.currentTimeMillis(), () -> {});
            relay.start(maker, TimeSpan.ZERO, started::completeExceptionally);
            started.complete(new LoopRelay(relay, loop));
          } catch (Exception e) {
            started.completeExceptionally(e);
          }
        });
    return started.get(Peers.LONG, TimeUnit.SECONDS);
  }

  /** Waits until it listens; the port at which it does. */
  int port() throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peers.LONG);
    while (System.nanoTime() < until) {
      CompletableFuture<InetSocketAddress> address = new CompletableFuture<>();
      loop.post(() -> address.complete(relay.listenAddress()));
      if (address.get(Peers.LONG, TimeUnit.SECONDS) != null) {
        return address.get().getPort();
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
    throw new AssertionError("it does not listen");
  }
}
