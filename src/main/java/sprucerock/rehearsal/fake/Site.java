package sprucerock.rehearsal.fake;

import java.util.List;
import sprucerock.time.TimeSpan;

/**
 * What the stand-ins know of a deployment.
 *
 * @param methods the kinds of RPC, in the order of the relays' settings
 * @param customers names with their shares; one that is over it is a trouble of the day
 * @param stages how a build comes in
 */
public record Site(
    List<Method> methods, List<Customer> tenants, List<Stage> stages, Desk desk, Cold cold) {
  public enum Effect {
    IDEMPOTENT,
    TOKENED,
    NON_IDEMPOTENT
  }

  /**
   * @param share of all RPCs, 0 to 1
   * @param workMs mean work on a core of speed 1
   * @param window how long units drop repeats, for a tokened one
   */
  public record Method(
      String name,
      Effect effect,
      double share,
      double workMs,
      TimeSpan soft,
      TimeSpan deadline,
      double utility,
      TimeSpan window) {}

  public record Customer(String name, double share) {}

  /** The share of the fleet's places that get the build, and the cap that goes with it. */
  public record Stage(double share, double cap) {}

  public enum Control {
    SINGLE,
    MAJORITY,
    CLOCKED
  }

  /**
   * @param on how many relays must stand for going on
   * @param hold how many stop the clock
   * @param back how many send a build back
   * @param bake the least time of a stage
   * @param step how long a stage lasts under the clock
   * @param countsEvery zero: no counts
   */
  public record Desk(
      Control control,
      int on,
      int hold,
      int back,
      TimeSpan voteLife,
      TimeSpan bake,
      TimeSpan step,
      TimeSpan countsEvery,
      double sample) {}

  /**
   * The share of its capacity with which a unit starts, how long it takes to warm, and when it
   * falls over.
   */
  public record Cold(double from, TimeSpan lasts, double tipMultiple, TimeSpan tipAfter) {}
}
