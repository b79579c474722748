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
public record AgentState(long epoch, int turn, int done, Version wanted, Version good, int starts) {
  public static final AgentState NONE = new AgentState(0, 0, 0, Version.NONE, Version.NONE, 0);

  AgentState told(long newEpoch, int newTurn, int carriedOut, Version version) {
    return new AgentState(newEpoch, newTurn, carriedOut, version, good, starts);
  }

  AgentState carriedOut() {
    return new AgentState(epoch, turn, turn, wanted, good, starts);
  }

  AgentState ranWell(Version version) {
    return new AgentState(epoch, turn, done, wanted, version, starts);
  }

  AgentState started() {
    return new AgentState(epoch, turn, done, wanted, good, starts + 1);
  }
}
