package sprucerock.transport.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What connections may buffer together, who waits for it, and who gives way. */
public class BufferBudgetTest {
  private static final int FREE = BufferBudget.FREE_BYTES;
  private static final int SHARED = 10_000;

  private SimulatedNet net;
  private final List<String> events = new ArrayList<>();
  private MemoryLimit limit;
  private BufferBudget budget;

  @BeforeMethod
  public void begin() {
    events.clear();
    net = new SimulatedNet(0, 1);
    limit = new MemoryLimit(SHARED, () -> 0);
    budget = new BufferBudget(net, limit, TimeSpan.ofMs(100));
  }

  /** Asks for the same bytes again once there is room. */
  private final class Holder implements BufferBudget.Holder {
    final String name;
    final BufferBudget.Account account = budget.open(this);
    Timestamp incompleteSince;
    int wanted;

    Holder(String name) {
      this.name = name;
    }

    boolean asks(int bytes) {
      wanted = bytes;
      return account.tryHold(bytes);
    }

    @Override
    public void roomAvailable() {
      events.add(name + (account.tryHold(wanted) ? " holds" : " waits"));
    }

    @Override
    public Timestamp incompleteSince() {
      return incompleteSince;
    }

    @Override
    public void evict() {
      events.add(name + " evicted");
      incompleteSince = null;
      account.release(wanted);
    }
  }

  /** Guards against limits for each connection alone, whose sum fills the heap. */
  @Test
  public void allAccountsTogetherDrawNoMoreThanIsShared() {
    List<Holder> holders = new ArrayList<>();
    int held = 0;
    for (int i = 0; i < 100; i++) {
      Holder holder = new Holder("h" + i);
      holders.add(holder);
      held += holder.asks(FREE + 999) ? 1 : 0;
    }
    assertEquals(held, 10);
    assertEquals(limit.heldBytes(), 9990);
  }

  @Test
  public void smallMessagesNeverWaitForLargeOnes() {
    assertTrue(new Holder("large").asks(FREE + SHARED));
    assertFalse(new Holder("next").asks(FREE + 1));
    assertTrue(new Holder("small").asks(FREE));
  }

  /** Guards against a large message that smaller ones overtake for ever. */
  @Test
  public void roomIsGivenInTheOrderOfWaiting() {
    Holder first = new Holder("first");
    assertTrue(first.asks(FREE + SHARED));
    Holder large = new Holder("large");
    Holder small = new Holder("small");
    assertFalse(large.asks(FREE + SHARED - 500));
    assertFalse(small.asks(FREE + 400));
    net.turn(() -> first.account.release(FREE + 600));
    assertEquals(events, List.of());
    net.turn(() -> first.account.release(SHARED - 600));
    assertEquals(events, List.of("large holds", "small holds"));
  }

  /** Guards against holders of large messages that wait behind others for the last few bytes. */
  @Test
  public void aSmallRestIsHeldThoughOthersWait() {
    Holder holder = new Holder("holder");
    assertTrue(holder.asks(FREE + SHARED));
    Holder next = new Holder("next");
    assertFalse(next.asks(FREE + SHARED));
    holder.account.hold(9);
    net.turn(() -> holder.account.release(FREE + SHARED + 9));
    assertEquals(events, List.of("next holds"));
    assertEquals(limit.heldBytes(), SHARED);
  }

  @Test
  public void whoStopsWaitingLetsTheNextOneOn() {
    Holder first = new Holder("first");
    assertTrue(first.asks(FREE + 9000));
    Holder large = new Holder("large");
    Holder small = new Holder("small");
    assertFalse(large.asks(FREE + 5000));
    assertFalse(small.asks(FREE + 1000));
    net.turn(large.account::stopWaiting);
    assertEquals(events, List.of("small holds"));
  }

  /** Guards against messages that are begun and not ended, and hold the memory of all others. */
  @Test
  public void whoStaysWithinAMessageGivesWayOnceAnotherWaits() {
    Holder stalled = new Holder("stalled");
    assertTrue(stalled.asks(FREE + SHARED));
    stalled.incompleteSince = net.now();
    net.pass(1000);
    assertEquals(events, List.of());
    Holder next = new Holder("next");
    assertFalse(next.asks(FREE + SHARED));
    net.pass(200);
    assertEquals(events, List.of("stalled evicted", "next holds"));
  }

  @Test
  public void whoIsCompleteOrGoesOnReceivingKeepsItsBytes() {
    Holder complete = new Holder("complete");
    Holder receiving = new Holder("receiving");
    assertTrue(complete.asks(FREE + 4000));
    assertTrue(receiving.asks(FREE + 6000));
    Holder next = new Holder("next");
    assertFalse(next.asks(FREE + 1));
    for (int i = 0; i < 20; i++) {
      receiving.incompleteSince = net.now();
      net.pass(50);
    }
    assertEquals(events, List.of());
  }

  /** Guards against one account whose messages take the room of all others. */
  @Test
  public void anAccountThatHoldsMuchDrawsOnlyAShareOfWhatIsFree() {
    int message = 128 * 1024;
    limit = new MemoryLimit(40L * message, () -> 0);
    budget = new BufferBudget(net, limit, TimeSpan.ofMs(100));
    Holder greedy = new Holder("greedy");
    int held = 0;
    while (greedy.asks(message)) {
      held++;
    }
    assertEquals(held, 8); // a quarter of the 32 that are left
    assertFalse(budget.hasWaiting());
    assertTrue(new Holder("other").asks(message));
    net.pass(100);
    assertEquals(Set.copyOf(events), Set.of("greedy waits"));
    events.clear();
    net.turn(() -> greedy.account.release(message));
    assertEquals(events, List.of("greedy holds"));
  }

  /** Guards against room that comes without a release here, and wakes nobody. */
  @Test
  public void roomThatComesFromElsewhereIsNoticed() {
    long[] elsewhere = {SHARED};
    budget = new BufferBudget(net, new MemoryLimit(SHARED, () -> elsewhere[0]), TimeSpan.ofMs(100));
    Holder holder = new Holder("holder");
    assertFalse(holder.asks(FREE + 1));
    elsewhere[0] = 0;
    net.pass(100);
    assertEquals(events, List.of("holder holds"));
  }
}
