package sprucerock.controller.comparison;

/**
 * Two relays alike in zone, load and age, of which one changes and the other, restarted with it,
 * does not. Their windows come together; those with little in them are put together until there is
 * enough, so that neither is seen more finely than the other: a relay with two RPCs in a window
 * would look perfect in most of them and terrible in a few.
 */
public final class MatchedWindows {
  /**
   * RPCs on each side for one look. With 25, a share of 0.97 strays by 0.05 between two that are
   * alike.
   */
  static final int ENOUGH = 25;

  private static final int KINDS = Measure.values().length;

  private final Comparison all;

  /**
   * By how much the one that changes was worse already before it did: sums, their squares, looks.
   */
  private final double[] earlier = new double[KINDS];

  private final double[] squares = new double[KINDS];
  private final int[] looks = new int[KINDS];
  private Window changing = Window.NONE;
  private Window staying = Window.NONE;
  private Window firstChanged;
  private Window firstStayed;

  MatchedWindows(Comparison all) {
    this.all = all;
  }

  /** A window before the change: what they differ in by themselves is not blamed on it. */
  public void before(Window changes, Window stays) {
    if (!enough(changes, stays)) {
      return;
    }
    for (Measure measure : Measure.values()) {
      double worse = changing.of(measure, changing) - staying.of(measure, staying);
      if (!Double.isFinite(worse) || measure == Measure.GROWTH) {
        continue;
      }
      earlier[measure.ordinal()] += worse;
      squares[measure.ordinal()] += worse * worse;
      looks[measure.ordinal()]++;
    }
    changing = Window.NONE;
    staying = Window.NONE;
  }

  /** A window after it. */
  public void after(Window changed, Window stayed) {
    if (firstChanged == null) {
      begin();
    }
    if (!enough(changed, stayed)) {
      return;
    }
    if (firstChanged == Window.NONE) {
      firstChanged = changing;
      firstStayed = staying;
    }
    for (Measure measure : Measure.values()) {
      double worse = changing.of(measure, firstChanged) - staying.of(measure, firstStayed);
      if (Double.isFinite(worse)) {
        all.seen(measure, worse - usual(measure), stray(measure));
      }
    }
    changing = Window.NONE;
    staying = Window.NONE;
  }

  private void begin() { // nothing of before counts as after
    changing = Window.NONE;
    staying = Window.NONE;
    firstChanged = Window.NONE;
    all.joined();
  }

  private boolean enough(Window one, Window other) {
    changing = changing.and(one);
    staying = staying.and(other);
    return changing.rpcs() >= ENOUGH && staying.rpcs() >= ENOUGH;
  }

  /** Drawn towards no difference by four looks: what few looks show is mostly chance. */
  private double usual(Measure measure) {
    int i = measure.ordinal();
    return earlier[i] / (looks[i] + 4);
  }

  /**
   * A standard error of the usual difference; that of a difference nobody looked at is the reach's
   * eighth.
   */
  private double stray(Measure measure) {
    int i = measure.ordinal();
    double unknown = measure.reach / 8;
    double mean = earlier[i] / Math.max(looks[i], 1);
    double variance =
        (Math.max(0, squares[i] - looks[i] * mean * mean) + unknown * unknown) / (looks[i] + 1);
    return Math.sqrt(variance / (looks[i] + 1));
  }
}
