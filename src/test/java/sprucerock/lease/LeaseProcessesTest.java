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
 * Real processes under faults. The checks compare the order of received acts, and times of one
 * clock that all processes read. They do not depend on the speed of the machine.
 */
public class LeaseProcessesTest {
  private Path folder;

  @BeforeMethod
  public void createFolder() throws Exception {
    folder = Files.createTempDirectory("leases");
  }

  @AfterMethod
  public void deleteFolder() throws Exception {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private LeaseProcessCluster.Result run(
      boolean checksLease, boolean checksToken, int acquisitions, int faults) throws Exception {
    try (LeaseProcessCluster cluster =
        new LeaseProcessCluster(folder, 30, TimeSpan.ofMs(400), checksLease, checksToken, 7)) {
      cluster.run(acquisitions, faults, 120);
      return cluster.end();
    }
  }

  @Test
  public void neverHasTwoHoldersOrALowerTokenAfterAHigher() throws Exception {
    LeaseProcessCluster.Result result = run(true, true, 300, 12);
    assertNull(result.violation(), result.toString());
    assertTrue(result.acquisitions() >= 300, result.toString());
  }

  @Test
  public void findsActsWithoutALeaseCheck() throws Exception {
    assertNotNull(run(false, true, 300, 25).violation());
  }
}
