package sprucerock.controller.maintenance;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Finds windows by number, by rack, by the time of their next transition and by state. The indexes
 * are updated as windows change, so that a relay's request and the controller's check for due
 * transitions every 50 ms iterate over neither racks nor windows.
 *
 * <p>A window must be removed by {@link #leave} before its state or start changes, and added again
 * by {@link #enter}. A window whose end has changed must also be removed and added again, because
 * {@link #enter} computes the time of the next transition.
 */
final class WindowIndex {
  private static final Comparator<MaintenanceWindow> BY_START =
      Comparator.<MaintenanceWindow>comparingLong(window -> window.startMs())
          .thenComparingLong(window -> window.number);

  private final WindowLifecycle lifecycle;
  private final Map<String, Rack> racks;
  private final long longestNoticeMs;
  private final TreeMap<Long, MaintenanceWindow> byNumber = new TreeMap<>();
  private final Map<String, TreeSet<MaintenanceWindow>> bindingByRack = new HashMap<>();
  private final TreeSet<MaintenanceWindow> binding = new TreeSet<>(BY_START);
  private final TreeSet<MaintenanceWindow> byTransition =
      new TreeSet<>(
          Comparator.<MaintenanceWindow>comparingLong(window -> window.nextTransitionMs())
              .thenComparingLong(window -> window.number));
  private final TreeMap<Long, MaintenanceWindow> draining = new TreeMap<>();
  private long entriesExamined;

  /** Creates an empty index; {@code racks} are the configured racks by name. */
  WindowIndex(WindowLifecycle lifecycle, Map<String, Rack> racks) {
    this.lifecycle = lifecycle;
    this.racks = racks;
    longestNoticeMs = racks.values().stream().mapToLong(Rack::noticeMs).max().orElse(0);
  }

  /** Adds a new window and sets its notice to the longest notice of its racks. */
  void add(MaintenanceWindow window) {
    long noticeMs = 0;
    for (String name : window.racks) {
      Rack rack = racks.get(name);
      if (rack != null) {
        noticeMs = Math.max(noticeMs, rack.noticeMs());
      }
    }
    window.setNoticeMs(noticeMs);
    byNumber.put(window.number, window);
    enter(window);
  }

  /** Drops the oldest windows until {@code maxRetained} are left, but stops at an open window. */
  void dropOldest(int maxRetained) {
    while (byNumber.size() > maxRetained && !byNumber.firstEntry().getValue().state().isOpen()) {
      byNumber.pollFirstEntry();
    }
  }

  Collection<MaintenanceWindow> all() {
    return Collections.unmodifiableCollection(byNumber.values());
  }

  /** Returns the window with the given number, or null. */
  MaintenanceWindow find(long number) {
    return byNumber.get(number);
  }

  /** Returns the longest notice of all racks. */
  long longestNoticeMs() {
    return longestNoticeMs;
  }

  /** Returns the windows whose start has passed and that are not in force yet. */
  Collection<MaintenanceWindow> draining() {
    return draining.values();
  }

  /** Returns whether any window has a transition due. */
  boolean isDue(long nowMs) {
    entriesExamined++;
    return !byTransition.isEmpty() && byTransition.first().nextTransitionMs() <= nowMs;
  }

  /**
   * Returns the windows with a transition due, ordered by number: steps get their sequence numbers
   * in this order.
   */
  Collection<MaintenanceWindow> due(long nowMs) {
    TreeMap<Long, MaintenanceWindow> due = new TreeMap<>();
    for (MaintenanceWindow window : byTransition) {
      entriesExamined++;
      if (window.nextTransitionMs() > nowMs) {
        break;
      }
      due.put(window.number, window);
    }
    return due.values();
  }

  /** Returns for how many milliseconds from now a rack is free of windows, at most its notice. */
  long freeForMs(String rack, long nowMs) {
    long noticeMs = racks.get(rack).noticeMs();
    TreeSet<MaintenanceWindow> rackWindows = bindingByRack.get(rack);
    if (rackWindows == null) {
      return noticeMs;
    }
    for (MaintenanceWindow window : rackWindows) {
      entriesExamined++;
      // The first window that has not ended limits the permit; the others begin later.
      if (nowMs < window.endMs()) {
        return Math.min(noticeMs, Math.max(0, window.startMs() - nowMs));
      }
    }
    return noticeMs;
  }

  /** Returns the racks that are free for less than their notice, with the time in milliseconds. */
  Map<String, Long> freeForLessThanNotice(long nowMs) {
    Map<String, Long> freeByRack = new TreeMap<>();
    for (MaintenanceWindow window : binding) {
      entriesExamined++;
      if (window.startMs() >= nowMs + longestNoticeMs) {
        break;
      }
      if (nowMs >= window.endMs()) {
        continue;
      }
      long freeMs = Math.max(0, window.startMs() - nowMs);
      for (String name : window.racks) {
        entriesExamined++;
        Rack rack = racks.get(name);
        if (rack != null && freeMs < rack.noticeMs()) {
          // Windows are sorted by start, so the first one of a rack limits it.
          freeByRack.putIfAbsent(name, freeMs);
        }
      }
    }
    return freeByRack;
  }

  /** Returns how many entries were examined so far; for the scale tests. */
  long entriesExamined() {
    return entriesExamined;
  }

  /** Removes a window from the indexes. Required before its state or start changes. */
  void leave(MaintenanceWindow window) {
    byTransition.remove(window);
    draining.remove(window.number);
    if (!window.state().isBinding()) {
      return;
    }
    binding.remove(window);
    for (String rack : window.racks) {
      TreeSet<MaintenanceWindow> rackWindows = bindingByRack.get(rack);
      rackWindows.remove(window);
      if (rackWindows.isEmpty()) {
        bindingByRack.remove(rack);
      }
    }
  }

  /** Adds a window to the indexes again after its state or times have changed. */
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
      bindingByRack.computeIfAbsent(rack, name -> new TreeSet<>(BY_START)).add(window);
    }
  }
}
