package sprucerock.lab;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.config.ConfigException;
import sprucerock.config.RelayConfig;
import sprucerock.lease.GrantorListener;
import sprucerock.lease.LeaseManager;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameTap;

/**
 * A granter as a process of its own, the relays' door and core without the relay; it ends with its
 * input.
 */
public final class GranterProcess {
  private GranterProcess() {}

  /**
   * Runs until the input ends.
   *
   * @param config of a relay whose leases say which granter this is
   * @throws IOException if its address can't be had
   */
  public static void run(Path config, InputStream in)
      throws IOException, ConfigException, InterruptedException {
    Logger log = LoggerFactory.getLogger("sprucerock.lab");
    RelayConfig of = RelayConfig.read(config);
    NioLoop loop = new NioLoop("granter", e -> log.error("BROKEN {}", e.toString(), e));
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.post(
        () -> {
          try {
            new GrantorListener(
                    loop,
                    of.leases,
                    of.name,
                    FrameTap.NONE,
                    new LeaseManager.Log() {
                      @Override
                      public void info(String what) {
                        log.info("LEASE {}", what);
                      }

                      @Override
                      public void warn(String what) {
                        log.warn("LEASE {}", what);
                      }
                    })
                .start();
            started.complete(null);
          } catch (IOException e) {
            started.completeExceptionally(e);
          }
        });
    try {
      started.get();
    } catch (ExecutionException e) {
      throw new IOException(
          "granter " + of.leases.grantorNumber() + " can't listen: " + e.getCause().getMessage());
    }
    in.transferTo(java.io.OutputStream.nullOutputStream());
    loop.close();
  }
}
