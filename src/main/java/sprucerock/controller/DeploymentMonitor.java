package sprucerock.controller;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.controller.comparison.BaselineLevel;
import sprucerock.controller.comparison.Comparison;
import sprucerock.controller.comparison.MatchedWindows;
import sprucerock.controller.comparison.Window;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Verdict;

/**
 * Compares updated relays with their controls, by the totals that agents report. Windows are closed
 * by the controller's clock alone, so a machine's own may be wrong. Nothing here is stored: after a
 * restart of the controller a stage is compared anew, and the verdict on it so far stands in the
 * deployment's record.
 */
public final class DeploymentMonitor {
  /** Hears what the monitor finds, on change only. */
  public interface Listener {
    /** The comparison of a deployment's stage has another verdict. */
    void verdictChanged(Deployment deployment, Verdict verdict, String reason);

    /**
     * How many of each zone may be out, and why none should be; empty where nothing speaks against
     * it.
     */
    void restartBudgetChanged(Map<Integer, Integer> byZone, String why);

    /** A relay carries more than most of the fleet now, or does not any more. */
    void busyChanged(int relay, boolean is);
  }

  private static final int HISTORY_WINDOWS = 30; // a minute where each is 2 s
  private static final int BASELINE_WINDOWS = 15;
  private static final double FALSE_ALARM_PROBABILITY =
      0.02; // one good deployment in fifty is stopped, at most

  private static final class RelayWindows {
    private long incarnation;
    private Window total;
    private Window totalAtClose;
    private long incarnationAtClose;

    /** The window just closed; null where the relay was away or restarted in it. */
    private Window window;

    private double cores = 1;
    private double smoothedRpcs;
    private final ArrayDeque<Window> history = new ArrayDeque<>();
  }

  private record Pair(int updated, int control, MatchedWindows windows) {}

  private final DeploymentManager deployments;
  private final Listener listener;
  private final TreeMap<Integer, RelayWindows> relays = new TreeMap<>();
  private final Map<Integer, Pair> pairs = new LinkedHashMap<>();
  private Comparison comparison;
  private final BaselineLevel baseline = new BaselineLevel(BASELINE_WINDOWS);
  private Deployment activeDeployment;
  private int stage;
  private Verdict lastVerdict = Verdict.NOT_SURE;
  private final RestartCapacity capacity = new RestartCapacity();
  private Map<Integer, Integer> reportTotals = Map.of();
  private String blockedReason = "";

  /** Watches the deployments of one manager; the listener is called on the engine's thread. */
  public DeploymentMonitor(DeploymentManager deployments, Listener listener) {
    this.deployments = deployments;
    this.listener = listener;
  }

  /**
   * A relay's totals so far in an incarnation of it, which has totals of its own. {@code cores}:
   * processors that it may use.
   */
  public void reportTotals(int number, long incarnation, double cores, Window total) {
    if (deployments.relay(number) == null) {
      return; // as bounded as these are
    }
    RelayWindows windows = relays.computeIfAbsent(number, any -> new RelayWindows());
    windows.incarnation = incarnation;
    windows.cores = Math.max(cores, 0.01);
    windows.total = total;
  }

  /** A window of that many milliseconds is over; called each two seconds or so. */
  public void closeWindow(double ms) {
    for (RelayWindows windows : relays.values()) {
      boolean whole =
          windows.totalAtClose != null
              && windows.incarnation == windows.incarnationAtClose
              && windows.total != windows.totalAtClose;
      windows.window = whole ? windows.total.minus(windows.totalAtClose) : null;
      windows.totalAtClose = windows.total;
      windows.incarnationAtClose = windows.incarnation;
    }
    Deployment current = deployments.active();
    if (current != activeDeployment || current != null && current.stage() != stage) {
      startStage(current);
    }
    if (current != null) {
      matchPairs(current);
    }
    compare();
    updateCapacity(ms);
    if (current == null) {
      updateBusy();
    }
    for (Map.Entry<Integer, RelayWindows> one : relays.entrySet()) {
      RelayWindows windows = one.getValue();
      if (windows.window == null || pairs.containsKey(one.getKey())) {
        continue;
      }
      windows.history.addLast(windows.window);
      if (windows.history.size() > HISTORY_WINDOWS) {
        windows.history.removeFirst();
      }
    }
  }

  private void startStage(Deployment current) {
    if (current != activeDeployment) {
      pairs.clear();
      DeploymentPlan plan = deployments.plan();
      comparison =
          current == null
              ? null
              : new Comparison(
                  FALSE_ALARM_PROBABILITY,
                  plan.stages().stream().mapToDouble(DeploymentPlan.Stage::maxLoss).toArray());
      if (current == null) {
        baseline.reset();
      }
    }
    if (current != null) {
      baseline.stageStarted();
    }
    activeDeployment = current;
    stage = current == null ? 0 : current.stage();
    lastVerdict = Verdict.NOT_SURE;
  }

