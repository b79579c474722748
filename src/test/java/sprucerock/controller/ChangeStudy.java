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
 * How often good changes are stopped and bad ones missed, at several sizes of a fleet: changes and
 * watcher as they are, in simulated time, over relays whose traffic, paces, zones, cold starts and
 * troubles are drawn. Beside them three simpler ways on the same fleets. Not a test: {@code main}
 * prints the table of docs/change.md; arguments are how many good and how many bad changes, and the
 * most and the fewest relays.
 */
final class ChangeStudy {
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

  /** What became of one change. */
  private record Fate(boolean stopped, boolean done, double seconds, double lost) {}

  /** How relays are moved and judged. */
  private interface Way {
    /** A window is over; returns true once the change is over. */
    boolean tick(Fleet fleet, double nowMs);

    boolean stopped();
  }

  /** Relays as they are drawn; each tick makes their windows. */
  private static final class Fleet {
    final SplittableRandom random;
    final int size;
    final double harm;
    final double[] rate;
    final double[] unserved;
    final double[] latency;
    final double[] work;
    final double[] memory;
    final boolean[] fresh;
    final int[] startsIn;
    final double[] age;
    final Window[] total;
    final Window[] last;
    double lost;
    private final double[] zoneTrouble = new double[4]; // the fourth is everybody's
    private final int[] zoneTicks = new int[4];

    Fleet(long seed, int size, double harm) {
      random = new SplittableRandom(seed);
      this.size = size;
      this.harm = harm;
      rate = new double[size];
      unserved = new double[size];
      latency = new double[size];
      work = new double[size];
      memory = new double[size];
      fresh = new boolean[size];
      startsIn = new int[size];
      age = new double[size];
      total = new Window[size];
      last = new Window[size];
      for (int i = 0; i < size; i++) {
        rate[i] = 30 * Math.exp(0.7 * normal());
        unserved[i] = 0.01 * Math.exp(0.5 * normal());
        latency[i] = 60 * Math.exp(0.15 * normal());
        work[i] = 1.5 * Math.exp(0.1 * normal());
        memory[i] = 60 * Math.exp(0.05 * normal());
        age[i] = 1e6;
        total[i] = Window.NONE;
      }
    }

    double normal() {
      return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
          * Math.cos(2 * Math.PI * random.nextDouble());
    }

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
      fresh[i] = onNew;
      startsIn[i] = START_TICKS;
    }

    boolean ready(int i) {
      return startsIn[i] == 0;
    }

