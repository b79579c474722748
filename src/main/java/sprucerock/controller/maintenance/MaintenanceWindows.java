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
 * Owns all maintenance windows and makes their transitions. A deterministic state machine: events
 * and the wall-clock time are passed in. It reads no clock, does no I/O and notifies only its
 * {@link Listener}. Not thread-safe.
 *
 * <p>A rack permit tells a relay until when it may place work on a rack. A permit lasts at most for
 * the rack's notice ({@link Rack#noticeMs}) and never reaches into a known window. So a window that
 * was accepted at least its racks' notice before its start is in force at its start, even if relays
 * are disconnected meanwhile. A window that starts sooner is in force once each relay has confirmed
 * permits that exclude the window, or at the latest one notice after its acceptance, when all older
 * permits have expired. Neither case needs a list of relays that survives a crash.
 */
public final class MaintenanceWindows {
  /** Receives changes, within the call that made them. */
  public interface Listener {
    /** Receives each transition once the window has its new state. */
    void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step);

    /** Called when rack permits have changed, so that relays are sent new ones at once. */
    void permitsChanged();
  }

  /**
   * The rules for accepting and ending windows; the same at all controllers of a fleet.
   *
   * @param warmUpMs how long endpoints count as cold after a window, at least 0
   * @param delayStepMs the step in which later starts of a window are tried until there is
   *     capacity, over 0
   * @param confidence the confidence with which hardware families are compared, over 0.5 and under
   *     1
   */
  public record Rules(long warmUpMs, long delayStepMs, double confidence) {
    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if a value is out of bounds
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

  /** The maximum number of open windows. */
  public static final int MAX_OPEN = 1000;

  /** The maximum number of retained windows; the oldest ended windows are dropped first. */
  private static final int MAX_RETAINED = 2000;

  /** The number of operators who must agree before a window begins without capacity. */
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

  /** Creates an instance without windows, for the racks of {@code capacityCheck}. */
  public MaintenanceWindows(Rules rules, CapacityCheck capacityCheck, Listener listener) {
    this.rules = rules;
    this.capacityCheck = capacityCheck;
    this.listener = listener;
    lifecycle = new WindowLifecycle(rules.warmUpMs());
    index = new WindowIndex(lifecycle, capacityCheck.racks());
    planner = new CapacityPlanner(index, capacityCheck, rules);
  }

  /** Creates an instance without racks, for a controller whose configuration has none. */
  public static MaintenanceWindows withoutRacks() {
    return new MaintenanceWindows(
        new Rules(0, 1, 0.9),
        new CapacityCheck(List.of(), Map.of(), 0),
        new Listener() {
          @Override
          public void transitioned(MaintenanceWindow window, MaintenanceWindow.Step step) {
            // Without racks no window is ever announced.
          }

          @Override
          public void permitsChanged() {
            // Without racks no relay holds a permit.
          }
        });
  }

  /**
   * Advances the windows' clock to the wall-clock time and returns its time. If the wall clock was
   * set back, the windows' clock stands still until the wall clock has caught up.
   */
  public long advanceClock(long wallMs) {
    nowMs = Math.max(nowMs, wallMs);
    return nowMs;
  }

  /** Returns all retained windows, ordered by number. */
  public Collection<MaintenanceWindow> all() {
    return index.all();
  }

  /** Returns the window with the given number, or null if it is unknown or no longer retained. */
  public MaintenanceWindow find(long number) {
    return index.find(number);
  }

  /**
   * Returns the sequence number of the last step of any window. Rack permits carry it, so that a
   * relay's request shows which steps the permits of the relay take into account.
   */
  public long sequence() {
    return sequence;
  }

  /** Returns the capacity check, which also holds the configured racks. */
  public CapacityCheck capacityCheck() {
    return capacityCheck;
  }

  /** Announces a window, or each occurrence of a recurring window in the next two weeks. */
  public AnnounceResult announce(MaintenanceRequest request, long nowMs) {
    String error = validationError(request);
    if (error != null) {
      return new Rejected(error);
    }
    long open = index.all().stream().filter(window -> window.state().isOpen()).count();
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
      return new Rejected(
          "the start is in the past, or the rule has no occurrence within the next two weeks");
    }
    if (open + starts.size() > MAX_OPEN) {
      return new Rejected("no more than " + MAX_OPEN + " freezes may be open at a time");
    }
    List<Long> numbers = new ArrayList<>();
    long series = starts.size() > 1 ? lastNumber + 1 : 0;
    for (long startMs : starts) {
      numbers.add(add(request, startMs, series, nowMs));
    }
    index.dropOldest(MAX_RETAINED);
    applyDueTransitions(nowMs);
    return new Announced(numbers);
  }

  /** Returns what is wrong with a request, or null if it is valid. */
  private String validationError(MaintenanceRequest request) {
    Set<String> unknown = new TreeSet<>(request.racks());
    unknown.removeAll(capacityCheck.racks().keySet());
    if (request.racks().isEmpty()) {
      return "a freeze needs at least one rack";
    }
    if (!unknown.isEmpty()) {
      return "no rack is called " + unknown + "; there are " + capacityCheck.racks().keySet();
    }
    if (request.durationMs() <= 0) {
      return "the duration of a freeze must be over 0";
    }
    if (request.emergency() && !request.recurrenceRule().isEmpty()) {
      return "an emergency begins at once and can't recur; leave out the rule";
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
      acceptOrRefuse(window, nowMs);
    }
    return window.number;
  }

  /**
   * Accepts a window at the first start within its slack at which there is capacity. If there is no
   * such start, refuses the window with the shortage as the cause.
   */
  private void acceptOrRefuse(MaintenanceWindow window, long nowMs) {
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
   * Ends a window that has begun, or cancels one that has not.
   *
   * @return why the command has no effect, or null if it has one
   */
  public String cancel(long number, String operator, String reason, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window == null) {
      return unknownWindow(number);
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
   * Extends a window to a later end. If there is no capacity until then, the end stays as it is.
   *
   * @return why the command has no effect, or null if it has one
   */
  public String extend(long number, long toMs, String operator, String reason, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window == null) {
      return unknownWindow(number);
    }
    if (!window.state().isBinding() && window.state() != State.HELD) {
      return "freeze " + number + " can't be extended in state " + window.state();
    }
    if (toMs <= window.endMs()) {
      return "the new end of a freeze must be later than its current end";
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
   * Approves that a held window begins without capacity. It is accepted once two different
   * operators have approved it.
   *
   * @return why the command has no effect, or null if it has one
   */
  public String force(long number, String operator, String reason, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window == null) {
      return unknownWindow(number);
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

  private static String unknownWindow(long number) {
    return "no freeze " + number + " is known";
  }

  /** Sets whether a rack is down, and reviews accepted windows against the new capacity. */
  public void setRackDown(String rack, boolean down, long nowMs) {
    if (capacityCheck.racks().containsKey(rack) && capacityCheck.setDown(rack, down)) {
      review(nowMs);
    }
  }

  /**
   * Sets the share of endpoints that serve the build of a rollout in progress, and reviews accepted
   * windows.
   */
  public void setCanaryShare(double share, long nowMs) {
    if (share == capacityCheck.canaryShare()) {
      return;
    }
    capacityCheck.setCanaryShare(share);
    review(nowMs);
  }

  /**
   * Sets a newer model of the hardware families, and reviews accepted windows.
   *
   * @return false if the model is not newer than the current one
   */
  public boolean updateModel(HardwareModel newer, long nowMs) {
    if (!newer.isNewerThan(model)) {
      return false;
    }
    restoreModel(newer);
    review(nowMs);
    return true;
  }

  /** Returns the last model, or null if there is none yet. */
  public HardwareModel model() {
    return model;
  }

  /** Restores the last model without reviewing windows; null if there is none yet. */
  public void restoreModel(HardwareModel restored) {
    model = restored;
    capacityCheck.setTranslator(
        restored == null ? null : new CapacityTranslator(restored, List.of(), rules.confidence()));
  }

  /** Holds accepted windows without capacity, and accepts held windows that have capacity again. */
  private void review(long nowMs) {
    for (MaintenanceWindow window : List.copyOf(index.all())) {
      boolean hasNotBegun = window.state() == State.ACCEPTED || window.state() == State.HELD;
      if (!hasNotBegun || window.emergency || window.forcedBy().size() >= FORCE_APPROVALS) {
        continue;
      }
      String shortage = planner.shortage(window, Math.max(window.startMs(), nowMs), window.endMs());
      if (window.state() == State.ACCEPTED && shortage != null) {
        transition(window, State.HELD, shortage, nowMs);
        listener.permitsChanged();
      } else if (window.state() == State.HELD && shortage == null) {
        accept(window, "there is capacity again", nowMs);
      }
    }
    applyDueTransitions(nowMs);
  }

  /**
   * Puts a draining window in force after {@link PlacementGrants#windowsWithPermitsReturned} found
   * that no relay holds a permit into it.
   */
  public void permitsReturned(long number, long nowMs) {
    MaintenanceWindow window = index.find(number);
    if (window != null && window.state() == State.DRAINING) {
      transition(window, State.IN_FORCE, "every relay has given its promise back", nowMs);
      listener.permitsChanged();
    }
    applyDueTransitions(nowMs);
  }

  /** Makes the transitions that have become due because time has passed. */
  public void tick(long nowMs) {
    applyDueTransitions(nowMs);
  }

  /** Returns whether a tick would make a transition. */
  public boolean isDue(long wallMs) {
    return index.isDue(Math.max(nowMs, wallMs));
  }

  private void applyDueTransitions(long nowMs) {
    for (MaintenanceWindow window : index.due(nowMs)) {
      State next = lifecycle.nextState(window, nowMs);
      while (next != null) {
        transition(window, next, WindowLifecycle.cause(window.state(), next), nowMs);
        listener.permitsChanged();
        next = lifecycle.nextState(window, nowMs);
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

  /**
   * Returns the time, in milliseconds of the wall clock, from which all permits that reached into a
   * window have expired; not before the window's start.
   */
  public long permitExpiryMs(MaintenanceWindow window) {
    return window.permitExpiryMs();
  }

  /** Returns how many entries were examined so far to answer relays and to find due transitions. */
  public long entriesExamined() {
    return index.entriesExamined();
  }

  WindowIndex index() {
    return index;
  }

  /** Captures the whole state except the hardware model. */
  MaintenanceState capture() {
    return new MaintenanceState(
        sequence,
        lastNumber,
        List.copyOf(capacityCheck.downRacks()),
        capacityCheck.canaryShare(),
        nowMs,
        index.all().stream().map(MaintenanceState.Window::of).toList());
  }

  /**
   * Restores the state into an instance without windows. Racks that are no longer configured stay
   * in their windows but have no effect.
   */
  void restore(MaintenanceState stored) {
    sequence = stored.sequence();
    lastNumber = stored.lastWindowNumber();
    nowMs = stored.nowMs();
    capacityCheck.setCanaryShare(stored.canaryShare());
    for (String rack : stored.downRacks()) {
      capacityCheck.setDown(rack, true);
    }
    for (MaintenanceState.Window window : stored.windows()) {
      index.add(MaintenanceWindow.restored(window));
    }
  }
}
