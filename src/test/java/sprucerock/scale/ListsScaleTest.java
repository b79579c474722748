package sprucerock.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.time.TimeSpan;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Health;

/**
 * What lists cost one relay, counted at several sizes: bytes, messages, readings of the clock;
 * never times.
 */
public class ListsScaleTest {
  private static final int SMALL = 100;
  private static final int LARGE = 1000;

  @Test
  public void aChangeCostsTheSameBytesHoweverLongTheListIs() throws Exception {
    assertEquals(bytesOfAChange(SMALL), bytesOfAChange(LARGE));
  }

  private static long bytesOfAChange(int endpoints) throws Exception {
    Listed listed = new Listed(Listed.ROOMY, false).tellsWhole(endpoints);
    long before = listed.frames.bytesIn;
    listed.tellsChange(Listed.entry(7, 0, Health.DRAINING));
    return listed.frames.bytesIn - before;
  }

  @Test
  public void aRelayThatStandsIdleReadsTheClockEquallyOftenHoweverLongTheListIs() throws Exception {
    long small = new Listed(Listed.ROOMY, false).tellsWhole(SMALL).clockReads(1000);
    long large = new Listed(Listed.ROOMY, false).tellsWhole(LARGE).clockReads(1000);
    assertEquals(large, small);
  }

  private static final int RACKS = 10;

  /** So many units in ten racks. */
  private static Listed racked(int endpoints) throws Exception {
    Listed listed = new Listed(Listed.ROOMY, true);
    for (int i = 0; i < endpoints; i += 100) {
      Entry.Builder[] some = new Entry.Builder[100];
      for (int j = 0; j < 100; j++) {
        some[j] =
            Listed.entry(i + j, 0, Health.READY)
                .setCell((i + j) % RACKS)
                .setZone((i + j) % RACKS % 6);
      }
      listed.tellsChange(some);
    }
    listed.promises(1, 60_000, 0, 1);
    listed.net.pass(100);
    // the look that follows tells all units
    return listed;
  }

  /**
   * Racks are looked at twenty times a second; their units only once a rack's verdict has turned.
   */
  @Test
  public void aLookAtRacksWalksRacksAndNotUnits() throws Exception {
    assertEquals(racked(LARGE).clockReads(1000), racked(SMALL).clockReads(1000));
  }

  /** What the walk over all units gave is given by the one over racks. */
  @Test
  public void unitsOfARackThatMustBeLeftLeaveAndComeBack() throws Exception {
    Listed listed = racked(SMALL);
    assertEquals(ready(listed), 100);
    listed.net.pass(59_000);
    // a promise of 60 s, of which the clocks take 0.2% and the longest deadline of 1 s
    // is not used
    assertEquals(ready(listed), 80);
    assertTrue(
        listed.relay.requestTracker().endpoints().stream()
            .allMatch(endpoint -> endpoint.ready() == (endpoint.cell > 1)));
    listed.tellsChange(
        Listed.entry(200, 0, Health.READY).setCell(1).setZone(1),
        Listed.entry(0, 0, Health.GONE),
        Listed.entry(10, 0, Health.DRAINING).setCell(0).setZone(0),
        Listed.entry(20, 5, Health.READY).setCell(0).setZone(0),
        Listed.entry(3, 0, Health.DRAINING).setCell(3).setZone(3));
    assertEquals(ready(listed), 79);
    listed.promises(2, 60_000, 0, 1);
    listed.net.pass(100);
    assertEquals(ready(listed), 98);
    // all but the one that is gone and the two that drain, and a new one
    assertTrue(
        listed.relay.requestTracker().endpoints().stream()
            .allMatch(endpoint -> endpoint.ready() == (endpoint.id != 10 && endpoint.id != 3)));
  }

  private static long ready(Listed listed) {
    return listed.relay.requestTracker().endpoints().stream().filter(Endpoint::ready).count();
  }

