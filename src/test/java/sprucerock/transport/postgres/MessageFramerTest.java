package sprucerock.transport.postgres;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The codec of PostgreSQL's protocol against bytes in any pieces, and against bytes that are none.
 */
public class MessageFramerTest {
  private static final class Seen implements MessageFramer.Listener {
    final List<String> messages = new ArrayList<>();

    @Override
    public void onMessage(char type, byte[] body) {
      messages.add((type == 0 ? "start" : "" + type) + body.length);
    }

    @Override
    public boolean wantsMore() {
      return true;
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
  public void piecesOfAnySizeGiveTheSameMessages() throws ProtocolException {
    byte[] all =
        MessageWriter.concat(
            MessageWriter.query("a".repeat(700).getBytes(StandardCharsets.US_ASCII)),
            MessageWriter.terminate(),
            MessageWriter.query(new byte[0]));
    for (int piece = 1; piece <= all.length; piece++) {
      Seen seen = new Seen();
      MessageFramer in = MessageFramer.fromClient(1000);
      in.startupComplete();
      for (int at = 0; at < all.length; at += piece) {
        in.feed(ByteBuffer.wrap(all, at, Math.min(piece, all.length - at)), seen);
      }
      assertEquals(seen.messages, List.of("Q701", "X0", "Q1"));
      assertEquals(in.isPartial(), false);
    }
  }

  @Test
  public void startupComesFirstAndTypedMessagesAfterIt() throws ProtocolException {
    Seen seen = new Seen();
    MessageFramer in = MessageFramer.fromClient(1000);
    in.feed(ByteBuffer.wrap(MessageWriter.startupMessage("svc", "main")), seen);
    assertEquals(seen.messages.size(), 1);
    assertTrue(seen.messages.get(0).startsWith("start"));
    in.startupComplete();
    in.feed(ByteBuffer.wrap(MessageWriter.terminate()), seen);
    assertEquals(seen.messages.get(1), "X0");
  }

  @Test
  public void lengthsThatAreWrongNegativeOrHugeAreRefusedAtTheHead() {
    for (int length :
        new int[] {0, 3, -1, Integer.MIN_VALUE, 1005, 60_000_000, Integer.MAX_VALUE}) {
      MessageFramer in = MessageFramer.fromClient(1000);
      in.startupComplete();
      byte[] head = ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).array();
      assertThrows(ProtocolException.class, () -> in.feed(ByteBuffer.wrap(head), new Seen()));
      MessageFramer first = MessageFramer.fromClient(1000_000);
      byte[] start = ByteBuffer.allocate(4).putInt(length == 1005 ? 20_000 : length).array();
      assertThrows(ProtocolException.class, () -> first.feed(ByteBuffer.wrap(start), new Seen()));
    }
  }

  @Test
  public void noiseIsRefusedAtItsFirstByte() {
    MessageFramer in = MessageFramer.fromServer(1000);
    assertThrows(
        ProtocolException.class,
        () -> in.feed(ByteBuffer.wrap(new byte[] {(byte) 0xfe}), new Seen()));
  }

  @Test
  public void aRowIsOneWholeValueAndNothingElse() throws ProtocolException {
    byte[] good = row(new byte[] {1, 2, 3});
    byte[] body = java.util.Arrays.copyOfRange(good, 5, good.length);
    assertEquals(MessageReader.parseSingleValue(body), new byte[] {1, 2, 3});
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseSingleValue(java.util.Arrays.copyOf(body, body.length + 1)));
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseSingleValue(java.util.Arrays.copyOf(body, body.length - 1)));
    byte[] three =
        ByteBuffer.allocate(6)
            .putShort((short) 1)
            .putInt(-1)
            .array(); // a value of 3 GB, as an unsigned length
    assertThrows(ProtocolException.class, () -> MessageReader.parseSingleValue(three));
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseSingleValue(ByteBuffer.allocate(6).putShort((short) 2).array()));
  }

  @Test
  public void errorsAreReadByFieldAndStrictly() throws ProtocolException {
    byte[] whole = MessageWriter.errorResponse("ERROR", "53300", "full", "40");
    byte[] body = java.util.Arrays.copyOfRange(whole, 5, whole.length);
    assertEquals(MessageReader.parseErrorField(body, 'C'), "53300");
    assertEquals(MessageReader.parseErrorField(body, 'D'), "40");
    assertEquals(MessageReader.parseErrorField(body, 'H'), null);
    assertThrows(
        ProtocolException.class,
        () -> MessageReader.parseErrorField(java.util.Arrays.copyOf(body, body.length - 1), 'C'));
  }
}
