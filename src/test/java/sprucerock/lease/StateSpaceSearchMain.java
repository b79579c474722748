package sprucerock.lease;

import sprucerock.time.TimeSpan;

/**
 * The search at sizes that take minutes: {@code StateSpaceSearchMain [ticks requests
 * grantor-crashes client-crashes stalls maxStates]}.
 */
public final class StateSpaceSearchMain {
  private StateSpaceSearchMain() {}

  public static void main(String[] args) {
    int[] n = new int[] {5, 3, 1, 0, 1, 20_000_000};
    for (int i = 0; i < args.length; i++) {
      n[i] = Integer.parseInt(args[i]);
    }
    StateSpaceSearch.Bounds bounds =
        new StateSpaceSearch.Bounds(n[0], n[1], n[2], n[3], n[4], n[5]);
    for (double chance : new double[] {0, 0.99}) {
      for (double[] paces : LeaseSafetyTest.PACES) {
        long began = System.nanoTime();
        StateSpaceSearch.Result result =
            StateSpaceSearch.explore(
                () ->
                    LeaseSafetyTest.simulation(
                        new LeaseSimulation.PartyFactory() {}, chance, paces),
                bounds);
        System.out.println(
            bounds
                + " chance "
                + chance
                + " paces "
                + java.util.Arrays.toString(paces)
                + ": "
                + result
                + ", "
                + (System.nanoTime() - began) / 1_000_000
                + " ms");
      }
    }
  }

  static final TimeSpan TERM = TimeSpan.ofMs(4);
}
