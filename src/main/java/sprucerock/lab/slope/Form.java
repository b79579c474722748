package sprucerock.lab.slope;

import java.util.List;
import org.hipparchus.stat.regression.SimpleRegression;

/** How a cost goes with size N. */
public sealed interface Form {
  /** The cost at a size. */
  double at(double size);

  /** As a person writes it. */
  String formula();

  /** c N^k, by least squares on logarithms; {@code halfWidth} is that of the 95% interval of k. */
  record Power(double c, double k, double halfWidth) implements Form {
    /**
     * Needs values over 0 at two sizes at least; with fewer than three points the interval is NaN.
     */
    static Power fit(List<Point> points) {
      SimpleRegression regression = new SimpleRegression();
      for (Point point : points) {
        regression.addData(Math.log(point.size()), Math.log(point.value()));
      }
      double half =
          points.size() < 3
              ? Double.NaN
              : regression.getSlopeConfidenceInterval(); // 0.05 is its default
      return new Power(Math.exp(regression.getIntercept()), regression.getSlope(), half);
    }

    @Override
    public double at(double size) {
      return c * Math.pow(size, k);
    }

    @Override
    public String formula() {
      return Numbers.text(c) + " N^" + Numbers.fixed(k);
    }
  }

  /** a + b N, by least squares. */
  record Linear(double a, double b) implements Form {
    /** Needs two sizes at least. */
    static Linear fit(List<Point> points) {
      SimpleRegression regression = new SimpleRegression();
      for (Point point : points) {
        regression.addData(point.size(), point.value());
      }
      return new Linear(regression.getIntercept(), regression.getSlope());
    }

    @Override
    public double at(double size) {
      return a + b * size;
    }

    @Override
    public String formula() {
      return Numbers.text(a) + (b < 0 ? " - " : " + ") + Numbers.text(Math.abs(b)) + " N";
    }
  }
}
