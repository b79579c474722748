package sprucerock.transport.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.MessageLite;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;

/** Frames of bytes, whole, split, cut and wrong. */
public class FrameReaderTest {
  // the worked bytes of docs/protocol.md
  private static final String HELLO =
      "00000012" + "01" + "00000e" + "08011001" + "1803" + "220674696c6c2d33";
  private static final String CALL =
      "0000001c"
          + "02"
          + "000013"
          + "0807"
          + "1002"
          + "210b00000000000000"
          + "28c0cf24"
          + "180c"
          + "68656c6c6f";

  private static byte[] bytesOf(String text) {
    return HexFormat.of().parseHex(text);
  }

  private static byte[] stream() {
    byte[] hello = bytesOf(HELLO);
    byte[] call =
        frame(
            2,
            Call.newBuilder().setId(7).setMethod(2).setLeftUs(600_000).build().toByteArray(),
            "hello".getBytes());
    byte[] all = Arrays.copyOf(hello, hello.length + 2 * call.length);
    System.arraycopy(call, 0, all, hello.length, call.length);
    System.arraycopy(call, 0, all, hello.length + call.length, call.length);
    return all;
  }

  private static byte[] frame(int kind, byte[] head, byte[] body) {
    return ByteBuffer.allocate(8 + head.length + body.length)
        .putInt(4 + head.length + body.length)
        .putInt(kind << 24 | head.length)
        .put(head)
        .put(body)
        .array();
  }

  private static List<String> read(FrameReader reader, byte[] bytes)
      throws MalformedFrameException {
    List<String> seen = new ArrayList<>();
    reader.feed(
        ByteBuffer.wrap(bytes),
        (kind, head, body) -> seen.add(kind + " " + text(head) + new String(body)));
    return seen;
  }

  private static String text(MessageLite head) {
    return head.toString().replaceAll("\\s+", " ");
  }

  @Test
  public void examplesOfTheProtocolPageAreRead() throws MalformedFrameException {
    assertEquals(
        read(new FrameReader(1000), bytesOf(HELLO)),
        List.of("HELLO version: 1 role: CLIENT number: 3 name: \"till-3\" "));
    assertEquals(
        read(new FrameReader(1000), bytesOf(CALL)),
        List.of("CALL id: 7 method: 2 customer: 12 key: 11 left_us: 600000 hello"));
    Hello hello =
        Hello.newBuilder()
            .setVersion(1)
            .setRole(Role.CLIENT)
            .setNumber(3)
            .setName("till-3")
            .build();
    assertEquals(frame(1, hello.toByteArray(), new byte[0]), bytesOf(HELLO));
  }

  @Test
  public void everySplitOfTheBytesGivesTheSameFrames() throws MalformedFrameException {
    byte[] all = stream();
    List<String> whole = read(new FrameReader(1000), all);
    assertEquals(whole.size(), 3);
    for (int i = 0; i <= all.length; i++) {
      for (int j = i; j <= all.length; j++) {
        FrameReader reader = new FrameReader(1000);
        List<String> seen = new ArrayList<>(read(reader, Arrays.copyOfRange(all, 0, i)));
        seen.addAll(read(reader, Arrays.copyOfRange(all, i, j)));
        seen.addAll(read(reader, Arrays.copyOfRange(all, j, all.length)));
        assertEquals(seen, whole, "split at " + i + " and " + j);
        assertFalse(reader.hasPartialFrame());
      }
    }
  }

  @Test
  public void everyTruncationLeavesAPartialFrame() throws MalformedFrameException {
    byte[] hello = bytesOf(HELLO);
    for (int i = 1; i < hello.length; i++) {
      FrameReader reader = new FrameReader(1000);
      assertTrue(read(reader, Arrays.copyOf(hello, i)).isEmpty());
      assertTrue(reader.hasPartialFrame(), "after " + i + " bytes");
    }
  }

  @Test
  public void malformedFramesAreNamedInTheError() {
    assertEquals(errorOf("00000003010000"), "a frame of 3 bytes can't be");
    assertEquals(errorOf("000003e901000000"), "a frame of 1001 bytes, 1000 at most");
    assertEquals(errorOf("ffffffff01000000"), "a frame of -1 bytes can't be");
    assertEquals(errorOf("00000004c8000000"), "no kind of frame is 200");
    assertEquals(errorOf("0000000400000000"), "no kind of frame is 0");
    assertEquals(errorOf("0000000401000001"), "HELLO: the head is longer than the frame");
    assertEquals(errorOf("000000050400000042"), "LEAVE: has a body of 1 bytes");
    assertTrue(
        errorOf("000000060100000208ff").startsWith("HELLO: the head can't be read"),
        errorOf("000000060100000208ff"));
  }

  @Test
  public void kindsAndFieldsOfANewerProgramAreSkipped() throws MalformedFrameException {
    byte[] unknown = bytesOf("00000007" + "63" + "000002" + "0801" + "42");
    byte[] both = Arrays.copyOf(unknown, unknown.length + bytesOf(CALL).length);
    System.arraycopy(bytesOf(CALL), 0, both, unknown.length, bytesOf(CALL).length);
    assertEquals(read(new FrameReader(1000), both).size(), 1);
    String newer =
        "00000016" + "02" + "00000d" + "0807" + "1002" + "210b00000000000000" + "68656c6c6f";
    assertTrue(
        read(new FrameReader(1000), bytesOf(newer)).get(0).startsWith("CALL id: 7 method: 2"));
  }

