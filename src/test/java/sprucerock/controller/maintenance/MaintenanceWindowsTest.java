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
 * Windows of four racks in two zones: which are accepted, delayed, refused and held, and that none
 * is in force while a relay holds a rack permit into it.
 */
public class MaintenanceWindowsTest {
  private static final long MINUTE_MS = 60_000;
  private static final long HOUR_MS = 60 * MINUTE_MS;
  private static final long NOTICE_MS = 10 * MINUTE_MS;
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
   * Requests permits for a relay that holds the permits with a sequence number. Then reports the
   * windows whose permits are all returned, as the controller's server does.
   */
  private void requestPermits(int relay, long heldSequence, long now) {
    grants.recordRequest(relay, heldSequence, now);
    grants.windowsWithPermitsReturned(now).forEach(number -> windows.permitsReturned(number, now));
  }

  private MaintenanceWindows newWindows() {
    List<Rack> racks =
        List.of(
            new Rack("a1", 1, 1, Map.of(2, 10.0), NOTICE_MS),
            new Rack("a2", 1, 2, Map.of(2, 10.0), NOTICE_MS),
            new Rack("a3", 1, 3, Map.of(2, 5.0), NOTICE_MS),
            new Rack("b1", 2, 1, Map.of(2, 10.0), 24 * HOUR_MS));
    double[] requiredByHour = new double[24];
    Arrays.fill(requiredByHour, 10);
    // The load is highest at noon.
    requiredByHour[12] = 20;
    CapacityCheck capacityCheck =
        new CapacityCheck(racks, Map.of(1, new CapacityCheck.Forecast(2, 0, requiredByHour)), 0.2);
    return new MaintenanceWindows(
        new MaintenanceWindows.Rules(5 * MINUTE_MS, 15 * MINUTE_MS, 0.95),
        capacityCheck,
        new MaintenanceWindows.Listener() {
          @Override
          public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
            steps.add(window.number + " " + step.state());
          }

          @Override
          public void permitsChanged() {
            // The tests read the sequence number instead.
          }
        });
  }

  private MaintenanceWindow announce(
      String rack, long startMs, long durationMs, long slackMs, long nowMs) {
    AnnounceResult result =
        windows.announce(
            new MaintenanceRequest(
                Set.of(rack), startMs, durationMs, slackMs, "", "UTC", false, "ann", "new switch"),
            nowMs);
    return windows.find(((AnnounceResult.Announced) result).windowNumbers().get(0));
  }

  private static String rejection(AnnounceResult result) {
    return ((AnnounceResult.Rejected) result).reason();
  }

  private void assertSteps(String... expected) {
    assertEquals(steps, List.of(expected));
    steps.clear();
  }

  @Test
  public void announcedInTimeIsInForceAtItsStartWithDisconnectedRelays() {
    announce("a1", HOUR_MS, HOUR_MS, 0, 0);
    // Relay 7 holds permits from before the window and never requests again.
    requestPermits(7, 0, 1000);
    assertEquals(grants.permitDurationMs("a1", HOUR_MS - MINUTE_MS), MINUTE_MS);
    assertEquals(grants.permitDurationMs("a2", HOUR_MS - MINUTE_MS), NOTICE_MS);
    windows.tick(HOUR_MS - 1);
    assertSteps("1 ANNOUNCED", "1 ACCEPTED");
    windows.tick(HOUR_MS);
    windows.tick(2 * HOUR_MS);
    windows.tick(2 * HOUR_MS + 5 * MINUTE_MS);
    assertSteps("1 DRAINING", "1 IN_FORCE", "1 ENDING", "1 ENDED");
    assertEquals(grants.permitDurationMs("a1", 3 * HOUR_MS), NOTICE_MS);
  }

  @Test
  public void atShortNoticeWaitsUntilEachPermitIsReturnedOrExpires() {
    grants = new PlacementGrants(windows, -HOUR_MS);
    requestPermits(7, 0, 0);
    requestPermits(8, 0, 0);
    MaintenanceWindow window = announce("a1", MINUTE_MS, HOUR_MS, 0, 0);
    windows.tick(2 * MINUTE_MS);
    assertEquals(grants.outstandingRelays(window, 2 * MINUTE_MS), Set.of(7, 8));
    assertSteps("1 ANNOUNCED", "1 ACCEPTED", "1 DRAINING");
    requestPermits(7, windows.sequence(), 3 * MINUTE_MS);
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    requestPermits(8, windows.sequence(), 4 * MINUTE_MS);
    assertSteps("1 IN_FORCE");
  }

  @Test
  public void afterARestartWaitsUntilUnknownPermitsExpire() {
    MaintenanceWindow window = announce("a1", MINUTE_MS, HOUR_MS, 0, 0);
    windows.tick(MINUTE_MS);
    requestPermits(7, windows.sequence(), MINUTE_MS);
    windows.tick(NOTICE_MS - 1);
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    assertEquals(grants.outstandingRelays(window, NOTICE_MS - 1), Set.of(-1));
    windows.tick(NOTICE_MS);
    assertEquals(window.state(), MaintenanceWindow.State.IN_FORCE);
  }

  @Test
  public void emergencyBeginsAtOnceAndIsInForceOnceAllRelaysKnow() {
    grants = new PlacementGrants(windows, -HOUR_MS);
    requestPermits(7, 0, 0);
    windows.announce(
        new MaintenanceRequest(
            Set.of("a1", "a2", "a3"), 0, HOUR_MS, 0, "", "UTC", true, "ann", "smoke"),
        1000);
    assertEquals(grants.permitDurationMs("a1", 1000), 0);
    requestPermits(7, windows.sequence(), 2000);
    assertSteps("1 ANNOUNCED", "1 ACCEPTED", "1 DRAINING", "1 IN_FORCE");
  }

  @Test
  public void withoutCapacityDelayedWithinItsSlackOrRefused() {
    // 15 endpoints are left, and 12 are required.
    announce("a1", 11 * HOUR_MS + 30 * MINUTE_MS, 10 * MINUTE_MS, 0, 0);
    assertSteps("1 ANNOUNCED", "1 ACCEPTED");
    MaintenanceWindow late =
        announce("a1", 12 * HOUR_MS + 10 * MINUTE_MS, 10 * MINUTE_MS, 2 * HOUR_MS, 0);
    assertEquals(late.startMs(), 13 * HOUR_MS + 10 * MINUTE_MS);
    assertTrue(
        late.steps().get(1).cause().startsWith("delayed by 60 min: zone 1 at 12:00 UTC needs 24.0"),
        late.steps().get(1).cause());
    MaintenanceWindow refused = announce("a2", 12 * HOUR_MS, 10 * MINUTE_MS, 0, 0);
    assertEquals(refused.state(), MaintenanceWindow.State.REFUSED);
  }

  @Test
  public void refusesTwoThatFitOnlySingly() {
    announce("a1", HOUR_MS, HOUR_MS, 0, 0);
    MaintenanceWindow second = announce("a2", HOUR_MS + 30 * MINUTE_MS, HOUR_MS, 0, 0);
    assertEquals(second.state(), MaintenanceWindow.State.REFUSED);
    // Rack b1 is in another zone.
    assertEquals(announce("b1", HOUR_MS, HOUR_MS, 0, 0).state(), MaintenanceWindow.State.ACCEPTED);
    // The endpoints of the first window's rack are cold until five minutes after two. The second
    // window fits in the first step of 15 minutes after that.
    assertEquals(
        announce("a2", 2 * HOUR_MS, 30 * MINUTE_MS, 30 * MINUTE_MS, 0).startMs(),
        2 * HOUR_MS + 15 * MINUTE_MS);
  }

  @Test
  public void heldWhenItNoLongerFitsAndForcedByTwoOperators() {
    MaintenanceWindow window = announce("a1", HOUR_MS, HOUR_MS, 0, 0);
    windows.setRackDown("a2", true, 30 * MINUTE_MS);
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    assertEquals(grants.permitDurationMs("a1", HOUR_MS - MINUTE_MS), NOTICE_MS);
    windows.tick(HOUR_MS);
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    assertNull(windows.force(1, "ann", "must be", HOUR_MS));
    assertNull(windows.force(1, "ann", "really", HOUR_MS));
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    assertNull(windows.force(1, "bob", "agreed", HOUR_MS + MINUTE_MS));
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    windows.tick(HOUR_MS + MINUTE_MS + NOTICE_MS);
    assertEquals(window.state(), MaintenanceWindow.State.IN_FORCE);
    assertEquals(windows.force(1, "eve", "again", HOUR_MS), "freeze 1 is not held: IN_FORCE");
  }

  @Test
  public void heldIsAcceptedOnceItFitsOrRefusedAtItsEnd() {
    MaintenanceWindow window = announce("a1", HOUR_MS, HOUR_MS, 0, 0);
    windows.setCanaryShare(0.5, MINUTE_MS);
    assertEquals(window.state(), MaintenanceWindow.State.HELD);
    windows.setCanaryShare(0, 2 * MINUTE_MS);
    assertEquals(window.state(), MaintenanceWindow.State.ACCEPTED);
    windows.setCanaryShare(0.5, 3 * MINUTE_MS);
    windows.tick(2 * HOUR_MS);
    assertEquals(window.state(), MaintenanceWindow.State.REFUSED);
  }

  @Test
  public void cancelAndExtend() {
    MaintenanceWindow first = announce("a1", HOUR_MS, HOUR_MS, 0, 0);
    assertNull(windows.cancel(1, "ann", "rain", MINUTE_MS));
    assertEquals(first.state(), MaintenanceWindow.State.CALLED_OFF);
    MaintenanceWindow second = announce("a1", HOUR_MS, HOUR_MS, 0, MINUTE_MS);
    windows.tick(HOUR_MS);
    assertNull(windows.extend(2, 3 * HOUR_MS, "ann", "a screw", HOUR_MS));
    assertTrue(
        windows
            .extend(2, 13 * HOUR_MS, "ann", "lost it", HOUR_MS)
            .startsWith("there is no room for that: zone 1 at 12:00"));
    assertNull(windows.cancel(2, "ann", "done", 2 * HOUR_MS));
    assertEquals(second.state(), MaintenanceWindow.State.ENDING);
    assertEquals(grants.permitDurationMs("a1", 2 * HOUR_MS), NOTICE_MS);
  }

  /** Rack b1 has a notice of a day, so permits into a window on it may be held for a day. */
  @Test
  public void usesTheLongerNoticeOfARack() {
    assertEquals(grants.permitDurationMs("b1", 0), 24 * HOUR_MS);
    MaintenanceWindow window = announce("b1", HOUR_MS, 30 * HOUR_MS, 0, 0);
    windows.tick(24 * HOUR_MS - 1);
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
    windows.tick(24 * HOUR_MS);
    assertEquals(window.state(), MaintenanceWindow.State.IN_FORCE);
  }

  @Test
  public void recurringWindowsKeepTheirTimeOfDayWhenClocksChange() {
    ZoneId zone = ZoneId.of("Europe/Berlin");
    long first = LocalDateTime.of(2027, 3, 26, 2, 30).atZone(zone).toInstant().toEpochMilli();
    List<Long> starts =
        RecurrenceExpander.expand(first, first, "FREQ=DAILY;COUNT=5", "Europe/Berlin");
    List<String> localTimes =
        starts.stream()
            .map(ms -> java.time.Instant.ofEpochMilli(ms).atZone(zone).toLocalDateTime().toString())
            .toList();
    assertEquals(
        localTimes,
        List.of(
            "2027-03-26T02:30",
            "2027-03-27T02:30",
            "2027-03-28T03:30",
            "2027-03-29T02:30",
            "2027-03-30T02:30"));
    assertEquals(starts.get(3) - starts.get(2), 23 * HOUR_MS);
  }

  @Test
  public void rejectsWrongRequestsWithOneLine() {
    assertTrue(
        rejection(
                windows.announce(
                    new MaintenanceRequest(
                        Set.of("zz"), HOUR_MS, HOUR_MS, 0, "", "UTC", false, "ann", "x"),
                    0))
            .startsWith("no rack is called [zz]; there are [a1"));
    assertTrue(
        rejection(
                windows.announce(
                    new MaintenanceRequest(
                        Set.of("a1"), HOUR_MS, HOUR_MS, 0, "FREQ=OFTEN", "UTC", false, "ann", "x"),
                    0))
            .startsWith("\"FREQ=OFTEN\" is no rule"));
    assertTrue(
        rejection(
                windows.announce(
                    new MaintenanceRequest(
                        Set.of("a1"),
                        HOUR_MS,
                        HOUR_MS,
                        0,
                        "FREQ=DAILY",
                        "Mars/North",
                        false,
                        "ann",
                        "x"),
                    0))
            .startsWith("\"Mars/North\" is not a time zone"));
    assertEquals(
        rejection(
            windows.announce(
                new MaintenanceRequest(Set.of("a1"), HOUR_MS, 0, 0, "", "UTC", false, "ann", "x"),
                0)),
        "the duration of a freeze must be over 0");
    assertEquals(windows.cancel(9, "ann", "x", 0), "no freeze 9 is known");
  }

  /**
   * Relays request permits seldom, lose answers or are disconnected, and the controller restarts.
   * Each relay counts its permit from its request. No relay ever holds a permit for a rack whose
   * window is in force.
   */
  @Test
  public void noRelayHoldsAPermitIntoAWindowInForce() {
    int inForce = 0;
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      windows = newWindows();
      grants = new PlacementGrants(windows, 0);
      // By relay, the end of the permit for rack a1.
      Map<Integer, Long> permittedUntilMs = new TreeMap<>();
      Map<Integer, Long> heldSequences = new TreeMap<>();
      for (long now = 0; now < 3 * HOUR_MS; now += MINUTE_MS / 2) {
        long nowMs = now;
        if (random.nextInt(120) == 0) {
          grants = new PlacementGrants(windows, now);
        }
        if (random.nextInt(60) == 0) {
          windows.announce(
              new MaintenanceRequest(
                  Set.of("a1"),
                  now + random.nextInt(30) * MINUTE_MS,
                  (1 + random.nextInt(40)) * MINUTE_MS,
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
          boolean disconnected =
              random.nextInt(4) > 0 || relay == 3 && now > HOUR_MS && now < 2 * HOUR_MS;
          if (disconnected) {
            continue;
          }
          requestPermits(relay, heldSequences.getOrDefault(relay, 0L), now);
          long permitMs = grants.permitDurationMs("a1", now);
          // In this case the answer is lost.
          if (random.nextInt(5) == 0) {
            continue;
          }
          permittedUntilMs.put(relay, now + permitMs);
          heldSequences.put(relay, windows.sequence());
        }
        windows.tick(now);
        boolean anyInForce =
            windows.all().stream()
                .anyMatch(window -> window.state() == MaintenanceWindow.State.IN_FORCE);
        if (anyInForce) {
          inForce++;
        }
        if (anyInForce) {
          permittedUntilMs.forEach(
              (relay, end) ->
                  assertTrue(
                      end <= nowMs, "relay " + relay + " may place until " + end + " at " + nowMs));
        }
      }
    }
    assertTrue(inForce > 5000, "a window was in force in only " + inForce + " steps");
  }

  /**
   * A window with many commands keeps only its last steps. It must not forget the sequence number
   * of its acceptance when that step is dropped.
   */
  @Test
  public void extendedOftenStillWaitsForEarlierPermits() {
    grants = new PlacementGrants(windows, -HOUR_MS);
    requestPermits(7, 0, 0);
    MaintenanceWindow window = announce("a1", MINUTE_MS, HOUR_MS, 0, 0);
    windows.tick(2 * MINUTE_MS);
    for (int i = 1; i <= 2 * MaintenanceWindow.MAX_STEPS; i++) {
      assertNull(
          windows.extend(
              window.number, MINUTE_MS + HOUR_MS + i * 1000, "ann", "not done yet", 2 * MINUTE_MS));
    }
    assertEquals(window.steps().size(), MaintenanceWindow.MAX_STEPS);
    requestPermits(8, windows.sequence(), 3 * MINUTE_MS);
    assertEquals(grants.outstandingRelays(window, 3 * MINUTE_MS), Set.of(7));
    assertEquals(window.state(), MaintenanceWindow.State.DRAINING);
  }

  /** After random events in random order, the indexes give the same results as a full scan. */
  @Test
  public void indexMatchesAFullScan() {
    for (int seed = 0; seed < 40; seed++) {
      create();
      Random random = new Random(seed);
      // By relay, the sequence number of the permits that it holds and the time of its request.
      Map<Integer, long[]> heldByRelay = new TreeMap<>();
      long now = 0;
      grants = new PlacementGrants(windows, -NOTICE_MS);
      for (int i = 0; i < 400; i++) {
        now +=
            random.nextInt(4) == 0 ? random.nextInt((int) (20 * MINUTE_MS)) : random.nextInt(5000);
        int event = random.nextInt(20);
        String rack = new String[] {"a1", "a2", "a3", "b1"}[random.nextInt(4)];
        long windowNumber = 1 + random.nextInt(Math.max(1, windows.all().size()));
        if (event == 0) {
          windows.announce(
              new MaintenanceRequest(
                  Set.of(rack),
                  now + random.nextInt((int) HOUR_MS),
                  MINUTE_MS + random.nextInt((int) HOUR_MS),
                  0,
                  "",
                  "UTC",
                  random.nextInt(4) == 0,
                  "ann",
                  "x"),
              now);
        } else if (event == 1) {
          windows.cancel(windowNumber, "ann", "x", now);
        } else if (event == 2 && windows.find(windowNumber) != null) {
          windows.extend(
              windowNumber,
              windows.find(windowNumber).endMs() + random.nextInt((int) (30 * MINUTE_MS)),
              "ann",
              "x",
              now);
        } else if (event == 3) {
          windows.setRackDown(rack, random.nextBoolean(), now);
        } else if (event == 4) {
          windows.force(windowNumber, random.nextBoolean() ? "ann" : "bob", "x", now);
        } else if (event == 5) {
          windows.tick(now);
        } else {
          int relay = random.nextInt(8);
          long heldSequence = Math.max(0, windows.sequence() - random.nextInt(6));
          grants.recordRequest(relay, heldSequence, now);
          long previousSequence =
              heldByRelay.containsKey(relay) && now - heldByRelay.get(relay)[1] <= 24 * HOUR_MS
                  ? heldByRelay.get(relay)[0]
                  : 0;
          heldByRelay.put(relay, new long[] {Math.max(heldSequence, previousSequence), now});
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
    List<Long> withPermitsReturned = new ArrayList<>();
    Map<String, Long> permitMsByRack =
        new TreeMap<>(
            Map.of("a1", NOTICE_MS, "a2", NOTICE_MS, "a3", NOTICE_MS, "b1", 24 * HOUR_MS));
    for (MaintenanceWindow window : windows.all()) {
      due |=
          switch (window.state()) {
            case ACCEPTED -> now >= window.startMs();
            case HELD, IN_FORCE -> now >= window.endMs();
            case DRAINING -> now >= window.endMs() || now >= windows.permitExpiryMs(window);
            case ENDING -> now >= window.endMs() + 5 * MINUTE_MS;
            default -> false;
          };
      if (window.state().isBinding() && now < window.endMs()) {
        for (String rack : window.racks) {
          permitMsByRack.merge(rack, Math.max(0, window.startMs() - now), Math::min);
        }
      }
      Set<Integer> outstanding = new java.util.TreeSet<>();
      long noticeMs = window.racks.contains("b1") ? 24 * HOUR_MS : NOTICE_MS;
      if (now < windows.permitExpiryMs(window)) {
        if (now < -NOTICE_MS + noticeMs) {
          outstanding.add(-1);
        }
        long bindingSequence =
            window.steps().stream()
                .filter(step -> step.state() == MaintenanceWindow.State.ACCEPTED)
                .mapToLong(MaintenanceWindow.Step::sequence)
                .max()
                .orElse(0);
        heldByRelay.forEach(
            (relay, held) -> {
              if (held[0] < bindingSequence && now < held[1] + noticeMs) {
                outstanding.add(relay);
              }
            });
      }
      assertEquals(
          grants.outstandingRelays(window, now), outstanding, where + ", window " + window.number);
      if (window.state() == MaintenanceWindow.State.DRAINING && outstanding.isEmpty()) {
        withPermitsReturned.add(window.number);
      }
    }
    assertEquals(windows.isDue(now), due, where);
    assertEquals(grants.windowsWithPermitsReturned(now), withPermitsReturned, where);
    Map<String, Long> shortened = grants.shortenedPermits(now);
    permitMsByRack.forEach(
        (rack, permitMs) -> {
          assertEquals(
              grants.permitDurationMs(rack, now), (long) permitMs, where + ", rack " + rack);
          assertEquals(
              shortened.getOrDefault(rack, rack.equals("b1") ? 24 * HOUR_MS : NOTICE_MS),
              permitMs,
              where + ", rack " + rack);
          assertEquals(
              shortened.containsKey(rack),
              permitMs < (rack.equals("b1") ? 24 * HOUR_MS : NOTICE_MS),
              where + ", rack " + rack + " is listed as shortened");
        });
  }
}