  /**
   * The one relay that looks at units for all begins a look each 100 ms, and reads the clock some
   * times for each look; when its leases are renewed is drawn anew with each run, hence the room. A
   * walk over the list at each turn would read it 9,000 times more a second.
   */
  @Test
  public void aTurnOfLooksWalksNoList() throws Exception {
    long small = looking(SMALL);
    long large = looking(LARGE);
    assertTrue(
        Math.abs(large - small) < 1000,
        "clock readings a second: "
            + small
            + " with "
            + SMALL
            + " units, "
            + large
            + " with "
            + LARGE);
  }

  private static long looking(int endpoints) throws Exception {
    Listed listed = Listed.looking().tellsWhole(endpoints);
    for (int i = 0; i < 100 && listed.relay.leases().held() == 0; i++) {
      listed.net.pass(100);
    }
    assertEquals(listed.relay.leases().held(), 1);
    listed.net.pass(1000);
    int connects = listed.net.connectCount();
    long reads = listed.clockReads(1000);
    assertTrue(
        listed.net.connectCount() - connects >= 8,
        "looks " + (listed.net.connectCount() - connects));
    return reads;
  }

  private static final int LIMIT_UNITS = 24_000;

  /**
   * The default frame holds a whole list of so many units; one of the planned 120,000 cuts the link
   * to the roster. Known limit.
   */
  @Test
  public void aWholeListOverTheFrameLimitCutsTheRoster_isTheKnownLimit() throws Exception {
    int each =
        (Listed.whole(2000).getSerializedSize() - Listed.whole(1000).getSerializedSize()) / 1000;
    int fits = (1 << 20) / each;
    assertTrue(fits < LIMIT_UNITS, "units that the default frame holds: " + fits);
    Listed holds = new Listed("units=\"200000\"", false).tellsWhole(fits - 1000);
    assertTrue(!holds.cut());
    assertEquals(holds.relay.requestTracker().endpoints().size(), fits - 1000);
    Listed over = new Listed("units=\"200000\"", false).tellsWhole(LIMIT_UNITS);
    assertTrue(over.cut());
    assertEquals(over.relay.requestTracker().endpoints().size(), 0);
  }

  /**
   * Each method has its latencies by build: 17 rows of 305 accounts, and 390 beside. With 256
   * methods, the most that a configuration takes, 1.4 million accounts; with 41,000 routes as
   * methods it would be 226 million.
   */
  @Test
  public void accountsGrowWithMethodsTimesBuilds_isTheKnownLimit() {
    int each = (accounts(32) - accounts(16)) / 16;
    assertEquals(each, (accounts(256) - accounts(64)) / 192);
    assertEquals(each, 18 * 305 + 22);
  }

  private static int accounts(int methods) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < methods; i++) {
      names.add("m" + i);
    }
    return new MethodAccounts(names, new MethodAccounts.Capacity(16, 1024, 64)).size();
  }

  /**
   * Relays name units to each other by 16 bits: units of one name share what is told of either's
   * load. Here with ids as discovery's names give them, a checksum of the name. At 120,000 units
   * there are 55,161 names for them.
   */
  @Test
  public void unitsShareTheirNamesAmongRelays_isTheKnownLimit() {
    assertEquals(
        new int[] {namesOf(1000), namesOf(10_000), namesOf(120_000)},
        new int[] {992, 9288, 55_161});
  }

  private static int namesOf(int endpoints) {
    LoadReports board = new LoadReports(TimeSpan.ofMs(1000));
    Set<Integer> names = new HashSet<>();
    for (int i = 0; i < endpoints; i++) {
      CRC32 crc = new CRC32();
      crc.update(("unit-" + i).getBytes(StandardCharsets.UTF_8));
      byte[] told =
          board.encodeAttempt(new Endpoint(crc.getValue(), 0, 0, 0, new Build(1), null, 1), null);
      names.add(told[1] & 0xff | (told[2] & 0xff) << 8);
    }
    return names.size();
  }
}
