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
 * Holds relays that were moved beside those restarted with them, by the sums that their agents
 * tell. Windows are cut by the controller's clock alone, so a machine's own may be wrong. Nothing
 * here is kept: after a restart of the controller a stage is looked at anew, and what was said of
 * it before still stands in the changes' own record.
 */
public final class DeploymentMonitor {
  /** What it finds, told on change only. */
  public interface Listener {
    void verdictChanged(Deployment change, Verdict verdict, String reason);

    /**
     * How many of each zone may be out, and why none should be; empty where nothing speaks against
     * it.
     */
    void restartBudgetChanged(Map<Integer, Integer> byZone, String why);

    /** A relay carries more than most of the fleet now, or does not any more. */
    void busyChanged(int relay, boolean is);
  }

  private static final int HISTORY_WINDOWS =
      30; // windows of a relay's past: a minute where each is 2 s
  private static final int BASELINE_WINDOWS = 15;
  private static final double FALSE_ALARM =
      0.02; // of a whole change: one good one in fifty is stopped, at most

  private static final class RelayWindows {
    private long incarnation;
    private Window total;
    private Window totalAtClose;
    private long incarnationAtClose;

    /** The window just cut; null where the relay was away or began anew in it. */
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
  private Deployment active;
  private int stage;
  private Verdict lastVerdict = Verdict.NOT_SURE;
  private final RestartCapacity capacity = new RestartCapacity();
  private Map<Integer, Integer> reportTotals = Map.of();
  private String blockedReason = "";

  public DeploymentMonitor(DeploymentManager changes, Listener host) {
    this.deployments = changes;
    this.listener = host;
  }

  /**
   * A relay's sums so far in this life of it; another life has sums of its own. {@code cores}:
   * processors that it may use.
   */
  public void reportTotals(int number, long life, double cores, Window total) {
    if (deployments.relay(number) == null) {
      return; // as bounded as these are
    }
    RelayWindows seen = relays.computeIfAbsent(number, any -> new RelayWindows());
    seen.incarnation = life;
    seen.cores = Math.max(cores, 0.01);
    seen.total = total;
  }

  /** A window of that many milliseconds is over; each two seconds or so. */
  public void closeWindow(double ms) {
    for (RelayWindows seen : relays.values()) {
      boolean whole =
          seen.totalAtClose != null
              && seen.incarnation == seen.incarnationAtClose
              && seen.total != seen.totalAtClose;
      seen.window = whole ? seen.total.minus(seen.totalAtClose) : null;
      seen.totalAtClose = seen.total;
      seen.incarnationAtClose = seen.incarnation;
    }
    Deployment under = deployments.active();
    if (under != active || under != null && under.stage() != stage) {
      startStage(under);
    }
    if (under != null) {
      matchPairs(under);
    }
    compare();
    updateCapacity(ms);
    if (under == null) {
      updateBusy();
    }
    for (Map.Entry<Integer, RelayWindows> one : relays.entrySet()) {
      RelayWindows seen = one.getValue();
      if (seen.window == null || pairs.containsKey(one.getKey())) {
        continue;
      }
      seen.history.addLast(seen.window);
      if (seen.history.size() > HISTORY_WINDOWS) {
        seen.history.removeFirst();
      }
    }
  }

  private void startStage(Deployment under) {
    if (under != active) {
      pairs.clear();
      DeploymentPlan plan = deployments.plan();
      comparison =
          under == null
              ? null
              : new Comparison(
                  FALSE_ALARM,
                  plan.stages().stream().mapToDouble(DeploymentPlan.Stage::maxLoss).toArray());
      if (under == null) {
        baseline.reset();
      }
    }
    if (under != null) {
      baseline.stageStarted();
    }
    active = under;
    stage = under == null ? 0 : under.stage();
    lastVerdict = Verdict.NOT_SURE;
  }

  /** Pairs that are new have their past told first; those that are none any more end. */
  private void matchPairs(Deployment under) {
    for (Iterator<Pair> each = pairs.values().iterator(); each.hasNext(); ) {
      Pair held = each.next();
      Integer control = under.controls().get(held.updated);
      if (control == null || control != held.control) {
        each.remove();
      }
    }
    under
        .controls()
        .forEach(
            (moved, control) -> {
              if (pairs.containsKey(moved)) {
                return;
              }
              MatchedWindows couple = comparison.newPair();
              RelayWindows one = relays.get(moved);
              RelayWindows other = relays.get(control);
              if (one != null && other != null) {
                Iterator<Window> stays =
                    other.history.descendingIterator(); // both end now, whichever is longer
                for (Iterator<Window> changing = one.history.descendingIterator();
                    changing.hasNext() && stays.hasNext(); ) {
                  couple.recordBefore(changing.next(), stays.next());
                }
              }
              pairs.put(moved, new Pair(moved, control, couple));
            });
  }

  private void compare() {
    for (Pair held : pairs.values()) {
      if (!runsVersion(held.updated, active.toVersion)
          || !runsVersion(held.control, active.fromVersion)) {
        continue;
      }
      Window moved = relays.get(held.updated).window;
      Window control = relays.get(held.control).window;
      if (moved != null && control != null) {
        held.windows.recordAfter(moved, control);
      }
    }
    boolean looks =
        active != null
            && (active.state() == Deployment.State.MOVING
                || active.state() == Deployment.State.WATCHED);
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
    listener.verdictChanged(active, now, comparison.explanation());
  }

  private boolean runsVersion(int number, sprucerock.controller.deployment.Version version) {
    ManagedRelay relay = deployments.relay(number);
    return relays.containsKey(number)
        && relay.ready()
        && !relay.unreachable()
        && relay.observedVersion().equals(version);
  }

  /**
   * Those that did not change, held against themselves before the stage; and what the fleet can
   * spare.
   */
  private void updateCapacity(double ms) {
    Window all = Window.NONE;
    for (Map.Entry<Integer, RelayWindows> one : relays.entrySet()) {
      boolean changed =
          active != null
              && (active.updated().contains(one.getKey())
                  || active.controls().containsValue(one.getKey()));
      RelayWindows seen = one.getValue();
      if (seen.window == null) {
        continue;
      }
      if (!changed) {
        all = all.plus(seen.window);
      }
      capacity.record(
          deployments.relay(one.getKey()).zone(),
          seen.window.workMs() / ms / seen.cores,
          seen.window.rpcs());
    }
    baseline.record(all);
    Map<Integer, Integer> byZone = capacity.closeWindow();
    String why =
        active != null && baseline.windowsBelowBaseline() > 0
            ? baseline.explanation()
            : capacity.blockedReason();
    boolean open = active != null || deployments.pending() != null;
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

  /** Busy are those well over the median; nobody changes sides for what is chance. */
  private void updateBusy() {
    double[] rates = new double[relays.size()];
    int count = 0;
    for (RelayWindows seen : relays.values()) {
      if (seen.window != null) {
        seen.smoothedRpcs += 0.1 * (seen.window.rpcs() - seen.smoothedRpcs);
      }
      rates[count++] = seen.smoothedRpcs;
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
