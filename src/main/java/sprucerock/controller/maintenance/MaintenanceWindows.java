package sprucerock.controller.maintenance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.hardware.CapacityTranslator;
import sprucerock.hardware.HardwareModel;

/**
 * All freezes, and what relays are promised: told what happened and that it is now so late by the
 * wall. Decides alone; writes nothing.
 *
 * <p>A promise to a relay says of each rack until when nothing will be frozen there. It reaches
 * {@code notice} ahead at most, and never into a window that is known. So a window that was
 * accepted its racks' {@code notice} before it begins is in force in that moment, whoever was cut
 * off meanwhile; one that comes sooner is in force once each relay has said that it holds a promise
 * without it, or {@code notice} after it was accepted, when all others have run out. No list of
 * relays has to outlive a crash for that.
 */
public final class MaintenanceWindows {
  /** What it can do. */
  public interface Listener {
    void changed(MaintenanceWindow freeze, MaintenanceWindow.Step step);

    /** Relays should learn of it now. */
    void grantsChanged();
  }

  /** How windows are dealt with; the same at all controllers of a fleet. */
  public record Rules(long warmUpMs, long delayStepMs, double confidence) {
    /**
     * @throws IllegalArgumentException if they make no sense
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

  public static final int MAX_OPEN = 1000;
  private static final int MOST_KEPT =
      2000; // with those that are over, of which the oldest go first
  private static final Comparator<MaintenanceWindow> BY_BEGIN =
      Comparator.<MaintenanceWindow>comparingLong(one -> one.from)
          .thenComparingLong(one -> one.number);

  private final Rules rules;
  private final CapacityCheck capacity;
  private final Listener host;
  final TreeMap<Long, MaintenanceWindow> windows = new TreeMap<>();
  // What is asked often is kept as it changes, by step() alone: a relay's ask, and a look each 50
  // ms, walk neither racks nor freezes.
  private final Map<String, TreeSet<MaintenanceWindow>> binding =
      new HashMap<>(); // by rack, by when they begin
  private final TreeSet<MaintenanceWindow> timed =
      new TreeSet<>(
          Comparator.<MaintenanceWindow>comparingLong(one -> one.dueMs)
              .thenComparingLong(one -> one.number));
  private final TreeSet<MaintenanceWindow> bound = new TreeSet<>(BY_BEGIN); // all that bind
  private final TreeMap<Long, MaintenanceWindow> draining = new TreeMap<>();
  private final long longestMs;
  private long entriesExamined;
  long sequence;
  long numbers;
  long nowMs;
  private HardwareModel model;

  public MaintenanceWindows(Rules rules, CapacityCheck room, Listener host) {
    this.rules = rules;
    this.capacity = room;
    this.host = host;
    longestMs = room.racks().values().stream().mapToLong(Rack::noticeMs).max().orElse(0);
  }

  /** One without racks, for a controller that has no freezes. */
  public static MaintenanceWindows none() {
    return new MaintenanceWindows(
        new Rules(0, 1, 0.9),
        new CapacityCheck(List.of(), Map.of(), 0),
        new Listener() {
          @Override
          public void changed(MaintenanceWindow freeze, MaintenanceWindow.Step step) {
            // there is none
          }

          @Override
          public void grantsChanged() {
            // nobody holds one
          }
        });
  }

  /** A wall's clock that was set back stands still here until it is past. */
  public long advanceClock(long wallMs) {
    nowMs = Math.max(nowMs, wallMs);
    return nowMs;
  }

  public Collection<MaintenanceWindow> all() {
    return windows.values();
  }

  public MaintenanceWindow find(long number) {
    return windows.get(number);
  }

  /** Counts up with all that relays should know. */
  public long sequence() {
    return sequence;
  }

  // What happens.

