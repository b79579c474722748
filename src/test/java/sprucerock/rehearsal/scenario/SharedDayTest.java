package sprucerock.rehearsal.scenario;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/**
 * Relays, granters among them, and the controller on its lease as processes of their own; verdicts
 * from what landed where, not from speed. A relay that starts while a rack is frozen holds no
 * promise yet: it is to place nothing until it does.
 */
public class SharedDayTest {
  @Test
  public void nothingIsPlacedOnAFrozenRackAndOneLooksAtATimeThoughWaysAreCutAndProcessesKilled()
      throws Exception {
    Path folder = Files.createTempDirectory("shared-day");
    Path script = folder.resolve("a.day");
    Files.writeString(
        script,
        """
            day "a short day of what the fleet shares"
            seed 9
            lasts 26s
            relays 4
            units 4 zone 0 cores 4 speed 1.0
            units 4 zone 1 cores 4 speed 1.0
            controller real
            leases granters 3 term 3s looks 20ms
            racks 2 each notice 2s
            votes single life 4s answer 1s bake 2s
            method price-list idempotent share 60% work 3ms soft 800ms deadline 1s utility 2
            method reserve tokened 4s share 40% work 3ms soft 800ms deadline 1s utility 5
            allow picks 5 second-copies cancel peers retry-after 500ms
            traffic 90/s
            clients 1 retries 2 after 80ms impatient 0%
            at 1s freeze z0r1 in 6s lasts 8s
            at 3s ways of relays 2 to 3 cut for 8s
            at 4s relay 0 killed for 1s
            at 9s ways of leases 1 to 2 cut for 4s
            at 15s relay 3 killed for 1s
            at 16s freeze z1r1 at once lasts 7s
            at 17s ways of leases 0 to 3 reset for 500ms
            """);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    boolean well = Rehearsal.play(script, folder, new PrintStream(out));
    String report = Files.readString(folder.resolve("report.txt"));
    assertTrue(well, "see " + folder + "\n" + report);
    assertTrue(report.contains("rules kept"), report);
    assertTrue(report.contains("freeze 1 of [z0r1]: in force, no promise reaches into it"), report);
    assertTrue(report.contains(", 0 picks came to them meanwhile"), report);
    assertTrue(report.contains("lease of looks: "), report);
    String log = Files.readString(folder.resolve("controller").resolve("controller.log"));
    assertTrue(log.contains("LEASE controller is held under "), log);
  }
}
