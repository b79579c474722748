package sprucerock.lease;

import static org.testng.Assert.assertFalse;

import java.util.Map;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Terms that make no sense together are rejected with a message. */
public class LeaseTermsTest {
  @Test
  public void rejectsWrongNumbersOfGrantorsAndTooMuchDrift() {
    for (Map.Entry<Integer, Double> bad : Map.of(4, 0.0, 3, 0.3).entrySet()) {
      try {
        new LeaseTerms(bad.getKey(), TimeSpan.ofMs(1), TimeSpan.ofMs(1), bad.getValue());
        throw new AssertionError("accepted: " + bad);
      } catch (IllegalArgumentException e) {
        assertFalse(e.getMessage().isEmpty());
      }
    }
  }
}
