package sprucerock.rehearsal.invariant;

import java.util.List;
import java.util.stream.Collectors;
import sprucerock.rehearsal.trace.Line;

/**
 * A rule that was broken: which (1 to 5; 6: TLS; 7: leases; 8: freezes), how, and the frames that
 * show it.
 */
public record Finding(int rule, String what, List<Line> frames) {
  private static final String[] NAMES = {
    "",
    "no RPC is lost",
    "no effect happens twice",
    "drains are kept",
    "a cold unit is not pushed over",
    "exposure stays within the cap",
    "nothing is sent to an unproven peer",
    "a task of the fleet is done by one at a time",
    "nothing is placed on a frozen rack"
  };

  @Override
  public String toString() {
    return "rule "
        + rule
        + ", "
        + NAMES[rule]
        + ": "
        + what
        + " ["
        + frames.stream().map(Line::where).collect(Collectors.joining(", "))
        + "]";
  }
}
