package sprucerock.lab.slope;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What may be used at the size to plan with, as docs/scale/allowance.json has it, and which
 * measured figures use it.
 *
 * @param planningRelays the size to plan with
 * @param planningNote where that size comes from
 */
public record Allowances(
    int format,
    int planningRelays,
    String planningNote,
    List<Allowance> allowances,
    List<Demand> demands) {
  /**
   * One limit.
   *
   * @param limit in {@code unit}, over 0
   * @param assumed whether nobody stated it
   * @param source where it comes from
   */
  public record Allowance(
      String key, String what, double limit, String unit, boolean assumed, String source) {
    public Allowance {
      RunResult.named("key", key);
      RunResult.named("what", what);
      RunResult.overZero("limit", limit);
      RunResult.named("unit", unit);
      RunResult.named("source", source);
    }
  }

  /** Which figures count against an allowance; a subject "*" is any that has the quantity. */
  public record Demand(String allowance, String subject, String quantity) {
    public Demand {
      RunResult.named("allowance", allowance);
      RunResult.named("subject", subject);
      RunResult.named("quantity", quantity);
    }

    boolean of(Figure figure) {
      return (subject.equals("*") || subject.equals(figure.subject()))
          && quantity.equals(figure.quantity());
    }
  }

  public Allowances {
    if (format != 1) {
      throw new IllegalArgumentException("format is 1, not " + format);
    }
    if (planningRelays < 1) {
      throw new IllegalArgumentException("planning_relays is 1 or more, not " + planningRelays);
    }
    RunResult.named("planning_note", planningNote);
    allowances = List.copyOf(allowances);
    demands = List.copyOf(demands);
    Set<String> keys = new HashSet<>();
    for (Allowance allowance : allowances) {
      if (!keys.add(allowance.key())) {
        throw new IllegalArgumentException("allowance " + allowance.key() + " stands twice");
      }
    }
    for (Demand demand : demands) {
      if (!keys.contains(demand.allowance())) {
        throw new IllegalArgumentException(
            "demand on " + demand.allowance() + ", which is no allowance's key");
      }
    }
  }

  /** Reads the settings; the exception's line names the place and what is wrong. */
  public static Allowances parse(String text) throws BadTextException {
    return Json.read(text, new TypeReference<Allowances>() {});
  }

  /** The allowance of a key, or null. */
  Allowance of(String key) {
    for (Allowance allowance : allowances) {
      if (allowance.key().equals(key)) {
        return allowance;
      }
    }
    return null;
  }

  List<Demand> on(Allowance allowance) {
    List<Demand> found = new ArrayList<>();
    for (Demand demand : demands) {
      if (demand.allowance().equals(allowance.key())) {
        found.add(demand);
      }
    }
    return found;
  }
}
