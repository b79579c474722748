package sprucerock.lab.slope;

import java.util.List;
import java.util.OptionalDouble;

/** One figure of one scene over the sizes that were run. */
public record Series(String scene, Figure figure, List<Point> points) {
  public Series {
    points = List.copyOf(points);
  }

  /** The mean of what was measured at exactly this size, if anything was. */
  public OptionalDouble at(double size) {
    return points.stream()
        .filter(point -> point.size() == size)
        .mapToDouble(Point::value)
        .average();
  }

  /** The same without what was measured at a size that is held out. */
  public Series without(double size) {
    return new Series(
        scene, figure, points.stream().filter(point -> point.size() != size).toList());
  }
}
