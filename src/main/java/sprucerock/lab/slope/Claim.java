package sprucerock.lab.slope;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * A demand held against its allowance.
 *
 * @param by what demands it
 * @param demand what it comes to at the size to plan with, in the series' unit
 * @param factor demand over limit, both in one unit; NaN if the demand isn't known or the units
 *     can't be compared
 */
public record Claim(
    Allowances.Allowance allowance, String by, Estimate demand, String unit, double factor) {
  /**
   * How many of its base unit each unit is; MB and KB are decimal, as limits and links state them.
   */
  private static final Map<String, Measure> MEASURES =
      Map.ofEntries(
          Map.entry("cores", new Measure("cores", 1)),
          Map.entry("bytes", new Measure("bytes", 1)),
          Map.entry("KB", new Measure("bytes", 1e3)),
          Map.entry("MB", new Measure("bytes", 1e6)),
          Map.entry("GB", new Measure("bytes", 1e9)),
          Map.entry("bytes/s", new Measure("bytes/s", 1)),
          Map.entry("KB/s", new Measure("bytes/s", 1e3)),
          Map.entry("MB/s", new Measure("bytes/s", 1e6)),
          Map.entry("Gbit/s", new Measure("bytes/s", 125e6)),
          Map.entry("s", new Measure("s", 1)),
          Map.entry("ms", new Measure("s", 1e-3)),
          Map.entry("us", new Measure("s", 1e-6)),
          Map.entry("ns", new Measure("s", 1e-9)));

  private record Measure(String base, double times) {}

  /** Over this, something is missing. */
  boolean over() {
    return factor > 1;
  }

  static Claim of(Allowances.Allowance allowance, String by, Estimate demand, String unit) {
    Measure asked = MEASURES.getOrDefault(unit, new Measure(unit, 1));
    Measure given = MEASURES.getOrDefault(allowance.unit(), new Measure(allowance.unit(), 1));
    if (!asked.base().equals(given.base())) {
      return new Claim(
          allowance,
          by,
          new Estimate(
              Double.NaN,
              "not compared: "
                  + (unit.isEmpty() ? "no unit" : unit)
                  + " against "
                  + allowance.unit()),
          unit,
          Double.NaN);
    }
    return new Claim(
        allowance,
        by,
        demand,
        unit,
        demand.value() * asked.times() / (allowance.limit() * given.times()));
  }

  /**
   * All claims; the one that lacks most stands first, those of which nothing is known stand last.
   * An allowance that nobody measured against is there, too.
   */
  static List<Claim> all(Allowances allowances, List<Series> series, List<CountedCost> counted) {
    List<Claim> claims = new ArrayList<>();
    for (Allowances.Allowance allowance : allowances.allowances()) {
      int before = claims.size();
      for (Series one : series) {
        if (allowances.on(allowance).stream().anyMatch(demand -> demand.of(one.figure()))) {
          claims.add(
              of(
                  allowance,
                  one.scene() + ", " + one.figure().subject() + ": " + one.figure().quantity(),
                  Estimate.of(one, Slope.of(one.points()), allowances.planningRelays()),
                  one.figure().unit()));
        }
      }
      for (CountedCost cost : counted) {
        if (!cost.allowanceKey().equals(allowance.key())) {
          continue;
        }
        Series one = cost.series();
        claims.add(
            of(
                allowance,
                "counted, " + cost.role() + ": " + cost.what(),
                Estimate.of(one, Slope.of(one.points()), cost.atSize()),
                cost.unit()));
      }
      if (claims.size() == before) {
        claims.add(
            new Claim(
                allowance,
                "-",
                new Estimate(Double.NaN, "not measured: no run and no count has it"),
                "",
                Double.NaN));
      }
    }
    claims.sort(
        Comparator.comparingDouble(
                (Claim claim) ->
                    Double.isNaN(claim.factor()) ? Double.NEGATIVE_INFINITY : claim.factor())
            .reversed());
    return claims;
  }
}
