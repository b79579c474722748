package sprucerock.looks;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * Which unit is to be looked at next by the one relay that looks for the whole fleet, and what changed by it. A look asks a unit's
 * process for a sign and runs no work, so that it costs a cold unit nothing of its budget. What a unit that is called by somebody is
 * worth, its callers know better; it is looked at seldom. Nothing here outlives its holder: the next one begins anew, at chance places.
 */
public final class Lookout {
    private static final Span BUSY = Span.ofMs(2000); // called within this: those who call see for themselves
    private static final Span SELDOM = Span.ofMs(10_000);
    private static final Span QUIET = Span.ofMs(2000); // about as long as silence of a link takes to be noticed
    private static final Span AGAIN = Span.ofMs(1000); // the module gives a sick unit one look a second by itself

    private static final class Known {
        private Moment due;
        private Boolean answered; // null: not looked at yet
    }

    private final DoubleSupplier chance;
    private final Map<Long, Known> units = new TreeMap<>();

    /** {@code chance} gives numbers from 0 to under 1. */
    public Lookout(DoubleSupplier chance) {
        this.chance = chance;
    }

    /** It is listed, and may get work. */
    public void ready(long unit, Moment now) {
        units.computeIfAbsent(unit, any -> {
            Known known = new Known();
            known.due = now.plus(QUIET.times(chance.getAsDouble()));
            return known;
        });
    }

    /** It is not any more. */
    public void left(long unit) {
        units.remove(unit);
    }

    /** Whose turn it is; -1: nobody's yet. It counts as looked at from now on. */
    public long next(Moment now) {
        long found = -1;
        Moment due = now;
        for (Map.Entry<Long, Known> one : units.entrySet()) { // a few hundred, some times a second, in one process of the fleet
            if (one.getValue().due.after(due)) continue;
            found = one.getKey();
            due = one.getValue().due;
        }
        if (found >= 0) units.get(found).due = now.plus(SELDOM);
        return found;
    }

    /** It gave a sign, and said how long nobody called it; true where others should be told. */
    public boolean answered(long unit, Span idle, Moment now) {
        Known known = units.get(unit);
        if (known == null) return false;
        known.due = now.plus((BUSY.over(idle) ? SELDOM : QUIET).times(0.75 + 0.5 * chance.getAsDouble()));
        boolean news = Boolean.FALSE.equals(known.answered);
        known.answered = true;
        return news;
    }

    /** It gave none in time; others should be told. */
    public boolean silent(long unit, Moment now) {
        Known known = units.get(unit);
        if (known == null) return false;
        known.due = now.plus(AGAIN.times(0.75 + 0.5 * chance.getAsDouble()));
        known.answered = false;
        return true;
    }

    /** Units that are known. */
    public int size() {
        return units.size();
    }
}
