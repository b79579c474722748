package sprucerock.controller;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.controller.comparison.Comparison;
import sprucerock.controller.comparison.Level;
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
public final class Watcher {
  /** What it finds, told on change only. */
  public interface Host {
    void judged(Deployment change, Verdict verdict, String reason);

    /**
     * How many of each zone may be out, and why none should be; empty where nothing speaks against
     * it.
     */
    void room(Map<Integer, Integer> byZone, String why);

    /** A relay carries more than most of the fleet now, or does not any more. */
    void busy(int relay, boolean is);
  }

  private static final int BEFORE = 30; // windows of a relay's past: a minute where each is 2 s
  private static final int LEVEL = 15;
  private static final double FALSE_ALARM =
      0.02; // of a whole change: one good one in fifty is stopped, at most

  private static final class Seen {
    private long life;
    private Window total;
    private Window atCut;
    private long lifeAtCut;

    /** The window just cut; null where the relay was away or began anew in it. */
    private Window window;

    private double cores = 1;
    private double rate;
    private final ArrayDeque<Window> past = new ArrayDeque<>();
  }

  private record Held(int moved, int control, MatchedWindows couple) {}

  private final DeploymentManager changes;
  private final Host host;
  private final TreeMap<Integer, Seen> relays = new TreeMap<>();
  private final Map<Integer, Held> couples = new LinkedHashMap<>();
  private Comparison comparison;
  private final Level level = new Level(LEVEL);
  private Deployment of;
  private int stage;
  private Verdict said = Verdict.NOT_SURE;
  private final RestartCapacity room = new RestartCapacity();
  private Map<Integer, Integer> told = Map.of();
  private String weather = "";

  public Watcher(DeploymentManager changes, Host host) {
    this.changes = changes;
    this.host = host;
  }

  /**
   * A relay's sums so far in this life of it; another life has sums of its own. {@code cores}:
   * processors that it may use.
   */
  public void told(int number, long life, double cores, Window total) {
    if (changes.relay(number) == null) {
      return; // as bounded as these are
    }
    Seen seen = relays.computeIfAbsent(number, any -> new Seen());
    seen.life = life;
    seen.cores = Math.max(cores, 0.01);
    seen.total = total;
  }

  /** A window of that many milliseconds is over; each two seconds or so. */
  public void cut(double ms) {
    for (Seen seen : relays.values()) {
      boolean whole = seen.atCut != null && seen.life == seen.lifeAtCut && seen.total != seen.atCut;
      seen.window = whole ? seen.total.since(seen.atCut) : null;
      seen.atCut = seen.total;
      seen.lifeAtCut = seen.life;
    }
    Deployment under = changes.under();
    if (under != of || under != null && under.stage() != stage) {
      turn(under);
    }
    if (under != null) {
      couple(under);
    }
    compare();
    look(ms);
    if (under == null) {
      sort();
    }
    for (Map.Entry<Integer, Seen> one : relays.entrySet()) {
      Seen seen = one.getValue();
      if (seen.window == null || couples.containsKey(one.getKey())) {
        continue;
      }
      seen.past.addLast(seen.window);
      if (seen.past.size() > BEFORE) {
        seen.past.removeFirst();
      }
    }
  }

  private void turn(Deployment under) {
    if (under != of) {
      couples.clear();
      DeploymentPlan plan = changes.plan();
      comparison =
          under == null
              ? null
              : new Comparison(
                  FALSE_ALARM,
                  plan.stages().stream().mapToDouble(DeploymentPlan.Stage::harm).toArray());
      if (under == null) {
        level.over();
      }
    }
    if (under != null) {
      level.stage();
    }
    of = under;
    stage = under == null ? 0 : under.stage();
    said = Verdict.NOT_SURE;
  }