  /** New pairs begin with their history; those that are none any more end. */
  private void matchPairs(Deployment current) {
    for (Iterator<Pair> each = pairs.values().iterator(); each.hasNext(); ) {
      Pair pair = each.next();
      Integer control = current.controls().get(pair.updated);
      if (control == null || control != pair.control) {
        each.remove();
      }
    }
    current
        .controls()
        .forEach(
            (moved, control) -> {
              if (pairs.containsKey(moved)) {
                return;
              }
              MatchedWindows pairWindows = comparison.newPair();
              RelayWindows one = relays.get(moved);
              RelayWindows other = relays.get(control);
              if (one != null && other != null) {
                Iterator<Window> stays =
                    other.history.descendingIterator(); // both end now, whichever is longer
                for (Iterator<Window> changing = one.history.descendingIterator();
                    changing.hasNext() && stays.hasNext(); ) {
                  pairWindows.recordBefore(changing.next(), stays.next());
                }
              }
              pairs.put(moved, new Pair(moved, control, pairWindows));
            });
  }

  private void compare() {
    for (Pair pair : pairs.values()) {
      if (!runsVersion(pair.updated, activeDeployment.toVersion)
          || !runsVersion(pair.control, activeDeployment.fromVersion)) {
        continue;
      }
      Window moved = relays.get(pair.updated).window;
      Window control = relays.get(pair.control).window;
      if (moved != null && control != null) {
        pair.windows.recordAfter(moved, control);
      }
    }
    boolean looks =
        activeDeployment != null
            && (activeDeployment.state() == Deployment.State.MOVING
                || activeDeployment.state() == Deployment.State.WATCHED);
    if (!looks) {
      return;
    }
    Verdict now =
        switch (comparison.result(stage)) {
          case WORSE -> Verdict.WORSE;
          case NO_WORSE -> Verdict.NO_WORSE;
          case NOT_SURE -> Verdict.NOT_SURE;
        };
    if (now == lastVerdict) {
      return;
    }
    lastVerdict = now;
    listener.verdictChanged(activeDeployment, now, comparison.explanation());
  }

  private boolean runsVersion(int number, sprucerock.controller.deployment.Version version) {
    ManagedRelay relay = deployments.relay(number);
    return relays.containsKey(number)
        && relay.ready()
        && !relay.unreachable()
        && relay.observedVersion().equals(version);
  }

  /**
   * Compares the relays that were not updated with themselves before the stage, and reckons what
   * the fleet can spare.
   */
  private void updateCapacity(double ms) {
    Window all = Window.NONE;
    for (Map.Entry<Integer, RelayWindows> one : relays.entrySet()) {
      boolean changed =
          activeDeployment != null
              && (activeDeployment.updated().contains(one.getKey())
                  || activeDeployment.controls().containsValue(one.getKey()));
      RelayWindows windows = one.getValue();
      if (windows.window == null) {
        continue;
      }
      if (!changed) {
        all = all.plus(windows.window);
      }
      capacity.record(
          deployments.relay(one.getKey()).zone(),
          windows.window.workMs() / ms / windows.cores,
          windows.window.rpcs());
    }
    baseline.record(all);
    Map<Integer, Integer> byZone = capacity.closeWindow();
    String why =
        activeDeployment != null && baseline.windowsBelowBaseline() > 0
            ? baseline.explanation()
            : capacity.blockedReason();
    boolean open = activeDeployment != null || deployments.pending() != null;
    boolean same =
        byZone.equals(reportTotals)
            && why.isEmpty()
                == blockedReason
                    .isEmpty(); // why may be told anew with each window; that it is, once
    if (!open || same) {
      return;
    }
    reportTotals = byZone;
    blockedReason = why;
    listener.restartBudgetChanged(byZone, why);
  }

  /** Busy relays are those well over the median; a gap keeps chance from changing sides. */
  private void updateBusy() {
    double[] rates = new double[relays.size()];
    int count = 0;
    for (RelayWindows windows : relays.values()) {
      if (windows.window != null) {
        windows.smoothedRpcs += 0.1 * (windows.window.rpcs() - windows.smoothedRpcs);
      }
      rates[count++] = windows.smoothedRpcs;
    }
    Arrays.sort(rates);
    double median = count == 0 ? 0 : rates[count / 2];
    for (Map.Entry<Integer, RelayWindows> one : relays.entrySet()) {
      boolean busy = deployments.relay(one.getKey()).busy();
      double rate = one.getValue().smoothedRpcs;
      if (!busy && rate > 1.3 * median) {
        listener.busyChanged(one.getKey(), true);
      } else if (busy && rate < 1.1 * median) {
        listener.busyChanged(one.getKey(), false);
      }
    }
  }
}
