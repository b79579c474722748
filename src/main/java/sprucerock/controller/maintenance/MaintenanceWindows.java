package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import sprucerock.controller.maintenance.AnnounceResult.Announced;
import sprucerock.controller.maintenance.AnnounceResult.Rejected;
import sprucerock.controller.maintenance.MaintenanceWindow.State;
import sprucerock.hardware.CapacityTranslator;
import sprucerock.hardware.HardwareModel;

/**
 * All maintenance windows and their transitions: told what happened and that it is now so late by
 * the wall clock. A deterministic state machine: it reads no clock, writes nothing and notifies its
 * {@link Listener} alone. Not thread-safe.
 *
 * <p>A grant to a relay says of each rack until when it may place work there. It reaches the rack's
 * notice ahead at most, and never into a window that is known. So a window that was accepted its
 * racks' notice before it begins is in force in that moment, whichever relay is disconnected
 * meanwhile; one that comes sooner is in force once each relay has said that it holds a grant
 * without it, or a notice after it was accepted, when all others have expired. No list of relays
 * has to outlive a crash for that.
 */
public final class MaintenanceWindows {
  /** Is notified of changes, from within the call that made them. */
  public interface Listener {
    /** A window made a step; its state is the new one. */
    void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step);

    /** Relays should learn of new grants now. */
    void permitsChanged();
  }

  /**
   * How windows are dealt with; the same at all controllers of a fleet.
   *
   * @param warmUpMs how long units that come back count as cold, 0 at least
   * @param delayStepMs by which a window is delayed until there is capacity, over 0
   * @param confidence with which families are compared, over 0.5 and under 1
   */
  public record Rules(long warmUpMs, long delayStepMs, double confidence) {
    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if one is exceeded; the message says which
     */
    public Rules {
      if (warmUpMs < 0 || delayStepMs <= 0) {
        throw new IllegalArgumentException("step is over 0");
      }
      if (!(confidence > 0.5 && confidence < 1)) {
        throw new IllegalArgumentException("confidence is over 0.5 and under 1");
      }
    }
  }

  /** Windows that may be open at a time. */
  public static final int MAX_OPEN = 1000;

  /** Windows that are kept, with those that are over, of which the oldest go first. */
  private static final int MAX_KEPT = 2000;

  /** Operators that have to agree before a window begins without capacity. */
  private static final int FORCE_APPROVALS = 2;

  private final Rules rules;
  private final CapacityCheck capacityCheck;
  private final Listener listener;
  private final WindowLifecycle lifecycle;
  private final WindowIndex index;
  private final CapacityPlanner planner;
  private long sequence;
  private long lastNumber;
  private long nowMs;
  private HardwareModel model;

  /** One without windows, over the racks of {@code capacity}. */
  public MaintenanceWindows(Rules rules, CapacityCheck capacity, Listener listener) {
    this.rules = rules;
    this.capacityCheck = capacity;
    this.listener = listener;
    lifecycle = new WindowLifecycle(rules.warmUpMs());
    index = new WindowIndex(lifecycle, capacity.racks());
    planner = new CapacityPlanner(index, capacity, rules);
  }

  /** One without racks, for a controller whose configuration has none. */
  public static MaintenanceWindows withoutRacks() {
    return new MaintenanceWindows(
        new Rules(0, 1, 0.9),
        new CapacityCheck(List.of(), Map.of(), 0),
        new Listener() {
          @Override
          public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
            // there is none
          }

          @Override
          public void permitsChanged() {
            // nobody holds one
          }
        });
  }

  /** The time to go on with: a wall clock that was set back stands still until it is past. */
  public long advanceClock(long wallMs) {
    nowMs = Math.max(nowMs, wallMs);
    return nowMs;
  }

  /** Windows that are kept, by their numbers. */
  public Collection<MaintenanceWindow> all() {
    return index.all();
  }

  /** Null: none has that number, or it was dropped long after its end. */
  public MaintenanceWindow find(long number) {
    return index.find(number);
  }

  /** Counts up with each step, that is with all that relays should know. */
  public long sequence() {
    return sequence;
  }

  /** What is needed for the load, and the racks. */
  public CapacityCheck capacityCheck() {
    return capacityCheck;
  }

  /** A window is wanted, or one that recurs: of that, each of the next two weeks. */
  public AnnounceResult announce(MaintenanceRequest request, long nowMs) {
    String wrong = validationError(request);
    if (wrong != null) {
      return new Rejected(wrong);
    }
    long open = index.all().stream().filter(one -> one.state().isOpen()).count();
    List<Long> starts;
    try {
      starts =
          request.emergency()
              ? List.of(nowMs)
              : RecurrenceExpander.expand(
                  nowMs, request.startMs(), request.recurrenceRule(), request.timeZone());
    } catch (IllegalArgumentException e) {
      return new Rejected(e.getMessage());
    }
    if (starts.isEmpty()) {
      return new Rejected("it would begin in the past, or not within two weeks");
    }
    if (open + starts.size() > MAX_OPEN) {
      return new Rejected(MAX_OPEN + " freezes are open already");
    }
    List<Long> numbers = new ArrayList<>();
    long series = starts.size() > 1 ? lastNumber + 1 : 0;
    for (long startMs : starts) {
      numbers.add(add(request, startMs, series, nowMs));
    }
    index.dropOldest(MAX_KEPT);
    applyDueTransitions(nowMs);
    return new Announced(numbers);
  }

  /** Null: nothing. */
  private String validationError(MaintenanceRequest request) {
    Set<String> unknown = new TreeSet<>(request.racks());
    unknown.removeAll(capacityCheck.racks().keySet());
    if (request.racks().isEmpty()) {
      return "a freeze is of one rack at least";
    }
    if (!unknown.isEmpty()) {
      return "no rack is called " + unknown + "; there are " + capacityCheck.racks().keySet();
    }
    if (request.durationMs() <= 0) {
      return "a window lasts longer than no time";
    }
    if (request.emergency() && !request.recurrenceRule().isEmpty()) {
      return "what comes again is no emergency";
    }
    return null;
  }

  private long add(MaintenanceRequest request, long startMs, long series, long nowMs) {
    MaintenanceWindow window =
        new MaintenanceWindow(
            ++lastNumber,
            request.racks(),
            startMs,
            startMs + request.durationMs(),
            request.emergency() ? 0 : request.slackMs(),
            request.emergency(),
            series,
            request.operator(),
            request.reason());
    index.add(window);
    transition(
        window,
        State.ANNOUNCED,
        "announced by " + request.operator() + ": " + request.reason(),
        nowMs);
    if (request.emergency()) {
      accept(window, "an emergency does not wait for room", nowMs);
    } else {
      acceptWhereItFits(window, nowMs);
    }
    return window.number;
  }

  /** As wanted, or as much later as its slack allows; else it is refused with what is short. */
  private void acceptWhereItFits(MaintenanceWindow window, long nowMs) {
    CapacityPlanner.Slot slot = planner.firstSlot(window);
    if (!slot.found()) {
      transition(window, State.REFUSED, slot.shortage(), nowMs);
      return;
    }
    window.delay(slot.delayMs());
    String cause =
        slot.delayMs() == 0
            ? "there is room"
            : "delayed by " + slot.delayMs() / 60_000 + " min: " + slot.shortage();
    accept(window, cause, nowMs);
  }

  private void accept(MaintenanceWindow window, String cause, long nowMs) {
    window.setBindingSince(nowMs);
    transition(window, State.ACCEPTED, cause, nowMs);
    listener.permitsChanged();
  }

  /**
   * Ends a window that is under way, or cancels one that is to come.
   *
   * @return null, or why it has no effect
   */
  public String cancel(long number, String operator, String reason, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window == null) {
      return unknown(number);
    }
    if (!window.state().isOpen() || window.state() == State.ENDING) {
      return "freeze " + number + " is over or as good as over: " + window.state();
    }
    boolean began = window.state() == State.IN_FORCE || window.state() == State.DRAINING;
    if (began) {
      window.setEndMs(Math.min(window.endMs(), nowMs));
    }
    transition(
        window,
        began ? State.ENDING : State.CALLED_OFF,
        "called off by " + operator + ": " + reason,
        nowMs);
    listener.permitsChanged();
    applyDueTransitions(nowMs);
    return null;
  }

  /**
   * A window lasts until later; where there is no capacity for that, it ends as it would.
   *
   * @return null, or why it has no effect
   */
  public String extend(long number, long toMs, String operator, String reason, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window == null) {
      return unknown(number);
    }
    if (!window.state().isBinding() && window.state() != State.HELD) {
      return "freeze " + number + " can't be extended: " + window.state();
    }
    if (toMs <= window.endMs()) {
      return "it lasts until then already";
    }
    String shortage =
        window.emergency ? null : planner.shortage(window, Math.max(window.endMs(), nowMs), toMs);
    if (shortage != null) {
      return "there is no room for that: " + shortage;
    }
    window.setEndMs(toMs);
    transition(window, window.state(), "extended by " + operator + ": " + reason, nowMs);
    listener.permitsChanged();
    return null;
  }

  /**
   * A window that is held begins although there is no capacity, once two different operators said
   * so.
   *
   * @return null, or why it has no effect
   */
  public String force(long number, String operator, String reason, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window == null) {
      return unknown(number);
    }
    if (window.state() != State.HELD) {
      return "freeze " + number + " is not held: " + window.state();
    }
    if (window.approve(operator) < FORCE_APPROVALS) {
      transition(
          window,
          State.HELD,
          "forced by " + operator + ": " + reason + "; another operator has to say so too",
          nowMs);
    } else {
      accept(window, "forced by " + window.forcedBy() + ": " + reason, nowMs);
    }
    applyDueTransitions(nowMs);
    return null;
  }

  private static String unknown(long number) {
    return "no freeze " + number + " is known";
  }

  /** A rack died or is back: what was accepted may not fit any more. */
  public void setRackDown(String rack, boolean down, long nowMs) {
    if (capacityCheck.racks().containsKey(rack) && capacityCheck.setDown(rack, down)) {
      review(nowMs);
    }
  }

  /** This share of all units serves a canary: what was accepted may not fit any more. */
  public void setCanaryShare(double share, long nowMs) {
    if (share == capacityCheck.canaryShare()) {
      return;
    }
    capacityCheck.setCanaryShare(share);
    review(nowMs);
  }

  /**
   * What families of hardware are worth by now: what was accepted may not fit any more.
   *
   * @return false where it is older than what is known
   */
  public boolean updateModel(HardwareModel newer, long nowMs) {
    if (!newer.isNewerThan(model)) {
      return false;
    }
    restoreModel(newer);
    review(nowMs);
    return true;
  }

  /** The last model; null: there is none yet. */
  public HardwareModel model() {
    return model;
  }

  /** Restores the last model, without a review; null: there is none yet. */
  public void restoreModel(HardwareModel known) {
    model = known;
    capacityCheck.setTranslator(
        known == null ? null : new CapacityTranslator(known, List.of(), rules.confidence()));
  }

  /** Holds windows that don't fit any more, and accepts those that do again. */
  private void review(long nowMs) {
    for (MaintenanceWindow one : List.copyOf(index.all())) {
      boolean waits = one.state() == State.ACCEPTED || one.state() == State.HELD;
      if (!waits || one.emergency || one.forcedBy().size() >= FORCE_APPROVALS) {
        continue;
      }
      String shortage = planner.shortage(one, Math.max(one.startMs(), nowMs), one.endMs());
      if (one.state() == State.ACCEPTED && shortage != null) {
        transition(one, State.HELD, shortage, nowMs);
        listener.permitsChanged();
      } else if (one.state() == State.HELD && shortage == null) {
        accept(one, "there is room again", nowMs);
      }
    }
    applyDueTransitions(nowMs);
  }

  /**
   * No relay holds a grant into it any more, as {@link PlacementGrants#windowsWithPermitsReturned}
   * found.
   */
  public void permitsReturned(long number, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window != null && window.state() == State.DRAINING) {
      transition(window, State.IN_FORCE, "every relay has given its promise back", nowMs);
      listener.permitsChanged();
    }
    applyDueTransitions(nowMs);
  }

  /** Makes all transitions that are due by time. */
  public void tick(long nowMs) {
    applyDueTransitions(nowMs);
  }

  /** Whether a tick would change anything. */
  public boolean isDue(long wallMs) {
    return index.isDue(Math.max(nowMs, wallMs));
  }

  private void applyDueTransitions(long nowMs) {
    for (MaintenanceWindow one : index.due(nowMs)) {
      State next = lifecycle.nextState(one, nowMs);
      while (next != null) {
        transition(one, next, WindowLifecycle.cause(one.state(), next), nowMs);
        listener.permitsChanged();
        next = lifecycle.nextState(one, nowMs);
      }
    }
  }

  private void transition(MaintenanceWindow window, State to, String cause, long nowMs) {
    index.leave(window);
    window.setState(to);
    index.enter(window);
    MaintenanceWindow.Step step = new MaintenanceWindow.Step(++sequence, nowMs, to, cause);
    window.add(step);
    listener.transitioned(window, step);
  }

  /** From when on no grant that was ever given can reach into it, in ms of the wall clock. */
  public long permitExpiryMs(MaintenanceWindow window) {
    return window.permitExpiryMs();
  }

  /** Entries that were examined so far to answer relays and to see what time changes. */
  public long entriesExamined() {
    return index.entriesExamined();
  }

  WindowIndex index() {
    return index;
  }

  /** All that is to be stored but for the model. */
  MaintenanceState capture() {
    return new MaintenanceState(
        sequence,
        lastNumber,
        List.copyOf(capacityCheck.downRacks()),
        capacityCheck.canaryShare(),
        nowMs,
        index.all().stream().map(MaintenanceState.Window::of).toList());
  }

  /** Into one without windows; racks that the configuration no longer has bind nobody. */
  void restore(MaintenanceState stored) {
    sequence = stored.sequence();
    lastNumber = stored.lastWindowNumber();
    nowMs = stored.nowMs();
    capacityCheck.setCanaryShare(stored.canaryShare());
    for (String rack : stored.downRacks()) {
      capacityCheck.setDown(rack, true);
    }
    for (MaintenanceState.Window one : stored.windows()) {
      index.add(MaintenanceWindow.restored(one));
    }
  }
}
