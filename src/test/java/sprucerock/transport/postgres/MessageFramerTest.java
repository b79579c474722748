package sprucerock.transport.postgres;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Framing of PostgreSQL's messages, with the reader and writer of their bodies: streams cut into
 * pieces of any size, and bytes that are no messages.
 */
public class MessageFramerTest {
  private static final class RecordingListener implements MessageFramer.Listener {
    final List<String> messages = new ArrayList<>();

    @Override
    public void onMessage(char type, byte[] body) {
      messages.add((type == 0 ? "start" : "" + type) + body.length);
    }

    @Override
    public boolean wantsMore() {
      return true;
    }

    @Override
    public void messageSkipped() {
      messages.add("skipped");
    }
  }

  private static byte[] row(byte[] value) {
    return MessageWriter.message(
        'D',
        ByteBuffer.allocate(6 + value.length)
            .putShort((short) 1)
            .putInt(value.length)
            .put(value)
            .array());
  }

  @Test
  public void piecesOfAnySizeYieldTheSameMessages() throws ProtocolException {
    byte[] all =
        MessageWriter.concat(
            MessageWriter.query("a".repeat(700).getBytes(StandardCharsets.US_ASCII)),
            MessageWriter.terminate(),
            MessageWriter.query(new byte[0]));
    for (int piece = 1; piece <= all.length; piece++) {
      RecordingListener recorded = new RecordingListener();
      MessageFramer framer = MessageFramer.fromClient(1000);
      framer.startupComplete();
      for (int at = 0; at < all.length; at += piece) {
        framer.feed(ByteBuffer.wrap(all, at, Math.min(piece, all.length - at)), recorded);
      }
      assertEquals(recorded.messages, List.of("Q701", "X0", "Q1"));
      assertEquals(framer.isPartial(), false);
    }
  }

  @Test
  public void aSkippedMessageIsDroppedInPiecesOfAnySize() throws ProtocolException {
    byte[] first = MessageWriter.query("a".repeat(700).getBytes(StandardCharsets.US_ASCII));
    byte[] second = MessageWriter.query("b".repeat(5).getBytes(StandardCharsets.US_ASCII));
    byte[] all = MessageWriter.concat(first, second);
    for (int skippedFrom = 5; skippedFrom < first.length; skippedFrom += 7) {
      for (int piece : new int[] {1, 13, 700, 2000}) {
        RecordingListener recorded = new RecordingListener();
        MessageFramer framer = MessageFramer.fromClient(1000);
        framer.startupComplete();
        framer.feed(ByteBuffer.wrap(all, 0, skippedFrom), recorded);
        framer.skip();
        assertEquals(framer.admittedBytes(), 0);
        for (int at = skippedFrom; at < all.length; at += piece) {
          framer.feed(ByteBuffer.wrap(all, at, Math.min(piece, all.length - at)), recorded);
        }
        assertEquals(recorded.messages, List.of("skipped", "Q6"));
        assertEquals(framer.isSkipping(), false);
        assertEquals(framer.isPartial(), false);
      }
    }
  }

  @Test
  public void typedMessagesFollowTheStartupMessage() throws ProtocolException {
    RecordingListener recorded = new RecordingListener();
    MessageFramer framer = MessageFramer.fromClient(1000);
    framer.feed(ByteBuffer.wrap(MessageWriter.startupMessage("svc", "main")), recorded);
    assertEquals(recorded.messages.size(), 1);
    assertTrue(recorded.messages.get(0).startsWith("start"));
    framer.startupComplete();
    framer.feed(ByteBuffer.wrap(MessageWriter.terminate()), recorded);
    assertEquals(recorded.messages.get(1), "X0");
  }

  @Test
  public void invalidNegativeOrOversizedLengthsAreRejectedAtTheHeader() {
    for (int length :
        new int[] {0, 3, -1, Integer.MIN_VALUE, 1005, 60_000_000, Integer.MAX_VALUE}) {
      MessageFramer framer = MessageFramer.fromClient(1000);
      framer.startupComplete();
      byte[] head = ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).array();
      assertThrows(
          ProtocolException.class,
          () -> framer.feed(ByteBuffer.wrap(head), new RecordingListener()));
      MessageFramer startupFramer = MessageFramer.fromClient(1000_000);
      byte[] startupHead = ByteBuffer.allocate(4).putInt(length == 1005 ? 20_000 : length).array();
      assertThrows(
          ProtocolException.class,
          () -> startupFramer.feed(ByteBuffer.wrap(startupHead), new RecordingListener()));
    }
  }

  @Test
  public void unknownTypesAreRejectedAtTheFirstByte() {
    MessageFramer framer = MessageFramer.fromServer(1000);
    assertThrows(
        ProtocolException.class,
        () -> framer.feed(ByteBuffer.wrap(new byte[] {(byte) 0xfe}), new RecordingListener()));
  }

  @Test
  public void singleValueRowsAreParsedStrictly() throws ProtocolException {
    byte[] message = row(new byte[] {1, 2, 3});
    byte[] body = Arrays.copyOfRange(message, 5, message.length);
    assertEquals(MessageReader.parseSingleValue(body), new byte[] {1, 2, 3});
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseSingleValue(Arrays.copyOf(body, body.length + 1)));
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseSingleValue(Arrays.copyOf(body, body.length - 1)));
    byte[] hugeLength =
        ByteBuffer.allocate(6)
            .putShort((short) 1)
            .putInt(-1)
            .array(); // -1 is null; unsigned, it would be 4 GiB
    assertThrows(ProtocolException.class, () -> MessageReader.parseSingleValue(hugeLength));
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseSingleValue(ByteBuffer.allocate(6).putShort((short) 2).array()));
  }

  @Test
  public void errorFieldsAreParsedStrictly() throws ProtocolException {
    byte[] message = MessageWriter.errorResponse("ERROR", "53300", "full", "40");
    byte[] body = Arrays.copyOfRange(message, 5, message.length);
    assertEquals(MessageReader.parseErrorField(body, 'C'), "53300");
    assertEquals(MessageReader.parseErrorField(body, 'D'), "40");
    assertEquals(MessageReader.parseErrorField(body, 'H'), null);
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseErrorField(Arrays.copyOf(body, body.length - 1), 'C'));
  }

  /** Guards against messages that are read although there is no memory for them. */
  @Test
  public void aMessageIsReadOnceItIsAdmitted() throws ProtocolException {
    byte[] message = MessageWriter.query("a".repeat(700).getBytes(StandardCharsets.US_ASCII));
    for (int piece = 1; piece <= message.length; piece++) {
      boolean[] admits = new boolean[1];
      RecordingListener recorded = new RecordingListener();
      MessageFramer framer =
          MessageFramer.fromClient(
              1000,
              bytes -> {
                assertEquals(bytes, 701);
                return admits[0];
              });
      framer.startupComplete();
      int at = 0;
      while (!framer.isBlocked()) {
        ByteBuffer next = ByteBuffer.wrap(message, at, Math.min(piece, message.length - at));
        framer.feed(next, recorded);
        at = next.position();
      }
      assertEquals(at, 5);
      assertEquals(framer.admittedBytes(), 0);
      framer.feed(ByteBuffer.wrap(message, at, message.length - at), recorded);
      assertTrue(framer.isBlocked());
      admits[0] = true;
      framer.feed(ByteBuffer.allocate(0), recorded);
      assertEquals(framer.admittedBytes(), 701);
      framer.feed(ByteBuffer.wrap(message, at, message.length - at), recorded);
      assertEquals(recorded.messages, List.of("Q701"));
      assertEquals(framer.admittedBytes(), 0);
    }
  }
}
