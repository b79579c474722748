package sprucerock;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.testng.annotations.Test;
import sprucerock.policy.FakeRelayActions;
import sprucerock.simulation.FrameException;
import sprucerock.simulation.SimulationHost;

/** Frames read and written by the adapter to the simulator. */
public class SimulationHostTest {
  private static final String CLOCK = "00000000206ec040";
  private static final String CENSUS =
      "8c3a000000000002000000074a1203000000000000002442010000803f0000000000000000"
          + "f211902c000000000000002842010000c03f0000000000d4b740";
  private static final String ANNOUNCE = "140f00000003000000" + "0000" + "2900000000000000" + "02";
  private static final String NEWS =
      "6e16000000030000002a0000020001" + "0000803f" + "0000000000607340";
  private static final String ORDER =
      "1e2700000003000000c4913a5d000000000000640ad2557c3bf091"
          + "0000000020e6c0400000000000002840"
          + "01";

  private static byte[] play(byte[] input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulationHost(new ByteArrayInputStream(input), out).run();
    return out.toByteArray();
  }

  private static byte[] hex(String text) {
    return HexFormat.of().parseHex(text);
  }

  private static byte[] batch(int number, String clock, byte[]... records) {
    int length = 0;
    for (byte[] record : records) {
      length += record.length;
    }
    ByteBuffer frame = ByteBuffer.allocate(20 + length).order(ByteOrder.LITTLE_ENDIAN);
    frame.putInt(number).putInt(length).putInt(records.length).put(hex(clock));
    for (byte[] record : records) {
      frame.put(record);
    }
    return frame.array();
  }

  private static byte[] init(String settings) {
    byte[] text = settings.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(21 + text.length).order(ByteOrder.LITTLE_ENDIAN);
    record
        .put((byte) 10)
        .putInt(16 + text.length)
        .putInt(3)
        .putLong(7)
        .putInt(text.length)
        .put(text);
    return record.array();
  }

  @Test
  public void emptyBatchGetsAnEmptyReply() throws IOException {
    assertEquals(play(hex("010000000000000000000000" + CLOCK)), hex("010000000000000000000000"));
  }

  @Test
  public void rpcIsSentToAnEndpointOfTheList() throws IOException {
    byte[] reply =
        play(
            batch(
                12,
                CLOCK,
                init(FakeRelayActions.SETTINGS),
                hex(CENSUS),
                hex(ANNOUNCE),
                hex(NEWS),
                hex(ORDER)));
    String text = HexFormat.of().formatHex(reply);
    assertTrue(text.startsWith("0c000000"), text);
    int at = text.indexOf("0a1400000003000000c4913a5d");
    assertTrue(at > 0, text);
    String endpoint = text.substring(at + 26, at + 34);
    assertTrue(endpoint.equals("074a1203") || endpoint.equals("f211902c"), endpoint);
  }

  @Test
  public void missingSettingStopsTheRelayAndIsNamed() throws IOException {
    byte[] reply = play(batch(1, CLOCK, init(FakeRelayActions.SETTINGS.replace("tick=5.0", ""))));
    assertEquals(reply[12], (byte) 100);
    assertTrue(new String(reply, StandardCharsets.UTF_8).contains("setting tick is missing"));
  }

  @Test
  public void malformedFramesAreNamed() {
    byte[] whole = batch(12, CLOCK, init(FakeRelayActions.SETTINGS), hex(ORDER));
    byte[] cut = java.util.Arrays.copyOf(whole, whole.length - 3);
    assertEquals(
        expectThrows(FrameException.class, () -> play(cut)).getMessage(),
        "batch 12: body is cut short");
    byte[] early = batch(12, CLOCK, hex(ORDER));
    assertEquals(
        expectThrows(FrameException.class, () -> play(early)).getMessage(),
        "batch 12, record 0 (code 30): relay 3 never started");
    byte[] odd = batch(5, CLOCK, init(FakeRelayActions.SETTINGS), hex("c80400000003000000"));
    assertEquals(
        expectThrows(FrameException.class, () -> play(odd)).getMessage(),
        "batch 5, record 1: unknown code 200");
  }

  @Test
  public void eventsAboutUnknownRpcsAreIgnored() throws IOException {
    byte[] gone = hex("3c0800000003000000192b6f0e");
    byte[] ring = hex("4608000000030000004d000000");
    byte[] destroy = hex("640400000003000000");
    byte[] first = batch(1, CLOCK, init(FakeRelayActions.SETTINGS));
    byte[] second = batch(2, "0000000020e6c040", gone, ring, destroy);
    byte[] both = java.util.Arrays.copyOf(first, first.length + second.length);
    System.arraycopy(second, 0, both, first.length, second.length);
    String text = HexFormat.of().formatHex(play(both));
    assertTrue(text.endsWith("020000000000000000000000"), text);
  }
}
