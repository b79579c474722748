package sprucerock.hardware;

import java.util.List;
import java.util.function.Consumer;
import org.hipparchus.distribution.continuous.TDistribution;

/**
 * The relative speed and capacity of hardware families, with the errors of the estimates.
 * Immutable; a newer model, by {@link #isNewerThan}, replaces it.
 */
public final class HardwareModel {
  /** The logarithm of a factor or number, and its standard error. */
  public record Estimate(double logValue, double standardError) {
    Estimate minus(Estimate other) {
      return new Estimate(
          logValue - other.logValue, Math.hypot(standardError, other.standardError));
    }
  }

  private final long fencingToken;
  private final long newestWindow;
  private final List<Integer> families;
  private final List<Integer> methods;
  private final Estimate[][][] timeRatios;
  private final Estimate[] concurrency;
  private final int degreesOfFreedom;

  /**
   * Creates a model from a fit. The arrays are not copied.
   *
   * @param fencingToken the token of the lease under which the model was fitted
   * @param newestWindow the newest window that the model was fitted to
   * @param timeRatios by method (last: all methods), family and other family: the method's time at
   *     low load on the family, divided by its time on the other family
   * @param concurrency by family: how many concurrent attempts an endpoint serves before they slow
   *     each other down
   * @param degreesOfFreedom the degrees of freedom of the errors, at least 1
   */
  public HardwareModel(
      long fencingToken,
      long newestWindow,
      List<Integer> families,
      List<Integer> methods,
      Estimate[][][] timeRatios,
      Estimate[] concurrency,
      int degreesOfFreedom) {
    if (timeRatios.length != methods.size() + 1
        || concurrency.length != families.size()
        || degreesOfFreedom < 1) {
      throw new IllegalArgumentException(
          "hardware model of "
              + families.size()
              + " families and "
              + methods.size()
              + " methods has "
              + timeRatios.length
              + " tables of time ratios (must be one for each method and one for all), "
              + concurrency.length
              + " concurrency values (must be one for each family) and "
              + degreesOfFreedom
              + " degrees of freedom (must be at least 1)");
    }
    this.fencingToken = fencingToken;
    this.newestWindow = newestWindow;
    this.families = List.copyOf(families);
    this.methods = List.copyOf(methods);
    this.timeRatios = timeRatios;
    this.concurrency = concurrency;
    this.degreesOfFreedom = degreesOfFreedom;
  }

  /**
   * Creates a model from flat lists.
   *
   * @param logs the logarithms of the time ratios, ordered by method (last: all methods), family
   *     and other family
   * @param errors the standard errors of {@code logs}, in the same order
   * @param cores the logarithms of the concurrency, by family
   * @param coresErrors the standard errors of {@code cores}
   */
  public static HardwareModel of(
      long fencingToken,
      long newestWindow,
      List<Integer> families,
      List<Integer> methods,
      List<Double> logs,
      List<Double> errors,
      List<Double> cores,
      List<Double> coresErrors,
      int degreesOfFreedom) {
    Estimate[][][] timeRatios = new Estimate[methods.size() + 1][families.size()][families.size()];
    int index = 0;
    for (Estimate[][] method : timeRatios) {
      for (Estimate[] family : method) {
        for (int other = 0; other < family.length; other++, index++) {
          family[other] = new Estimate(logs.get(index), errors.get(index));
        }
      }
    }
    Estimate[] concurrency = new Estimate[families.size()];
    for (int family = 0; family < concurrency.length; family++) {
      concurrency[family] = new Estimate(cores.get(family), coresErrors.get(family));
    }
    return new HardwareModel(
        fencingToken, newestWindow, families, methods, timeRatios, concurrency, degreesOfFreedom);
  }

  /** Passes all time ratios to a consumer, in the order of {@link #of}. */
  public void forEachTimeRatio(Consumer<Estimate> consumer) {
    for (Estimate[][] method : timeRatios) {
      for (Estimate[] family : method) {
        for (Estimate ratio : family) {
          consumer.accept(ratio);
        }
      }
    }
  }

  /** Returns the token of the lease under which the model was fitted. */
  public long fencingToken() {
    return fencingToken;
  }

  /** Returns the newest window that the model was fitted to. */
  public long newestWindow() {
    return newestWindow;
  }

  /**
   * Returns whether the model is of a later lease holder, or of the same one and a later window.
   */
  public boolean isNewerThan(HardwareModel other) {
    return other == null
        || fencingToken > other.fencingToken
        || (fencingToken == other.fencingToken && newestWindow > other.newestWindow);
  }

  /** Returns the observed families, in the order of {@link #of}. */
  public List<Integer> families() {
    return families;
  }

  /** Returns the observed methods, in the order of {@link #of}. */
  public List<Integer> methods() {
    return methods;
  }

  /** Returns the degrees of freedom of the errors, at least 1. */
  public int degreesOfFreedom() {
    return degreesOfFreedom;
  }

  /**
   * Returns the ratio of a method's time on one family to its time on another at low load; the
   * ratio for all methods if the method was not observed; null if a family was not observed.
   *
   * @param numerator the family of the numerator
   * @param denominator the family of the denominator
   */
  public Estimate timeRatio(int method, int numerator, int denominator) {
    int a = families.indexOf(numerator);
    int b = families.indexOf(denominator);
    int m = methods.indexOf(method);
    return a < 0 || b < 0 ? null : timeRatios[m < 0 ? methods.size() : m][a][b];
  }

  /**
   * Returns the ratio of the attempts of a method that an endpoint of one family serves each second
   * to those that an endpoint of another family serves; null if a family was not observed.
   *
   * @param numerator the family of the numerator
   * @param denominator the family of the denominator
   */
  public Estimate capacityRatio(int method, int numerator, int denominator) {
    Estimate time = timeRatio(method, numerator, denominator);
    if (time == null) {
      return null;
    }
    if (numerator == denominator) {
      return new Estimate(0, 0);
    }
    return concurrency(numerator).minus(concurrency(denominator)).minus(time);
  }

  /**
   * Returns how many concurrent attempts an endpoint of a family serves before they slow each other
   * down; null if the family was not observed.
   */
  public Estimate concurrency(int family) {
    int f = families.indexOf(family);
    return f < 0 ? null : concurrency[f];
  }

  /**
   * Returns how many standard errors lie between an estimate and its one-sided bound.
   *
   * @param confidence the confidence of the bound, over 0.5 and under 1
   */
  public double standardErrors(double confidence) {
    return new TDistribution(degreesOfFreedom).inverseCumulativeProbability(confidence);
  }
}
