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
 * Freezes of four racks in two zones: what is accepted, delayed, refused, held; and that none is in
 * force while a relay holds a promise.
 */
public class MaintenanceWindowsTest {
  private static final long MIN = 60_000;
  private static final long HOUR = 60 * MIN;
  private static final long NOTICE = 10 * MIN;
  private final List<String> steps = new ArrayList<>();
  private MaintenanceWindows freezes;
  private PlacementGrants promises;

  @BeforeMethod
  public void fresh() {
    steps.clear();
    freezes = made();
    promises = new PlacementGrants(freezes, 0);
  }

  /**
   * A relay asks, holding what it was told by some state; whoever has given everything back by then
   * is noted, as the door does.
   */
  private void asks(int relay, long holds, long now) {
    promises.request(relay, holds, now);
    promises.returned(now).forEach(number -> freezes.grantsReturned(number, now));
  }

  private MaintenanceWindows made() {
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
        new MaintenanceWindows.Rules(5 * MIN, 15 * MIN, 0.95),
        room,
        new MaintenanceWindows.Listener() {
          @Override
          public void changed(MaintenanceWindow freeze, MaintenanceWindow.Step step) {
            steps.add(freeze.number + " " + step.state());
          }

          @Override
          public void grantsChanged() {
            // told by the sequence
          }
        });
  }

  private MaintenanceWindow announce(String rack, long from, long lasts, long slack, long now) {
    Object made =
        freezes.announce(
            Set.of(rack), from, lasts, slack, "", "UTC", false, "ann", "new switch", now);
    return freezes.find((Long) ((List<?>) made).get(0));
  }

  private void heard(String... words) {
    assertEquals(steps, List.of(words));
    steps.clear();
  }

  @Test
  public void oneThatWasAnnouncedInTimeIsInForceAtItsBeginningWhoeverIsCutOff() {
    announce("a1", HOUR, HOUR, 0, 0);
    asks(7, 0, 1000); // holds an old promise, and is never heard again
    assertEquals(promises.grantedForMs("a1", HOUR - MIN), MIN);
    assertEquals(promises.grantedForMs("a2", HOUR - MIN), NOTICE);
    freezes.tick(HOUR - 1);
    heard("1 ANNOUNCED", "1 ACCEPTED");
    freezes.tick(HOUR);
    freezes.tick(2 * HOUR);
    freezes.tick(2 * HOUR + 5 * MIN);
    heard("1 DRAINING", "1 IN_FORCE", "1 ENDING", "1 ENDED");
    assertEquals(promises.grantedForMs("a1", 3 * HOUR), NOTICE);
  }

  @Test
  public void oneAtShortNoticeWaitsForEachPromiseToBeGivenBackOrToRunOut() {
    promises = new PlacementGrants(freezes, -HOUR);
    asks(7, 0, 0);
    asks(8, 0, 0);
    MaintenanceWindow freeze = announce("a1", MIN, HOUR, 0, 0);
    freezes.tick(2 * MIN);
    assertEquals(promises.outstanding(freeze, 2 * MIN), Set.of(7, 8));
    heard("1 ANNOUNCED", "1 ACCEPTED", "1 DRAINING");
    asks(7, freezes.sequence(), 3 * MIN);
    assertEquals(freeze.state(), MaintenanceWindow.State.DRAINING);
    asks(8, freezes.sequence(), 4 * MIN);
    heard("1 IN_FORCE");
  }

  @Test
  public void afterAStartNobodyKnowsWhoHoldsAPromiseSoTheyMustRunOut() {
    MaintenanceWindow freeze = announce("a1", MIN, HOUR, 0, 0);
    freezes.tick(MIN);
    asks(7, freezes.sequence(), MIN);
    freezes.tick(NOTICE - 1);
    assertEquals(freeze.state(), MaintenanceWindow.State.DRAINING);
    assertEquals(promises.outstanding(freeze, NOTICE - 1), Set.of(-1));
    freezes.tick(NOTICE);
    assertEquals(freeze.state(), MaintenanceWindow.State.IN_FORCE);
  }

  @Test
  public void anEmergencyBeginsAtOnceAndIsInForceOnceAllKnow() {
    promises = new PlacementGrants(freezes, -HOUR);
    asks(7, 0, 0);
    freezes.announce(Set.of("a1", "a2", "a3"), 0, HOUR, 0, "", "UTC", true, "ann", "smoke", 1000);
    assertEquals(promises.grantedForMs("a1", 1000), 0);
    asks(7, freezes.sequence(), 2000);
    heard("1 ANNOUNCED", "1 ACCEPTED", "1 DRAINING", "1 IN_FORCE");
  }

  @Test
  public void withoutRoomItIsDelayedWithinItsSlackOrRefusedWithWhatIsShort() {
    announce("a1", 11 * HOUR + 30 * MIN, 10 * MIN, 0, 0); // 15 of 12 are left
    heard("1 ANNOUNCED", "1 ACCEPTED");
    MaintenanceWindow late = announce("a1", 12 * HOUR + 10 * MIN, 10 * MIN, 2 * HOUR, 0);
    assertEquals(late.from(), 13 * HOUR + 10 * MIN);
    assertTrue(
        late.steps().get(1).cause().startsWith("delayed by 60 min: zone 1 at 12:00 UTC needs 24.0"),
        late.steps().get(1).cause());
    MaintenanceWindow refused = announce("a2", 12 * HOUR, 10 * MIN, 0, 0);
    assertEquals(refused.state(), MaintenanceWindow.State.REFUSED);
  }

  @Test
  public void twoThatFitSinglyAndNotTogether() {
    announce("a1", HOUR, HOUR, 0, 0);
    MaintenanceWindow second = announce("a2", HOUR + 30 * MIN, HOUR, 0, 0);
    assertEquals(second.state(), MaintenanceWindow.State.REFUSED);
    assertEquals(
        announce("b1", HOUR, HOUR, 0, 0).state(),
        MaintenanceWindow.State.ACCEPTED); // of another zone
    // the first one's units come back cold at two: the second fits five minutes later
    assertEquals(announce("a2", 2 * HOUR, 30 * MIN, 30 * MIN, 0).from(), 2 * HOUR + 15 * MIN);
  }

  @Test
  public void oneThatNoLongerFitsIsHeldAndTwoOperatorsMayForceIt() {
    MaintenanceWindow freeze = announce("a1", HOUR, HOUR, 0, 0);
    freezes.setRackDown("a2", true, 30 * MIN);
    assertEquals(freeze.state(), MaintenanceWindow.State.HELD);
    assertEquals(promises.grantedForMs("a1", HOUR - MIN), NOTICE);
    freezes.tick(HOUR);
    assertEquals(freeze.state(), MaintenanceWindow.State.HELD);
    assertNull(freezes.force(1, "ann", "must be", HOUR));
    assertNull(freezes.force(1, "ann", "really", HOUR));
    assertEquals(freeze.state(), MaintenanceWindow.State.HELD);
    assertNull(freezes.force(1, "bob", "agreed", HOUR + MIN));
    assertEquals(freeze.state(), MaintenanceWindow.State.DRAINING);
    freezes.tick(HOUR + MIN + NOTICE);
    assertEquals(freeze.state(), MaintenanceWindow.State.IN_FORCE);
    assertEquals(freezes.force(1, "eve", "again", HOUR), "freeze 1 is not held: IN_FORCE");
  }

  @Test
  public void oneThatIsHeldGoesOnOnceThereIsRoomOrIsRefusedAtItsEnd() {
    MaintenanceWindow freeze = announce("a1", HOUR, HOUR, 0, 0);
    freezes.setCanaryShare(0.5, MIN);
    assertEquals(freeze.state(), MaintenanceWindow.State.HELD);
    freezes.setCanaryShare(0, 2 * MIN);
    assertEquals(freeze.state(), MaintenanceWindow.State.ACCEPTED);
    freezes.setCanaryShare(0.5, 3 * MIN);
    freezes.tick(2 * HOUR);
    assertEquals(freeze.state(), MaintenanceWindow.State.REFUSED);
  }

  @Test
  public void calledOffAndExtended() {
    MaintenanceWindow first = announce("a1", HOUR, HOUR, 0, 0);
    assertNull(freezes.cancel(1, "ann", "rain", MIN));
    assertEquals(first.state(), MaintenanceWindow.State.CALLED_OFF);
    MaintenanceWindow second = announce("a1", HOUR, HOUR, 0, MIN);
    freezes.tick(HOUR);
    assertNull(freezes.extend(2, 3 * HOUR, "ann", "a screw", HOUR));
    assertTrue(
        freezes
            .extend(2, 13 * HOUR, "ann", "lost it", HOUR)
            .startsWith("there is no room for that: zone 1 at 12:00"));
    assertNull(freezes.cancel(2, "ann", "done", 2 * HOUR));
    assertEquals(second.state(), MaintenanceWindow.State.ENDING);
    assertEquals(promises.grantedForMs("a1", 2 * HOUR), NOTICE);
  }

  /** A relay that hears nothing goes on with what was promised for longer. */
  @Test
  public void aRackMayHaveALongerNoticeOfItsOwn() {
    assertEquals(promises.grantedForMs("b1", 0), 24 * HOUR);
    MaintenanceWindow freeze = announce("b1", HOUR, 30 * HOUR, 0, 0);
    freezes.tick(24 * HOUR - 1);
    assertEquals(freeze.state(), MaintenanceWindow.State.DRAINING);
    freezes.tick(24 * HOUR);
    assertEquals(freeze.state(), MaintenanceWindow.State.IN_FORCE);
  }

  @Test
  public void windowsThatComeAgainKeepTheirTimeOfDayWhenClocksChange() {
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
  public void badWordsAreAnsweredInOneLine() {
    assertTrue(
        ((String) freezes.announce(Set.of("zz"), HOUR, HOUR, 0, "", "UTC", false, "ann", "x", 0))
            .startsWith("no rack is called [zz]; there are [a1"));
    assertTrue(
        ((String)
                freezes.announce(
                    Set.of("a1"), HOUR, HOUR, 0, "FREQ=OFTEN", "UTC", false, "ann", "x", 0))
            .startsWith("\"FREQ=OFTEN\" is no rule"));
    assertTrue(
        ((String)
                freezes.announce(
                    Set.of("a1"), HOUR, HOUR, 0, "FREQ=DAILY", "Mars/North", false, "ann", "x", 0))
            .startsWith("\"Mars/North\" is no time zone"));
    assertEquals(
        freezes.announce(Set.of("a1"), HOUR, 0, 0, "", "UTC", false, "ann", "x", 0),
        "a window lasts longer than no time");
    assertEquals(freezes.cancel(9, "ann", "x", 0), "no freeze 9 is known");
  }

  /**
   * Relays that hear seldom, late or not, over starts of the controller: each counts what it was
   * promised from before it asked; none ever holds a promise for a rack that is in force.
   */
  @Test
  public void noRelayEverHoldsAPromiseIntoAFreezeThatIsInForce() {
    int inForce = 0;
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      freezes = made();
      promises = new PlacementGrants(freezes, 0);
      Map<Integer, Long> until = new TreeMap<>(); // by relay, for rack a1
      Map<Integer, Long> holds = new TreeMap<>();
      for (long now = 0; now < 3 * HOUR; now += MIN / 2) {
        long at = now;
        if (random.nextInt(120) == 0) {
          promises = new PlacementGrants(freezes, now);
        }
        if (random.nextInt(60) == 0) {
          freezes.announce(
              Set.of("a1"),
              now + random.nextInt(30) * MIN,
              (1 + random.nextInt(40)) * MIN,
              0,
              "",
              "UTC",
              random.nextInt(5) == 0,
              "ann",
              "x",
              now);
        }
        if (random.nextInt(200) == 0) {
          freezes.cancel(1 + random.nextInt(5), "ann", "x", now);
        }
        if (random.nextInt(100) == 0) {
          freezes.setRackDown("a2", random.nextBoolean(), now);
        }
        for (int relay = 0; relay < 4; relay++) {
          boolean cut = random.nextInt(4) > 0 || relay == 3 && now > HOUR && now < 2 * HOUR;
          if (cut) {
            continue;
          }
          asks(relay, holds.getOrDefault(relay, 0L), now);
          long left = promises.grantedForMs("a1", now);
          if (random.nextInt(5) == 0) {
            continue; // the answer is lost
          }
          until.put(relay, now + left);
          holds.put(relay, freezes.sequence());
        }
        freezes.tick(now);
        boolean frozen =
            freezes.all().stream().anyMatch(one -> one.state() == MaintenanceWindow.State.IN_FORCE);
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
  public void oneThatWasExtendedOftenStillWaitsForThosePromisedBefore() {
    promises = new PlacementGrants(freezes, -HOUR);
    asks(7, 0, 0);
    MaintenanceWindow freeze = announce("a1", MIN, HOUR, 0, 0);
    freezes.tick(2 * MIN);
    for (int i = 1; i <= 2 * MaintenanceWindow.MOST_STEPS; i++) {
      assertNull(
          freezes.extend(freeze.number, MIN + HOUR + i * 1000, "ann", "not done yet", 2 * MIN));
    }
    assertEquals(freeze.steps().size(), MaintenanceWindow.MOST_STEPS);
    asks(8, freezes.sequence(), 3 * MIN);
    assertEquals(promises.outstanding(freeze, 3 * MIN), Set.of(7));
    assertEquals(freeze.state(), MaintenanceWindow.State.DRAINING);
  }

  /**
   * Whatever happens in whatever order: what is kept as it changes is what a walk through
   * everything finds.
   */
  @Test
  public void whatIsKeptIsWhatAWalkFinds() {
    for (int seed = 0; seed < 40; seed++) {
      fresh();
      Random random = new Random(seed);
      Map<Integer, long[]> held = new TreeMap<>(); // state, since
      long now = 0;
      promises = new PlacementGrants(freezes, -NOTICE);
      for (int i = 0; i < 400; i++) {
        now += random.nextInt(4) == 0 ? random.nextInt((int) (20 * MIN)) : random.nextInt(5000);
        int dice = random.nextInt(20);
        String rack = new String[] {"a1", "a2", "a3", "b1"}[random.nextInt(4)];
        long some = 1 + random.nextInt(Math.max(1, freezes.all().size()));
        if (dice == 0) {
          freezes.announce(
              Set.of(rack),
              now + random.nextInt((int) HOUR),
              MIN + random.nextInt((int) HOUR),
              0,
              "",
              "UTC",
              random.nextInt(4) == 0,
              "ann",
              "x",
              now);
        } else if (dice == 1) {
          freezes.cancel(some, "ann", "x", now);
        } else if (dice == 2 && freezes.find(some) != null) {
          freezes.extend(
              some, freezes.find(some).to() + random.nextInt((int) (30 * MIN)), "ann", "x", now);
        } else if (dice == 3) {
          freezes.setRackDown(rack, random.nextBoolean(), now);
        } else if (dice == 4) {
          freezes.force(some, random.nextBoolean() ? "ann" : "bob", "x", now);
        } else if (dice == 5) {
          freezes.tick(now);
        } else {
          int relay = random.nextInt(8);
          long holds = Math.max(0, freezes.sequence() - random.nextInt(6));
          promises.request(relay, holds, now);
          long before =
              held.containsKey(relay) && now - held.get(relay)[1] <= 24 * HOUR
                  ? held.get(relay)[0]
                  : 0;
          held.put(relay, new long[] {Math.max(holds, before), now});
        }
        walk(held, now, "seed " + seed + ", step " + i);
        if (random.nextInt(3) == 0) {
          for (long number : promises.returned(now)) {
            freezes.grantsReturned(number, now);
          }
        }
      }
    }
  }

  private void walk(Map<Integer, long[]> held, long now, String where) {
    boolean due = false;
    List<Long> cleared = new ArrayList<>();
    Map<String, Long> free =
        new TreeMap<>(Map.of("a1", NOTICE, "a2", NOTICE, "a3", NOTICE, "b1", 24 * HOUR));
    for (MaintenanceWindow one : freezes.all()) {
      due |=
          switch (one.state()) {
            case ACCEPTED -> now >= one.from();
            case HELD, IN_FORCE -> now >= one.to();
            case DRAINING -> now >= one.to() || now >= freezes.grantsEndMs(one);
            case ENDING -> now >= one.to() + 5 * MIN;
            default -> false;
          };
      if (one.state().isBinding() && now < one.to()) {
        for (String rack : one.racks) {
          free.merge(rack, Math.max(0, one.from() - now), Math::min);
        }
      }
      Set<Integer> out = new java.util.TreeSet<>();
      long notice = one.racks.contains("b1") ? 24 * HOUR : NOTICE;
      if (now < freezes.grantsEndMs(one)) {
        if (now < -NOTICE + notice) {
          out.add(-1);
        }
        long bound =
            one.steps().stream()
                .filter(step -> step.state() == MaintenanceWindow.State.ACCEPTED)
                .mapToLong(MaintenanceWindow.Step::sequence)
                .max()
                .orElse(0);
        held.forEach(
            (relay, said) -> {
              if (said[0] < bound && now < said[1] + notice) {
                out.add(relay);
              }
            });
      }
      assertEquals(promises.outstanding(one, now), out, where + ", freeze " + one.number);
      if (one.state() == MaintenanceWindow.State.DRAINING && out.isEmpty()) {
        cleared.add(one.number);
      }
    }
    assertEquals(freezes.isDue(now), due, where);
    assertEquals(promises.returned(now), cleared, where);
    Map<String, Long> shorter = promises.shortened(now);
    free.forEach(
        (rack, left) -> {
          assertEquals(promises.grantedForMs(rack, now), (long) left, where + ", rack " + rack);
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
