package sprucerock.testing;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Which tests the build passes over. */
public class KnownFailuresTest {
  @Test
  public void onlyNamesAtTheBeginningOfALineAreListed() {
    assertEquals(
        KnownFailures.parse(
            List.of(
                "sprucerock.a.OneTest.fails (issue 7): command, seed 3",
                "Seen: sprucerock.a.OtherTest.passes",
                "",
                "sprucerock.b.TwoTest.fails: command")),
        Set.of("sprucerock.a.OneTest.fails", "sprucerock.b.TwoTest.fails"));
  }
}
