package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import sprucerock.time.Timestamp;

/** How fast a client may send commands that make no request. */
public class UnservedCommandLimiterTest {
  private static final int BURST = 32;

  @Test
  public void aBurstPassesAndTheNextOneWaits() {
    Timestamp now = Timestamp.ofMs(1000);
    UnservedCommandLimiter limiter = new UnservedCommandLimiter(now);
    for (int i = 0; i < BURST; i++) {
      limiter.count(now);
    }
    assertFalse(limiter.isExceeded(now));
    limiter.count(now);
    assertTrue(limiter.isExceeded(now));
    assertEquals(limiter.delay().ms(), 10.0);
    assertFalse(limiter.isExceeded(Timestamp.ofMs(1010)));
  }

  @Test
  public void aLongSilenceSavesOneBurstAlone() {
    Timestamp later = Timestamp.ofMs(1e6);
    UnservedCommandLimiter limiter = new UnservedCommandLimiter(Timestamp.ofMs(0));
    for (int i = 0; i <= BURST; i++) {
      limiter.count(later);
    }
    assertTrue(limiter.isExceeded(later));
  }

  @Test
  public void manyAtOnceWaitNoLongerThanTwoBursts() {
    Timestamp now = Timestamp.ofMs(1000);
    UnservedCommandLimiter limiter = new UnservedCommandLimiter(now);
    for (int i = 0; i < 100 * BURST; i++) {
      limiter.count(now);
    }
    assertEquals(limiter.delay().ms(), 10.0 * BURST);
  }
}