    void tick() {
      for (int z = 0; z < 4; z++) {
        if (zoneTicks[z] > 0) {
          zoneTicks[z]--;
        } else if (random.nextDouble() < 0.01) {
          zoneTicks[z] = 3 + random.nextInt(12);
          zoneTrouble[z] = 0.2 * random.nextDouble();
        }
      }
      double worth = 0;
      for (int i = 0; i < size; i++) {
        worth += rate[i];
      }
      for (int i = 0; i < size; i++) {
        last[i] = null;
        if (startsIn[i] > 0) {
          if (--startsIn[i] == 0) {
            age[i] = 0;
            total[i] = Window.NONE;
          }
          continue;
        }
        double cold = Math.exp(-age[i] / 6000);
        double trouble =
            (zoneTicks[i % 3] > 0 ? zoneTrouble[i % 3] : 0)
                + (zoneTicks[3] > 0 ? zoneTrouble[3] : 0);
        double p = Math.min(0.9, unserved[i] + 0.1 * cold + trouble + (fresh[i] ? harm : 0));
        double n = count(rate[i] * TICK_MS / 1000);
        double missed = Math.min(n, count(n * p));
        double answered = n - missed;
        double ms =
            answered
                * latency[i]
                * (1 + 4 * trouble + cold)
                * (1 + 0.8 / Math.sqrt(Math.max(answered, 1)) * normal());
        last[i] =
            new Window(
                n,
                n,
                answered,
                missed,
                0,
                0,
                answered,
                Math.max(answered, ms),
                n * work[i] * (1 + cold) * (1 + 0.02 * normal()) + 10,
                memory[i] * (0.8 + 0.2 * (1 - cold)) * (1 + 0.01 * normal()),
                20 + Math.sqrt(rate[i]) * 5,
                n * 0.3 + 2);
        total[i] = total[i].plus(last[i]);
        age[i] += TICK_MS;
        if (fresh[i]) {
          lost += harm * rate[i] / worth * TICK_MS / 1000;
        }
      }
    }
  }

  /** Changes and watcher as they are. */
  private static final class Ours
      implements Way, DeploymentManager.Listener, DeploymentMonitor.Listener {
    private final DeploymentManager deployments = new DeploymentManager(PLAN, this);
    private final DeploymentMonitor watcher = new DeploymentMonitor(deployments, this);
    private final Map<Integer, Integer> lives = new TreeMap<>();
    private final List<ManagedRelay> wants = new ArrayList<>();
    private double now;
    private int warm = 40;

    @Override
    public boolean tick(Fleet fleet, double nowMs) {
      now = nowMs;
      for (int i = 0; i < fleet.size; i++) {
        ManagedRelay relay = deployments.relay(i);
        Version runs = fleet.fresh[i] ? NEW : OLD;
        boolean ready = fleet.ready(i);
        if (relay == null || relay.ready() != ready || !relay.observedVersion().equals(runs)) {
          deployments.reportStatus(
              i,
              i % 3,
              relay != null && relay.busy(),
              runs,
              ready,
              relay == null ? 0 : relay.generation(),
              at(),
              0);
        }
        if (ready) {
          watcher.reportTotals(i, lives.getOrDefault(i, 0), 1, fleet.total[i]);
        }
      }
      watcher.closeWindow(TICK_MS);
      if (warm-- == 0) {
        deployments.propose("study", "", NEW, false, at(), 0);
        for (int i = 0; i < fleet.size; i++) {
          deployments.reportValidation(i, 1, "", at(), 0);
        }
      }
      deployments.tick(at(), 0);
      for (ManagedRelay one : wants) {
        if (one.generation() == 0) {
          continue;
        }
        fleet.restart(one.number, one.desiredVersion().equals(NEW));
        lives.merge(one.number, 1, Integer::sum);
        deployments.reportStatus(
            one.number,
            one.zone(),
            one.busy(),
            one.desiredVersion(),
            false,
            one.generation(),
            at(),
            0);
      }
      wants.clear();
      Deployment deployment = deployments.deployment(1);
      return deployment != null && !deployment.state().isOpen();
    }

    private Timestamp at() {
      return Timestamp.ofMs(now);
    }

    @Override
    public boolean stopped() {
      return deployments.deployment(1).state() == Deployment.State.GIVEN_UP;
    }

    @Override
    public void transitioned(Deployment deployment, Deployment.Transition step) {}

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      wants.add(relay);
    }

    @Override
    public void verdictChanged(Deployment deployment, Verdict verdict, String reason) {
      deployments.reportVerdict(deployment.number, deployment.stage(), verdict, reason, at(), 0);
    }

    @Override
    public void restartBudgetChanged(Map<Integer, Integer> byZone, String why) {
      deployments.setRestartBudget(byZone, why, at(), 0);
    }

    @Override
    public void busyChanged(int number, boolean is) {
      ManagedRelay relay = deployments.relay(number);
      deployments.reportStatus(
          number,
          relay.zone(),
          is,
          relay.observedVersion(),
          relay.ready(),
          relay.observedGeneration(),
          at(),
          0);
    }
  }

  /**
   * Stages of a fixed length; {@code shares} of one: all at once. Judged by averages against a
   * threshold, or not at all.
   */
  private static final class Simple implements Way {
    private static final int STAGE_TICKS = 30;
    private final double[] shares;
    private final double threshold;
    private final double[] sums = new double[4];
    private int stage = -1;
    private int ticks = STAGE_TICKS + 40;
    private boolean stopped;

    Simple(double threshold, double... shares) {
      this.shares = shares;
      this.threshold = threshold;
    }

    @Override
    public boolean tick(Fleet fleet, double nowMs) {
      for (int i = 0; i < fleet.size; i++) {
        if (fleet.last[i] == null || stage < 0) {
          continue;
        }
        sums[fleet.fresh[i] ? 0 : 2] += fleet.last[i].weight();
        sums[fleet.fresh[i] ? 1 : 3] += fleet.last[i].weightInTime();
      }
      if (--ticks > 0) {
        return false;
      }
      ticks = STAGE_TICKS;
      double worse = sums[0] > 0 && sums[2] > 0 ? sums[3] / sums[2] - sums[1] / sums[0] : 0;
      java.util.Arrays.fill(sums, 0);
      if (worse > threshold) {
        stopped = true;
        return true;
      }
      if (++stage == shares.length) {
        return true;
      }
      for (int i = 0; i < Math.max(1, shares[stage] * fleet.size); i++) {
        if (!fleet.fresh[i]) {
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

  private static Fate play(long seed, int size, double harm, Way way) {
    Fleet fleet = new Fleet(seed, size, harm);
    for (int tick = 1; tick < 20_000; tick++) {
      fleet.tick();
      if (way.tick(fleet, tick * TICK_MS)) {
        return new Fate(way.stopped(), !way.stopped(), (tick - 40) * TICK_MS / 1000, fleet.lost);
      }
    }
    return new Fate(false, false, 40_000, fleet.lost);
  }

  private static Way way(int which) {
    return switch (which) {
      case 0 -> new Ours();
      case 1 -> new Simple(Double.MAX_VALUE, 1);
      case 2 -> new Simple(Double.MAX_VALUE, 0.02, 0.15, 0.5, 1);
      default -> new Simple(0.01, 0.02, 0.15, 0.5, 1);
    };
  }

  public static void main(String[] args) {
    int good = args.length > 0 ? Integer.parseInt(args[0]) : 200;
    int bad = args.length > 1 ? Integer.parseInt(args[1]) : 50;
    int most = args.length > 2 ? Integer.parseInt(args[2]) : 1000;
    int least = args.length > 3 ? Integer.parseInt(args[3]) : 10;
    String[] names = {
      "side by side", "all at once", "fixed time a stage", "thresholds on averages"
    };
    System.out.printf(
        "%-24s %6s %6s %8s %8s %10s %12s%n",
        "way", "relays", "harm", "stopped", "done", "median s", "worth lost s");
    for (int size : new int[] {10, 100, 300, 1000}) {
      if (size > most || size < least) {
        continue;
      }
      for (double harm : new double[] {0, 0.01, 0.02, 0.05, 0.1}) {
        int plays = harm == 0 ? good : bad;
        for (int which = 0; which < names.length; which++) {
          int of = which;
          List<Fate> fates =
              IntStream.range(0, plays)
                  .parallel()
                  .mapToObj(seed -> play(1000L * size + seed, size, harm, way(of)))
                  .toList();
          double[] seconds = fates.stream().mapToDouble(Fate::seconds).sorted().toArray();
          System.out.printf(
              Locale.ROOT,
              "%-24s %6d %6.2f %7.1f%% %7.1f%% %10.0f %12.2f%n",
              names[which],
              size,
              harm,
              100.0 * fates.stream().filter(Fate::stopped).count() / plays,
              100.0 * fates.stream().filter(Fate::done).count() / plays,
              seconds[plays / 2],
              fates.stream().mapToDouble(Fate::lost).average().orElse(0));
        }
      }
    }
  }
}
