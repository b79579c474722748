package sprucerock.model;

import java.util.ArrayList;
import java.util.List;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/** One RPC that a client handed to this relay, with the picks made for it. */
public final class Rpc {
    public final long id;
    public final Method method;
    public final int customer;
    public final long key;
    public final Moment arrived;
    public final Moment deadline;
    /** Expected work as the client hinted it; null without a hint. */
    public final Span hint;
    public final List<Pick> picks = new ArrayList<>(2);
    public boolean ended;
    public boolean streaming;
    public int out;
    /** No longer part of the queue that a new RPC faces. */
    public boolean settled;

    public Rpc(long id, Method method, int customer, long key, Moment arrived, Moment deadline, Span hint) {
        this.id = id;
        this.method = method;
        this.customer = customer;
        this.key = key;
        this.arrived = arrived;
        this.deadline = deadline;
        this.hint = hint;
    }

    /** The hinted work; none without a hint. */
    public Span hinted() {
        return hint == null ? Span.ZERO : hint;
    }

    /** The first pick that may have taken effect; null where none may. */
    public Pick firstThatMayHaveRun() {
        for (Pick pick : picks) {
            if (pick.mayHaveRun()) return pick;
        }
        return null;
    }

    public boolean triedAt(Unit unit) {
        for (Pick pick : picks) {
            if (pick.unit == unit) return true;
        }
        return false;
    }
}
