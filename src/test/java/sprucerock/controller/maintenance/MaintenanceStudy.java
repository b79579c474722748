package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * In simulated time: racks are inMaintenance while relays are cut off from the controller for
 * seconds to many minutes and it is restarted. Promises beside two ways without them. {@code
 * MaintenanceStudy [windows a size]}. A relay places one job a playSecond on each of ten racks.
 */
public final class MaintenanceStudy {
  private static final long SECOND = 1000;
  private static final long MINUTE = 60 * SECOND;
  private static final long NOTICE = 10 * MINUTE;
  private static final long LONGEST_JOB = 5 * SECOND;
  private static final int RACKS = 10;

  private enum Strategy {
    PROMISES,
    NO_LOOK_AHEAD,
    BROADCAST,
    STOP_AT_DOUBT
  }

  /** One relay, as each strategy would have it. */
  private static final class Relay {
    private long disconnectedUntilMs;
    private long holds;
    private long heardMs;
    private final long[] until = new long[RACKS];
    private final boolean[] notifiedOfWindow = new boolean[RACKS];
  }

  private static final class Outcome {
    private double onFrozen;
    private double ranInto;
    private double lost;
  }

  private final SplittableRandom random;
  private final Relay[] relays;
  private final MaintenanceWindows windows;
  private PlacementGrants grants;
  private final Map<Strategy, Outcome> outcomes = new java.util.EnumMap<>(Strategy.class);
  private final List<Double> delaysAfterAnnouncement = new ArrayList<>();
  private final List<Double> delaysAfterStart = new ArrayList<>();
  private long requests;
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
    windows =
        new MaintenanceWindows(
            new MaintenanceWindows.Rules(0, MINUTE, 0.95),
            new CapacityCheck(racks, Map.of(), 0),
            new MaintenanceWindows.Listener() {
              @Override
              public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
                // read below
              }

              @Override
              public void permitsChanged() {
                // relays ask within a playSecond anyway
              }
            });
    grants = new PlacementGrants(windows, -NOTICE);
    for (Strategy strategy : Strategy.values()) {
      outcomes.put(strategy, new Outcome());
    }
  }

  private void run(int times) {
    long now = 0;
    for (int i = 0; i < times; i++) {
      String rack = "r" + random.nextInt(RACKS);
      long ahead = random.nextInt(3) == 0 ? 30 * SECOND : 15 * MINUTE;
      long announced = now;
      AnnounceResult made =
          windows.announce(
              new MaintenanceRequest(
                  Set.of(rack), now + ahead, 5 * MINUTE, 0, "", "UTC", false, "ann", "x"),
              now);
      MaintenanceWindow window =
          windows.find(((AnnounceResult.Announced) made).windowNumbers().get(0));
      long inForce = -1;
      for (long end = window.endMs() + MINUTE; now < end; now += SECOND) {
        playSecond(now);
        if (inForce < 0 && window.state() == MaintenanceWindow.State.IN_FORCE) {
          inForce = now;
          if (ahead < NOTICE) {
            delaysAfterAnnouncement.add((now - announced) / 1000.0);
          } else {
            delaysAfterStart.add((now - window.startMs()) / 1000.0);
          }
        }
      }
    }
  }

  private void playSecond(long now) {
    if (random.nextInt(1800) == 0) {
      grants = new PlacementGrants(windows, now);
    }
    for (int i = 0; i < relays.length; i++) {
      Relay relay = relays[i];
      // each relay is cut off once in two hours, for two seconds to half an hour
      if (relay.disconnectedUntilMs <= now && random.nextInt(7200) == 0) {
        relay.disconnectedUntilMs =
            now + (long) (2 * SECOND * Math.exp(random.nextDouble() * Math.log(900)));
      }
      if (relay.disconnectedUntilMs > now) {
        continue;
      }
      grants.recordRequest(i, relay.holds, now);
      requests++;
      relay.holds = windows.sequence();
      relay.heardMs = now;
      for (int r = 0; r < RACKS; r++) {
        relay.until[r] = now + (long) (grants.permitDurationMs("r" + r, now) * 0.98);
        relay.notifiedOfWindow[r] = inMaintenance("r" + r, now + SECOND);
      }
    }
    for (long number : grants.windowsWithPermitsReturned(now)) {
      windows.permitsReturned(number, now);
    }
    windows.tick(now);
    for (Relay relay : relays) {
      relaySeconds++;
      for (int r = 0; r < RACKS; r++) {
        boolean inForce = false;
        boolean wanted = false;
        long from = Long.MAX_VALUE;
        for (MaintenanceWindow one : windows.all()) {
          if (!one.racks.contains("r" + r)) {
            continue;
          }
          inForce |= one.state() == MaintenanceWindow.State.IN_FORCE;
          wanted |= now >= one.startMs() && now < one.endMs();
          if (one.state().isOpen() && one.startMs() > now) {
            from = Math.min(from, one.startMs());
          }
        }
        place(Strategy.PROMISES, now + LONGEST_JOB <= relay.until[r], inForce, wanted, false);
        place(
            Strategy.NO_LOOK_AHEAD,
            now < relay.until[r],
            inForce,
            wanted,
            from - now < LONGEST_JOB);
        // the fleet takes the rack at its time, whoever was told
        place(
            Strategy.BROADCAST,
            !relay.notifiedOfWindow[r],
            wanted,
            wanted,
            from - now < LONGEST_JOB);
        place(
            Strategy.STOP_AT_DOUBT,
            !relay.notifiedOfWindow[r] && now - relay.heardMs < 3 * SECOND,
            wanted,
            wanted,
            from - now < LONGEST_JOB);
      }
    }
  }

  private boolean inMaintenance(String rack, long now) {
    return windows.all().stream()
        .anyMatch(one -> one.racks.contains(rack) && now >= one.startMs() && now < one.endMs());
  }

  private void place(
      Strategy strategy, boolean places, boolean inMaintenance, boolean wanted, boolean runsInto) {
    Outcome outcome = outcomes.get(strategy);
    if (places && inMaintenance) {
      outcome.onFrozen++;
    }
    if (places && runsInto) {
      outcome.ranInto += 0.5; // a job of half the longest, in the mean
    }
    if (!places && !wanted) {
      outcome.lost++;
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
                  study.windows.all().size(),
                  spread(study.delaysAfterStart),
                  spread(study.delaysAfterAnnouncement),
                  study.requests / study.relaySeconds));
      System.out.println(line);
      study.outcomes.forEach(
          (strategy, outcome) ->
              System.out.printf(
                  Locale.ROOT,
                  "    %-14s jobs on frozen racks %.0f, running into a window %.0f, not placed where they might be %.3f%%%n",
                  strategy.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                  outcome.onFrozen,
                  outcome.ranInto,
                  100 * outcome.lost / study.relaySeconds / RACKS));
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
