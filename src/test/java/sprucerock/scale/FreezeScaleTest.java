package sprucerock.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;
import sprucerock.controller.maintenance.AnnounceResult;
import sprucerock.controller.maintenance.CapacityCheck;
import sprucerock.controller.maintenance.MaintenanceRequest;
import sprucerock.controller.maintenance.MaintenanceWindow;
import sprucerock.controller.maintenance.MaintenanceWindows;
import sprucerock.controller.maintenance.PlacementGrants;
import sprucerock.controller.maintenance.Rack;

/**
 * What promises cost the controller, against relays, racks and freezes: what is looked at when one
 * relay asks, or when time passes.
 */
public class FreezeScaleTest {
  private static final long MIN = 60_000;
  private static final long NOTICE = 10 * MIN;
  private static final MaintenanceWindows.Listener NOBODY =
      new MaintenanceWindows.Listener() {
        @Override
        public void transitioned(MaintenanceWindow freeze, MaintenanceWindow.Step step) {
          // not counted
        }

        @Override
        public void permitsChanged() {
          // not counted here
        }
      };

  private final int racks;
  private final MaintenanceWindows freezes;
  private final PlacementGrants promises;

  public FreezeScaleTest() {
    this(1, 0);
  }

  /**
   * So many racks without a forecast, and windows of an hour that begin an hour from now on, each
   * on a rack of its own as far as there are.
   */
  private FreezeScaleTest(int racks, int windows) {
    this.racks = racks;
    List<Rack> all = new ArrayList<>();
    for (int i = 0; i < racks; i++) {
      all.add(new Rack("r" + i, 1 + i % 3, i / 3, Map.of(1, 40.0), NOTICE));
    }
    freezes =
        new MaintenanceWindows(
            new MaintenanceWindows.Rules(MIN, MIN, 0.95),
            new CapacityCheck(all, Map.of(), 0),
            NOBODY);
    promises = new PlacementGrants(freezes, -NOTICE);
    for (int i = 0; i < windows; i++) {
      announce("r" + i % racks, (60 + i) * MIN, 0);
    }
  }

  private MaintenanceWindow announce(String rack, long from, long now) {
    AnnounceResult made =
        freezes.announce(
            new MaintenanceRequest(
                Set.of(rack), from, MIN, 0, "", "UTC", false, "ann", "new switch"),
            now);
    return freezes.find(((AnnounceResult.Announced) made).windowNumbers().get(0));
  }

  private long looked() {
    return freezes.entriesExamined() + promises.entriesExamined();
  }

  /** As the door does with each ask. */
  private void asks(int relay, long holds, long now) {
    promises.recordRequest(relay, holds, now);
    promises
        .windowsWithPermitsReturned(now)
        .forEach(number -> freezes.permitsReturned(number, now));
  }

  /** The second round of asks of so many relays, each once, within a second. */
  private static double anAsk(int relays, int racks, int windows, boolean draining) {
    FreezeScaleTest one = new FreezeScaleTest(racks, windows);
    for (int i = 0; i < relays; i++) {
      one.asks(i, one.freezes.sequence(), 1000 + i * 1000L / relays);
    }
    if (draining) {
      MaintenanceWindow freeze = one.announce("r0", 2100, 2100);
      one.freezes.tick(2100);
      assertEquals(freeze.state(), MaintenanceWindow.State.DRAINING);
    }
    long before = one.looked();
    for (int i = 0; i < relays; i++) {
      one.asks(i, one.freezes.sequence(), 2200 + i * 1000L / relays);
    }
    if (draining) {
      assertTrue(
          one.freezes.all().stream()
              .anyMatch(freeze -> freeze.state() == MaintenanceWindow.State.IN_FORCE),
          "it never came into force");
    }
    return (one.looked() - before) / (double) relays;
  }

  @Test
  public void anAskLooksAtNoOtherRelay() {
    Counted.at("an ask, by relays", relays -> anAsk(relays, 10, 5, false), 100, 200, 400)
        .isFlat(1.2, 8);
  }

  @Test
  public void anAskLooksAtNoRackAndNoFreezeThatDoesNotConcernIt() {
    Counted.at("an ask, by racks", racks -> anAsk(20, racks, 5, false), 100, 400).isFlat(1.2, 8);
    Counted.at("an ask, by freezes", windows -> anAsk(20, 100, windows, false), 25, 100)
        .isFlat(1.2, 8);
  }

  /** Each ask then answers whether anybody still holds a promise into it. */
  @Test
  public void anAskWhileOneDrainsLooksAtNoOtherRelayEither() {
    Counted.at(
            "an ask while one drains, by relays",
            relays -> anAsk(relays, 10, 5, true),
            100,
            200,
            400)
        .isFlat(1.2, 10);
  }

  /** What a rack's promise is, costs what is frozen on that rack, and not on others. */
  @Test
  public void whatOneRackIsPromisedLooksAtThatRack() {
    Counted.at(
            "a rack's promise, by freezes of other racks",
            windows -> {
              FreezeScaleTest one = new FreezeScaleTest(windows, windows);
              long before = one.looked();
              for (int i = 0; i < one.racks; i++) {
                one.promises.permitDurationMs("r" + i, 1000);
              }
              return (one.looked() - before) / (double) one.racks;
            },
            25,
            100,
            400)
        .isFlat(1.2, 2);
  }

  /** Twenty times a second it is asked whether time alone has changed anything. */
  @Test
  public void timeThatPassesLooksAtTheNextFreezeAlone() {
    Counted.at(
            "a look whether something is due, by freezes",
            windows -> {
              FreezeScaleTest one = new FreezeScaleTest(windows, windows);
              long before = one.looked();
              for (int i = 0; i < 20; i++) {
                one.freezes.isDue(1000 + i * 50L);
              }
              return (one.looked() - before) / 20.0;
            },
            25,
            100,
            400)
        .isFlat(1.2, 2);
  }
}
