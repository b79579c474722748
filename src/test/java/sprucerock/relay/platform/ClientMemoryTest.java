package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.model.Method;
import sprucerock.relay.engine.EventLog;
import sprucerock.relay.engine.RequestOutcome;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;
import sprucerock.transport.postgres.ProtocolException;

/** Clients whose commands need more memory than all of them may hold together. */
public class ClientMemoryTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 100);
  private static final int MAX_CLIENTS = 400;
  private static final byte[] VALUE =
      MessageWriter.singleRow(
          ByteBuffer.allocate(22).putShort((short) 1).put((byte) 'v').array(),
          ByteBuffer.allocate(6).putShort((short) 1).putInt(0).array(),
          "SELECT 1\0".getBytes(StandardCharsets.US_ASCII));

  private final List<PlatformRequest> arrived = new ArrayList<>();
  private SimulatedNet net;
  private MemoryLimit limit;

  @BeforeMethod
  public void begin() throws Exception {
    listens(300_000);
  }

  /** A listener whose clients' commands may hold so many bytes together. */
  private void listens(long limitBytes) throws Exception {
    arrived.clear();
    net = new SimulatedNet(0, 1);
    limit = new MemoryLimit(limitBytes, () -> 0);
    Method put =
        new Method(
            0,
            Method.Idempotency.NONE,
            Method.KeyScope.ALL,
            TimeSpan.ofMs(300),
            TimeSpan.ZERO,
            1,
            false);
    ClientListener listener =
        new ClientListener(
            net,
            new EventLog(net),
            new ClientListener.Owner() {
              @Override
              public void arrived(PlatformRequest asked) {
                arrived.add(asked);
              }

              @Override
              public void left(PlatformRequest asked) {
                asked.complete();
              }
            },
            Map.of("put", put),
            new BufferBudget(net, limit, TimeSpan.ofMs(100)),
            new BufferBudget(net, MemoryLimit.none(), TimeSpan.ZERO),
            MAX_CLIENTS,
            MAX_CLIENTS,
            1);
    listener.start(ADDRESS);
  }

  private final class Client implements ConnectionListener, MessageFramer.Listener {
    private final MessageFramer framer = MessageFramer.fromServer(1 << 18);
    final List<String> received = new ArrayList<>();
    Connection connection;
    boolean closed;

    Client() {
      net.connect(ADDRESS, TimeSpan.ofMs(100), 1 << 20, this);
      net.settle();
      sends(MessageWriter.startupMessage("svc", "main"));
      received.clear();
    }

    void sends(byte[] bytes) {
      net.turn(() -> connection.append(bytes));
      net.settle();
    }

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        framer.feed(bytes, this);
      } catch (ProtocolException e) {
        throw new AssertionError(e);
      }
    }

    @Override
    public boolean wantsMore() {
      return true;
    }

    @Override
    public void onMessage(char type, byte[] body) throws ProtocolException {
      if (type == 'D') {
        received.add("value");
      } else if (type == 'E') {
        received.add("error " + MessageReader.parseErrorField(body, 'C'));
      }
    }

    @Override
    public void closed(String why) {
      closed = true;
    }
  }

  /** A command that inserts a value of so many bytes. */
  private static byte[] insert(int id, int valueBytes) {
    String text =
        "INSERT INTO records (k, v) VALUES ('aa', '\\x"
            + "0f".repeat(valueBytes)
            + "') RETURNING v /* id="
            + id
            + ",c=put,d=9000 */";
    return MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static byte[] half(byte[] command) {
    return Arrays.copyOf(command, command.length / 2);
  }

  private void serve(int index) {
    PlatformRequest request = arrived.get(index);
    net.turn(() -> request.client.answer(request, RequestOutcome.OK, TimeSpan.ZERO, VALUE));
    net.settle();
  }

  /** Guards against half commands of some hundred clients, each within its limit: review/1. */
  @Test
  public void halfCommandsHoldNoMoreThanTheLimitAndLeaveRoomForOthers() {
    List<Client> bad = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      Client client = new Client();
      client.sends(half(insert(i, 60_000)));
      bad.add(client);
      assertTrue(limit.heldBytes() <= 300_000);
    }
    Client small = new Client();
    small.sends(insert(1000, 100));
    assertEquals(arrived.size(), 1);
    serve(0);
    assertEquals(small.received, List.of("value"));
    net.pass(2600); // "within 3 s of connecting"
    int refused = 0;
    for (Client client : bad) {
      // the last ones in have memory, which nobody waits for any more, and end for their silence
      boolean isRefused = client.received.equals(List.of("error 53300"));
      assertTrue(isRefused || client.received.equals(List.of("error 08P01")));
      assertTrue(client.closed);
      refused += isRefused ? 1 : 0;
    }
    assertTrue(refused >= 290, "only " + refused + " were refused");
    Client large = new Client();
    large.sends(insert(1001, 60_000));
    assertEquals(arrived.size(), 2);
  }

  /** Guards against a client that waits for memory and never hears of it. */
  @Test
  public void aCommandThatFindsNoMemoryIsRefusedInTime() {
    Client first = new Client();
    Client second = new Client();
    Client third = new Client();
    first.sends(insert(1, 64_000));
    second.sends(insert(2, 64_000));
    third.sends(insert(3, 64_000));
    assertEquals(arrived.size(), 2);
    net.pass(200);
    assertEquals(third.received, List.of());
    net.pass(100);
    assertEquals(third.received, List.of("error 53300"));
    serve(0);
    serve(1);
    assertEquals(first.received, List.of("value"));
    assertEquals(second.received, List.of("value"));
    third.sends(insert(4, 64_000));
    serve(2);
    assertEquals(third.received, List.of("error 53300", "value"));
    net.pass(1000);
    assertFalse(third.closed);
  }

  @Test
  public void aCommandThatWaitsForMemoryIsTakenOnceThereIsSome() {
    Client first = new Client();
    Client second = new Client();
    Client third = new Client();
    first.sends(insert(1, 64_000));
    second.sends(insert(2, 64_000));
    third.sends(insert(3, 64_000));
    net.pass(100);
    serve(0);
    assertEquals(arrived.size(), 3);
    serve(2);
    net.pass(1000);
    assertEquals(third.received, List.of("value"));
    assertFalse(third.closed);
  }

  /** Guards against a refusal that is taken for the answer of a request that may have run. */
  @Test
  public void aRefusalComesAfterTheAnswersThatAreOwed() {
    Client other = new Client();
    other.sends(insert(1, 64_000));
    Client client = new Client();
    client.sends(insert(2, 100));
    client.sends(insert(3, 64_000));
    client.sends(insert(4, 64_000));
    net.pass(1000);
    assertEquals(client.received, List.of());
    serve(1);
    assertEquals(arrived.size(), 3);
    serve(2);
    net.pass(1000);
    assertEquals(client.received, List.of("value", "value", "error 53300"));
    client.sends(insert(5, 64_000));
    serve(3);
    assertEquals(client.received, List.of("value", "value", "error 53300", "value"));
    assertFalse(client.closed);
  }

  /** Guards against an end of the connection that leaves what was read unanswered: review/3. */
  @Test
  public void largeCommandsBehindOneAnotherAreAllServed() throws Exception {
    listens(16 << 20);
    Client client = new Client();
    for (int i = 0; i < 10; i++) {
      client.sends(insert(i, 64_000));
      net.pass(500);
    }
    assertEquals(arrived.size(), 1);
    for (int i = 0; i < 10; i++) {
      serve(i);
    }
    assertEquals(client.received, Collections.nCopies(10, "value"));
    assertFalse(client.closed);
  }

  /** Guards against requests lost behind one that finds no room: review/3. */
  @Test
  public void eachCommandBeyondTheRoomIsRefusedInItsTurn() {
    Client client = new Client();
    for (int i = 0; i < 6; i++) {
      client.sends(insert(i, 64_000));
      net.pass(500);
    }
    client.sends(insert(6, 100));
    assertTrue(limit.heldBytes() <= 300_000);
    assertEquals(client.received, List.of());
    serve(0);
    serve(1);
    List<String> owed = new ArrayList<>(List.of("value", "value"));
    owed.addAll(Collections.nCopies(4, "error 53300"));
    assertEquals(client.received, owed);
    serve(2);
    owed.add("value");
    assertEquals(client.received, owed);
    assertFalse(client.closed);
  }

  /** Guards against one connection whose waiting commands take the memory of all others. */
  @Test
  public void whatWaitsOnOneConnectionLeavesRoomForOthers() throws Exception {
    listens(2 << 20);
    Client greedy = new Client();
    for (int i = 0; i < 30; i++) {
      greedy.sends(insert(i, 64_000));
    }
    net.pass(5000);
    List<Client> others = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Client other = new Client();
      other.sends(insert(100 + i, 64_000));
      others.add(other);
    }
    assertEquals(arrived.size(), 1 + others.size());
    serve(1);
    assertEquals(others.get(0).received, List.of("value"));
  }

  /** Guards against a client that never pauses and is taken for one that stays within a message. */
  @Test
  public void commandsWhosePiecesEndWithinTheNextOneAreServed() {
    Client client = new Client();
    byte[] all = new byte[0];
    for (int i = 0; i < 60; i++) {
      all = MessageWriter.concat(all, insert(i, 1000));
    }
    int piece = insert(0, 1000).length;
    client.sends(Arrays.copyOf(all, piece / 2));
    for (int i = 0; i < 50; i++) {
      int from = piece / 2 + i * piece;
      client.sends(Arrays.copyOfRange(all, from, from + piece));
      serve(i);
      net.pass(100);
    }
    assertEquals(client.received, Collections.nCopies(50, "value"));
    assertFalse(client.closed);
  }

  @Test
  public void allThatWasHeldIsReleased() {
    for (int i = 0; i < 50; i++) {
      Client client = new Client();
      client.sends(insert(i, 20_000));
      client.sends(half(insert(1000 + i, 20_000)));
      if (i % 2 == 0) {
        net.turn(() -> client.connection.cut("gone"));
      }
    }
    net.pass(1000);
    for (int i = 0; i < arrived.size(); i++) {
      serve(i);
    }
    net.pass(3000);
    assertEquals(limit.heldBytes(), 0);
  }
}
