package sprucerock.controller.server;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Role;

/** Agents that connect, disconnect and stay away; no assertion depends on speed. */
public class AgentListenerTest extends ControllerTestSupport {

  private void start() throws Exception {
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
                writeSecret("ci", "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM="),
                writeSecret("token", "0123456789abcdef0123")));
    start(file);
  }

  private RecordingPeer connectAgent(int number) throws Exception {
    RecordingPeer agent = connect(Role.AGENT, number, controller.agentAddress());
    waitUntil("it is connected", () -> getOnLoop(agent.connection::isReady));
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
  private boolean isRecorded(int number, boolean silent) {
    CompletableFuture<Boolean> is = new CompletableFuture<>();
    controller.runOnLoop(
        () -> {
          ManagedRelay relay = controller.engine().deployments().relay(number);
          is.complete(relay != null && relay.unreachable() == silent);
        });
    return is.join();
  }

  @Test
  public void disconnectedAgentBecomesSilentUntilItReconnects() throws Exception {
    start();
    RecordingPeer stays = connectAgent(1);
    RecordingPeer goes = connectAgent(2);
    waitUntil("both are heard", () -> isRecorded(1, false) && isRecorded(2, false));
    loop.post(() -> goes.connection.cut("it goes"));
    waitUntil("it is silent", () -> isRecorded(2, true));
    assertTrue(
        isRecorded(1, false), "one that is connected is not silent, though it sends nothing");
    connectAgent(2);
    waitUntil("it is heard again", () -> isRecorded(2, false));
    assertTrue(getOnLoop(stays.connection::isReady));
  }

  /** A connection that replaces another one is no absence when the old one closes. */
  @Test
  public void replacedConnectionDoesNotMakeAgentSilent() throws Exception {
    start();
    RecordingPeer first = connectAgent(2);
    waitUntil("it is heard", () -> isRecorded(2, false));
    connectAgent(2);
    waitUntil("the old connection is cut", () -> getOnLoop(() -> first.closeReason != null));
    RecordingPeer other = connectAgent(3); // whose silence shows that time enough has passed
    waitUntil("the other is heard", () -> isRecorded(3, false));
    loop.post(() -> other.connection.cut("it goes"));
    waitUntil("the other is silent", () -> isRecorded(3, true));
    assertTrue(isRecorded(2, false));
  }

  /**
   * An agent known from before a restart has as long to connect as one that has just disconnected.
   */
  @Test
  public void agentMissingAfterRestartBecomesSilent() throws Exception {
    start();
    connectAgent(2);
    waitUntil("it is heard", () -> isRecorded(2, false));
    controller.close();
    start();
    waitUntil("it is silent", () -> isRecorded(2, true));
    connectAgent(2);
    waitUntil("it is heard again", () -> isRecorded(2, false));
  }
}
