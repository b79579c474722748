package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates maintenance windows while relays are disconnected from the controller for seconds to
 * many minutes and the controller restarts. Compares rack permits with other strategies (see {@link
 * Strategy}). Each relay places one job per second on each of ten racks. Usage: {@code
 * MaintenanceStudy [WINDOWS]}, where WINDOWS (40 by default) is the number of windows for 100
 * relays or fewer; larger fleets get fewer windows.
 */
public final class MaintenanceStudy {
  private static final long SECOND_MS = 1000;
  private static final long MINUTE_MS = 60 * SECOND_MS;
  private static final long NOTICE_MS = 10 * MINUTE_MS;
  private static final long LONGEST_JOB_MS = 5 * SECOND_MS;
  private static final int RACK_COUNT = 10;

  private enum Strategy {
    /** A relay places a job only if its rack permit outlasts the longest job. */
    PROMISES,
    /** A relay places jobs until its rack permit ends, whatever their duration. */
    NO_LOOK_AHEAD,
    /** Without permits, a relay places jobs unless it was notified that the rack is in a window. */
    BROADCAST,
    /** Like BROADCAST, but a relay without an answer for 3 s places no jobs. */
    STOP_AT_DOUBT
  }

  /** The state of a relay under all strategies. */
  private static final class Relay {
    private long disconnectedUntilMs;
    private long heldSequence;
    private long lastPermitMs;
    private final long[] permittedUntilMs = new long[RACK_COUNT];
    private final boolean[] notifiedOfWindow = new boolean[RACK_COUNT];
  }

  private static final class Outcome {
    private double jobsInWindow;
    private double jobsRunningIntoWindow;
    private double jobsNotPlaced;
  }

  private final SplittableRandom random;
  private final Relay[] relays;
  private final MaintenanceWindows windows;
  private PlacementGrants grants;
  private final Map<Strategy, Outcome> outcomes = new java.util.EnumMap<>(Strategy.class);
  private final List<Double> delaysAfterAnnouncementS = new ArrayList<>();
  private final List<Double> delaysAfterStartS = new ArrayList<>();
  private long requests;
  private double relaySeconds;

