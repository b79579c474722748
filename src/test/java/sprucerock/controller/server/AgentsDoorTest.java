package sprucerock.controller.server;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.controller.Engine;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Role;

/** Agents that come, go and stay away, over links; nothing hangs on how fast. */
public class AgentsDoorTest {
  private Path folder;
  private NioLoop loop;
  private ControllerServer desk;

  @BeforeMethod
  public void begin() throws Exception {
    folder = Files.createTempDirectory("agents");
    loop = new NioLoop("relays", Throwable::printStackTrace);
  }

  @AfterMethod
  public void end() throws Exception {
    desk.close();
    loop.close();
  }

  private Path secret(String name, String text) throws Exception {
    Path file = folder.resolve(name);
    Files.writeString(file, text);
    Files.setPosixFilePermissions(file, PosixFilePermissions.fromString("rw-------"));
    return file;
  }

  private void starts() throws Exception {
    Path file = folder.resolve("controller.xml");
    Files.writeString(
        file,
        """
<controller xmlns="urn:sprucerock:controller:1" name="desk" lease="30s" folder="%s" first-build="1" places="10">
  <relays host="127.0.0.1" port="0" tell-every="10min"/>
  <agents host="127.0.0.1" port="0" incoming="%s" silent="300ms"><change-stage share="1" harm="0.05"/></agents>
  <hooks host="127.0.0.1" port="0" body="4KiB" read-within="1s">
    <source name="ci" form="standard" secrets="%s" a-second="10"/>
  </hooks>
  <api host="127.0.0.1" port="0" token="%s"/>
  <stage share="0.1" cap="0.12"/>
  <stage share="1" cap="1"/>
  <votes control="single" life="60s" least="1ms" going-back="1ms"/>
</controller>
"""
            .formatted(
                folder.resolve("store"),
                folder,
                secret("ci", "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM="),
                secret("token", "0123456789abcdef0123")));
    desk =
        new ControllerServer(
            ControllerConfig.read(file),
            new Engine.Clock() {
              @Override
              public long wallMs() {
                return System.currentTimeMillis();
              }

              @Override
              public long steadyMs() {
                return System.nanoTime() / 1_000_000;
              }
            },
            FrameTap.NONE,
            () -> {});
  }

  private static void until(String what, BooleanSupplier holds) throws InterruptedException {
    for (int i = 0; i < 2000 && !holds.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(holds.getAsBoolean(), what);
  }

  private <T> T on(Supplier<T> what) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.post(() -> result.complete(what.get()));
    return result.join();
  }

  private RecordingPeer agent(int number) throws Exception {
    RecordingPeer agent =
        on(
            () -> {
              RecordingPeer person = new RecordingPeer(loop, Role.AGENT, number);
              loop.connect(
                  new InetSocketAddress("127.0.0.1", desk.agentsAt().getPort()),
                  TimeSpan.ofMs(5000),
                  1 << 20,
                  person.connection);
              return person;
            });
    until("it is linked", () -> on(agent.connection::isReady));
    loop.post(
        () ->
            agent.send(
                FrameKind.AGENT,
                AgentSays.newBuilder()
                    .setProgram("a".repeat(64))
                    .setSettings("b".repeat(64))
                    .setReady(true)
                    .build()));
    return agent;
  }

  /** On the controller's own loop. */
  private boolean known(int number, boolean silent) {
    CompletableFuture<Boolean> is = new CompletableFuture<>();
    desk.post(
        () -> {
          ManagedRelay relay = desk.engine().deployments().relay(number);
          is.complete(relay != null && relay.unreachable() == silent);
        });
    return is.join();
  }

  @Test
  public void whoGoesIsSilentAfterAWhileAndHeardAgainWhenItIsBack() throws Exception {
    starts();
    RecordingPeer stays = agent(1);
    RecordingPeer goes = agent(2);
    until("both are heard", () -> known(1, false) && known(2, false));
    loop.post(() -> goes.connection.cut("it goes"));
    until("it is silent", () -> known(2, true));
    assertTrue(known(1, false), "one that is linked is not silent, though it says nothing");
    agent(2);
    until("it is heard again", () -> known(2, false));
    assertTrue(on(stays.connection::isReady));
  }

  /** A link that takes the place of another one is no absence when the old one closes. */
  @Test
  public void whoComesUnderItsNumberAgainIsNotAway() throws Exception {
    starts();
    RecordingPeer first = agent(2);
    until("it is heard", () -> known(2, false));
    agent(2);
    until("the old link is cut", () -> on(() -> first.closeReason != null));
    RecordingPeer other = agent(3); // whose silence shows that time enough has passed
    until("the other is heard", () -> known(3, false));
    loop.post(() -> other.connection.cut("it goes"));
    until("the other is silent", () -> known(3, true));
    assertTrue(known(2, false));
  }

  /**
   * What a controller that starts knows from before has as long to come as one that has just gone.
   */
  @Test
  public void whoDoesNotComeBackAfterAStartIsSilentToo() throws Exception {
    starts();
    agent(2);
    until("it is heard", () -> known(2, false));
    desk.close();
    starts();
    until("it is silent", () -> known(2, true));
    agent(2);
    until("it is heard again", () -> known(2, false));
  }
}
