package sprucerock.lab.slope;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.List;

/**
 * A cost that a test counted instead of a run, such as bytes an entry, at some sizes; one entry of
 * docs/scale/counted.json.
 *
 * @param per what the sizes count, such as relays
 * @param atSize the size to plan with, in the same count
 * @param allowanceKey the allowance it uses, or empty
 * @param mechanism what makes the cost
 */
public record CountedCost(
    String role,
    String what,
    List<Double> measuredAt,
    List<Double> costAt,
    String unit,
    String per,
    double atSize,
    String allowanceKey,
    String mechanism,
    String note) {

  public CountedCost {
    RunResult.named("role", role);
    RunResult.named("what", what);
    RunResult.named("per", per);
    RunResult.overZero("at_size", atSize);
    if (unit == null) {
      unit = "";
    }
    if (allowanceKey == null) {
      allowanceKey = "";
    }
    if (mechanism == null) {
      mechanism = "";
    }
    if (note == null) {
      note = "";
    }
    measuredAt = List.copyOf(measuredAt);
    costAt = List.copyOf(costAt);
    if (measuredAt.isEmpty() || measuredAt.size() != costAt.size()) {
      throw new IllegalArgumentException(
          "measured_at has "
              + measuredAt.size()
              + " values and cost_at "
              + costAt.size()
              + "; both need as many, one or more");
    }
    for (int i = 0; i < measuredAt.size(); i++) {
      new Point(measuredAt.get(i), costAt.get(i)); // checks both
    }
  }

  /** Reads the file, a list of entries; the exception's line names the place and what is wrong. */
  public static List<CountedCost> parse(String text) throws BadTextException {
    return Json.read(text, new TypeReference<List<CountedCost>>() {});
  }

  /** The same as a series that can be fitted. */
  public Series series() {
    List<Point> points = new ArrayList<>();
    for (int i = 0; i < measuredAt.size(); i++) {
      points.add(new Point(measuredAt.get(i), costAt.get(i)));
    }
    return new Series("counted", new Figure(role, what, unit), points);
  }
}
