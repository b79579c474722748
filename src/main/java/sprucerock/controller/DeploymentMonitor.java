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
 * Compares updated relays with their control group by the totals that agents report. Windows are
 * closed by the controller's clock alone, so the clocks of the relays' machines may be wrong.
 * Nothing here is stored: after a restart of the controller the comparison of a stage starts again,
 * while the last verdict on the stage is kept in the deployment's record.
 */
public final class DeploymentMonitor {
  /** Is notified of the monitor's findings, only when they change. */
  public interface Listener {
    /** Called when the verdict on a deployment's stage changes. */
    void verdictChanged(Deployment deployment, Verdict verdict, String reason);

    /**
     * Called when the restart budget changes.
     *
     * @param byZone how many relays of each zone may be restarting at once
     * @param blockedReason why no relay should be restarted; empty if restarts may go on
     */
    void restartBudgetChanged(Map<Integer, Integer> byZone, String blockedReason);

    /**
     * Called when a relay becomes busy, with clearly more RPCs than the median, or stops being so.
     */
    void busyChanged(int relay, boolean busy);
  }

  /** One minute of windows of 2 s. */
  private static final int HISTORY_WINDOWS = 30;

  private static final int BASELINE_WINDOWS = 15;

  /** At most one good deployment in fifty is stopped. */
  private static final double FALSE_ALARM_PROBABILITY = 0.02;

  private static final class RelayWindows {
    private long incarnation;

    /** The totals reported last. */
    private Window total;

    /** The totals reported last when the previous window was closed. */
    private Window totalAtClose;

    private long incarnationAtClose;

    /** The window closed last; null if the relay reported no totals in it or restarted. */
    private Window window;

    private double cores = 1;

    /** The moving average of RPCs per window, updated only while no deployment is active. */
    private double smoothedRpcs;

    private final ArrayDeque<Window> history = new ArrayDeque<>();
  }

  /** The numbers of an updated relay and of its control, and their windows. */
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
  private Map<Integer, Integer> restartBudgetByZone = Map.of();
  private String blockedReason = "";

  /**
   * Creates a monitor of one manager's deployments; it calls the listener on the engine's thread.
   */
  public DeploymentMonitor(DeploymentManager deployments, Listener listener) {
    this.deployments = deployments;
    this.listener = listener;
  }

  /**
   * Records a relay's totals since the start of its incarnation.
   *
   * @param incarnation the relay's incarnation, as totals start again with each
   * @param cores the number of processors that the relay may use
   */
  public void reportTotals(int number, long incarnation, double cores, Window total) {
    // Ignoring unknown relays bounds the map by the number of managed relays.
    if (deployments.relay(number) == null) {
      return;
    }
    RelayWindows windows = relays.computeIfAbsent(number, key -> new RelayWindows());
    windows.incarnation = incarnation;
    windows.cores = Math.max(cores, 0.01);
    windows.total = total;
  }

