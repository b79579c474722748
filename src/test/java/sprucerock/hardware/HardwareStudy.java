package sprucerock.hardware;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures, by amount of traffic, the errors of translated time and capacity and how often a bound
 * at 95% holds. Compares them with three methods without a model: no translation, one factor for
 * all methods, and plain ratios of means. {@code HardwareStudy [fleets]}.
 */
public final class HardwareStudy {
  private HardwareStudy() {}

  private static double median(List<Double> values) {
    values.sort(null);
    return values.get(values.size() / 2);
  }

  public static void main(String[] args) {
    int fleets = args.length > 0 ? Integer.parseInt(args[0]) : 200;
    System.out.println(
        "four families, three methods, 12 windows; median error of a factor in percent; share of bounds of 95% that hold");
    for (int attempts : new int[] {100, 300, 1000, 3000, 10_000}) {
      Map<String, List<Double>> errorsByName = new TreeMap<>();
      int bounds = 0;
      int timeBoundsHeld = 0;
      int capacityBoundsHeld = 0;
      int knownCapacities = 0;
      for (int seed = 0; seed < fleets; seed++) {
        SimulatedHardware hardware = new SimulatedHardware(1000 + seed, 4);
        Observation observation = hardware.observe(12, attempts, 3);
        HardwareModel model = LeastSquaresFit.fit(observation, 0, build -> true, 1);
        double standardErrors = model.standardErrors(0.95);
        double[][] sums = new double[4][3];
        double[][] counts = new double[4][3];
        observation
            .since(0)
            .values()
            .forEach(
                window ->
                    window.forEach(
                        (cell, moments) -> {
                          sums[cell.family()][cell.method()] +=
                              moments.count() * Math.exp(moments.mean());
                          counts[cell.family()][cell.method()] += moments.count();
                        }));
        for (int a = 0; a < 4; a++) {
          for (int b = 0; b < 4; b++) {
            for (int m = 0; m < 3 && a != b; m++) {
              double time = Math.log(hardware.timeFactor(a, m) / hardware.timeFactor(b, m));
              double capacity = Math.log(hardware.capacity(a, m) / hardware.capacity(b, m));
              HardwareModel.Estimate ofTime = model.timeRatio(m, a, b);
              HardwareModel.Estimate ofCapacity = model.capacityRatio(m, a, b);
              if (ofTime == null) {
                continue;
              }
              bounds++;
              if (time < ofTime.logValue() + standardErrors * ofTime.standardError()) {
                timeBoundsHeld++;
              }
              if (capacity < ofCapacity.logValue() + standardErrors * ofCapacity.standardError()) {
                capacityBoundsHeld++;
              }
              if (ofCapacity.standardError() < 0.4) {
                knownCapacities++;
              }
              double raw = Math.log(sums[a][m] / counts[a][m] / (sums[b][m] / counts[b][m]));
              double global = 0;
              for (int n = 0; n < 3; n++) {
                global += Math.log(sums[a][n] / counts[a][n] / (sums[b][n] / counts[b][n])) / 3;
              }
              add(errorsByName, "1 time, model", ofTime.logValue() - time);
              add(errorsByName, "2 time, none", time);
              add(errorsByName, "3 time, one factor", global - time);
              add(errorsByName, "4 time, raw ratio", raw - time);
              add(errorsByName, "5 capacity, model", ofCapacity.logValue() - capacity);
              add(errorsByName, "6 capacity, none", capacity);
              add(errorsByName, "7 capacity, raw ratio of times", -raw - capacity);
            }
          }
        }
      }
      StringBuilder line =
          new StringBuilder(String.format(Locale.ROOT, "%6d picks a window:", attempts));
      errorsByName.forEach(
          (name, errorsOfName) ->
              line.append(
                  String.format(
                      Locale.ROOT,
                      "  %s %.1f%%",
                      name.substring(2),
                      100 * (Math.exp(median(errorsOfName)) - 1))));
      line.append(
          String.format(
              Locale.ROOT,
              "; bounds hold: time %.3f, capacity %.3f; capacity known %.2f",
              (double) timeBoundsHeld / bounds,
              (double) capacityBoundsHeld / bounds,
              (double) knownCapacities / bounds));
      System.out.println(line);
    }
  }

  private static void add(Map<String, List<Double>> errorsByName, String name, double error) {
    errorsByName.computeIfAbsent(name, absent -> new ArrayList<>()).add(Math.abs(error));
  }
}
