package sprucerock.transport.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Storms of handshakes, and what of them begins when. */
public class HandshakesTest {
  private final List<String> begun = new ArrayList<>();
  private final List<String> refused = new ArrayList<>();
  private Timestamp now = Timestamp.ofMs(0);

  @BeforeMethod
  public void begin() {
    begun.clear();
    refused.clear();
    now = Timestamp.ofMs(0);
  }

  private void want(Handshakes handshakes, String who, double withinMs) {
    handshakes.want(
        who, now, now.plus(TimeSpan.ofMs(withinMs)), () -> begun.add(who), () -> refused.add(who));
  }

  private void pass(Handshakes handshakes, double ms) {
    for (double until = now.ms() + ms; now.ms() < until; ) {
      now = now.plus(TimeSpan.ofMs(5));
      handshakes.pass(now);
    }
  }

  @Test
  public void tenThousandThatWantToBeginAtOnceBeginAtTheRateAndTheRestIsRefused() {
    Handshakes handshakes = new Handshakes(new Handshakes.Most(100, 10_000, 100, 2000), now);
    for (int i = 0; i < 10_000; i++) {
      want(handshakes, "unit " + i, 5000);
    }
    assertEquals(begun.size(), 10);
    assertEquals(refused.size(), 7990);
    pass(handshakes, 4995);
    assertTrue(begun.size() >= 500 && begun.size() <= 512, begun.size() + " in five seconds");
    pass(handshakes, 10);
    assertEquals(begun.size() + refused.size(), 10_000);
    assertEquals(handshakes.waiting(), 0);
  }

  @Test
  public void oneUnitThatRotatesInARushDoesNotHoldUpOthers() {
    Handshakes handshakes = new Handshakes(new Handshakes.Most(1000, 1000, 4, 2000), now);
    for (int i = 0; i < 50; i++) {
      want(handshakes, "rushed", 2000);
    }
    want(handshakes, "other", 2000);
    assertEquals(begun, List.of("rushed"));
    pass(handshakes, 5);
    assertEquals(begun, List.of("rushed", "other"));
    pass(handshakes, 1000);
    assertTrue(begun.size() <= 2 + 5, begun.toString());
  }

  @Test
  public void noMoreAreUnderWayThanAllowed() {
    Handshakes handshakes = new Handshakes(new Handshakes.Most(1000, 3, 1000, 100), now);
    for (int i = 0; i < 10; i++) {
      want(handshakes, "u" + i, 60_000);
    }
    pass(handshakes, 1000);
    assertEquals(begun.size(), 3);
    handshakes.over();
    pass(handshakes, 100);
    assertEquals(begun, List.of("u0", "u1", "u2", "u3"));
    assertEquals(handshakes.underWay(), 3);
  }
}
