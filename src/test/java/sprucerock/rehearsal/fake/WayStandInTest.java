package sprucerock.rehearsal.fake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.SimulatedNet;

/**
 * What a way does to connections, in simulated time: nothing is lost, made up or put in another
 * order, whatever befalls it.
 */
public class WayStandInTest {
  private static final class Party implements ConnectionListener {
    final StringBuilder got = new StringBuilder();
    Connection connection;
    String closed;

    @Override
    public void connected(Connection made) {
      connection = made;
    }

    @Override
    public void received(ByteBuffer bytes) {
      got.append(StandardCharsets.UTF_8.decode(bytes));
    }

    @Override
    public void closed(String why) {
      closed = why;
    }
  }

  private SimulatedNet net;
  private FaultProxy way;
  private int port;
  private final List<Party> taken = new ArrayList<>();

  @BeforeMethod
  public void begin() throws Exception {
    net = new SimulatedNet(0, 1);
    taken.clear();
    int far =
        net.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                1000,
                () -> {
                  taken.add(new Party());
                  return taken.get(taken.size() - 1);
                })
            .address()
            .getPort();
    way = new FaultProxy(net, new InetSocketAddress(InetAddress.getLoopbackAddress(), far), 7);
    port = way.start();
  }

  private Party dial() {
    Party party = new Party();
    net.turn(
        () ->
            net.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                TimeSpan.ofMs(1000),
                1000,
                party));
    net.settle();
    return party;
  }

  private void say(Party party, String what) {
    net.turn(() -> party.connection.append(what.getBytes(StandardCharsets.UTF_8)));
    net.settle();
  }

  @Test
  public void aDirectionThatIsCutHoldsWhatIsSaidAndTheOtherPasses() {
    Party near = dial();
    say(near, "one ");
    way.cut(true, false);
    say(near, "two ");
    say(taken.get(0), "heard");
    net.pass(5000);
    assertEquals(taken.get(0).got.toString(), "one ");
    assertEquals(near.got.toString(), "heard");
    net.turn(() -> near.connection.finish());
    net.pass(1000);
    assertNull(taken.get(0).closed, "its end passed where nothing does");
    net.turn(() -> way.cut(false, false));
    net.settle();
    assertEquals(taken.get(0).got.toString(), "one two ");
    assertNotNull(taken.get(0).closed);
    assertEquals(way.open(), 0);
  }

  @Test
  public void whatIsBegunWhileItIsCutLeadsOnOnceItIsWhole() {
    way.cut(false, true);
    Party near = dial();
    say(near, "hello");
    net.pass(3000);
    assertTrue(taken.isEmpty());
    Party left = dial();
    net.turn(() -> left.connection.finish());
    net.settle();
    net.turn(() -> way.cut(false, false));
    net.settle();
    assertEquals(taken.size(), 1, "who gave up meanwhile is not led on");
    assertEquals(taken.get(0).got.toString(), "hello");
  }

  @Test
  public void piecesThatAreLateOrSentAgainKeepTheirOrder() {
    Party near = dial();
    way.late(TimeSpan.ofMs(300));
    way.lose(0.5);
    StringBuilder said = new StringBuilder();
    for (int i = 0; i < 50; i++) {
      if (i == 30) {
        way.late(TimeSpan.ZERO);
      }
      say(near, i + " ");
      said.append(i).append(' ');
      net.pass(10);
    }
    assertTrue(taken.get(0).got.length() < said.length(), "nothing was late");
    net.pass(1000);
    assertEquals(taken.get(0).got.toString(), said.toString());
  }

  @Test
  public void aResetClosesWhatIsOpenAndWhatIsBegunMeanwhile() {
    Party near = dial();
    net.turn(() -> way.reset(true));
    net.settle();
    assertNotNull(near.closed);
    assertNotNull(taken.get(0).closed);
    assertNotNull(dial().closed);
    assertEquals(taken.size(), 1);
    net.turn(() -> way.reset(false));
    assertNull(dial().closed);
    assertEquals(way.open(), 1);
  }

  @Test
  public void whatWaitsIsBounded() {
    Party near = dial();
    way.cut(true, false);
    for (int i = 0; i < 5; i++) {
      say(near, "x".repeat(1 << 20));
    }
    assertNotNull(near.closed);
    assertEquals(way.open(), 0);
  }
}