  private MaintenanceStudy(int relayCount, long seed) {
    random = new SplittableRandom(seed);
    relays = new Relay[relayCount];
    for (int i = 0; i < relayCount; i++) {
      relays[i] = new Relay();
    }
    List<Rack> racks = new ArrayList<>();
    for (int i = 0; i < RACK_COUNT; i++) {
      racks.add(new Rack("r" + i, 1, i, Map.of(0, 10.0), NOTICE_MS));
    }
    windows =
        new MaintenanceWindows(
            new MaintenanceWindows.Rules(0, MINUTE_MS, 0.95),
            new CapacityCheck(racks, Map.of(), 0),
            new MaintenanceWindows.Listener() {
              @Override
              public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
                // The study reads the state of the window after each second.
              }

              @Override
              public void permitsChanged() {
                // Connected relays request permits every second anyway.
              }
            });
    grants = new PlacementGrants(windows, -NOTICE_MS);
    for (Strategy strategy : Strategy.values()) {
      outcomes.put(strategy, new Outcome());
    }
  }

  private void run(int windowCount) {
    long now = 0;
    for (int i = 0; i < windowCount; i++) {
      String rack = "r" + random.nextInt(RACK_COUNT);
      long aheadMs = random.nextInt(3) == 0 ? 30 * SECOND_MS : 15 * MINUTE_MS;
      long announcedMs = now;
      AnnounceResult result =
          windows.announce(
              new MaintenanceRequest(
                  Set.of(rack), now + aheadMs, 5 * MINUTE_MS, 0, "", "UTC", false, "ann", "x"),
              now);
      MaintenanceWindow window =
          windows.find(((AnnounceResult.Announced) result).windowNumbers().get(0));
      long inForceMs = -1;
      for (long end = window.endMs() + MINUTE_MS; now < end; now += SECOND_MS) {
        simulateSecond(now);
        if (inForceMs < 0 && window.state() == MaintenanceWindow.State.IN_FORCE) {
          inForceMs = now;
          if (aheadMs < NOTICE_MS) {
            delaysAfterAnnouncementS.add((now - announcedMs) / 1000.0);
          } else {
            delaysAfterStartS.add((now - window.startMs()) / 1000.0);
          }
        }
      }
    }
  }

  private void simulateSecond(long now) {
    if (random.nextInt(1800) == 0) {
      grants = new PlacementGrants(windows, now);
    }
    for (int i = 0; i < relays.length; i++) {
      Relay relay = relays[i];
      // Each relay is disconnected once in two hours on average, for 2 s to 30 min.
      if (relay.disconnectedUntilMs <= now && random.nextInt(7200) == 0) {
        relay.disconnectedUntilMs =
            now + (long) (2 * SECOND_MS * Math.exp(random.nextDouble() * Math.log(900)));
      }
      if (relay.disconnectedUntilMs > now) {
        continue;
      }
      grants.recordRequest(i, relay.heldSequence, now);
      requests++;
      relay.heldSequence = windows.sequence();
      relay.lastPermitMs = now;
      for (int r = 0; r < RACK_COUNT; r++) {
        relay.permittedUntilMs[r] = now + (long) (grants.permitDurationMs("r" + r, now) * 0.98);
        relay.notifiedOfWindow[r] = inMaintenance("r" + r, now + SECOND_MS);
      }
    }
    for (long number : grants.windowsWithPermitsReturned(now)) {
      windows.permitsReturned(number, now);
    }
    windows.tick(now);
    for (Relay relay : relays) {
      relaySeconds++;
      for (int r = 0; r < RACK_COUNT; r++) {
        boolean inForce = false;
        boolean scheduled = false;
        long nextStartMs = Long.MAX_VALUE;
        for (MaintenanceWindow window : windows.all()) {
          if (!window.racks.contains("r" + r)) {
            continue;
          }
          inForce |= window.state() == MaintenanceWindow.State.IN_FORCE;
          scheduled |= now >= window.startMs() && now < window.endMs();
          if (window.state().isOpen() && window.startMs() > now) {
            nextStartMs = Math.min(nextStartMs, window.startMs());
          }
        }
        place(
            Strategy.PROMISES,
            now + LONGEST_JOB_MS <= relay.permittedUntilMs[r],
            inForce,
            scheduled,
            false);
        place(
            Strategy.NO_LOOK_AHEAD,
            now < relay.permittedUntilMs[r],
            inForce,
            scheduled,
            nextStartMs - now < LONGEST_JOB_MS);
        // Maintenance begins at the scheduled start, even if some relays were not notified.
        place(
            Strategy.BROADCAST,
            !relay.notifiedOfWindow[r],
            scheduled,
            scheduled,
            nextStartMs - now < LONGEST_JOB_MS);
        place(
            Strategy.STOP_AT_DOUBT,
            !relay.notifiedOfWindow[r] && now - relay.lastPermitMs < 3 * SECOND_MS,
            scheduled,
            scheduled,
            nextStartMs - now < LONGEST_JOB_MS);
      }
    }
  }

  private boolean inMaintenance(String rack, long now) {
    return windows.all().stream()
        .anyMatch(
            window ->
                window.racks.contains(rack) && now >= window.startMs() && now < window.endMs());
  }

  private void place(
      Strategy strategy,
      boolean places,
      boolean inMaintenance,
      boolean scheduled,
      boolean runsIntoWindow) {
    Outcome outcome = outcomes.get(strategy);
    if (places && inMaintenance) {
      outcome.jobsInWindow++;
    }
    if (places && runsIntoWindow) {
      // A job lasts half the longest duration on average.
      outcome.jobsRunningIntoWindow += 0.5;
    }
    if (!places && !scheduled) {
      outcome.jobsNotPlaced++;
    }
  }

  public static void main(String[] args) {
    int windowCount = args.length > 0 ? Integer.parseInt(args[0]) : 40;
    System.out.println(
        "ten racks, notice 10 min, each relay cut off once in two hours for 2 s to 30 min, the controller restarted once in half an hour; a job a relay, rack and second");
    for (int relayCount : new int[] {10, 100, 300, 1000}) {
      MaintenanceStudy study = new MaintenanceStudy(relayCount, 5);
      study.run(Math.max(6, windowCount * 100 / Math.max(100, relayCount)));
      StringBuilder line =
          new StringBuilder(
              String.format(
                  Locale.ROOT,
                  "%5d relays, %d freezes: in force after its time (announced 15 min ahead) %s; after the announcement (30 s ahead) %s; %.2f asks a relay and second",
                  relayCount,
                  study.windows.all().size(),
                  formatMedianAndWorst(study.delaysAfterStartS),
                  formatMedianAndWorst(study.delaysAfterAnnouncementS),
                  study.requests / study.relaySeconds));
      System.out.println(line);
      study.outcomes.forEach(
          (strategy, outcome) ->
              System.out.printf(
                  Locale.ROOT,
                  "    %-14s jobs on frozen racks %.0f, running into a window %.0f, not placed where they might be %.3f%%%n",
                  strategy.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                  outcome.jobsInWindow,
                  outcome.jobsRunningIntoWindow,
                  100 * outcome.jobsNotPlaced / study.relaySeconds / RACK_COUNT));
    }
  }

  private static String formatMedianAndWorst(List<Double> seconds) {
    double[] sorted = seconds.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return sorted.length == 0
        ? "-"
        : String.format(
            Locale.ROOT,
            "median %.0f s, worst %.0f s",
            sorted[sorted.length / 2],
            Arrays.stream(sorted).max().orElse(0));
  }
}