  @Test
  public void overlappingVersionsAreAccepted() {
    assertEquals(
        FrameConnection.versionMismatch(Hello.newBuilder().setVersion(1).build()),
        null); // as the last program greeted
    assertEquals(
        FrameConnection.versionMismatch(Hello.newBuilder().setVersion(3).setOldest(1).build()),
        null);
    assertEquals(
        FrameConnection.versionMismatch(Hello.newBuilder().setVersion(3).setOldest(2).build()),
        "speaks versions 2 to 3, here 1 to 1 are spoken");
    assertEquals(
        FrameConnection.versionMismatch(Hello.newBuilder().setVersion(9).build()),
        "speaks versions 9 to 9, here 1 to 1 are spoken");
  }

  private static String errorOf(String bytes) {
    byte[] all = Arrays.copyOf(bytesOf(bytes), Math.max(8, bytes.length() / 2));
    return expectThrows(MalformedFrameException.class, () -> read(new FrameReader(1000), all))
        .getMessage();
  }

  /** Notes frames with the length of their body, -1 where it was left out. */
  private static final class BodyLengths implements FrameReader.Sink {
    final List<Integer> seen = new ArrayList<>();

    @Override
    public void frame(FrameKind kind, MessageLite head, byte[] body) {
      seen.add(body.length);
    }

    @Override
    public void frameWithoutBody(FrameKind kind, MessageLite head) {
      assertEquals(((Call) head).getId(), 7);
      seen.add(-1);
    }
  }

  private static byte[] call(int bodyBytes) {
    return frame(
        2,
        Call.newBuilder().setId(7).setMethod(2).setLeftUs(600_000).build().toByteArray(),
        new byte[bodyBytes]);
  }

  /** Guards against large frames of many connections, each within its limit, that fill the heap. */
  @Test
  public void aLargeFrameWithoutMemoryIsReadWithoutItsBody() throws MalformedFrameException {
    byte[] all = Arrays.copyOf(call(5000), call(5000).length + call(10).length);
    System.arraycopy(call(10), 0, all, call(5000).length, call(10).length);
    for (int piece = 1; piece < 6000; piece += 7) {
      MemoryLimit memory = new MemoryLimit(4000, () -> 0);
      FrameReader reader = new FrameReader(10_000, memory);
      BodyLengths sink = new BodyLengths();
      for (int at = 0; at < all.length; at += piece) {
        reader.feed(ByteBuffer.wrap(all, at, Math.min(piece, all.length - at)), sink);
        assertEquals(memory.heldBytes(), 0);
      }
      // in one piece it needs no buffer
      assertEquals(sink.seen, List.of(piece >= call(5000).length ? 5000 : -1, 10));
    }
  }

  @Test
  public void whatIncompleteFramesHoldIsReleased() throws MalformedFrameException {
    MemoryLimit memory = new MemoryLimit(12_000, () -> 0);
    FrameReader first = new FrameReader(10_000, memory);
    FrameReader second = new FrameReader(10_000, memory);
    BodyLengths sink = new BodyLengths();
    byte[] all = call(9000);
    first.feed(ByteBuffer.wrap(all, 0, 2000), sink);
    assertEquals(memory.heldBytes(), all.length);
    second.feed(ByteBuffer.wrap(all, 0, 2000), sink);
    assertEquals(sink.seen, List.of(-1));
    first.feed(ByteBuffer.wrap(all, 2000, all.length - 2000), sink);
    assertEquals(sink.seen, List.of(-1, 9000));
    assertEquals(memory.heldBytes(), 0);
    first.feed(ByteBuffer.wrap(all, 0, 2000), sink);
    first.close();
    assertEquals(memory.heldBytes(), 0);
  }

  @Test
  public void randomBytesAtMostEndTheReading() {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = stream();
      for (int j = random.nextInt(6); j >= 0; j--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        read(new FrameReader(1000), bytes);
      } catch (MalformedFrameException e) {
        assertTrue(e.getMessage().length() < 300, e.getMessage());
      }
    }
  }

  @Test
  public void connectionIsCutForAnotherVersionAndKeptByHeartbeats() throws java.io.IOException {
    SimulatedNet net = new SimulatedNet(0, 1);
    List<RecordingPeer> there = RecordingPeer.listen(net, Role.UNIT, 1, 7000);
    FrameConnection old =
        new FrameConnection(
            net,
            Hello.newBuilder().setVersion(9).build(),
            RecordingPeer.LIMITS,
            FrameTap.NONE,
            new RecordingPeer(net, Role.CLIENT, 0));
    net.connect(
        new java.net.InetSocketAddress("127.0.0.1", 7000),
        sprucerock.time.TimeSpan.ofMs(100),
        1000,
        old);
    net.pass(10);
    assertEquals(there.get(0).closeReason, "speaks versions 9 to 9, here 1 to 1 are spoken");
    RecordingPeer mute = RecordingPeer.connect(net, Role.CLIENT, 2, 7000);
    net.pass(10_000);
    assertEquals(mute.closeReason, null, "beats must keep a quiet link");
  }
}
