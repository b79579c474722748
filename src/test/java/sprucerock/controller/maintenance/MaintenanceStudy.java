package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * In simulated time: racks are frozen while relays are cut off from the controller for seconds to
 * many minutes and it is restarted. Promises beside two ways without them. {@code MaintenanceStudy
 * [freezes a size]}. A relay places one job a second on each of ten racks.
 */
public final class MaintenanceStudy {
  private static final long SECOND = 1000;
  private static final long MINUTE = 60 * SECOND;
  private static final long NOTICE = 10 * MINUTE;
  private static final long LONGEST_JOB = 5 * SECOND;
  private static final int RACKS = 10;

  private enum Way {
    PROMISES,
    NO_LOOK_AHEAD,
    BROADCAST,
    STOP_AT_DOUBT
  }

  /** One relay, as each way would have it. */
  private static final class Relay {
    private long cutUntil;
    private long holds;
    private long heardAt;
    private final long[] until = new long[RACKS];
    private final boolean[] toldFrozen = new boolean[RACKS];
  }

  private static final class Tally {
    private double onFrozen;
    private double ranInto;
    private double lost;
  }

  private final SplittableRandom random;
  private final Relay[] relays;
  private final MaintenanceWindows freezes;
  private PlacementGrants promises;
  private final Map<Way, Tally> tallies = new java.util.EnumMap<>(Way.class);
  private final List<Double> shortNotice = new ArrayList<>();
  private final List<Double> late = new ArrayList<>();
  private long asks;
  private double relaySeconds;

  private MaintenanceStudy(int size, long seed) {
    random = new SplittableRandom(seed);
    relays = new Relay[size];
    for (int i = 0; i < size; i++) {
      relays[i] = new Relay();
    }
    List<Rack> racks = new ArrayList<>();
    for (int i = 0; i < RACKS; i++) {
      racks.add(new Rack("r" + i, 1, i, Map.of(0, 10.0), NOTICE));
    }
    freezes =
        new MaintenanceWindows(
            new MaintenanceWindows.Rules(0, MINUTE, 0.95),
            new CapacityCheck(racks, Map.of(), 0),
            new MaintenanceWindows.Listener() {
              @Override
              public void changed(MaintenanceWindow freeze, MaintenanceWindow.Step step) {
                // read below
              }

              @Override
              public void grantsChanged() {
                // relays ask within a second anyway
              }
            });
    promises = new PlacementGrants(freezes, -NOTICE);
    for (Way way : Way.values()) {
      tallies.put(way, new Tally());
    }
  }

  private void run(int times) {
    long now = 0;
    for (int i = 0; i < times; i++) {
      String rack = "r" + random.nextInt(RACKS);
      long ahead = random.nextInt(3) == 0 ? 30 * SECOND : 15 * MINUTE;
      long announced = now;
      Object made =
          freezes.announce(
              Set.of(rack), now + ahead, 5 * MINUTE, 0, "", "UTC", false, "ann", "x", now);
      MaintenanceWindow freeze = freezes.find((Long) ((List<?>) made).get(0));
      long inForce = -1;
      for (long end = freeze.to() + MINUTE; now < end; now += SECOND) {
        second(now);
        if (inForce < 0 && freeze.state() == MaintenanceWindow.State.IN_FORCE) {
          inForce = now;
          if (ahead < NOTICE) {
            shortNotice.add((now - announced) / 1000.0);
          } else {
            late.add((now - freeze.from()) / 1000.0);
          }
        }
      }
    }
  }

