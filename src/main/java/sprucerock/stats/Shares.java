package sprucerock.stats;

/** Two shares beside each other. */
public final class Shares {
    private Shares() {}

    /** The standard error of the difference of two shares, if both samples came from one population. */
    public static double error(double hits, double size, double otherHits, double otherSize) {
        double pooled = (hits + otherHits + 1) / (size + otherSize + 2);
        return Math.sqrt(pooled * (1 - pooled) * (1 / size + 1 / Math.max(otherSize, 1)));
    }

    /** The chance of at least so many hits among so many trials, each with the given chance. */
    public static double tail(int hits, int trials, double each) {
        double term = Math.pow(1 - each, trials);
        double below = 0;
        for (int i = 0; i < Math.min(hits, trials + 1); i++) {
            below += term;
            term *= (trials - i) * each / ((i + 1) * (1 - each));
        }
        return Math.max(0, 1 - below);
    }

    /** Sum and count over all parts; of three or more without the one with the highest mean. */
    public static double[] withoutHighest(double[] sums, double[] counts) {
        double sum = 0;
        double count = 0;
        int highest = 0;
        for (int i = 0; i < sums.length; i++) {
            sum += sums[i];
            count += counts[i];
            if (sums[i] * Math.max(counts[highest], 1e-9) > sums[highest] * Math.max(counts[i], 1e-9)) highest = i;
        }
        boolean leave = sums.length > 2;
        return new double[] {leave ? sum - sums[highest] : sum, leave ? count - counts[highest] : count};
    }
}
