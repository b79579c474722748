package sprucerock.lease;

import static org.testng.Assert.assertFalse;

import java.util.Map;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Invalid lease parameters are rejected with a message. */
public class LeaseTermsTest {
  @Test
  public void rejectsWrongGrantorCountsAndTooMuchDrift() {
    for (Map.Entry<Integer, Double> invalid : Map.of(4, 0.0, 3, 0.3).entrySet()) {
      try {
        new LeaseTerms(invalid.getKey(), TimeSpan.ofMs(1), TimeSpan.ofMs(1), invalid.getValue());
        throw new AssertionError("accepted: " + invalid);
      } catch (IllegalArgumentException e) {
        assertFalse(e.getMessage().isEmpty());
      }
    }
  }
}
