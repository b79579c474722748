package sprucerock.freeze;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one controller's life has promised to which relay, and which relays still hold a promise into a freeze. Not kept on disk: what a
 * former life promised runs out within a notice, and until then nobody is said to have given everything back.
 */
public final class Promises {
    private record Held(long sequence, long since) {}

    /** A relay is forgotten once all that it was promised has run out. */
    private final Map<Integer, Held> held = new TreeMap<>();
    private final Freezes freezes;
    private final long startedMs;

    /** {@code nowMs}: when this life began to promise. */
    public Promises(Freezes freezes, long nowMs) {
        this.freezes = freezes;
        startedMs = nowMs;
    }

    /** A relay asks, and is promised anew: what it holds is of that state, or of none (0), and of no earlier one. */
    public void asked(int relay, long holds, long nowMs) {
        Held before = held.get(relay);
        // an ask that was long on its way does not take back what a later one said; what it will be told now, it may never hear
        held.put(relay, new Held(before == null ? holds : Math.max(holds, before.sequence), nowMs));
        held.values().removeIf(one -> nowMs - one.since > freezes.longestMs());
    }

    /** For how long from now on nothing will be frozen on a rack, in milliseconds; 0: it is frozen or draining. */
    public long promised(String rack, long nowMs) {
        return freezes.free(rack, nowMs);
    }

    /** Relays that may still hold a promise into it, by their numbers; -1: such as are not known, because this life began since. */
    public Set<Integer> out(Freeze freeze, long nowMs) {
        Set<Integer> out = new TreeSet<>();
        if (nowMs >= freezes.promisesEnd(freeze)) return out;
        if (nowMs < startedMs + freezes.noticeMs(freeze)) out.add(-1);
        long bound = freeze.steps().stream().filter(step -> step.state() == Freeze.State.ACCEPTED).mapToLong(Freeze.Step::sequence).max().orElse(0);
        held.forEach((relay, one) -> {
            if (one.sequence < bound && nowMs < one.since + freezes.noticeMs(freeze)) out.add(relay);
        });
        return out;
    }

    /** Freezes whose time has come and into which nobody holds a promise any more: to be recorded as {@link Freezes#cleared}. */
    public List<Long> cleared(long nowMs) {
        List<Long> found = new ArrayList<>();
        for (Freeze one : freezes.all()) if (one.state() == Freeze.State.DRAINING && out(one, nowMs).isEmpty()) found.add(one.number);
        return found;
    }
}
