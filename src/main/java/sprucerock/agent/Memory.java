package sprucerock.agent;

import sprucerock.controller.deployment.Version;

/**
 * What an agent knows again after its own end.
 *
 * @param epoch the highest of a controller that was obeyed; {@code turn}: the last that it wanted,
 *     and {@code done}: the last carried out
 * @param good what ran well last; {@link Version#NONE} where nothing did
 * @param starts of the relay, in all lives of the agent
 */
public record Memory(long epoch, int turn, int done, Version wanted, Version good, int starts) {
  public static final Memory NONE = new Memory(0, 0, 0, Version.NONE, Version.NONE, 0);

  Memory told(long newEpoch, int newTurn, int carriedOut, Version version) {
    return new Memory(newEpoch, newTurn, carriedOut, version, good, starts);
  }

  Memory carriedOut() {
    return new Memory(epoch, turn, turn, wanted, good, starts);
  }

  Memory ranWell(Version version) {
    return new Memory(epoch, turn, done, wanted, version, starts);
  }

  Memory started() {
    return new Memory(epoch, turn, done, wanted, good, starts + 1);
  }
}
