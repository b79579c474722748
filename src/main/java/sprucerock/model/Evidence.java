package sprucerock.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** What one relay saw of the offered build in its present stage. */
public final class Evidence {
    public int pairs;
    public int freshFailed;
    public int earlierFailed;
    /** Pairs of which both times are known, and those times. */
    public int timed;
    public final double[] freshTook;
    public final double[] earlierTook;
    public boolean slower;
    public boolean counted;
    /** Picks ended at the build since its release, and those that failed. */
    public int ended;
    public int errors;
    /** Units of the build that failed a pick since its release. */
    public int erring;
    /** Pairs that the peers have been told of. */
    public int told;
    /**
     * RPCs sent to the build alone, by method, and those whose like has not been sent to the earlier build
     * yet.
     */
    public final int[] singles;
    public final List<Deque<Pair>> waiting = new ArrayList<>();

    /** The counts of the pairs, to be told to peers. */
    public byte[] report(int build, int stage) {
        told = pairs;
        return new byte[] {3, (byte) build, (byte) stage, (byte) Math.min(pairs, 255),
            (byte) Math.min(freshFailed, 255), (byte) Math.min(earlierFailed, 255)};
    }

    public Evidence(int methods, int most) {
        freshTook = new double[most];
        earlierTook = new double[most];
        singles = new int[methods];
        for (int i = 0; i < methods; i++) waiting.add(new ArrayDeque<>());
    }
}
