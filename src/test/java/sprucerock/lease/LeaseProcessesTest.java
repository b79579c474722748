package sprucerock.lease;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/**
 * Real processes under fire; the verdicts hang on the order of what landed and on one clock, not on
 * how fast anything went.
 */
public class LeaseProcessesTest {
  private Path folder;

  @BeforeMethod
  public void folder() throws Exception {
    folder = Files.createTempDirectory("leases");
  }

  @AfterMethod
  public void away() throws Exception {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(one);
      }
    }
  }

  private LeaseProcessCluster.Result play(boolean guarded, boolean fenced, int taken, int troubles)
      throws Exception {
    try (LeaseProcessCluster fire =
        new LeaseProcessCluster(folder, 30, TimeSpan.ofMs(400), guarded, fenced, 7)) {
      fire.run(taken, troubles, 120);
      return fire.end();
    }
  }

  @Test
  public void neverTwoActAtOnceAndNoLowerNumberAfterAHigher() throws Exception {
    LeaseProcessCluster.Result result = play(true, true, 300, 12);
    assertNull(result.wrong(), result.toString());
    assertTrue(result.taken() >= 300, result.toString());
  }

  @Test
  public void theCheckerSeesOneWhoActsWithoutItsGuard() throws Exception {
    assertNotNull(play(false, true, 300, 25).wrong());
  }
}
