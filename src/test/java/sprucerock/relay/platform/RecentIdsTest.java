package sprucerock.relay.platform;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The ids of requests that were sent on. */
public class RecentIdsTest {
  @Test
  public void theLastIdsAreRememberedAndTheOldestForgotten() {
    RecentIds ids = new RecentIds(7);
    int count = 3 * RecentIds.GENERATION_IDS;
    for (int i = 0; i < count; i++) {
      ids.add("id-" + i);
    }
    for (int i = count - RecentIds.GENERATION_IDS; i < count; i++) {
      assertTrue(ids.contains("id-" + i), "id-" + i);
    }
    assertFalse(ids.contains("id-0"));
    assertFalse(ids.contains("id-" + count));
  }

  @Test
  public void anIdThatIsAddedAgainTakesNoRoom() {
    RecentIds ids = new RecentIds(7);
    ids.add("first");
    for (int i = 0; i < 3 * RecentIds.GENERATION_IDS; i++) {
      ids.add("same");
    }
    assertTrue(ids.contains("first"));
  }
}
