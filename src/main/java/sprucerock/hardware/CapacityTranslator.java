package sprucerock.hardware;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Translates capacity of one hardware family into capacity of another. Required capacity is the
 * upper bound of the estimate and guaranteed capacity the lower bound, so translation there and
 * back never yields more than the original capacity. Immutable.
 */
public final class CapacityTranslator {
  /** The resource that determines a translated capacity, or why there is none. */
  public enum Limit {
    /** The families are the same, so nothing was translated. */
    NOTHING,
    /** The estimated capacity, which depends on cores and speed. */
    CORES,
    /** The declared memory. */
    MEMORY,
    /** The declared slots. */
    SLOTS,
    /** The endpoints of the other family are too slow, so no number of them is enough. */
    TIME,
    /** A family was not observed, or the estimate is not precise enough. */
    NOT_KNOWN
  }

  /**
   * A translated capacity.
   *
   * @param endpoints the number of endpoints of the other family, not rounded; NaN if the limit is
   *     TIME or NOT_KNOWN
   * @param limit the resource that determines the number
   * @param reason why there is no number; empty if there is one
   */
  public record Answer(double endpoints, Limit limit, String reason) {
    /** Returns whether there is a number of endpoints. */
    public boolean isKnown() {
      return !Double.isNaN(endpoints);
    }
  }

  /** The bound of the estimate: UPPER for required, LOWER for guaranteed endpoints. */
  private enum Bound {
    UPPER(1),
    LOWER(-1);

    private final int sign;

    Bound(int sign) {
      this.sign = sign;
    }

    /**
     * Returns whether the ratio of two declared amounts is a stricter bound than the factor. 0
     * means that an amount is not declared, which gives no bound.
     */
    private boolean isStricter(double from, double to, double factor) {
      return from > 0 && to > 0 && sign * (from / to - factor) > 0;
    }
  }

  // With a larger error a bound at 95% is off by a factor of about two: a required capacity would
  // leave half of a rack idle, and a guaranteed capacity would be useless. Such capacities are
  // reported as not known.
  private static final double MAX_LOG_ERROR = 0.4;

  private final HardwareModel model;
  private final Map<Integer, Family> families = new TreeMap<>();
  private final double standardErrors;
  private final double confidence;

  /**
   * Creates a translator from a model and the declared families.
   *
   * @param confidence the confidence of each single bound, over 0.5 and under 1
   * @throws IllegalArgumentException if the confidence is out of bounds
   */
  public CapacityTranslator(HardwareModel model, Iterable<Family> declared, double confidence) {
    if (!(confidence > 0.5 && confidence < 1)) {
      throw new IllegalArgumentException(
          "confidence must be over 0.5 and under 1, not " + confidence);
    }
    this.model = model;
    this.confidence = confidence;
    for (Family family : declared) {
      families.put(family.kind(), family);
    }
    standardErrors = model.standardErrors(confidence);
  }

  /**
   * Returns how many endpoints of family {@code to} are required to replace endpoints of family
   * {@code from}, if most of the work is of one method.
   */
  public Answer requiredEndpoints(int method, double endpoints, int from, int to) {
    return translate(method, endpoints, from, to, Bound.UPPER);
  }

  /**
   * Returns how many endpoints of family {@code to} are required to replace endpoints of family
   * {@code from}, if the work has a time limit. The answer is {@link Limit#TIME}, without a number,
   * if the work may take longer than that on family {@code to}.
   *
   * @param ms the duration of the work on family {@code from}
   * @param withinMs the longest duration allowed on family {@code to}
   */
  public Answer requiredEndpoints(
      int method, double endpoints, int from, int to, double ms, double withinMs) {
    double maxMs = maxTimeMs(method, ms, from, to);
    if (Double.isNaN(maxMs)) {
      return unknown(to, "cannot be compared with family " + from + " precisely enough");
    }
    if (maxMs > withinMs) {
      return new Answer(
          Double.NaN,
          Limit.TIME,
          String.format(
              Locale.ROOT,
              "work of %.0f ms may take %.0f ms on family %d, but only %.0f ms are allowed",
              ms,
              maxMs,
              to,
              withinMs));
    }
    return requiredEndpoints(method, endpoints, from, to);
  }

  /**
   * Returns how many endpoints of family {@code to} a number of endpoints of family {@code from}
   * can replace, at the translator's confidence.
   */
  public Answer guaranteedEndpoints(int method, double endpoints, int from, int to) {
    return translate(method, endpoints, from, to, Bound.LOWER);
  }

  private Answer translate(int method, double endpoints, int from, int to, Bound bound) {
    if (from == to) {
      return new Answer(endpoints, Limit.NOTHING, "");
    }
    HardwareModel.Estimate ratio = model.capacityRatio(method, from, to);
    if (ratio == null) {
      return unknown(model.families().contains(from) ? to : from, "has not been observed");
    }
    if (ratio.standardError() > MAX_LOG_ERROR) {
      return unknown(
          to,
          String.format(
              Locale.ROOT,
              "has a capacity, relative to family %d, that is known only to a factor of %.1f",
              from,
              Math.exp(standardErrors * ratio.standardError())));
    }
    double factor =
        Math.exp(ratio.logValue() + bound.sign * standardErrors * ratio.standardError());
    Limit limit = Limit.CORES;
    Family fromFamily = families.get(from);
    Family toFamily = families.get(to);
    if (fromFamily != null && toFamily != null) {
      if (bound.isStricter(fromFamily.memoryMb(), toFamily.memoryMb(), factor)) {
        factor = fromFamily.memoryMb() / toFamily.memoryMb();
        limit = Limit.MEMORY;
      }
      if (bound.isStricter(fromFamily.slots(), toFamily.slots(), factor)) {
        factor = fromFamily.slots() / toFamily.slots();
        limit = Limit.SLOTS;
      }
    }
    return new Answer(endpoints * factor, limit, "");
  }

  private static Answer unknown(int family, String reason) {
    return new Answer(Double.NaN, Limit.NOT_KNOWN, "family " + family + " " + reason);
  }

  /**
   * Returns how long work takes at most on family {@code to}, at the translator's confidence; NaN:
   * not known.
   *
   * @param ms the duration of the work on family {@code from}
   */
  public double maxTimeMs(int method, double ms, int from, int to) {
    if (from == to) {
      return ms;
    }
    HardwareModel.Estimate time = model.timeRatio(method, to, from);
    return time == null || time.standardError() > MAX_LOG_ERROR
        ? Double.NaN
        : ms * Math.exp(time.logValue() + standardErrors * time.standardError());
  }

  /** Returns the confidence of each single bound. */
  public double confidence() {
    return confidence;
  }
}