  /**
   * A freeze is wanted; of windows that come again, each of the next two weeks.
   *
   * @param rule of RFC 5545, in {@code zone}; empty: once
   * @return its numbers, or one line about what is wrong
   */
  public Object announce(
      Set<String> racks,
      long fromMs,
      long lastsMs,
      long slackMs,
      String rule,
      String zone,
      boolean emergency,
      String who,
      String why,
      long nowMs) {
    Set<String> unknown = new TreeSet<>(racks);
    unknown.removeAll(capacity.racks().keySet());
    if (racks.isEmpty() || !unknown.isEmpty()) {
      return racks.isEmpty()
          ? "a freeze is of one rack at least"
          : "no rack is called " + unknown + "; there are " + capacity.racks().keySet();
    }
    if (lastsMs <= 0) {
      return "a window lasts longer than no time";
    }
    if (emergency && !rule.isEmpty()) {
      return "what comes again is no emergency";
    }
    long open = windows.values().stream().filter(one -> one.state.isOpen()).count();
    List<Long> begins;
    try {
      begins = emergency ? List.of(nowMs) : RecurrenceExpander.expand(nowMs, fromMs, rule, zone);
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    if (begins.isEmpty()) {
      return "it would begin in the past, or not within two weeks";
    }
    if (open + begins.size() > MAX_OPEN) {
      return MAX_OPEN + " freezes are open already";
    }
    List<Long> made = new ArrayList<>();
    long series = begins.size() > 1 ? numbers + 1 : 0;
    for (long begin : begins) {
      MaintenanceWindow freeze =
          new MaintenanceWindow(
              ++numbers,
              racks,
              begin,
              begin + lastsMs,
              emergency ? 0 : slackMs,
              emergency,
              series,
              who,
              why);
      windows.put(freeze.number, freeze);
      step(freeze, MaintenanceWindow.State.ANNOUNCED, "announced by " + who + ": " + why, nowMs);
      if (emergency) {
        bind(freeze, "an emergency does not wait for room", nowMs);
      } else {
        place(freeze, nowMs);
      }
      made.add(freeze.number);
    }
    while (windows.size() > MOST_KEPT && !windows.firstEntry().getValue().state.isOpen()) {
      windows.pollFirstEntry();
    }
    settle(nowMs);
    return made;
  }

  /**
   * As wanted, or as much later as its slack allows, in steps; else it is refused with what is
   * short.
   */
  private void place(MaintenanceWindow freeze, long nowMs) {
    long lasts = freeze.to - freeze.from;
    long wanted = freeze.from;
    String first = null;
    for (long late = 0; late <= freeze.slackMs; late += rules.delayStepMs()) {
      String lacks = lacks(freeze, wanted + late, wanted + late + lasts);
      if (first == null) {
        first = lacks;
      }
      if (lacks != null) {
        continue;
      }
      freeze.from = wanted + late;
      freeze.to = freeze.from + lasts;
      bind(
          freeze,
          late == 0 ? "there is room" : "delayed by " + late / 60_000 + " min: " + first,
          nowMs);
      return;
    }
    step(freeze, MaintenanceWindow.State.REFUSED, first, nowMs);
  }

  /**
   * Together with all that may be away at some moment of it; cold units that come back do not count
   * yet.
   */
  private String lacks(MaintenanceWindow freeze, long from, long to) {
    long until = to + rules.warmUpMs();
    TreeSet<Long> begins = new TreeSet<>(List.of(from));
    List<MaintenanceWindow> others = new ArrayList<>();
    for (MaintenanceWindow one : windows.values()) {
      boolean counts =
          one != freeze
              && (one.state.isBinding() || one.state == MaintenanceWindow.State.ENDING)
              && one.from < until
              && from < one.to + rules.warmUpMs();
      if (!counts) {
        continue;
      }
      others.add(one);
      if (one.from > from) {
        begins.add(one.from);
      }
    }
    for (long at : begins) { // room is shortest where some window begins
      Set<String> away = new TreeSet<>(freeze.racks);
      long end = until;
      for (MaintenanceWindow one : others) {
        if (one.from <= at && at < one.to + rules.warmUpMs()) {
          away.addAll(one.racks);
        }
      }
      String lacks = capacity.shortage(away, at, end);
      if (lacks != null) {
        return lacks;
      }
    }
    return null;
  }

  private void bind(MaintenanceWindow freeze, String cause, long nowMs) {
    freeze.boundSince = nowMs;
    step(freeze, MaintenanceWindow.State.ACCEPTED, cause, nowMs);
    host.grantsChanged();
  }

  /** Says why it has no effect, or null. */
  public String cancel(long number, String who, String why, long nowMs) {
    MaintenanceWindow freeze = windows.get(number);
    if (freeze == null) {
      return "no freeze " + number + " is known";
    }
    if (!freeze.state.isOpen() || freeze.state == MaintenanceWindow.State.ENDING) {
      return "freeze " + number + " is over or as good as over: " + freeze.state;
    }
    boolean began =
        freeze.state == MaintenanceWindow.State.IN_FORCE
            || freeze.state == MaintenanceWindow.State.DRAINING;
    if (began) {
      freeze.to = Math.min(freeze.to, nowMs);
    }
    step(
        freeze,
        began ? MaintenanceWindow.State.ENDING : MaintenanceWindow.State.CALLED_OFF,
        "called off by " + who + ": " + why,
        nowMs);
    host.grantsChanged();
    settle(nowMs);
    return null;
  }

  /** It lasts until later; where there is no room for that, it ends as it would. */
  public String extend(long number, long toMs, String who, String why, long nowMs) {
    MaintenanceWindow freeze = windows.get(number);
    if (freeze == null) {
      return "no freeze " + number + " is known";
    }
    if (!freeze.state.isBinding() && freeze.state != MaintenanceWindow.State.HELD) {
      return "freeze " + number + " can't be extended: " + freeze.state;
    }
    if (toMs <= freeze.to) {
      return "it lasts until then already";
    }
    String lacks = freeze.emergency ? null : lacks(freeze, Math.max(freeze.to, nowMs), toMs);
    if (lacks != null) {
      return "there is no room for that: " + lacks;
    }
    freeze.to = toMs;
    step(freeze, freeze.state, "extended by " + who + ": " + why, nowMs);
    host.grantsChanged();
    return null;
  }

  /** One that is held begins although there is no room, once two different operators said so. */
  public String force(long number, String who, String why, long nowMs) {
    MaintenanceWindow freeze = windows.get(number);
    if (freeze == null) {
      return "no freeze " + number + " is known";
    }
    if (freeze.state != MaintenanceWindow.State.HELD) {
      return "freeze " + number + " is not held: " + freeze.state;
    }
    freeze.forcedBy.add(who);
    if (freeze.forcedBy.size() < 2) {
      step(
          freeze,
          MaintenanceWindow.State.HELD,
          "forced by " + who + ": " + why + "; another operator has to say so too",
          nowMs);
    } else {
      bind(freeze, "forced by " + freeze.forcedBy + ": " + why, nowMs);
    }
    settle(nowMs);
    return null;
  }

  /**
   * A rack died or is back; a build is on trial or was decided; families are worth other than was
   * thought: what was accepted may not fit any more.
   */
  public void setRackDown(String rack, boolean is, long nowMs) {
    if (capacity.racks().containsKey(rack) && capacity.down(rack, is)) {
      review(nowMs);
    }
  }

  public void setCanaryShare(double share, long nowMs) {
    if (share == capacity.canaryShare()) {
      return;
    }
    capacity.canaryShare(share);
    review(nowMs);
  }

  /** What families are worth by now; false where it is older than what is known. */
  public boolean updateModel(HardwareModel newer, long nowMs) {
    if (!newer.isNewerThan(model)) {
      return false;
    }
    model(newer);
    review(nowMs);
    return true;
  }

  /** The last model; null: none was told. */
  public HardwareModel model() {
    return model;
  }

  public void model(HardwareModel known) {
    model = known;
    capacity.translation(
        known == null ? null : new CapacityTranslator(known, List.of(), rules.confidence()));
  }

  private void review(long nowMs) {
    for (MaintenanceWindow one : List.copyOf(windows.values())) {
      if (one.state != MaintenanceWindow.State.ACCEPTED && one.state != MaintenanceWindow.State.HELD
          || one.emergency
          || one.forcedBy.size() >= 2) {
        continue;
      }
      String lacks = lacks(one, Math.max(one.from, nowMs), one.to);
      if (one.state == MaintenanceWindow.State.ACCEPTED && lacks != null) {
        step(one, MaintenanceWindow.State.HELD, lacks, nowMs);
        host.grantsChanged();
      } else if (one.state == MaintenanceWindow.State.HELD && lacks == null) {
        bind(one, "there is room again", nowMs);
      }
    }
    settle(nowMs);
  }

  /** Each relay has said that it holds a promise without it: {@link PlacementGrants} knows. */
  public void grantsReturned(long number, long nowMs) {
    MaintenanceWindow freeze = windows.get(number);
    if (freeze != null && freeze.state == MaintenanceWindow.State.DRAINING) {
      inForce(freeze, "every relay has given its promise back", nowMs);
    }
    settle(nowMs);
  }

  private void inForce(MaintenanceWindow freeze, String cause, long nowMs) {
    step(freeze, MaintenanceWindow.State.IN_FORCE, cause, nowMs);
    host.grantsChanged();
  }

  public void tick(long nowMs) {
    settle(nowMs);
  }

  /** Whether a tick would change anything. */
  public boolean isDue(long wallMs) {
    long at = Math.max(nowMs, wallMs);
    entriesExamined++;
    return !timed.isEmpty() && timed.first().dueMs <= at;
  }

  /** Its next step by time alone; never, where only a word makes one. */
  private long dueMs(MaintenanceWindow one) {
    return switch (one.state) {
      case ACCEPTED -> one.from;
      case DRAINING -> Math.min(grantsEndMs(one), one.to);
      case HELD, IN_FORCE -> one.to;
      case ENDING -> one.to + rules.warmUpMs();
      default -> Long.MAX_VALUE;
    };
  }

  private MaintenanceWindow.State next(MaintenanceWindow one, long nowMs) {
    return switch (one.state) {
      case ACCEPTED -> nowMs >= one.from ? MaintenanceWindow.State.DRAINING : null;
      case HELD -> nowMs >= one.to ? MaintenanceWindow.State.REFUSED : null;
      case DRAINING ->
          nowMs >= grantsEndMs(one)
              ? MaintenanceWindow.State.IN_FORCE
              : nowMs >= one.to ? MaintenanceWindow.State.ENDING : null;
      case IN_FORCE -> nowMs >= one.to ? MaintenanceWindow.State.ENDING : null;
      case ENDING -> nowMs >= one.to + rules.warmUpMs() ? MaintenanceWindow.State.ENDED : null;
      default -> null;
    };
  }

  private void settle(long nowMs) {
    TreeMap<Long, MaintenanceWindow> due =
        new TreeMap<>(); // in the order of their numbers, as steps are counted
    for (MaintenanceWindow one : timed) {
      entriesExamined++;
      if (one.dueMs > nowMs) {
        break;
      }
      due.put(one.number, one);
    }
    for (MaintenanceWindow one : due.values()) {
      for (MaintenanceWindow.State next = next(one, nowMs); next != null; next = next(one, nowMs)) {
        String cause =
            switch (next) {
              case DRAINING -> "its time has come";
              case IN_FORCE -> "no promise reaches into it";
              case ENDING ->
                  one.state == MaintenanceWindow.State.DRAINING
                      ? "its time is over before it was in force"
                      : "its time is over";
              case REFUSED -> "there was no room until its end";
              default -> "its units are warm again";
            };
        step(one, next, cause, nowMs);
        host.grantsChanged();
      }
    }
  }

  /** From when on no promise that was ever given can reach into it. */
  public long grantsEndMs(MaintenanceWindow freeze) {
    return Math.max(freeze.from, freeze.boundSince + noticeMs(freeze));
  }

  /** The longest of its racks'. */
  long noticeMs(MaintenanceWindow freeze) {
    if (freeze.noticeMs >= 0) {
      return freeze.noticeMs;
    }
    long longest = 0;
    for (String name : freeze.racks) {
      Rack rack = capacity.racks().get(name);
      if (rack != null) {
        longest = Math.max(longest, rack.noticeMs());
      }
    }
    freeze.noticeMs = longest; // racks are of the configuration
    return longest;
  }

  /** The longest of all. */
  long longestMs() {
    return longestMs;
  }

  /** Whose time has come and which are not in force yet. */
  Collection<MaintenanceWindow> draining() {
    return draining.values();
  }

  /**
   * Entries that were looked at so far to answer relays and to see what time changes: what tests of
   * its growth count.
   */
  public long entriesExamined() {
    return entriesExamined;
  }

  /**
   * For how long from now on nothing will be frozen on a rack, in milliseconds; 0: it is frozen or
   * draining.
   */
  long freeForMs(String rack, long nowMs) {
    long left = capacity.racks().get(rack).noticeMs();
    TreeSet<MaintenanceWindow> known = binding.get(rack);
    if (known == null) {
      return left;
    }
    for (MaintenanceWindow one : known) {
      entriesExamined++;
      if (nowMs < one.to) {
        return Math.min(left, Math.max(0, one.from - nowMs)); // the others begin later
      }
    }
    return left;
  }

  /**
   * Racks that are frozen or will be within their notice, each with how long it is free; all others
   * are free for their notice.
   */
  TreeMap<String, Long> freeForLessThanNotice(long nowMs) {
    TreeMap<String, Long> found = new TreeMap<>();
    for (MaintenanceWindow one : bound) {
      entriesExamined++;
      if (one.from >= nowMs + longestMs) {
        break;
      }
      if (nowMs >= one.to) {
        continue;
      }
      long left = Math.max(0, one.from - nowMs);
      for (String name : one.racks) {
        entriesExamined++;
        Rack rack = capacity.racks().get(name);
        if (rack != null && left < rack.noticeMs()) {
          found.putIfAbsent(name, left); // the first begins first
        }
      }
    }
    return found;
  }

  public CapacityCheck capacity() {
    return capacity;
  }

  private void step(
      MaintenanceWindow freeze, MaintenanceWindow.State to, String cause, long nowMs) {
    leave(freeze);
    freeze.state = to;
    enter(freeze);
    MaintenanceWindow.Step step = new MaintenanceWindow.Step(++sequence, nowMs, to, cause);
    freeze.add(step);
    host.changed(freeze, step);
  }

  /** One that is known from a former life. */
  void known(MaintenanceWindow freeze) {
    windows.put(freeze.number, freeze);
    enter(freeze);
  }

  /** Before anything of it changes by which it is found. */
  private void leave(MaintenanceWindow freeze) {
    timed.remove(freeze);
    draining.remove(freeze.number);
    if (!freeze.state.isBinding()) {
      return;
    }
    bound.remove(freeze);
    for (String rack : freeze.racks) {
      TreeSet<MaintenanceWindow> all = binding.get(rack);
      all.remove(freeze);
      if (all.isEmpty()) {
        binding.remove(rack);
      }
    }
  }

  private void enter(MaintenanceWindow freeze) {
    freeze.dueMs = dueMs(freeze);
    if (freeze.dueMs < Long.MAX_VALUE) {
      timed.add(freeze);
    }
    if (freeze.state == MaintenanceWindow.State.DRAINING) {
      draining.put(freeze.number, freeze);
    }
    if (!freeze.state.isBinding()) {
      return;
    }
    bound.add(freeze);
    for (String rack : freeze.racks) {
      binding.computeIfAbsent(rack, any -> new TreeSet<>(BY_BEGIN)).add(freeze);
    }
  }
}
