package sprucerock.hardware;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests that are written for one family, met by another. Room that is promised is reckoned at
 * the upper bound of what is needed, room that is counted at the lower bound of what is there; so
 * there and back never yields more than was asked.
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
   * Units of another family, in parts of a unit; and by what they are limited.
   *
   * @param units NaN where the limit is TIME (no number of them helps) or NOT_KNOWN
   */
  public record Answer(double endpoints, Limit limit, String why) {
    public boolean known() {
      return !Double.isNaN(endpoints);
    }
  }

  // Beyond this a bound at 95% lies a factor of about two off: to promise by it would idle half of
  // a rack, and to count by it would be
  // worth nothing. Then it is said that it is not known.
  private static final double MOST_ERROR = 0.4;

  private final HardwareModel model;
  private final Map<Integer, Family> families = new TreeMap<>();
  private final double errors;
  private final double confidence;

  /** {@code confidence}: with which each single bound holds, from over 0.5 to under 1. */
  public CapacityTranslator(HardwareModel model, Iterable<Family> declared, double confidence) {
    if (!(confidence > 0.5 && confidence < 1)) {
      throw new IllegalArgumentException("a confidence is over 0.5 and under 1, not " + confidence);
    }
    this.model = model;
    this.confidence = confidence;
    for (Family one : declared) {
      families.put(one.kind(), one);
    }
    errors = model.standardErrors(confidence);
  }

  /**
   * How many units of {@code to} bear for certain what so many of {@code from} bear, with {@code
   * method} in most of the work.
   */
  public Answer needed(int method, double endpoints, int from, int to) {
    return translated(method, endpoints, from, to, 1);
  }

  /** How many units of {@code to} so many of {@code from} surely stand for. */
  public Answer counted(int method, double endpoints, int from, int to) {
    return translated(method, endpoints, from, to, -1);
  }

  private Answer translated(int method, double endpoints, int from, int to, int side) {
    if (from == to) {
      return new Answer(endpoints, Limit.NOTHING, "");
    }
    HardwareModel.Estimate capacity = model.capacityRatio(method, from, to);
    if (capacity == null) {
      return unknown(model.families().contains(from) ? to : from, "was not seen");
    }
    if (capacity.error() > MOST_ERROR) {
      return unknown(
          to,
          String.format(
              Locale.ROOT,
              "beside %d is known to a factor of %.1f only",
              from,
              Math.exp(errors * capacity.error())));
    }
    double most = Math.exp(capacity.log() + side * errors * capacity.error());
    Limit limit = Limit.CORES;
    Family one = families.get(from);
    Family other = families.get(to);
    if (one != null && other != null) {
      // what is promised needs the most of all, what is counted is worth the least of all
      if (one.memoryMb() > 0
          && other.memoryMb() > 0
          && side * (one.memoryMb() / other.memoryMb() - most) > 0) {
        most = one.memoryMb() / other.memoryMb();
        limit = Limit.MEMORY;
      }
      if (one.slots() > 0 && other.slots() > 0 && side * (one.slots() / other.slots() - most) > 0) {
        most = one.slots() / other.slots();
        limit = Limit.SLOTS;
      }
    }
    return new Answer(endpoints * most, limit, "");
  }

  private static Answer unknown(int family, String why) {
    return new Answer(Double.NaN, Limit.NOT_KNOWN, "family " + family + " " + why);
  }

  /**
   * Work of so many milliseconds on {@code from}: how long it takes on {@code to} at most, with the
   * stated confidence; NaN: not known.
   */
  public double atMost(int method, double ms, int from, int to) {
    if (from == to) {
      return ms;
    }
    HardwareModel.Estimate time = model.timeRatio(method, to, from);
    return time == null || time.error() > MOST_ERROR
        ? Double.NaN
        : ms * Math.exp(time.log() + errors * time.error());
  }

  /**
   * The same as {@link #needed}, for work that has to be done within a time: slower units may be no
   * good in any number.
   */
  public Answer needed(int method, double endpoints, int from, int to, double ms, double withinMs) {
    double longest = atMost(method, ms, from, to);
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
    return needed(method, endpoints, from, to);
  }

  public double confidence() {
    return confidence;
  }
}