  /** Pairs that are new have their past told first; those that are none any more end. */
  private void couple(Deployment under) {
    for (Iterator<Held> each = couples.values().iterator(); each.hasNext(); ) {
      Held held = each.next();
      Integer control = under.beside().get(held.moved);
      if (control == null || control != held.control) {
        each.remove();
      }
    }
    under
        .beside()
        .forEach(
            (moved, control) -> {
              if (couples.containsKey(moved)) {
                return;
              }
              MatchedWindows couple = comparison.couple();
              Seen one = relays.get(moved);
              Seen other = relays.get(control);
              if (one != null && other != null) {
                Iterator<Window> stays =
                    other.past.descendingIterator(); // both end now, whichever is longer
                for (Iterator<Window> changing = one.past.descendingIterator();
                    changing.hasNext() && stays.hasNext(); ) {
                  couple.before(changing.next(), stays.next());
                }
              }
              couples.put(moved, new Held(moved, control, couple));
            });
  }

  private void compare() {
    for (Held held : couples.values()) {
      if (!settled(held.moved, of.to) || !settled(held.control, of.from)) {
        continue;
      }
      Window moved = relays.get(held.moved).window;
      Window control = relays.get(held.control).window;
      if (moved != null && control != null) {
        held.couple.after(moved, control);
      }
    }
    boolean looks =
        of != null
            && (of.state() == Deployment.State.MOVING || of.state() == Deployment.State.WATCHED);
    if (!looks) {
      return;
    }
    Verdict now =
        switch (comparison.answer(stage)) {
          case WORSE -> Verdict.WORSE;
          case NO_WORSE -> Verdict.NO_WORSE;
          case NOT_SURE -> Verdict.NOT_SURE;
        };
    if (now == said) {
      return;
    }
    said = now;
    host.judged(of, now, comparison.why());
  }

  private boolean settled(int number, sprucerock.controller.deployment.Version version) {
    ManagedRelay relay = changes.relay(number);
    return relays.containsKey(number)
        && relay.ready()
        && !relay.silent()
        && relay.runs().equals(version);
  }

  /**
   * Those that did not change, held against themselves before the stage; and what the fleet can
   * spare.
   */
  private void look(double ms) {
    Window all = Window.NONE;
    for (Map.Entry<Integer, Seen> one : relays.entrySet()) {
      boolean changed =
          of != null
              && (of.moved().contains(one.getKey()) || of.beside().containsValue(one.getKey()));
      Seen seen = one.getValue();
      if (seen.window == null) {
        continue;
      }
      if (!changed) {
        all = all.and(seen.window);
      }
      room.seen(
          changes.relay(one.getKey()).zone(),
          seen.window.workMs() / ms / seen.cores,
          seen.window.rpcs());
    }
    level.seen(all);
    Map<Integer, Integer> byZone = room.cut();
    String why = of != null && level.lowFor() > 0 ? level.why() : room.why();
    boolean open = of != null || changes.waiting() != null;
    boolean same =
        byZone.equals(told)
            && why.isEmpty()
                == weather.isEmpty(); // why may be told anew with each window; that it is, once
    if (!open || same) {
      return;
    }
    told = byZone;
    weather = why;
    host.room(byZone, why);
  }

  /** Busy are those well over the median; nobody changes sides for what is chance. */
  private void sort() {
    double[] rates = new double[relays.size()];
    int count = 0;
    for (Seen seen : relays.values()) {
      if (seen.window != null) {
        seen.rate += 0.1 * (seen.window.rpcs() - seen.rate);
      }
      rates[count++] = seen.rate;
    }
    Arrays.sort(rates);
    double median = count == 0 ? 0 : rates[count / 2];
    for (Map.Entry<Integer, Seen> one : relays.entrySet()) {
      boolean busy = changes.relay(one.getKey()).busy();
      double rate = one.getValue().rate;
      if (!busy && rate > 1.3 * median) {
        host.busy(one.getKey(), true);
      } else if (busy && rate < 1.1 * median) {
        host.busy(one.getKey(), false);
      }
    }
  }
}
