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
public class MessagesTest {
  private static final class Seen implements Messages.User {
    final List<String> messages = new ArrayList<>();

    @Override
    public void message(char type, byte[] body) {
      messages.add((type == 0 ? "start" : "" + type) + body.length);
    }

    @Override
    public boolean open() {
      return true;
    }
  }

  private static byte[] row(byte[] value) {
    return Writer.message(
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
        Writer.join(
            Writer.query("a".repeat(700).getBytes(StandardCharsets.US_ASCII)),
            Writer.terminate(),
            Writer.query(new byte[0]));
    for (int piece = 1; piece <= all.length; piece++) {
      Seen seen = new Seen();
      Messages in = Messages.ofClient(1000);
      in.started();
      for (int at = 0; at < all.length; at += piece) {
        in.take(ByteBuffer.wrap(all, at, Math.min(piece, all.length - at)), seen);
      }
      assertEquals(seen.messages, List.of("Q701", "X0", "Q1"));
      assertEquals(in.partial(), false);
    }
  }

  @Test
  public void startupComesFirstAndTypedMessagesAfterIt() throws ProtocolException {
    Seen seen = new Seen();
    Messages in = Messages.ofClient(1000);
    in.take(ByteBuffer.wrap(Writer.startup("svc", "main")), seen);
    assertEquals(seen.messages.size(), 1);
    assertTrue(seen.messages.get(0).startsWith("start"));
    in.started();
    in.take(ByteBuffer.wrap(Writer.terminate()), seen);
    assertEquals(seen.messages.get(1), "X0");
  }

  @Test
  public void lengthsThatAreWrongNegativeOrHugeAreRefusedAtTheHead() {
    for (int length :
        new int[] {0, 3, -1, Integer.MIN_VALUE, 1005, 60_000_000, Integer.MAX_VALUE}) {
      Messages in = Messages.ofClient(1000);
      in.started();
      byte[] head = ByteBuffer.allocate(5).put((byte) 'Q').putInt(length).array();
      assertThrows(ProtocolException.class, () -> in.take(ByteBuffer.wrap(head), new Seen()));
      Messages first = Messages.ofClient(1000_000);
      byte[] start = ByteBuffer.allocate(4).putInt(length == 1005 ? 20_000 : length).array();
      assertThrows(ProtocolException.class, () -> first.take(ByteBuffer.wrap(start), new Seen()));
    }
  }

  @Test
  public void noiseIsRefusedAtItsFirstByte() {
    Messages in = Messages.ofServer(1000);
    assertThrows(
        ProtocolException.class,
        () -> in.take(ByteBuffer.wrap(new byte[] {(byte) 0xfe}), new Seen()));
  }

  @Test
  public void aRowIsOneWholeValueAndNothingElse() throws ProtocolException {
    byte[] good = row(new byte[] {1, 2, 3});
    byte[] body = java.util.Arrays.copyOfRange(good, 5, good.length);
    assertEquals(Reader.oneValue(body), new byte[] {1, 2, 3});
    assertThrows(
        ProtocolException.class,
        () -> Reader.oneValue(java.util.Arrays.copyOf(body, body.length + 1)));
    assertThrows(
        ProtocolException.class,
        () -> Reader.oneValue(java.util.Arrays.copyOf(body, body.length - 1)));
    byte[] three =
        ByteBuffer.allocate(6)
            .putShort((short) 1)
            .putInt(-1)
            .array(); // a value of 3 GB, as an unsigned length
    assertThrows(ProtocolException.class, () -> Reader.oneValue(three));
    assertThrows(
        ProtocolException.class,
        () -> Reader.oneValue(ByteBuffer.allocate(6).putShort((short) 2).array()));
  }

  @Test
  public void errorsAreReadByFieldAndStrictly() throws ProtocolException {
    byte[] whole = Writer.error("ERROR", "53300", "full", "40");
    byte[] body = java.util.Arrays.copyOfRange(whole, 5, whole.length);
    assertEquals(Reader.errorField(body, 'C'), "53300");
    assertEquals(Reader.errorField(body, 'D'), "40");
    assertEquals(Reader.errorField(body, 'H'), null);
    assertThrows(
        ProtocolException.class,
        () -> Reader.errorField(java.util.Arrays.copyOf(body, body.length - 1), 'C'));
  }
}
