package sprucerock.relay.platform;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sprucerock.relay.engine.RelayEngine;
import sprucerock.transport.net.nio.NioLoop;

/** A relay that runs on a loop of this process, at a port that the system chose. */
record LoopRelay(PlatformRelay relay, int port) {
  /** The environment of a configuration that leaves the port to the system. */
  static final Map<String, String> ANY_PORT = Map.of("LB_LISTEN", "127.0.0.1:0");

  /** Starts one, and waits until it listens; throws what kept it from that. */
  static LoopRelay start(NioLoop loop, PlatformConfig config, RelayEngine.PolicyFactory maker)
      throws Exception {
    CompletableFuture<LoopRelay> started = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            PlatformRelay relay =
                new PlatformRelay(config, loop, System.currentTimeMillis(), () -> {});
            relay.start(maker);
            started.complete(new LoopRelay(relay, relay.listenAddress().getPort()));
          } catch (Exception e) {
            started.completeExceptionally(e);
          }
        });
    return started.get(Peers.LONG, TimeUnit.SECONDS);
  }
}
