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
public record AgentState(
    long epoch,
    int generation,
    int completedGeneration,
    Version desired,
    Version lastGood,
    int starts) {
  public static final AgentState NONE = new AgentState(0, 0, 0, Version.NONE, Version.NONE, 0);

  AgentState withDesired(long newEpoch, int newTurn, int carriedOut, Version version) {
    return new AgentState(newEpoch, newTurn, carriedOut, version, lastGood, starts);
  }

  AgentState withGenerationCompleted() {
    return new AgentState(epoch, generation, generation, desired, lastGood, starts);
  }

  AgentState withLastGood(Version version) {
    return new AgentState(epoch, generation, completedGeneration, desired, version, starts);
  }

  AgentState withOneMoreStart() {
    return new AgentState(epoch, generation, completedGeneration, desired, lastGood, starts + 1);
  }
}
