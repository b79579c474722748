package sprucerock.relay.platform.soak;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A short soak with seeds that stay the same; the long one is {@link SoakMain}. */
public class ServeSoakTest {
  private static final int SECONDS = 5;

  /** A crowd, every kind of bad client, a part of a core, a kill, usual clients alone. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{2L}, {4L}, {5L}, {8L}, {10L}, {12L}, {18L}, {29L}};
  }

  @Test(dataProvider = "seeds")
  public void everyRequestGetsOneFinalAnswer(long seed) throws Exception {
    try (Soak soak = new Soak(SoakPlan.of(seed, SECONDS), Soak.ANY_MACHINE_WAIT_MS)) {
      SoakReport report = soak.run(Soak.deployOptions());
      System.out.println(report);
      assertTrue(report.isClean(), report.toString());
    }
  }
}
