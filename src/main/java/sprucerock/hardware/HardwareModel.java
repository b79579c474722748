package sprucerock.hardware;

import java.util.List;
import java.util.function.Consumer;
import org.hipparchus.distribution.continuous.TDistribution;

/**
 * What families are worth beside each other, with how well that is known. Never changed; a later
 * one takes its place by {@link #isNewerThan}.
 */
public final class HardwareModel {
  /** The logarithm of a factor, and its standard error. */
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
   * Takes a fit as it was made; the arrays are not copied.
   *
   * @param number of the lease under which it was fitted
   * @param window the newest that it was fitted to
   * @param times by method (last: for all), family and other family: how many times as long, at low
   *     load
   * @param cores by family: how many attempts side by side
   * @param free degrees of freedom behind the errors, 1 at least
   */
  public HardwareModel(
      long number,
      long window,
      List<Integer> families,
      List<Integer> methods,
      Estimate[][][] times,
      Estimate[] cores,
      int free) {
    if (times.length != methods.size() + 1 || cores.length != families.size() || free < 1) {
      throw new IllegalArgumentException("a model of other size than its families and methods");
    }
    this.fencingToken = number;
    this.newestWindow = window;
    this.families = List.copyOf(families);
    this.methods = List.copyOf(methods);
    this.timeRatios = times;
    this.concurrency = cores;
    this.degreesOfFreedom = free;
  }

  /** From its numbers in a row: times by method (last: for all), family, other family. */
  public static HardwareModel of(
      long number,
      long window,
      List<Integer> families,
      List<Integer> methods,
      List<Double> logs,
      List<Double> errors,
      List<Double> cores,
      List<Double> coresErrors,
      int free) {
    Estimate[][][] times = new Estimate[methods.size() + 1][families.size()][families.size()];
    int at = 0;
    for (Estimate[][] method : times) {
      for (Estimate[] family : method) {
        for (int b = 0; b < family.length; b++, at++) {
          family[b] = new Estimate(logs.get(at), errors.get(at));
        }
      }
    }
    Estimate[] all = new Estimate[families.size()];
    for (int a = 0; a < all.length; a++) {
      all[a] = new Estimate(cores.get(a), coresErrors.get(a));
    }
    return new HardwareModel(number, window, families, methods, times, all, free);
  }

  /** All times, in the order of {@link #of}. */
  public void forEachTimeRatio(Consumer<Estimate> each) {
    for (Estimate[][] method : timeRatios) {
      for (Estimate[] family : method) {
        for (Estimate one : family) {
          each.accept(one);
        }
      }
    }
  }

  /** Of the lease under which it was fitted. */
  public long fencingToken() {
    return fencingToken;
  }

  /** The newest window that it was fitted to. */
  public long newestWindow() {
    return newestWindow;
  }

  /** Of a later holder, or of the same one and later windows. */
  public boolean isNewerThan(HardwareModel other) {
    return other == null
        || fencingToken > other.fencingToken
        || (fencingToken == other.fencingToken && newestWindow > other.newestWindow);
  }

  /** Families that were seen, in the order of {@link #of}. */
  public List<Integer> families() {
    return families;
  }

  /** Methods that were seen, in the order of {@link #of}. */
  public List<Integer> methods() {
    return methods;
  }

  /** Degrees of freedom behind the errors, 1 at least. */
  public int degreesOfFreedom() {
    return degreesOfFreedom;
  }

  /**
   * How many times as long a method takes on one family as on another at low load, or all methods
   * where it was not seen; null: a family was never seen.
   */
  public Estimate timeRatio(int method, int on, int than) {
    int a = families.indexOf(on);
    int b = families.indexOf(than);
    int m = methods.indexOf(method);
    return a < 0 || b < 0 ? null : timeRatios[m < 0 ? methods.size() : m][a][b];
  }

  /**
   * How many times as many attempts of a method a second an endpoint of one family serves as one of
   * another; null as above.
   */
  public Estimate capacityRatio(int method, int of, int than) {
    Estimate time = timeRatio(method, of, than);
    if (time == null) {
      return null;
    }
    if (of == than) {
      return new Estimate(0, 0);
    }
    return concurrency(of).minus(concurrency(than)).minus(time);
  }

  /**
   * How many attempts side by side an endpoint of a family serves before they slow each other;
   * null: it was never seen.
   */
  public Estimate concurrency(int family) {
    int f = families.indexOf(family);
    return f < 0 ? null : concurrency[f];
  }

  /**
   * How many standard errors lie between an estimate and a bound that holds with that confidence,
   * over 0.5 and under 1.
   */
  public double standardErrors(double confidence) {
    return new TDistribution(degreesOfFreedom).inverseCumulativeProbability(confidence);
  }
}
