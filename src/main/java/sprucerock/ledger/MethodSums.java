package sprucerock.ledger;

import sprucerock.model.Outcome;

/** What happened to the RPCs and picks of one method. Taken = ok + pushed back + aborted + left + open, always. */
public final class MethodSums {
    private long taken;
    private long ok;
    private long pushedBack;
    private long aborted;
    private long left;
    private long sent;
    private final long[] ended = new long[Outcome.values().length];

    void took() {
        taken++;
    }

    void sent() {
        sent++;
    }

    void ended(Outcome outcome) {
        ended[outcome.ordinal()]++;
    }

    void answered() {
        ok++;
    }

    void pushedBack() {
        pushedBack++;
    }

    void aborted() {
        aborted++;
    }

    void left() {
        left++;
    }

    public long taken() {
        return taken;
    }

    public long ok() {
        return ok;
    }

    public long pushedBackSoFar() {
        return pushedBack;
    }

    public long abortedSoFar() {
        return aborted;
    }

    /** RPCs whose clients went away before an answer. */
    public long leftSoFar() {
        return left;
    }

    public long open() {
        return taken - ok - pushedBack - aborted - left;
    }

    public long picks() {
        return sent;
    }

    public long picksEnded(Outcome outcome) {
        return ended[outcome.ordinal()];
    }
}