  private void second(long now) {
    if (random.nextInt(1800) == 0) {
      promises = new PlacementGrants(freezes, now);
    }
    for (int i = 0; i < relays.length; i++) {
      Relay relay = relays[i];
      // each relay is cut off once in two hours, for two seconds to half an hour
      if (relay.cutUntil <= now && random.nextInt(7200) == 0) {
        relay.cutUntil = now + (long) (2 * SECOND * Math.exp(random.nextDouble() * Math.log(900)));
      }
      if (relay.cutUntil > now) {
        continue;
      }
      promises.request(i, relay.holds, now);
      asks++;
      relay.holds = freezes.sequence();
      relay.heardAt = now;
      for (int r = 0; r < RACKS; r++) {
        relay.until[r] = now + (long) (promises.grantedForMs("r" + r, now) * 0.98);
        relay.toldFrozen[r] = frozen("r" + r, now + SECOND);
      }
    }
    for (long number : promises.returned(now)) {
      freezes.grantsReturned(number, now);
    }
    freezes.tick(now);
    for (Relay relay : relays) {
      relaySeconds++;
      for (int r = 0; r < RACKS; r++) {
        boolean inForce = false;
        boolean wanted = false;
        long from = Long.MAX_VALUE;
        for (MaintenanceWindow one : freezes.all()) {
          if (!one.racks.contains("r" + r)) {
            continue;
          }
          inForce |= one.state() == MaintenanceWindow.State.IN_FORCE;
          wanted |= now >= one.from() && now < one.to();
          if (one.state().isOpen() && one.from() > now) {
            from = Math.min(from, one.from());
          }
        }
        place(Way.PROMISES, now + LONGEST_JOB <= relay.until[r], inForce, wanted, false);
        place(Way.NO_LOOK_AHEAD, now < relay.until[r], inForce, wanted, from - now < LONGEST_JOB);
        // the fleet takes the rack at its time, whoever was told
        place(Way.BROADCAST, !relay.toldFrozen[r], wanted, wanted, from - now < LONGEST_JOB);
        place(
            Way.STOP_AT_DOUBT,
            !relay.toldFrozen[r] && now - relay.heardAt < 3 * SECOND,
            wanted,
            wanted,
            from - now < LONGEST_JOB);
      }
    }
  }

  private boolean frozen(String rack, long now) {
    return freezes.all().stream()
        .anyMatch(one -> one.racks.contains(rack) && now >= one.from() && now < one.to());
  }

  private void place(Way way, boolean places, boolean frozen, boolean wanted, boolean runsInto) {
    Tally tally = tallies.get(way);
    if (places && frozen) {
      tally.onFrozen++;
    }
    if (places && runsInto) {
      tally.ranInto += 0.5; // a job of half the longest, in the mean
    }
    if (!places && !wanted) {
      tally.lost++;
    }
  }

  public static void main(String[] args) {
    int times = args.length > 0 ? Integer.parseInt(args[0]) : 40;
    System.out.println(
        "ten racks, notice 10 min, each relay cut off once in two hours for 2 s to 30 min, the controller restarted once in half an hour; a job a relay, rack and second");
    for (int size : new int[] {10, 100, 300, 1000}) {
      MaintenanceStudy study = new MaintenanceStudy(size, 5);
      study.run(Math.max(6, times * 100 / Math.max(100, size)));
      StringBuilder line =
          new StringBuilder(
              String.format(
                  Locale.ROOT,
                  "%5d relays, %d freezes: in force after its time (announced 15 min ahead) %s; after the announcement (30 s ahead) %s; %.2f asks a relay and second",
                  size,
                  study.freezes.all().size(),
                  spread(study.late),
                  spread(study.shortNotice),
                  study.asks / study.relaySeconds));
      System.out.println(line);
      study.tallies.forEach(
          (way, tally) ->
              System.out.printf(
                  Locale.ROOT,
                  "    %-14s jobs on frozen racks %.0f, running into a window %.0f, not placed where they might be %.3f%%%n",
                  way.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                  tally.onFrozen,
                  tally.ranInto,
                  100 * tally.lost / study.relaySeconds / RACKS));
    }
  }

  private static String spread(List<Double> all) {
    double[] sorted = all.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted.length == 0
        ? "-"
        : String.format(
            Locale.ROOT,
            "median %.0f s, worst %.0f s",
            sorted[sorted.length / 2],
            Arrays.stream(sorted).max().orElse(0));
  }
}
