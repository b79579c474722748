package sprucerock.hardware;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Translates capacity of one family into another's. Capacity that is granted is reckoned at the
 * upper bound of what is needed, capacity that is counted at the lower bound of what is there; so
 * there and back never yields more than was asked. Immutable.
 */
public final class CapacityTranslator {
  /** What an amount is limited by. */
  public enum Limit {
    NOTHING,
    CORES,
    MEMORY,
    SLOTS,
    TIME,
    NOT_KNOWN
  }

  /**
   * Endpoints of another family, in parts of one; and by what they are limited.
   *
   * @param endpoints NaN where the limit is TIME (no number of them helps) or NOT_KNOWN
   */
  public record Answer(double endpoints, Limit limit, String reason) {
    /** Whether there is a number. */
    public boolean isKnown() {
      return !Double.isNaN(endpoints);
    }
  }

  /** What is granted needs the most of all, what is counted is worth the least of all. */
  private enum Bound {
    UPPER(1),
    LOWER(-1);

    private final int sign;

    Bound(int sign) {
      this.sign = sign;
    }

    /** Whether what both declare makes a bound that is beyond the factor; 0: not declared. */
    private boolean isExceeded(double from, double to, double factor) {
      return from > 0 && to > 0 && sign * (from / to - factor) > 0;
    }
  }

  // Beyond this a bound at 95% lies a factor of about two off: to grant by it would idle half of
  // a rack, and to count by it would be worth nothing. Then it is said that it is not known.
  private static final double MAX_ERROR = 0.4;

  private final HardwareModel model;
  private final Map<Integer, Family> families = new TreeMap<>();
  private final double standardErrors;
  private final double confidence;

  /**
   * From a model and what families are declared to have.
   *
   * @param confidence with which each single bound holds, over 0.5 and under 1
   * @throws IllegalArgumentException if the confidence is out of bounds
   */
  public CapacityTranslator(HardwareModel model, Iterable<Family> declared, double confidence) {
    if (!(confidence > 0.5 && confidence < 1)) {
      throw new IllegalArgumentException("a confidence is over 0.5 and under 1, not " + confidence);
    }
    this.model = model;
    this.confidence = confidence;
    for (Family family : declared) {
      families.put(family.kind(), family);
    }
    standardErrors = model.standardErrors(confidence);
  }

  /**
   * How many endpoints of {@code to} serve for certain what so many of {@code from} serve, with
   * {@code method} in most of the work.
   */
  public Answer requiredEndpoints(int method, double endpoints, int from, int to) {
    return translate(method, endpoints, from, to, Bound.UPPER);
  }

  /**
   * The same as {@link #needed}, for work that has to be done within a time: slower endpoints may
   * be of no use in any number.
   */
  public Answer requiredEndpoints(
      int method, double endpoints, int from, int to, double ms, double withinMs) {
    double longest = maxTimeMs(method, ms, from, to);
    if (Double.isNaN(longest)) {
      return unknown(to, "is not known well enough beside " + from);
    }
    if (longest > withinMs) {
      return new Answer(
          Double.NaN,
          Limit.TIME,
          String.format(
              Locale.ROOT,
              "work of %.0f ms may take %.0f on family %d, %.0f are allowed",
              ms,
              longest,
              to,
              withinMs));
    }
    return requiredEndpoints(method, endpoints, from, to);
  }

  /** How many endpoints of {@code to} so many of {@code from} surely stand for. */
  public Answer guaranteedEndpoints(int method, double endpoints, int from, int to) {
    return translate(method, endpoints, from, to, Bound.LOWER);
  }

  private Answer translate(int method, double endpoints, int from, int to, Bound bound) {
    if (from == to) {
      return new Answer(endpoints, Limit.NOTHING, "");
    }
    HardwareModel.Estimate ratio = model.capacityRatio(method, from, to);
    if (ratio == null) {
      return unknown(model.families().contains(from) ? to : from, "was not seen");
    }
    if (ratio.standardError() > MAX_ERROR) {
      return unknown(
          to,
          String.format(
              Locale.ROOT,
              "beside %d is known to a factor of %.1f only",
              from,
              Math.exp(standardErrors * ratio.standardError())));
    }
    double factor =
        Math.exp(ratio.logValue() + bound.sign * standardErrors * ratio.standardError());
    Limit limit = Limit.CORES;
    Family fromFamily = families.get(from);
    Family toFamily = families.get(to);
    if (fromFamily != null && toFamily != null) {
      if (bound.isExceeded(fromFamily.memoryMb(), toFamily.memoryMb(), factor)) {
        factor = fromFamily.memoryMb() / toFamily.memoryMb();
        limit = Limit.MEMORY;
      }
      if (bound.isExceeded(fromFamily.slots(), toFamily.slots(), factor)) {
        factor = fromFamily.slots() / toFamily.slots();
        limit = Limit.SLOTS;
      }
    }
    return new Answer(endpoints * factor, limit, "");
  }

  private static Answer unknown(int family, String why) {
    return new Answer(Double.NaN, Limit.NOT_KNOWN, "family " + family + " " + why);
  }

  /**
   * Work of so many milliseconds on {@code from}: how long it takes on {@code to} at most, with the
   * stated confidence; NaN: not known.
   */
  public double maxTimeMs(int method, double ms, int from, int to) {
    if (from == to) {
      return ms;
    }
    HardwareModel.Estimate time = model.timeRatio(method, to, from);
    return time == null || time.standardError() > MAX_ERROR
        ? Double.NaN
        : ms * Math.exp(time.logValue() + standardErrors * time.standardError());
  }

  /** With which each single bound holds. */
  public double confidence() {
    return confidence;
  }
}
