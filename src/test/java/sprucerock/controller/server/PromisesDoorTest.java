package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.controller.AppendResult;
import sprucerock.controller.Engine;
import sprucerock.controller.v1.FreezeWanted;
import sprucerock.controller.v1.Input;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.RackFree;
import sprucerock.transport.wire.v1.Role;

/**
 * What relays of older and newer programs are promised over a link, in bytes, against the number of
 * racks; nothing hangs on how fast.
 */
public class PromisesDoorTest {
  private static final long MIN = 60_000;
  private Path folder;
  private NioLoop loop;
  private ControllerServer desk;
  private long lastAsk;

  @BeforeMethod
  public void begin() throws Exception {
    folder = Files.createTempDirectory("promises");
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

  /** So many racks, of which the first has a notice of a day. */
  private void starts(int racks) throws Exception {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < racks; i++) {
      all.append(
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
                secret("ci", "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM="),
                secret("token", "0123456789abcdef0123"),
                all));
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

  private RecordingPeer relay(int number) {
    return on(
        () -> {
          RecordingPeer person = new RecordingPeer(loop, Role.RELAY, number);
          loop.connect(
              new InetSocketAddress("127.0.0.1", desk.relaysAt().getPort()),
              TimeSpan.ofMs(5000),
              1 << 20,
              person.connection);
          return person;
        });
  }

  private Promised asks(RecordingPeer relay, long list) throws Exception {
    until("it is linked", () -> on(relay.connection::isReady));
    long id = ++lastAsk;
    loop.post(
        () ->
            relay.send(
                FrameKind.PROMISE_ASK, PromiseAsk.newBuilder().setId(id).setList(list).build()));
    until(
        "ask " + id + " is answered",
        () ->
            on(
                () ->
                    relay.<Promised>heads(FrameKind.PROMISED).stream()
                        .anyMatch(one -> one.getId() == id)));
    return on(
        () ->
            relay.<Promised>heads(FrameKind.PROMISED).stream()
                .filter(one -> one.getId() == id)
                .findFirst()
                .get());
  }

  private void freeze(String rack, long fromNow, int times) throws Exception {
    CompletableFuture<Object> done = new CompletableFuture<>();
    desk.post(
        () -> {
          for (int i = 0; i < times; i++) {
            desk.submit(
                Input.newBuilder()
                    .setFreeze(
                        FreezeWanted.newBuilder()
                            .addRacks(rack)
                            .setFromMs(System.currentTimeMillis() + fromNow + i * MIN)
                            .setLastsMs(MIN)
                            .setZone("UTC")
                            .setWho("ann")
                            .setReason("new switch")),
                outcome -> done.complete(((AppendResult.Accepted) outcome).value()));
          }
        });
    assertTrue(done.get() instanceof AppendResult.WindowsOpened, "" + done.get());
  }

  /** As before there were lists: all racks, and nothing that it does not know. */
  @Test
  public void anOlderRelayIsToldAllEachTime() throws Exception {
    starts(5);
    RecordingPeer relay = relay(0);
    for (int i = 0; i < 2; i++) {
      Promised all = asks(relay, 0);
      assertEquals(all.getRacksCount(), 5);
      assertTrue(
          all.getList() == 0
              && !all.getRest()
              && all.getRacksList().stream().allMatch(one -> one.getNoticeMs() == 0));
    }
  }

  @Test
  public void aRelayThatWasToldAllIsToldWhatIsShorterThanItsNotice() throws Exception {
    starts(5);
    RecordingPeer relay = relay(0);
    Promised all = asks(relay, 1);
    assertTrue(!all.getRest() && all.getList() != 0);
    assertEquals(
        all.getRacksList().stream().map(RackFree::getNoticeMs).sorted().toList(),
        List.of(10 * MIN, 10 * MIN, 10 * MIN, 10 * MIN, 24 * 60 * MIN));
    assertEquals(asks(relay, all.getList()).getRacksCount(), 0);
    freeze("r0", 20 * 60 * MIN, 1); // within its own notice
    freeze("r1", 20 * 60 * MIN, 1); // long before its notice
    freeze("r4", 5 * MIN, 1);
    Promised some = asks(relay, all.getList());
    assertTrue(
        some.getRest()
            && some.getList() == all.getList()
            && some.getSequence() > all.getSequence());
    List<String> named = new ArrayList<>();
    for (RackFree one : some.getRacksList()) {
      named.add(
          one.getZone()
              + "/"
              + one.getCell()
              + (one.getLeftMs() <= 5 * MIN
                  ? " within 5 min"
                  : one.getLeftMs() <= 20 * 60 * MIN ? " within 20 h" : ""));
    }
    assertEquals(named, List.of("1/0 within 20 h", "2/1 within 5 min"));
    // whoever asks by what this controller never told is told all, with the same promises
    Promised again = asks(relay(1), all.getList() + 1);
    assertTrue(!again.getRest() && again.getList() == all.getList());
    assertEquals(
        again.getRacksList().stream().filter(one -> one.getLeftMs() < one.getNoticeMs()).count(),
        2);
    Promised old = asks(relay(2), 0);
    assertEquals(old.getRacksList().stream().filter(one -> one.getLeftMs() <= 5 * MIN).count(), 1);
  }

  /**
   * The number comes from the racks: a controller that starts again, or its standby, goes on with
   * it.
   */
  @Test
  public void theListOutlivesTheControllerAndChangesWithItsRacks() throws Exception {
    starts(5);
    long list = asks(relay(0), 1).getList();
    desk.close();
    starts(5);
    assertTrue(asks(relay(0), list).getRest());
    desk.close();
    starts(6);
    Promised other = asks(relay(0), list);
    assertTrue(!other.getRest() && other.getList() != list && other.getRacksCount() == 6);
  }

  @Test
  public void anAnswerDoesNotGrowWithTheRacks() throws Exception {
    int[] sizes = {50, 3000}; // the second is a fleet of 120,000 units
    int[] bytes = new int[2];
    for (int i = 0; i < 2; i++) {
      starts(sizes[i]);
      RecordingPeer relay = relay(0);
      Promised whole = asks(relay, 1);
      freeze("r4", MIN, 1);
      bytes[i] = asks(relay, whole.getList()).getSerializedSize();
      System.out.printf(
          Locale.ROOT,
          "counted: bytes of an answer about racks, one of them frozen soon: at %d %d; told whole"
              + " %d; to an older relay %d%n",
          sizes[i],
          bytes[i],
          whole.getSerializedSize(),
          asks(relay, 0).getSerializedSize());
      if (i > 0) {
        continue;
      }
      desk.close();
      folder = Files.createTempDirectory("promises");
    }
    assertTrue(
        bytes[1] <= bytes[0] + 8, bytes[1] + " after " + bytes[0]); // but for what a number takes
  }

  /**
   * Each relay is told once that something has changed, and asks once, however many freezes moved.
   */
  @Test
  public void manyFreezesOfOneTurnAreToldOnce() throws Exception {
    starts(5);
    RecordingPeer relay = relay(0);
    asks(relay, 0);
    freeze("r1", 30 * MIN, 20);
    asks(relay, 0);
    long told =
        on(
            () ->
                relay.<Promised>heads(FrameKind.PROMISED).stream()
                    .filter(one -> one.getId() == 0)
                    .count());
    System.out.println("counted: nudges for 20 freezes of one turn: " + told);
    assertEquals(told, 1);
  }
}
