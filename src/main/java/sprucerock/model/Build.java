package sprucerock.model;

import java.util.ArrayList;
import java.util.List;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/** One version of the servers' software, with the units that run it and may get new work. */
public final class Build {
    public final int number;
    /** In an order that draws change; each unit knows its place. */
    public final List<Unit> units = new ArrayList<>();
    /** When the process of a unit started last, of all that were ready so far. */
    public Moment newest;

    public Build(int number) {
        this.number = number;
    }

    private Moment weighedAt;
    /** The weights of all units and of those older than asked for, when they were added up last. */
    public double weight;
    public double weightOfOlder;

    /** Adds the weights up, if that was longer ago than {@code keep} or units came or went since. */
    public void weigh(Span age, Span keep, Moment now) {
        if (weighedAt != null && !now.since(weighedAt).over(keep)) return;
        weighedAt = now;
        weight = 0;
        weightOfOlder = 0;
        for (Unit unit : units) {
            weight += unit.weight;
            if (unit.olderThan(age, now)) weightOfOlder += unit.weight;
        }
    }

    public void add(Unit unit) {
        weighedAt = null;
        unit.place = units.size();
        units.add(unit);
        if (unit.started != null && (newest == null || unit.started.after(newest))) newest = unit.started;
    }

    public void remove(Unit unit) {
        weighedAt = null;
        swap(unit.place, units.size() - 1);
        units.remove(units.size() - 1);
    }

    /** The unit of a draw without return: {@code done} draws came before, {@code dice} is from 0 to under 1. */
    public Unit draw(int done, double dice) {
        swap(done, done + (int) (dice * (units.size() - done)));
        return units.get(done);
    }

    private void swap(int one, int two) {
        Unit first = units.get(one);
        Unit second = units.get(two);
        units.set(one, second);
        units.set(two, first);
        second.place = one;
        first.place = two;
    }
}
