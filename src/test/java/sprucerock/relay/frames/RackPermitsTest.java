package sprucerock.relay.frames;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.relay.engine.EventLog;
import sprucerock.stats.DeterministicRandom;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.RackFree;

/**
 * What a relay makes of promises that name all racks, or only those that are free for less than
 * their notice. Its longest deadline is 1 s.
 */
public class RackPermitsTest {
  private static final long NOTICE = 60_000;
  private static final long LIST = 0xabcdef;
  private SimulatedNet net;
  private RackPermits rackPermits;
  private List<PromiseAsk> asks;

  @BeforeMethod
  public void begin() throws Exception {
    net = new SimulatedNet(1000, 5);
    asks = new ArrayList<>();
    String xml =
        FrameRelayTest.CONFIG.replace("<site ", "<racks ask-every=\"1s\" drift=\"0\"/><site ");
    rackPermits =
        new RackPermits(
            net,
            FrameRelayTest.config(xml),
            new EventLog(net),
            new DeterministicRandom(1),
            new RackPermits.PermitListener() {
              @Override
              public boolean requestPromise(PromiseAsk ask) {
                return asks.add(ask);
              }

              @Override
              public void firstPromiseReceived() {
                // asked for by told()
              }

              @Override
              public void permitsChanged() {
                // asked for by mayPlace()
              }
            });
    rackPermits.start();
  }

  private static RackFree rack(int cell, long leftMs, long noticeMs) {
    return RackFree.newBuilder()
        .setZone(1)
        .setCell(cell)
        .setLeftMs(leftMs)
        .setNoticeMs(noticeMs)
        .build();
  }

  private PromiseAsk nextRequest() {
    int before = asks.size();
    net.pass(2000);
    assertTrue(asks.size() > before);
    return asks.get(asks.size() - 1);
  }

  /** All there is, by a controller of that epoch that numbers lists. */
  private void promiseAll(long epoch, long list, RackFree... all) {
    rackPermits.promiseReceived(
        Promised.newBuilder()
            .setId(nextRequest().getId())
            .setEpoch(epoch)
            .setSequence(5)
            .setList(list)
            .addAllRacks(List.of(all))
            .build());
  }

  private void promiseRest(long epoch, long list, RackFree... some) {
    rackPermits.promiseReceived(
        Promised.newBuilder()
            .setId(nextRequest().getId())
            .setEpoch(epoch)
            .setSequence(6)
            .setList(list)
            .setRest(true)
            .addAllRacks(List.of(some))
            .build());
  }

  @Test
  public void omittedRackIsPermittedForItsNoticeAndNamedOneAsNamed() {
    assertEquals(asks.get(0).getList(), 1);
    // none yet
    promiseAll(1, LIST, rack(1, NOTICE, NOTICE), rack(2, 30_000, NOTICE), rack(3, 4000, 4000));
    assertEquals(nextRequest().getList(), LIST);
    promiseRest(1, LIST, rack(1, 0, 0));
    assertFalse(rackPermits.mayPlace(1, 1));
    // frozen
    assertTrue(rackPermits.mayPlace(1, 2));
    // free again
    assertTrue(rackPermits.mayPlace(1, 3));
    net.pass(4000);
    // nothing more is heard: each rack's own notice, less the longest deadline
    assertFalse(rackPermits.mayPlace(1, 3));
    assertTrue(rackPermits.mayPlace(1, 2));
    net.pass(NOTICE);
    assertFalse(rackPermits.mayPlace(1, 2));
    assertTrue(rackPermits.mayPlace(1, 9));
    // no rack
  }

  /** It counts from before the ask, also for what the answer leaves out. */
  @Test
  public void delayedPromisePermitsLess() {
    promiseAll(1, LIST, rack(1, NOTICE, NOTICE), rack(3, 2500, 2500));
    PromiseAsk ask = nextRequest();
    net.stall(1600);
    rackPermits.promiseReceived(
        Promised.newBuilder()
            .setId(ask.getId())
            .setEpoch(1)
            .setSequence(6)
            .setList(LIST)
            .setRest(true)
            .build());
    assertFalse(rackPermits.mayPlace(1, 3));
    // 1.6 of 2.5 s are over, and what is placed may run for a second
    assertTrue(rackPermits.mayPlace(1, 1));
  }

  /** An older controller names all each time and no list, before and after a newer one. */
  @Test
  public void olderControllerWithoutListsNamesAllRacks() {
    promiseAll(1, LIST, rack(1, NOTICE, NOTICE), rack(2, NOTICE, NOTICE));
    promiseAll(2, 0, rack(1, 0, 0), rack(4, NOTICE, 0));
    assertFalse(rackPermits.mayPlace(1, 1));
    assertTrue(rackPermits.mayPlace(1, 4));
    assertEquals(nextRequest().getList(), 1);
    // what the newer one told is over
    promiseAll(3, LIST, rack(1, NOTICE, NOTICE));
    assertEquals(nextRequest().getList(), LIST);
  }

  /**
   * By a list that this relay was not told, nothing can be filled in: what it was promised before
   * goes on until it ends.
   */
  @Test
  public void promiseByAnUnknownListIsIgnored() {
    promiseAll(1, LIST, rack(1, NOTICE, NOTICE), rack(2, 0, NOTICE));
    promiseRest(1, LIST + 1);
    assertFalse(rackPermits.mayPlace(1, 2));
    assertTrue(rackPermits.mayPlace(1, 1));
    assertEquals(nextRequest().getList(), 1);
    // so that it is told anew
    net.pass(NOTICE);
    assertFalse(rackPermits.mayPlace(1, 1));
  }
}
