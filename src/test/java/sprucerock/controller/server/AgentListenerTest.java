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

/** Tests agents that connect, disconnect and stay absent; no assertion depends on speed. */
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
    waitUntil("the agent is connected", () -> getOnLoop(agent.connection::isReady));
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

  /** Whether a relay is recorded, and with this state of being silent. */
  private boolean isRecordedAs(int number, boolean silent) {
    CompletableFuture<Boolean> recorded = new CompletableFuture<>();
    controller.runOnLoop(
        () -> {
          ManagedRelay relay = controller.engine().deployments().relay(number);
          recorded.complete(relay != null && relay.unreachable() == silent);
        });
    return recorded.join();
  }

  @Test
  public void disconnectedAgentBecomesSilentUntilItReconnects() throws Exception {
    start();
    RecordingPeer connected = connectAgent(1);
    RecordingPeer disconnecting = connectAgent(2);
    waitUntil("both agents are recorded", () -> isRecordedAs(1, false) && isRecordedAs(2, false));
    loop.post(() -> disconnecting.connection.cut("disconnected by the test"));
    waitUntil("the agent is silent", () -> isRecordedAs(2, true));
    assertTrue(isRecordedAs(1, false), "a connected agent is not silent, even if it sends nothing");
    connectAgent(2);
    waitUntil("the agent is no longer silent", () -> isRecordedAs(2, false));
    assertTrue(getOnLoop(connected.connection::isReady));
  }

  /** Guards against recording an absence when a connection that was replaced closes. */
  @Test
  public void replacedConnectionDoesNotMakeAgentSilent() throws Exception {
    start();
    RecordingPeer first = connectAgent(2);
    waitUntil("the agent is recorded", () -> isRecordedAs(2, false));
    connectAgent(2);
    waitUntil("the old connection is cut", () -> getOnLoop(() -> first.closeReason != null));
    // the silence of agent 3 shows that enough time has passed
    RecordingPeer other = connectAgent(3);
    waitUntil("the other agent is recorded", () -> isRecordedAs(3, false));
    loop.post(() -> other.connection.cut("disconnected by the test"));
    waitUntil("the other agent is silent", () -> isRecordedAs(3, true));
    assertTrue(isRecordedAs(2, false));
  }

  /**
   * Tests that after a restart a known agent gets the same time to connect as an agent that has
   * just disconnected.
   */
  @Test
  public void agentMissingAfterRestartBecomesSilent() throws Exception {
    start();
    connectAgent(2);
    waitUntil("the agent is recorded", () -> isRecordedAs(2, false));
    controller.close();
    start();
    waitUntil("the agent is silent", () -> isRecordedAs(2, true));
    connectAgent(2);
    waitUntil("the agent is no longer silent", () -> isRecordedAs(2, false));
  }
}
