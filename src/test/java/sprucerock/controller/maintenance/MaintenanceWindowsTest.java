package sprucerock.controller.maintenance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.LocalDateTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Windows of four racks in two zones: what is accepted, delayed, refused, held; and that none is in
 * force while a relay holds a grant into it.
 */
public class MaintenanceWindowsTest {
  private static final long MINUTE = 60_000;
  private static final long HOUR = 60 * MINUTE;
  private static final long NOTICE = 10 * MINUTE;
  private final List<String> steps = new ArrayList<>();
  private MaintenanceWindows windows;
  private PlacementGrants grants;

  @BeforeMethod
  public void create() {
    steps.clear();
    windows = newWindows();
    grants = new PlacementGrants(windows, 0);
  }

  /**
   * A relay request, holding what it was told by some state; whoever has given everything back by
   * then is noted, as the door does.
   */
  private void request(int relay, long heldSequence, long now) {
    grants.recordRequest(relay, heldSequence, now);
    grants.windowsWithPermitsReturned(now).forEach(number -> windows.permitsReturned(number, now));
  }

  private MaintenanceWindows newWindows() {
    List<Rack> racks =
        List.of(
            new Rack("a1", 1, 1, Map.of(2, 10.0), NOTICE),
            new Rack("a2", 1, 2, Map.of(2, 10.0), NOTICE),
            new Rack("a3", 1, 3, Map.of(2, 5.0), NOTICE),
            new Rack("b1", 2, 1, Map.of(2, 10.0), 24 * HOUR));
    double[] needs = new double[24];
    Arrays.fill(needs, 10);
    needs[12] = 20; // noon
    CapacityCheck room =
        new CapacityCheck(racks, Map.of(1, new CapacityCheck.Forecast(2, 0, needs)), 0.2);
    return new MaintenanceWindows(
        new MaintenanceWindows.Rules(5 * MINUTE, 15 * MINUTE, 0.95),
        room,
        new MaintenanceWindows.Listener() {
          @Override
          public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
            steps.add(window.number + " " + step.state());
          }

          @Override
          public void permitsChanged() {
            // told by the sequence
          }
        });
  }

  private MaintenanceWindow announce(String rack, long from, long lasts, long slack, long now) {
    AnnounceResult result =
        windows.announce(
            new MaintenanceRequest(
                Set.of(rack), from, lasts, slack, "", "UTC", false, "ann", "new switch"),
            now);
    return windows.find(((AnnounceResult.Announced) result).windowNumbers().get(0));
  }

  private static String rejection(AnnounceResult result) {
    return ((AnnounceResult.Rejected) result).reason();
  }

  private void assertSteps(String... words) {
    assertEquals(steps, List.of(words));
    steps.clear();
  }

  @Test
  public void announcedInTimeIsInForceAtItsStartWithDisconnectedRelays() {
    announce("a1", HOUR, HOUR, 0, 0);
    request(7, 0, 1000); // heldSequence an old promise, and is never assertSteps again
    assertEquals(grants.permitDurationMs("a1", HOUR - MINUTE), MINUTE);
    assertEquals(grants.permitDurationMs("a2", HOUR - MINUTE), NOTICE);
    windows.tick(HOUR - 1);
    assertSteps("1 ANNOUNCED", "1 ACCEPTED");
    windows.tick(HOUR);
    windows.tick(2 * HOUR);
    windows.tick(2 * HOUR + 5 * MINUTE);
    assertSteps("1 DRAINING", "1 IN_FORCE", "1 ENDING", "1 ENDED");
    assertEquals(grants.permitDurationMs("a1", 3 * HOUR), NOTICE);
  }

  @Test
  public void atShortNoticeWaitsUntilEachGrantIsReturnedOrExpires() {
    grants = new PlacementGrants(windows, -HOUR);
    request(7, 0, 0);
    request(8, 0, 0);
    MaintenanceWindow window = announce("a1", MINUTE, HOUR, 0, 0);
    windows.tick(2 * MINUTE);
    assertEquals(grants.outstandingRelays(window, 2 * MINUTE), Set.of(7, 8));
    assertSteps("1 ANNOUNCED", "1 ACCEPTED", "1 DRAINING");
    request(7, windows.sequence(), 3 * MINUTE);
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    request(8, windows.sequence(), 4 * MINUTE);
    assertSteps("1 IN_FORCE");
  }

  @Test
  public void afterARestartWaitsUntilUnknownGrantsExpire() {
    MaintenanceWindow window = announce("a1", MINUTE, HOUR, 0, 0);
    windows.tick(MINUTE);
    request(7, windows.sequence(), MINUTE);
    windows.tick(NOTICE - 1);
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    assertEquals(grants.outstandingRelays(window, NOTICE - 1), Set.of(-1));
    windows.tick(NOTICE);
    assertEquals(window.state(), MaintenanceWindow.State.IN_FORCE);
  }

  @Test
  public void emergencyBeginsAtOnceAndIsInForceOnceAllRelaysKnow() {
    grants = new PlacementGrants(windows, -HOUR);
    request(7, 0, 0);
    windows.announce(
        new MaintenanceRequest(
            Set.of("a1", "a2", "a3"), 0, HOUR, 0, "", "UTC", true, "ann", "smoke"),
        1000);
    assertEquals(grants.permitDurationMs("a1", 1000), 0);
    request(7, windows.sequence(), 2000);
    assertSteps("1 ANNOUNCED", "1 ACCEPTED", "1 DRAINING", "1 IN_FORCE");
  }

  @Test
  public void withoutCapacityDelayedWithinItsSlackOrRefused() {
    announce("a1", 11 * HOUR + 30 * MINUTE, 10 * MINUTE, 0, 0); // 15 of 12 are left
    assertSteps("1 ANNOUNCED", "1 ACCEPTED");
    MaintenanceWindow late = announce("a1", 12 * HOUR + 10 * MINUTE, 10 * MINUTE, 2 * HOUR, 0);
    assertEquals(late.startMs(), 13 * HOUR + 10 * MINUTE);
    assertTrue(
        late.steps().get(1).cause().startsWith("delayed by 60 min: zone 1 at 12:00 UTC needs 24.0"),
        late.steps().get(1).cause());
    MaintenanceWindow refused = announce("a2", 12 * HOUR, 10 * MINUTE, 0, 0);
    assertEquals(refused.state(), MaintenanceWindow.State.REFUSED);
  }

  @Test
  public void refusesTwoThatFitOnlySingly() {
    announce("a1", HOUR, HOUR, 0, 0);
    MaintenanceWindow second = announce("a2", HOUR + 30 * MINUTE, HOUR, 0, 0);
    assertEquals(second.state(), MaintenanceWindow.State.REFUSED);
    assertEquals(
        announce("b1", HOUR, HOUR, 0, 0).state(),
        MaintenanceWindow.State.ACCEPTED); // of another zone
    // the first one's units come back cold at two: the second fits five minutes later
    assertEquals(
        announce("a2", 2 * HOUR, 30 * MINUTE, 30 * MINUTE, 0).startMs(), 2 * HOUR + 15 * MINUTE);
  }

  @Test
  public void heldWhenItNoLongerFitsAndForcedByTwoOperators() {
    MaintenanceWindow window = announce("a1", HOUR, HOUR, 0, 0);
    windows.setRackDown("a2", true, 30 * MINUTE);
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    assertEquals(grants.permitDurationMs("a1", HOUR - MINUTE), NOTICE);
    windows.tick(HOUR);
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    assertNull(windows.force(1, "ann", "must be", HOUR));
    assertNull(windows.force(1, "ann", "really", HOUR));
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    assertNull(windows.force(1, "bob", "agreed", HOUR + MINUTE));
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    windows.tick(HOUR + MINUTE + NOTICE);
    assertEquals(window.state(), MaintenanceWindow.State.IN_FORCE);
    assertEquals(windows.force(1, "eve", "again", HOUR), "freeze 1 is not held: IN_FORCE");
  }

  @Test
  public void heldIsAcceptedOnceItFitsOrRefusedAtItsEnd() {
    MaintenanceWindow window = announce("a1", HOUR, HOUR, 0, 0);
    windows.setCanaryShare(0.5, MINUTE);
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    windows.setCanaryShare(0, 2 * MINUTE);
    assertEquals(window.state(), MaintenanceWindow.State.ACCEPTED);
    windows.setCanaryShare(0.5, 3 * MINUTE);
    windows.tick(2 * HOUR);
    assertEquals(window.state(), MaintenanceWindow.State.REFUSED);
  }

  @Test
  public void cancelAndExtend() {
    MaintenanceWindow first = announce("a1", HOUR, HOUR, 0, 0);
    assertNull(windows.cancel(1, "ann", "rain", MINUTE));
    assertEquals(first.state(), MaintenanceWindow.State.CALLED_OFF);
    MaintenanceWindow second = announce("a1", HOUR, HOUR, 0, MINUTE);
    windows.tick(HOUR);
    assertNull(windows.extend(2, 3 * HOUR, "ann", "a screw", HOUR));
    assertTrue(
        windows
            .extend(2, 13 * HOUR, "ann", "lost it", HOUR)
            .startsWith("there is no room for that: zone 1 at 12:00"));
    assertNull(windows.cancel(2, "ann", "done", 2 * HOUR));
    assertEquals(second.state(), MaintenanceWindow.State.ENDING);
    assertEquals(grants.permitDurationMs("a1", 2 * HOUR), NOTICE);
  }

  /** A relay that hears nothing goes on with what was promised for longer. */
  @Test
  public void usesTheLongerNoticeOfARack() {
    assertEquals(grants.permitDurationMs("b1", 0), 24 * HOUR);
    MaintenanceWindow window = announce("b1", HOUR, 30 * HOUR, 0, 0);
    windows.tick(24 * HOUR - 1);
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    windows.tick(24 * HOUR);
    assertEquals(window.state(), MaintenanceWindow.State.IN_FORCE);
  }

  @Test
  public void recurringWindowsKeepTheirTimeOfDayWhenClocksChange() {
    ZoneId zone = ZoneId.of("Europe/Berlin");
    long first = LocalDateTime.of(2027, 3, 26, 2, 30).atZone(zone).toInstant().toEpochMilli();
    List<Long> begins =
        RecurrenceExpander.expand(first, first, "FREQ=DAILY;COUNT=5", "Europe/Berlin");
    List<String> local =
        begins.stream()
            .map(ms -> java.time.Instant.ofEpochMilli(ms).atZone(zone).toLocalDateTime().toString())
            .toList();
    assertEquals(
        local,
        List.of(
            "2027-03-26T02:30",
            "2027-03-27T02:30",
            "2027-03-28T03:30",
            "2027-03-29T02:30",
            "2027-03-30T02:30"));
    assertEquals(begins.get(3) - begins.get(2), 23 * HOUR);
  }

  @Test
  public void rejectsWrongRequestsWithOneLine() {
    assertTrue(
        rejection(
                windows.announce(
                    new MaintenanceRequest(
                        Set.of("zz"), HOUR, HOUR, 0, "", "UTC", false, "ann", "x"),
                    0))
            .startsWith("no rack is called [zz]; there are [a1"));
    assertTrue(
        rejection(
                windows.announce(
                    new MaintenanceRequest(
                        Set.of("a1"), HOUR, HOUR, 0, "FREQ=OFTEN", "UTC", false, "ann", "x"),
                    0))
            .startsWith("\"FREQ=OFTEN\" is no rule"));
    assertTrue(
        rejection(
                windows.announce(
                    new MaintenanceRequest(
                        Set.of("a1"), HOUR, HOUR, 0, "FREQ=DAILY", "Mars/North", false, "ann", "x"),
                    0))
            .startsWith("\"Mars/North\" is no time zone"));
    assertEquals(
        rejection(
            windows.announce(
                new MaintenanceRequest(Set.of("a1"), HOUR, 0, 0, "", "UTC", false, "ann", "x"), 0)),
        "a window lasts longer than no time");
    assertEquals(windows.cancel(9, "ann", "x", 0), "no freeze 9 is known");
  }

  /**
   * Relays that hear seldom, late or not, over starts of the controller: each counts what it was
   * promised from before it asked; none ever heldSequence a promise for a rack that is in force.
   */
  @Test
  public void noRelayHoldsAGrantIntoAWindowInForce() {
    int inForce = 0;
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      windows = newWindows();
      grants = new PlacementGrants(windows, 0);
      Map<Integer, Long> until = new TreeMap<>(); // by relay, for rack a1
      Map<Integer, Long> heldSequence = new TreeMap<>();
      for (long now = 0; now < 3 * HOUR; now += MINUTE / 2) {
        long at = now;
        if (random.nextInt(120) == 0) {
          grants = new PlacementGrants(windows, now);
        }
        if (random.nextInt(60) == 0) {
          windows.announce(
              new MaintenanceRequest(
                  Set.of("a1"),
                  now + random.nextInt(30) * MINUTE,
                  (1 + random.nextInt(40)) * MINUTE,
                  0,
                  "",
                  "UTC",
                  random.nextInt(5) == 0,
                  "ann",
                  "x"),
              now);
        }
        if (random.nextInt(200) == 0) {
          windows.cancel(1 + random.nextInt(5), "ann", "x", now);
        }
        if (random.nextInt(100) == 0) {
          windows.setRackDown("a2", random.nextBoolean(), now);
        }
        for (int relay = 0; relay < 4; relay++) {
          boolean cut = random.nextInt(4) > 0 || relay == 3 && now > HOUR && now < 2 * HOUR;
          if (cut) {
            continue;
          }
          request(relay, heldSequence.getOrDefault(relay, 0L), now);
          long left = grants.permitDurationMs("a1", now);
          if (random.nextInt(5) == 0) {
            continue; // the answer is lost
          }
          until.put(relay, now + left);
          heldSequence.put(relay, windows.sequence());
        }
        windows.tick(now);
        boolean frozen =
            windows.all().stream().anyMatch(one -> one.state() == MaintenanceWindow.State.IN_FORCE);
        if (frozen) {
          inForce++;
        }
        if (frozen) {
          until.forEach(
              (relay, end) ->
                  assertTrue(
                      end <= at, "relay " + relay + " may place until " + end + " at " + at));
        }
      }
    }
    assertTrue(inForce > 5000, "hardly ever in force: " + inForce);
  }

  /**
   * Of so many words only the last steps are kept; by which step it binds is not forgotten with
   * them.
   */
  @Test
  public void extendedOftenStillWaitsForEarlierGrants() {
    grants = new PlacementGrants(windows, -HOUR);
    request(7, 0, 0);
    MaintenanceWindow window = announce("a1", MINUTE, HOUR, 0, 0);
    windows.tick(2 * MINUTE);
    for (int i = 1; i <= 2 * MaintenanceWindow.MAX_STEPS; i++) {
      assertNull(
          windows.extend(
              window.number, MINUTE + HOUR + i * 1000, "ann", "not done yet", 2 * MINUTE));
    }
    assertEquals(window.steps().size(), MaintenanceWindow.MAX_STEPS);
    request(8, windows.sequence(), 3 * MINUTE);
    assertEquals(grants.outstandingRelays(window, 3 * MINUTE), Set.of(7));
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
  }

  /**
   * Whatever happens in whatever order: what is kept as it changes is what a assertMatchesFullScan
   * through everything finds.
   */
  @Test
  public void indexMatchesAFullScan() {
    for (int seed = 0; seed < 40; seed++) {
      create();
      Random random = new Random(seed);
      Map<Integer, long[]> heldByRelay = new TreeMap<>(); // state, since
      long now = 0;
      grants = new PlacementGrants(windows, -NOTICE);
      for (int i = 0; i < 400; i++) {
        now += random.nextInt(4) == 0 ? random.nextInt((int) (20 * MINUTE)) : random.nextInt(5000);
        int choice = random.nextInt(20);
        String rack = new String[] {"a1", "a2", "a3", "b1"}[random.nextInt(4)];
        long some = 1 + random.nextInt(Math.max(1, windows.all().size()));
        if (choice == 0) {
          windows.announce(
              new MaintenanceRequest(
                  Set.of(rack),
                  now + random.nextInt((int) HOUR),
                  MINUTE + random.nextInt((int) HOUR),
                  0,
                  "",
                  "UTC",
                  random.nextInt(4) == 0,
                  "ann",
                  "x"),
              now);
        } else if (choice == 1) {
          windows.cancel(some, "ann", "x", now);
        } else if (choice == 2 && windows.find(some) != null) {
          windows.extend(
              some,
              windows.find(some).endMs() + random.nextInt((int) (30 * MINUTE)),
              "ann",
              "x",
              now);
        } else if (choice == 3) {
          windows.setRackDown(rack, random.nextBoolean(), now);
        } else if (choice == 4) {
          windows.force(some, random.nextBoolean() ? "ann" : "bob", "x", now);
        } else if (choice == 5) {
          windows.tick(now);
        } else {
          int relay = random.nextInt(8);
          long heldSequence = Math.max(0, windows.sequence() - random.nextInt(6));
          grants.recordRequest(relay, heldSequence, now);
          long before =
              heldByRelay.containsKey(relay) && now - heldByRelay.get(relay)[1] <= 24 * HOUR
                  ? heldByRelay.get(relay)[0]
                  : 0;
          heldByRelay.put(relay, new long[] {Math.max(heldSequence, before), now});
        }
        assertMatchesFullScan(heldByRelay, now, "seed " + seed + ", step " + i);
        if (random.nextInt(3) == 0) {
          for (long number : grants.windowsWithPermitsReturned(now)) {
            windows.permitsReturned(number, now);
          }
        }
      }
    }
  }

  private void assertMatchesFullScan(Map<Integer, long[]> heldByRelay, long now, String where) {
    boolean due = false;
    List<Long> cleared = new ArrayList<>();
    Map<String, Long> free =
        new TreeMap<>(Map.of("a1", NOTICE, "a2", NOTICE, "a3", NOTICE, "b1", 24 * HOUR));
    for (MaintenanceWindow one : windows.all()) {
      due |=
          switch (one.state()) {
            case ACCEPTED -> now >= one.startMs();
            case HELD, IN_FORCE -> now >= one.endMs();
            case DRAINING -> now >= one.endMs() || now >= windows.permitExpiryMs(one);
            case ENDING -> now >= one.endMs() + 5 * MINUTE;
            default -> false;
          };
      if (one.state().isBinding() && now < one.endMs()) {
        for (String rack : one.racks) {
          free.merge(rack, Math.max(0, one.startMs() - now), Math::min);
        }
      }
      Set<Integer> out = new java.util.TreeSet<>();
      long notice = one.racks.contains("b1") ? 24 * HOUR : NOTICE;
      if (now < windows.permitExpiryMs(one)) {
        if (now < -NOTICE + notice) {
          out.add(-1);
        }
        long bound =
            one.steps().stream()
                .filter(step -> step.state() == MaintenanceWindow.State.ACCEPTED)
                .mapToLong(MaintenanceWindow.Step::sequence)
                .max()
                .orElse(0);
        heldByRelay.forEach(
            (relay, said) -> {
              if (said[0] < bound && now < said[1] + notice) {
                out.add(relay);
              }
            });
      }
      assertEquals(grants.outstandingRelays(one, now), out, where + ", freeze " + one.number);
      if (one.state() == MaintenanceWindow.State.DRAINING && out.isEmpty()) {
        cleared.add(one.number);
      }
    }
    assertEquals(windows.isDue(now), due, where);
    assertEquals(grants.windowsWithPermitsReturned(now), cleared, where);
    Map<String, Long> shorter = grants.shortenedPermits(now);
    free.forEach(
        (rack, left) -> {
          assertEquals(grants.permitDurationMs(rack, now), (long) left, where + ", rack " + rack);
          assertEquals(
              shorter.getOrDefault(rack, rack.equals("b1") ? 24 * HOUR : NOTICE),
              left,
              where + ", rack " + rack);
          assertEquals(
              shorter.containsKey(rack),
              left < (rack.equals("b1") ? 24 * HOUR : NOTICE),
              where + ", rack " + rack + " is named");
        });
  }
}
