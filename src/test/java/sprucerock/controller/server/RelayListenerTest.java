package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import sprucerock.controller.AppendResult;
import sprucerock.controller.v1.FreezeWanted;
import sprucerock.controller.v1.Input;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.RackFree;
import sprucerock.transport.wire.v1.Role;

/**
 * Tests the placement grants that relays with older and newer programs get, and their size for
 * different numbers of racks; no assertion depends on speed.
 */
public class RelayListenerTest extends ControllerTestSupport {
  private static final long MINUTE_MS = 60_000;
  private long lastRequestId;

  /** Starts a controller with a number of racks, of which the first has a notice of a day. */
  private void start(int rackCount) throws Exception {
    StringBuilder rackElements = new StringBuilder();
    for (int i = 0; i < rackCount; i++) {
      rackElements.append(
          "<rack name=\"r%d\" zone=\"%d\" cell=\"%d\"%s><units kind=\"1\" count=\"40\"/></rack>"
              .formatted(i, 1 + i % 3, i / 3, i == 0 ? " notice=\"1440min\"" : ""));
    }
    Path file = folder.resolve("controller.xml");
    Files.writeString(
        file,
        """
<controller xmlns="urn:sprucerock:controller:1" name="desk" lease="30s" folder="%s" first-build="1" places="10">
  <relays host="127.0.0.1" port="0" tell-every="10min"/>
  <hooks host="127.0.0.1" port="0" body="4KiB" read-within="1s">
    <source name="ci" form="standard" secrets="%s" a-second="10"/>
  </hooks>
  <api host="127.0.0.1" port="0" token="%s"/>
  <racks notice="10min">%s</racks>
  <stage share="0.1" cap="0.12"/>
  <stage share="1" cap="1"/>
  <votes control="single" life="60s" least="1ms" going-back="1ms"/>
</controller>
"""
            .formatted(
                folder.resolve("store"),
                writeSecret("ci", "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM="),
                writeSecret("token", "0123456789abcdef0123"),
                rackElements));
    start(file);
  }

  private RecordingPeer connectRelay(int number) {
    return connect(Role.RELAY, number, controller.relayAddress());
  }

  private Promised requestGrants(RecordingPeer relay, long relayListId) throws Exception {
    waitUntil("the relay is connected", () -> getOnLoop(relay.connection::isReady));
    long id = ++lastRequestId;
    loop.post(
        () ->
            relay.send(
                FrameKind.PROMISE_ASK,
                PromiseAsk.newBuilder().setId(id).setList(relayListId).build()));
    waitUntil(
        "request " + id + " is answered",
        () ->
            getOnLoop(
                () ->
                    relay.<Promised>heads(FrameKind.PROMISED).stream()
                        .anyMatch(promised -> promised.getId() == id)));
    return getOnLoop(
        () ->
            relay.<Promised>heads(FrameKind.PROMISED).stream()
                .filter(promised -> promised.getId() == id)
                .findFirst()
                .get());
  }

  private void announceWindows(String rack, long fromNowMs, int count) throws Exception {
    CompletableFuture<Object> done = new CompletableFuture<>();
    controller.runOnLoop(
        () -> {
          for (int i = 0; i < count; i++) {
            controller.submit(
                Input.newBuilder()
                    .setFreeze(
                        FreezeWanted.newBuilder()
                            .addRacks(rack)
                            .setFromMs(System.currentTimeMillis() + fromNowMs + i * MINUTE_MS)
                            .setLastsMs(MINUTE_MS)
                            .setZone("UTC")
                            .setWho("ann")
                            .setReason("new switch")),
                outcome -> done.complete(((AppendResult.Accepted) outcome).value()));
          }
        });
    assertTrue(done.get() instanceof AppendResult.WindowsOpened, "" + done.get());
  }

  /** The answer has all racks, and no field that an older program does not know. */
  @Test
  public void relayWithoutListSupportGetsAllRacksEachTime() throws Exception {
    start(5);
    RecordingPeer relay = connectRelay(0);
    for (int i = 0; i < 2; i++) {
      Promised all = requestGrants(relay, 0);
      assertEquals(all.getRacksCount(), 5);
      assertTrue(
          all.getList() == 0
              && !all.getRest()
              && all.getRacksList().stream().allMatch(rack -> rack.getNoticeMs() == 0));
    }
  }

