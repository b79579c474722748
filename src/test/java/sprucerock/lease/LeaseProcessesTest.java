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
 * Real processes under faults; the verdicts depend on the order of what landed and on one clock,
 * not on how fast anything went.
 */
public class LeaseProcessesTest {
  private Path folder;

  @BeforeMethod
  public void folder() throws Exception {
    folder = Files.createTempDirectory("leases");
  }

  @AfterMethod
  public void deleteFolder() throws Exception {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(one);
      }
    }
  }

  private LeaseProcessCluster.Result run(boolean checked, boolean fenced, int taken, int faults)
      throws Exception {
    try (LeaseProcessCluster cluster =
        new LeaseProcessCluster(folder, 30, TimeSpan.ofMs(400), checked, fenced, 7)) {
      cluster.run(taken, faults, 120);
      return cluster.end();
    }
  }

  @Test
  public void neverTwoHoldersNorALowerTokenAfterAHigher() throws Exception {
    LeaseProcessCluster.Result result = run(true, true, 300, 12);
    assertNull(result.violation(), result.toString());
    assertTrue(result.taken() >= 300, result.toString());
  }

  @Test
  public void checkerFindsActsWithoutALeaseCheck() throws Exception {
    assertNotNull(run(false, true, 300, 25).violation());
  }
}
