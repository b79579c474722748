package sprucerock.rehearsal.fake;

/**
 * What is wrong with a build, if anything.
 *
 * @param amount a share of RPCs, a factor of work, a share of load or seconds, by what it is
 * @param method for METHOD: which one
 */
public record BuildFault(What what, double amount, int method) {
  public enum What {
    NONE,
    ERRORS,
    METHOD,
    SLOW,
    LOAD,
    LATE,
    WRONG,
    SLOWS_ALL
  }

  public static final BuildFault GOOD = new BuildFault(What.NONE, 0, 0);
}