  /**
   * Closes a window; to be called about every two seconds.
   *
   * @param windowMs the length of the window
   */
  public void closeWindow(double windowMs) {
    for (RelayWindows windows : relays.values()) {
      boolean complete =
          windows.totalAtClose != null
              && windows.incarnation == windows.incarnationAtClose
              && windows.total != windows.totalAtClose;
      windows.window = complete ? windows.total.minus(windows.totalAtClose) : null;
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
    updateCapacity(windowMs);
    if (current == null) {
      updateBusy();
    }
    for (Map.Entry<Integer, RelayWindows> entry : relays.entrySet()) {
      RelayWindows windows = entry.getValue();
      if (windows.window == null || pairs.containsKey(entry.getKey())) {
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

  /**
   * Removes pairs that the deployment no longer has. Adds a pair for each newly updated relay, and
   * records the windows of both relays from before the update.
   */
  private void matchPairs(Deployment current) {
    for (Iterator<Pair> iterator = pairs.values().iterator(); iterator.hasNext(); ) {
      Pair pair = iterator.next();
      Integer control = current.controls().get(pair.updated);
      if (control == null || control != pair.control) {
        iterator.remove();
      }
    }
    current
        .controls()
        .forEach(
            (updated, control) -> {
              if (pairs.containsKey(updated)) {
                return;
              }
              MatchedWindows pairWindows = comparison.newPair();
              RelayWindows updatedRelay = relays.get(updated);
              RelayWindows controlRelay = relays.get(control);
              if (updatedRelay != null && controlRelay != null) {
                // The histories may differ in length, so their windows are matched from the latest.
                Iterator<Window> controlWindows = controlRelay.history.descendingIterator();
                for (Iterator<Window> updatedWindows = updatedRelay.history.descendingIterator();
                    updatedWindows.hasNext() && controlWindows.hasNext(); ) {
                  pairWindows.recordBefore(updatedWindows.next(), controlWindows.next());
                }
              }
              pairs.put(updated, new Pair(updated, control, pairWindows));
            });
  }

  private void compare() {
    for (Pair pair : pairs.values()) {
      if (!runsVersion(pair.updated, activeDeployment.toVersion)
          || !runsVersion(pair.control, activeDeployment.fromVersion)) {
        continue;
      }
      Window updated = relays.get(pair.updated).window;
      Window control = relays.get(pair.control).window;
      if (updated != null && control != null) {
        pair.windows.recordAfter(updated, control);
      }
    }
    boolean comparing =
        activeDeployment != null
            && (activeDeployment.state() == Deployment.State.MOVING
                || activeDeployment.state() == Deployment.State.WATCHED);
    if (!comparing) {
      return;
    }
    Verdict verdict =
        switch (comparison.result(stage)) {
          case WORSE -> Verdict.WORSE;
          case NO_WORSE -> Verdict.NO_WORSE;
          case NOT_SURE -> Verdict.NOT_SURE;
        };
    if (verdict == lastVerdict) {
      return;
    }
    lastVerdict = verdict;
    listener.verdictChanged(activeDeployment, verdict, comparison.explanation());
  }

  private boolean runsVersion(int number, sprucerock.controller.deployment.Version version) {
    ManagedRelay relay = deployments.relay(number);
    return relays.containsKey(number)
        && relay.ready()
        && !relay.unreachable()
        && relay.observedVersion().equals(version);
  }

  /**
   * Compares the relays that were not updated with their own baseline before the stage, and
   * estimates how many relays the fleet can spare.
   */
  private void updateCapacity(double windowMs) {
    Window unaffected = Window.NONE;
    for (Map.Entry<Integer, RelayWindows> entry : relays.entrySet()) {
      boolean affected =
          activeDeployment != null
              && (activeDeployment.updated().contains(entry.getKey())
                  || activeDeployment.controls().containsValue(entry.getKey()));
      RelayWindows windows = entry.getValue();
      if (windows.window == null) {
        continue;
      }
      if (!affected) {
        unaffected = unaffected.plus(windows.window);
      }
      capacity.record(
          deployments.relay(entry.getKey()).zone(),
          windows.window.workMs() / windowMs / windows.cores,
          windows.window.rpcs());
    }
    baseline.record(unaffected);
    Map<Integer, Integer> byZone = capacity.closeWindow();
    String newBlockedReason =
        activeDeployment != null && baseline.windowsBelowBaseline() > 0
            ? baseline.explanation()
            : capacity.blockedReason();
    boolean deploymentOpen = activeDeployment != null || deployments.pending() != null;
    // The figures in the reason differ in each window, so a new text alone is not a change.
    boolean unchanged =
        byZone.equals(restartBudgetByZone) && newBlockedReason.isEmpty() == blockedReason.isEmpty();
    if (!deploymentOpen || unchanged) {
      return;
    }
    restartBudgetByZone = byZone;
    blockedReason = newBlockedReason;
    listener.restartBudgetChanged(byZone, newBlockedReason);
  }

  /**
   * Updates which relays are busy: a relay becomes busy above 1.3 times the median of RPCs, and
   * stops being busy below 1.1 times. The gap keeps noise from switching a relay back and forth.
   */
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
    for (Map.Entry<Integer, RelayWindows> entry : relays.entrySet()) {
      boolean busy = deployments.relay(entry.getKey()).busy();
      double rate = entry.getValue().smoothedRpcs;
      if (!busy && rate > 1.3 * median) {
        listener.busyChanged(entry.getKey(), true);
      } else if (busy && rate < 1.1 * median) {
        listener.busyChanged(entry.getKey(), false);
      }
    }
  }
}
