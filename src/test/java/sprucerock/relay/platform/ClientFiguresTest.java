package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** The log's line on clients. */
public class ClientFiguresTest {
  @Test
  public void countsGoOnAndPeaksBeginAnew() {
    ClientFigures figures = new ClientFigures();
    figures.accepted();
    figures.refused(RefusalReason.NO_ROOM);
    figures.sample(4096, 2048, TimeSpan.ofMs(7));
    figures.sample(1024, 1024, TimeSpan.ofMs(3));
    assertTrue(figures.hasRefused());
    assertEquals(
        figures.line(),
        "accepted 1 rejected 0 left-open 0 unsent-peak-kb 4 commands-peak-kb 2"
            + " longest-delay-ms 7 NO_ROOM 1");
    assertFalse(figures.hasRefused());
    figures.rejected();
    figures.leftOpen();
    assertEquals(
        figures.line(),
        "accepted 1 rejected 1 left-open 1 unsent-peak-kb 0 commands-peak-kb 0"
            + " longest-delay-ms 0 NO_ROOM 1");
  }
}
