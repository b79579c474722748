package sprucerock.controller.maintenance;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All windows by number, and those that matter for a rack, for the clock and for relays. What is
 * asked often is kept as windows change, so that a relay's request and a look each 50 ms walk
 * neither racks nor windows.
 *
 * <p>A window must be taken out by {@link #leave} before its state or times change, and put back by
 * {@link #enter}.
 */
final class WindowIndex {
  private static final Comparator<MaintenanceWindow> BY_START =
      Comparator.<MaintenanceWindow>comparingLong(one -> one.startMs())
          .thenComparingLong(one -> one.number);

  private final WindowLifecycle lifecycle;
  private final Map<String, Rack> racks;
  private final long longestNoticeMs;
  private final TreeMap<Long, MaintenanceWindow> byNumber = new TreeMap<>();
  private final Map<String, TreeSet<MaintenanceWindow>> bindingByRack = new HashMap<>();
  private final TreeSet<MaintenanceWindow> binding = new TreeSet<>(BY_START);
  private final TreeSet<MaintenanceWindow> byTransition =
      new TreeSet<>(
          Comparator.<MaintenanceWindow>comparingLong(one -> one.nextTransitionMs())
              .thenComparingLong(one -> one.number));
  private final TreeMap<Long, MaintenanceWindow> draining = new TreeMap<>();
  private long entriesExamined;

  /** An empty one; {@code racks} by name, as configured. */
  WindowIndex(WindowLifecycle lifecycle, Map<String, Rack> racks) {
    this.lifecycle = lifecycle;
    this.racks = racks;
    longestNoticeMs = racks.values().stream().mapToLong(Rack::noticeMs).max().orElse(0);
  }

  /** Adds a window that is not known yet, and tells it the longest notice of its racks. */
  void add(MaintenanceWindow window) {
    long longestMs = 0;
    for (String name : window.racks) {
      Rack rack = racks.get(name);
      if (rack != null) {
        longestMs = Math.max(longestMs, rack.noticeMs());
      }
    }
    window.setNoticeMs(longestMs);
    byNumber.put(window.number, window);
    enter(window);
  }

  /** Drops the oldest windows beyond so many, up to the first that is still open. */
  void dropOldest(int maxKept) {
    while (byNumber.size() > maxKept && !byNumber.firstEntry().getValue().state().isOpen()) {
      byNumber.pollFirstEntry();
    }
  }

  Collection<MaintenanceWindow> all() {
    return Collections.unmodifiableCollection(byNumber.values());
  }

  /** Null: none has that number. */
  MaintenanceWindow find(long number) {
    return byNumber.get(number);
  }

  /** The longest notice of all racks. */
  long longestNoticeMs() {
    return longestNoticeMs;
  }

  /** Whose time has come and which are not in force yet. */
  Collection<MaintenanceWindow> draining() {
    return draining.values();
  }

  /** Whether some window has a transition due by then. */
  boolean isDue(long nowMs) {
    entriesExamined++;
    return !byTransition.isEmpty() && byTransition.first().nextTransitionMs() <= nowMs;
  }

  /** Those with a transition due by then, in the order of their numbers, as steps are counted. */
  Collection<MaintenanceWindow> due(long nowMs) {
    TreeMap<Long, MaintenanceWindow> due = new TreeMap<>();
    for (MaintenanceWindow one : byTransition) {
      entriesExamined++;
      if (one.nextTransitionMs() > nowMs) {
        break;
      }
      due.put(one.number, one);
    }
    return due.values();
  }

  /** For how long from now on a rack is free of windows, at most its notice, in milliseconds. */
  long freeForMs(String rack, long nowMs) {
    long noticeMs = racks.get(rack).noticeMs();
    TreeSet<MaintenanceWindow> known = bindingByRack.get(rack);
    if (known == null) {
      return noticeMs;
    }
    for (MaintenanceWindow one : known) {
      entriesExamined++;
      if (nowMs < one.endMs()) {
        return Math.min(noticeMs, Math.max(0, one.startMs() - nowMs)); // the others begin later
      }
    }
    return noticeMs;
  }

  /** Racks that are free for less than their notice, by name, in milliseconds. */
  Map<String, Long> freeForLessThanNotice(long nowMs) {
    Map<String, Long> found = new TreeMap<>();
    for (MaintenanceWindow one : binding) {
      entriesExamined++;
      if (one.startMs() >= nowMs + longestNoticeMs) {
        break;
      }
      if (nowMs >= one.endMs()) {
        continue;
      }
      long freeMs = Math.max(0, one.startMs() - nowMs);
      for (String name : one.racks) {
        entriesExamined++;
        Rack rack = racks.get(name);
        if (rack != null && freeMs < rack.noticeMs()) {
          found.putIfAbsent(name, freeMs); // the first begins first
        }
      }
    }
    return found;
  }

  /** Entries that were examined so far: what tests of its growth count. */
  long entriesExamined() {
    return entriesExamined;
  }

  /** Before anything of it changes by which it is found. */
  void leave(MaintenanceWindow window) {
    byTransition.remove(window);
    draining.remove(window.number);
    if (!window.state().isBinding()) {
      return;
    }
    binding.remove(window);
    for (String rack : window.racks) {
      TreeSet<MaintenanceWindow> same = bindingByRack.get(rack);
      same.remove(window);
      if (same.isEmpty()) {
        bindingByRack.remove(rack);
      }
    }
  }

  /** Once all of it has changed. */
  void enter(MaintenanceWindow window) {
    window.setNextTransitionMs(lifecycle.nextTransitionMs(window));
    if (window.nextTransitionMs() < WindowLifecycle.NEVER_MS) {
      byTransition.add(window);
    }
    if (window.state() == MaintenanceWindow.State.DRAINING) {
      draining.put(window.number, window);
    }
    if (!window.state().isBinding()) {
      return;
    }
    binding.add(window);
    for (String rack : window.racks) {
      bindingByRack.computeIfAbsent(rack, any -> new TreeSet<>(BY_START)).add(window);
    }
  }
}
