package sprucerock.lab.slope;

/** One value of a series, at one size; values are 0 or more. */
public record Point(double size, double value) {
  public Point {
    RunResult.overZero("a size", size);
    RunResult.atLeastZero("a value", value);
  }
}
