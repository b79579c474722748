package sprucerock.lease;

import sprucerock.time.TimeSpan;

/**
 * Runs the state-space search with bounds that take minutes: {@code StateSpaceSearchMain [ticks
 * requests grantor-crashes client-crashes stalls maxStates]}.
 */
public final class StateSpaceSearchMain {
  private StateSpaceSearchMain() {}

  public static void main(String[] args) {
    int[] bounds = new int[] {5, 3, 1, 0, 1, 20_000_000};
    for (int i = 0; i < args.length; i++) {
      bounds[i] = Integer.parseInt(args[i]);
    }
    StateSpaceSearch.Bounds searchBounds =
        new StateSpaceSearch.Bounds(
            bounds[0], bounds[1], bounds[2], bounds[3], bounds[4], bounds[5]);
    for (double randomValue : new double[] {0, 0.99}) {
      for (double[] clockRates : LeaseSafetyTest.CLOCK_RATES) {
        long startNanos = System.nanoTime();
        StateSpaceSearch.Result result =
            StateSpaceSearch.explore(
                () ->
                    LeaseSafetyTest.simulation(
                        new LeaseSimulation.PartyFactory() {}, randomValue, clockRates),
                searchBounds);
        System.out.println(
            searchBounds
                + " chance "
                + randomValue
                + " paces "
                + java.util.Arrays.toString(clockRates)
                + ": "
                + result
                + ", "
                + (System.nanoTime() - startNanos) / 1_000_000
                + " ms");
      }
    }
  }

  static final TimeSpan TERM = TimeSpan.ofMs(4);
}