  @Test
  public void relayWithListGetsOnlyRacksBelowTheirNotice() throws Exception {
    start(5);
    RecordingPeer relay = connectRelay(0);
    Promised all = requestGrants(relay, 1);
    assertTrue(!all.getRest() && all.getList() != 0);
    assertEquals(
        all.getRacksList().stream().map(RackFree::getNoticeMs).sorted().toList(),
        List.of(
            10 * MINUTE_MS, 10 * MINUTE_MS, 10 * MINUTE_MS, 10 * MINUTE_MS, 24 * 60 * MINUTE_MS));
    assertEquals(requestGrants(relay, all.getList()).getRacksCount(), 0);
    // r0: within its notice of 24 h; r1: long before its notice of 10 min
    announceWindows("r0", 20 * 60 * MINUTE_MS, 1);
    announceWindows("r1", 20 * 60 * MINUTE_MS, 1);
    announceWindows("r4", 5 * MINUTE_MS, 1);
    Promised shortened = requestGrants(relay, all.getList());
    assertTrue(
        shortened.getRest()
            && shortened.getList() == all.getList()
            && shortened.getSequence() > all.getSequence());
    List<String> shortenedRacks = new ArrayList<>();
    for (RackFree rack : shortened.getRacksList()) {
      shortenedRacks.add(
          rack.getZone()
              + "/"
              + rack.getCell()
              + (rack.getLeftMs() <= 5 * MINUTE_MS
                  ? " within 5 min"
                  : rack.getLeftMs() <= 20 * 60 * MINUTE_MS ? " within 20 h" : ""));
    }
    assertEquals(shortenedRacks, List.of("1/0 within 20 h", "2/1 within 5 min"));
    // a relay with a list that this controller never sent gets all racks, with the same grants
    Promised answerToUnknownList = requestGrants(connectRelay(1), all.getList() + 1);
    assertTrue(!answerToUnknownList.getRest() && answerToUnknownList.getList() == all.getList());
    assertEquals(
        answerToUnknownList.getRacksList().stream()
            .filter(rack -> rack.getLeftMs() < rack.getNoticeMs())
            .count(),
        2);
    Promised answerWithoutList = requestGrants(connectRelay(2), 0);
    assertEquals(
        answerWithoutList.getRacksList().stream()
            .filter(rack -> rack.getLeftMs() <= 5 * MINUTE_MS)
            .count(),
        1);
  }

  /**
   * The id is a hash of the racks, so that it stays valid after a restart or a takeover by a
   * standby.
   */
  @Test
  public void rackListIdSurvivesRestartAndChangesWithRacks() throws Exception {
    start(5);
    long listId = requestGrants(connectRelay(0), 1).getList();
    controller.close();
    start(5);
    assertTrue(requestGrants(connectRelay(0), listId).getRest());
    controller.close();
    start(6);
    Promised answerWithOtherRacks = requestGrants(connectRelay(0), listId);
    assertTrue(
        !answerWithOtherRacks.getRest()
            && answerWithOtherRacks.getList() != listId
            && answerWithOtherRacks.getRacksCount() == 6);
  }

  @Test
  public void answerSizeIsIndependentOfRackCount() throws Exception {
    // 3000 racks hold 120,000 endpoints
    int[] sizes = {50, 3000};
    int[] bytes = new int[2];
    for (int i = 0; i < 2; i++) {
      start(sizes[i]);
      RecordingPeer relay = connectRelay(0);
      Promised complete = requestGrants(relay, 1);
      announceWindows("r4", MINUTE_MS, 1);
      bytes[i] = requestGrants(relay, complete.getList()).getSerializedSize();
      System.out.printf(
          Locale.ROOT,
          "counted: bytes of an answer about racks, one of them frozen soon: at %d %d; told whole"
              + " %d; to an older relay %d%n",
          sizes[i],
          bytes[i],
          complete.getSerializedSize(),
          requestGrants(relay, 0).getSerializedSize());
      if (i > 0) {
        continue;
      }
      controller.close();
      folder = Files.createTempDirectory("promises");
    }
    // 8 bytes allow for longer encodings of numbers
    assertTrue(bytes[1] <= bytes[0] + 8, bytes[1] + " after " + bytes[0]);
  }

  /** Each relay is notified once per commit, however many windows have changed. */
  @Test
  public void windowsOfOneCommitAreNotifiedOnce() throws Exception {
    start(5);
    RecordingPeer relay = connectRelay(0);
    requestGrants(relay, 0);
    announceWindows("r1", 30 * MINUTE_MS, 20);
    requestGrants(relay, 0);
    long notifications =
        getOnLoop(
            () ->
                relay.<Promised>heads(FrameKind.PROMISED).stream()
                    .filter(promised -> promised.getId() == 0)
                    .count());
    System.out.println("counted: nudges for 20 freezes of one turn: " + notifications);
    assertEquals(notifications, 1);
  }
}
