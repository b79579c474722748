package sprucerock.controller.server;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import sprucerock.controller.Engine;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Role;

/** Base of tests that run a complete controller: its folder, the peers' loop and helpers. */
abstract class ControllerTestSupport {
  /** Reads the clocks of this machine. */
  static final Engine.Clock CLOCK =
      new Engine.Clock() {
        @Override
        public long wallMs() {
          return System.currentTimeMillis();
        }

        @Override
        public long steadyMs() {
          return System.nanoTime() / 1_000_000;
        }
      };

  Path folder;
  NioLoop loop;
  ControllerServer controller;

  @BeforeMethod
  public void openFolder() throws IOException {
    folder = Files.createTempDirectory("controller");
    loop = new NioLoop("relays", Throwable::printStackTrace);
  }

  @AfterMethod
  public void close() throws Exception {
    controller.close();
    loop.close();
  }

  /** Writes a file that only its owner can read. */
  Path writeSecret(String name, String text) throws IOException {
    Path file = folder.resolve(name);
    Files.writeString(file, text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    return file;
  }

  /** Starts a controller with a configuration file. */
  void start(Path file) throws Exception {
    controller = new ControllerServer(ControllerConfig.read(file), CLOCK, FrameTap.NONE, () -> {});
  }

  /** Waits for a condition, for at least 20 s, which is far longer than any machine needs. */
  static void waitUntil(String description, BooleanSupplier condition) throws InterruptedException {
    for (int i = 0; i < 2000 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(condition.getAsBoolean(), description);
  }

  /** Reads a value on the peers' loop. */
  <T> T getOnLoop(Supplier<T> value) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.post(() -> result.complete(value.get()));
    return result.join();
  }

  /** Connects a fake relay or agent to the controller. */
  RecordingPeer connect(Role role, int number, InetSocketAddress address) {
    return getOnLoop(
        () -> {
          RecordingPeer peer = new RecordingPeer(loop, role, number);
          loop.connect(
              new InetSocketAddress("127.0.0.1", address.getPort()),
              TimeSpan.ofMs(5000),
              1 << 20,
              peer.connection);
          return peer;
        });
  }
}
