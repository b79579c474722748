package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.testng.annotations.Test;
import sprucerock.model.Method;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.BufferBudget;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.MemoryLimit;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.postgres.MessageWriter;

/**
 * Who gives way when all places are taken, with what is read in the turn of the accept, as a loop
 * under load has it.
 */
public class ClientDoorTest {
  private static final int PLACES = 4;
  private static final int ENOUGH = 3;

  /** A connection of which only its end is looked at. */
  private static final class End implements Connection {
    boolean finished;

    @Override
    public ByteBuffer reserve(int bytes) {
      return ByteBuffer.allocate(bytes);
    }

    @Override
    public void append(byte[] bytes) {}

    @Override
    public long bytesWritten() {
      return 0;
    }

    @Override
    public long bytesHandedOver() {
      return 0;
    }

    @Override
    public void finish() {
      finished = true;
    }

    @Override
    public void cut(String why) {
      finished = true;
    }
  }

  private final List<PlatformRequest> arrived = new ArrayList<>();
  private final List<PlatformRequest> left = new ArrayList<>();
  private Supplier<ConnectionListener> users;

  private final SimulatedNet net =
      new SimulatedNet(0, 1) {
        @Override
        public Net.Listener bind(
            InetSocketAddress at, int most, long mostUnsent, Supplier<ConnectionListener> made) {
          users = made;
          return super.bind(at, most, mostUnsent, made);
        }
      };

  private void begin() throws Exception {
    arrived.clear();
    left.clear();
    Method look =
        new Method(
            0,
            Method.Idempotency.IDEMPOTENT,
            Method.KeyScope.ALL,
            TimeSpan.ofMs(300),
            TimeSpan.ZERO,
            1,
            false);
    ClientListener door =
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
                left.add(asked);
              }
            },
            Map.of("look", look),
            new BufferBudget(net, MemoryLimit.none(), TimeSpan.ZERO),
            new BufferBudget(net, MemoryLimit.none(), TimeSpan.ZERO),
            ENOUGH,
            PLACES,
            1);
    door.start(new InetSocketAddress("127.0.0.1", 100));
  }

  /** A client comes; in the same turn it has said so much already. */
  private End comes(byte[] says) {
    End end = new End();
    net.turn(
        () -> {
          ConnectionListener connection = users.get();
          connection.connected(end);
          connection.received(ByteBuffer.wrap(says));
        });
    return end;
  }

  private static byte[] asks(int id) {
    String text = "SELECT v FROM records WHERE k = 'aa' /* id=" + id + ",c=look,d=900 */";
    return MessageWriter.concat(
        MessageWriter.startupMessage("svc", "main"),
        MessageWriter.query(text.getBytes(StandardCharsets.US_ASCII)));
  }

  /**
   * Guards against a full door that cut off the newest connection although its request had been
   * taken.
   */
  @Test
  public void whoseRequestWasTakenIsNotCutOff() throws Exception {
    begin();
    for (int i = 0; i <= PLACES; i++) {
      assertTrue(!comes(asks(i)).finished);
    }
    assertEquals(arrived.size(), PLACES + 1);
    assertTrue(left.isEmpty());
  }

  @Test
  public void whoNeverSpokeGivesWayFirstThenWhoWasQuietForLongest() throws Exception {
    begin();
    End quiet =
        comes(
            MessageWriter.concat(
                MessageWriter.startupMessage("svc", "main"), MessageWriter.query(new byte[0])));
    net.pass(150);
    End silent = comes(new byte[0]);
    net.pass(150);
    comes(asks(1));
    comes(asks(2));
    assertTrue(silent.finished && !quiet.finished);
  }

  /**
   * Guards against clients that ask once and stay: others, with a bound of their own, found no
   * place.
   */
  @Test
  public void quietOnesGiveWayBeforeAllPlacesAreTaken() throws Exception {
    begin();
    byte[] once =
        MessageWriter.concat(
            MessageWriter.startupMessage("svc", "main"), MessageWriter.query(new byte[0]));
    End first = comes(once);
    net.pass(150);
    comes(once);
    comes(once);
    net.pass(150);
    assertTrue(!first.finished);
    comes(once);
    assertTrue(first.finished);
  }

  /**
   * Guards against a door that makes room only as one comes: clients that have reached a bound of
   * their own send none.
   */
  @Test
  public void quietOnesGiveWayThoughNoneComes() throws Exception {
    begin();
    byte[] once =
        MessageWriter.concat(
            MessageWriter.startupMessage("svc", "main"), MessageWriter.query(new byte[0]));
    List<End> all = new ArrayList<>();
    for (int i = 0; i < PLACES; i++) {
      all.add(comes(once));
    }
    assertEquals(all.stream().filter(end -> end.finished).count(), 0);
    net.pass(300);
    assertTrue(all.stream().anyMatch(end -> end.finished));
  }

  @Test
  public void whereAllAreBeingAnsweredTheNewestThatAskedNothingGivesWay() throws Exception {
    begin();
    for (int i = 0; i < PLACES; i++) {
      comes(asks(i));
    }
    assertTrue(comes(new byte[0]).finished);
    assertEquals(arrived.size(), PLACES);
  }
}
