package sprucerock.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import sprucerock.controller.comparison.Window;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Verdict;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Measures how often good deployments are stopped and bad ones are missed, at several fleet sizes.
 * It runs the real deployment manager and monitor in simulated time, over relays with random
 * traffic, latencies, zones, cold starts and disturbances, and three simpler strategies on the same
 * fleets. This is not a test: {@code main} prints the table of docs/change.md. Its arguments are
 * the numbers of good and of bad deployments, and the largest and the smallest number of relays.
 */
final class DeploymentStudy {
  private static final Version OLD = new Version("a".repeat(64), "0".repeat(64));
  private static final Version NEW = new Version("b".repeat(64), "0".repeat(64));
  private static final double TICK_MS = 2000;
  private static final int START_TICKS = 2;
  private static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(
              new DeploymentPlan.Stage(0.02, 0.1),
              new DeploymentPlan.Stage(0.15, 0.03),
              new DeploymentPlan.Stage(0.5, 0.02),
              new DeploymentPlan.Stage(1, 0.01)),
          TimeSpan.ofMs(60_000),
          TimeSpan.ofMs(1_800_000),
          TimeSpan.ofMs(60_000),
          0.1,
          0.05,
          TimeSpan.ofMs(5000));

  /** The outcome of one simulated deployment. */
  private record SimulationResult(
      boolean stopped, boolean done, double seconds, double lostSeconds) {}

  /** A way to update relays and to judge the result. */
  private interface Strategy {
    /** Processes a closed window, and returns true once the deployment is over. */
    boolean tick(Fleet fleet, double nowMs);

    boolean stopped();
  }

  /** A fleet of random relays; each tick creates their windows. */
  private static final class Fleet {
    final SplittableRandom random;
    final int size;
    final double harm;
    final double[] rpcsPerSecond;
    final double[] unserved;
    final double[] latencyMs;
    final double[] workMs;
    final double[] memoryMb;
    final boolean[] onNewVersion;
    final int[] startTicksLeft;
    final double[] ageMs;
    final Window[] total;
    final Window[] lastWindow;
    double lostSeconds;

    /**
     * The size of each zone's disturbance, as a share of RPCs; the last entry affects all zones.
     */
    private final double[] zoneDisturbance = new double[4];

    private final int[] zoneDisturbanceTicks = new int[4];

    Fleet(long seed, int size, double harm) {
      random = new SplittableRandom(seed);
      this.size = size;
      this.harm = harm;
      rpcsPerSecond = new double[size];
      unserved = new double[size];
      latencyMs = new double[size];
      workMs = new double[size];
      memoryMb = new double[size];
      onNewVersion = new boolean[size];
      startTicksLeft = new int[size];
      ageMs = new double[size];
      total = new Window[size];
      lastWindow = new Window[size];
      for (int i = 0; i < size; i++) {
        rpcsPerSecond[i] = 30 * Math.exp(0.7 * normal());
        unserved[i] = 0.01 * Math.exp(0.5 * normal());
        latencyMs[i] = 60 * Math.exp(0.15 * normal());
        workMs[i] = 1.5 * Math.exp(0.1 * normal());
        memoryMb[i] = 60 * Math.exp(0.05 * normal());
        ageMs[i] = 1e6;
        total[i] = Window.NONE;
      }
    }

    double normal() {
      return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
          * Math.cos(2 * Math.PI * random.nextDouble());
    }

    /** Draws from a Poisson distribution, which is approximated by a normal one above 30. */
    private double count(double mean) {
      if (mean > 30) {
        return Math.max(0, Math.round(mean + Math.sqrt(mean) * normal()));
      }
      double limit = Math.exp(-mean);
      double product = random.nextDouble();
      int n = 0;
      while (product > limit && n < 200) {
        product *= random.nextDouble();
        n++;
      }
      return n;
    }

    void restart(int i, boolean onNew) {
      onNewVersion[i] = onNew;
      startTicksLeft[i] = START_TICKS;
    }

    boolean ready(int i) {
      return startTicksLeft[i] == 0;
    }

    void tick() {
      for (int z = 0; z < 4; z++) {
        if (zoneDisturbanceTicks[z] > 0) {
          zoneDisturbanceTicks[z]--;
        } else if (random.nextDouble() < 0.01) {
          zoneDisturbanceTicks[z] = 3 + random.nextInt(12);
          zoneDisturbance[z] = 0.2 * random.nextDouble();
        }
      }
      double totalRpcsPerSecond = 0;
      for (int i = 0; i < size; i++) {
        totalRpcsPerSecond += rpcsPerSecond[i];
      }
      for (int i = 0; i < size; i++) {
        lastWindow[i] = null;
        if (startTicksLeft[i] > 0) {
          if (--startTicksLeft[i] == 0) {
            ageMs[i] = 0;
            total[i] = Window.NONE;
          }
          continue;
        }
        double coldness = Math.exp(-ageMs[i] / 6000);
        double disturbance =
            (zoneDisturbanceTicks[i % 3] > 0 ? zoneDisturbance[i % 3] : 0)
                + (zoneDisturbanceTicks[3] > 0 ? zoneDisturbance[3] : 0);
        double unservedShare =
            Math.min(
                0.9, unserved[i] + 0.1 * coldness + disturbance + (onNewVersion[i] ? harm : 0));
        double rpcs = count(rpcsPerSecond[i] * TICK_MS / 1000);
        double notInTime = Math.min(rpcs, count(rpcs * unservedShare));
        double answered = rpcs - notInTime;
        double answeredMs =
            answered
                * latencyMs[i]
                * (1 + 4 * disturbance + coldness)
                * (1 + 0.8 / Math.sqrt(Math.max(answered, 1)) * normal());
        lastWindow[i] =
            new Window(
                rpcs,
                rpcs,
                answered,
                notInTime,
                0,
                0,
                answered,
                Math.max(answered, answeredMs),
                rpcs * workMs[i] * (1 + coldness) * (1 + 0.02 * normal()) + 10,
                memoryMb[i] * (0.8 + 0.2 * (1 - coldness)) * (1 + 0.01 * normal()),
                20 + Math.sqrt(rpcsPerSecond[i]) * 5,
                rpcs * 0.3 + 2);
        total[i] = total[i].plus(lastWindow[i]);
        ageMs[i] += TICK_MS;
        if (onNewVersion[i]) {
          lostSeconds += harm * rpcsPerSecond[i] / totalRpcsPerSecond * TICK_MS / 1000;
        }
      }
    }
  }

  /** The real deployment manager and monitor. */
  private static final class PairedComparison
      implements Strategy, DeploymentManager.Listener, DeploymentMonitor.Listener {
    private final DeploymentManager deployments = new DeploymentManager(PLAN, this);
    private final DeploymentMonitor monitor = new DeploymentMonitor(deployments, this);
    private final Map<Integer, Integer> incarnations = new TreeMap<>();
    private final List<ManagedRelay> restartRequests = new ArrayList<>();
    private double nowMs;
    private int warmUpTicks = 40;

    @Override
    public boolean tick(Fleet fleet, double nowMs) {
      this.nowMs = nowMs;
      for (int i = 0; i < fleet.size; i++) {
        ManagedRelay relay = deployments.relay(i);
        Version runs = fleet.onNewVersion[i] ? NEW : OLD;
        boolean ready = fleet.ready(i);
        if (relay == null || relay.ready() != ready || !relay.observedVersion().equals(runs)) {
          deployments.reportStatus(
              i,
              i % 3,
              relay != null && relay.busy(),
              runs,
              ready,
              relay == null ? 0 : relay.generation(),
              timestamp(),
              0);
        }
        if (ready) {
          monitor.reportTotals(i, incarnations.getOrDefault(i, 0), 1, fleet.total[i]);
        }
      }
      monitor.closeWindow(TICK_MS);
      if (warmUpTicks-- == 0) {
        deployments.propose("study", "", NEW, false, timestamp(), 0);
        for (int i = 0; i < fleet.size; i++) {
          deployments.reportValidation(i, 1, "", timestamp(), 0);
        }
      }
      deployments.tick(timestamp(), 0);
      for (ManagedRelay relay : restartRequests) {
        if (relay.generation() == 0) {
          continue;
        }
        fleet.restart(relay.number, relay.desiredVersion().equals(NEW));
        incarnations.merge(relay.number, 1, Integer::sum);
        deployments.reportStatus(
            relay.number,
            relay.zone(),
            relay.busy(),
            relay.desiredVersion(),
            false,
            relay.generation(),
            timestamp(),
            0);
      }
      restartRequests.clear();
      Deployment deployment = deployments.deployment(1);
      return deployment != null && !deployment.state().isOpen();
    }

    private Timestamp timestamp() {
      return Timestamp.ofMs(nowMs);
    }

    @Override
    public boolean stopped() {
      return deployments.deployment(1).state() == Deployment.State.GIVEN_UP;
    }

    @Override
    public void transitioned(Deployment deployment, Deployment.Transition transition) {}

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      restartRequests.add(relay);
    }

    @Override
    public void verdictChanged(Deployment deployment, Verdict verdict, String reason) {
      deployments.reportVerdict(
          deployment.number, deployment.stage(), verdict, reason, timestamp(), 0);
    }

    @Override
    public void restartBudgetChanged(Map<Integer, Integer> byZone, String blockedReason) {
      deployments.setRestartBudget(byZone, blockedReason, timestamp(), 0);
    }

    @Override
    public void busyChanged(int number, boolean busy) {
      ManagedRelay relay = deployments.relay(number);
      deployments.reportStatus(
          number,
          relay.zone(),
          busy,
          relay.observedVersion(),
          relay.ready(),
          relay.observedGeneration(),
          timestamp(),
          0);
    }
  }

  /**
   * Stages of a fixed length, judged by comparing averages with a threshold. With 1 as the only
   * share, all relays are updated at once; a threshold of {@link Double#MAX_VALUE} never stops a
   * deployment.
   */
  private static final class FixedStages implements Strategy {
    private static final int STAGE_TICKS = 30;
    private final double[] shares;
    private final double threshold;

    /** Weight and weight in time on the new version, then on the old version. */
    private final double[] sums = new double[4];

    private int stage = -1;
    private int ticks = STAGE_TICKS + 40;
    private boolean stopped;

    FixedStages(double threshold, double... shares) {
      this.shares = shares;
      this.threshold = threshold;
    }

    @Override
    public boolean tick(Fleet fleet, double nowMs) {
      for (int i = 0; i < fleet.size; i++) {
        if (fleet.lastWindow[i] == null || stage < 0) {
          continue;
        }
        sums[fleet.onNewVersion[i] ? 0 : 2] += fleet.lastWindow[i].weight();
        sums[fleet.onNewVersion[i] ? 1 : 3] += fleet.lastWindow[i].weightInTime();
      }
      if (--ticks > 0) {
        return false;
      }
      ticks = STAGE_TICKS;
      double loss = sums[0] > 0 && sums[2] > 0 ? sums[3] / sums[2] - sums[1] / sums[0] : 0;
      java.util.Arrays.fill(sums, 0);
      if (loss > threshold) {
        stopped = true;
        return true;
      }
      if (++stage == shares.length) {
        return true;
      }
      for (int i = 0; i < Math.max(1, shares[stage] * fleet.size); i++) {
        if (!fleet.onNewVersion[i]) {
          fleet.restart(i, true);
        }
      }
      return false;
    }

    @Override
    public boolean stopped() {
      return stopped;
    }
  }

  private static SimulationResult simulate(long seed, int size, double harm, Strategy strategy) {
    Fleet fleet = new Fleet(seed, size, harm);
    for (int tick = 1; tick < 20_000; tick++) {
      fleet.tick();
      if (strategy.tick(fleet, tick * TICK_MS)) {
        return new SimulationResult(
            strategy.stopped(),
            !strategy.stopped(),
            (tick - 40) * TICK_MS / 1000,
            fleet.lostSeconds);
      }
    }
    return new SimulationResult(false, false, 40_000, fleet.lostSeconds);
  }

  private static Strategy newStrategy(int strategy) {
    return switch (strategy) {
      case 0 -> new PairedComparison();
      case 1 -> new FixedStages(Double.MAX_VALUE, 1);
      case 2 -> new FixedStages(Double.MAX_VALUE, 0.02, 0.15, 0.5, 1);
      default -> new FixedStages(0.01, 0.02, 0.15, 0.5, 1);
    };
  }

  public static void main(String[] args) {
    int good = args.length > 0 ? Integer.parseInt(args[0]) : 200;
    int bad = args.length > 1 ? Integer.parseInt(args[1]) : 50;
    int maxRelays = args.length > 2 ? Integer.parseInt(args[2]) : 1000;
    int minRelays = args.length > 3 ? Integer.parseInt(args[3]) : 10;
    String[] names = {
      "side by side", "all at once", "fixed time a stage", "thresholds on averages"
    };
    System.out.printf(
        "%-24s %6s %6s %8s %8s %10s %12s%n",
        "way", "relays", "harm", "stopped", "done", "median s", "worth lost s");
    for (int size : new int[] {10, 100, 300, 1000}) {
      if (size > maxRelays || size < minRelays) {
        continue;
      }
      for (double harm : new double[] {0, 0.01, 0.02, 0.05, 0.1}) {
        int deployments = harm == 0 ? good : bad;
        for (int strategy = 0; strategy < names.length; strategy++) {
          int number = strategy;
          List<SimulationResult> results =
              IntStream.range(0, deployments)
                  .parallel()
                  .mapToObj(seed -> simulate(1000L * size + seed, size, harm, newStrategy(number)))
                  .toList();
          double[] seconds =
              results.stream().mapToDouble(SimulationResult::seconds).sorted().toArray();
          System.out.printf(
              Locale.ROOT,
              "%-24s %6d %6.2f %7.1f%% %7.1f%% %10.0f %12.2f%n",
              names[strategy],
              size,
              harm,
              100.0 * results.stream().filter(SimulationResult::stopped).count() / deployments,
              100.0 * results.stream().filter(SimulationResult::done).count() / deployments,
              seconds[deployments / 2],
              results.stream().mapToDouble(SimulationResult::lostSeconds).average().orElse(0));
        }
      }
    }
  }
}
