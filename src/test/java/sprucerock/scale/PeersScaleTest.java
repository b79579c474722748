package sprucerock.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.relay.frames.FrameRelay;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Role;

/**
 * What relays tell each other, counted with the real module at several sizes. A cost at one relay
 * that grows with the number of relays is a defect of the design; those that stand today are
 * asserted in the form that they have, so that a better one has to change them.
 */
public class PeersScaleTest {
  private static final int UNITS = 20;
  private static final int RATE = 20;
  private static final int SECONDS = 2;

  /** So many relays in steady traffic to a released build, counted for {@link #SECONDS}. */
  private static Cluster released(int relays) {
    Cluster cluster = new Cluster(relays, UNITS, RATE);
    cluster.pass(1000);
    cluster.begin();
    cluster.pass(1000 * SECONDS);
    return cluster;
  }

  private static Cluster onTrial(int relays) {
    Cluster cluster = new Cluster(relays, UNITS, RATE);
    cluster.pass(1000);
    cluster.offer(UNITS);
    cluster.pass(500);
    cluster.begin();
    cluster.pass(1000 * SECONDS);
    return cluster;
  }

  @Test
  public void withoutATrialWhatARelayTellsDoesNotGrowWithTheRelays() {
    Cluster.Counts few = released(10).other();
    Cluster.Counts many = released(40).other();
    assertEquals(few.rpcs, RATE * SECONDS);
    assertEquals(few.messagesOut, 2 * few.sends);
    assertEquals(many.messagesOut, few.messagesOut);
    assertEquals(many.bytesOut, few.bytesOut);
  }

  @Test
  public void withoutATrialWhatARelayIsToldDoesNotGrowWithTheRelays() {
    Cluster.Counts few = released(10).other();
    Cluster.Counts many = released(40).other();
    assertEquals(few.messagesIn, 4 * SECONDS);
    assertEquals(many.messagesIn, few.messagesIn);
    int most = Cluster.FRAME + 2 + 3 * UNITS;
    // all units hold two or more
    assertTrue(many.bytesIn <= many.messagesIn * most, "bytes " + many.bytesIn);
  }

  /**
   * Each start and each end of a pick anywhere is a message to one relay. At 7,700 relays with 169
   * RPCs a second: 2.6 million a second.
   */
  @Test
  public void hubHearsOfEachPickOfAllRelays_costGrowsLinearlyAndIsTheKnownLimit() {
    for (int relays : new int[] {10, 40}) {
      Cluster.Counts hub = released(relays).hub();
      assertEquals(hub.messagesIn, 2L * (relays - 1) * RATE * SECONDS);
      assertEquals(hub.bytesIn, 12 * hub.messagesIn);
    }
  }

  /** Four times a second to each. At 7,700 relays: 30,796 messages a second of up to 262 bytes. */
  @Test
  public void hubSendsToEachRelay_costGrowsLinearlyAndIsTheKnownLimit() {
    for (int relays : new int[] {10, 40}) {
      assertEquals(released(relays).hub().messagesOut, 4L * (relays - 1) * SECONDS);
    }
  }

  /**
   * Twice a second at most, as long as new pairs come. At 7,700 relays: up to 15,398 messages a
   * second out of each and into each.
   */
  @Test
  public void eachTellsItsPairsToEach_costGrowsLinearlyAndIsTheKnownLimit() {
    for (int relays : new int[] {10, 40}) {
      Cluster cluster = onTrial(relays);
      long reports = cluster.other().outByKind[3] / (relays - 1);
      assertEquals(cluster.other().outByKind[3], reports * (relays - 1));
      assertTrue(reports >= 2 && reports <= 2 * SECONDS, "reports " + reports);
      long in = cluster.other().inByKind[3];
      assertTrue(in >= 2 * (relays - 1) && in <= 2L * SECONDS * (relays - 1), "told " + in);
      assertEquals(cluster.other().bytesInByKind[3], 16 * in);
    }
  }

  /**
   * A relay dials every other one that it has something to tell, and is dialled by it. At 7,700
   * relays: 15,398 connections at each.
   */
  @Test
  public void aRelayConnectsToEachOther_costGrowsLinearlyAndIsTheKnownLimit() throws Exception {
    for (int relays : new int[] {5, 20}) {
      assertEquals(connections(relays), relays - 1);
    }
  }

  /** A message to one other relay takes one connection, however many there are. */
  @Test
  public void aMessageToOneRelayTakesOneConnection() throws Exception {
    SimulatedNet net = new SimulatedNet(1000, 5);
    FrameRelay relay = started(net, 20);
    int before = net.connectCount();
    net.turn(() -> relay.sendToPeer(7, new byte[4]));
    net.pass(100);
    assertEquals(net.connectCount() - before, 1);
  }

  private static int connections(int relays) throws Exception {
    SimulatedNet net = new SimulatedNet(1000, 5);
    FrameRelay relay = started(net, relays);
    int before = net.connectCount();
    for (int i = 0; i < 3; i++) {
      net.turn(() -> relay.sendToPeers(new byte[8]));
      net.pass(100);
    }
    return net.connectCount() - before;
  }

  private static FrameRelay started(SimulatedNet net, int relays) throws Exception {
    RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    RecordingPeer.listen(net, Role.DESK, 0, 1002);
    StringBuilder peers = new StringBuilder();
    List<List<RecordingPeer>> others = new ArrayList<>();
    for (int i = 1; i < relays; i++) {
      others.add(RecordingPeer.listen(net, Role.RELAY, i, 3000 + i));
      peers
          .append("<peer host=\"127.0.0.1\" port=\"")
          .append(3000 + i)
          .append("\" number=\"")
          .append(i)
          .append("\"/>");
    }
    FrameRelay relay =
        new FrameRelay(Listed.config("", false, "", relays, peers.toString()), net, FrameTap.NONE);
    relay.start(sprucerock.policy.RoutingPolicy::new);
    net.pass(100);
    return relay;
  }
}
