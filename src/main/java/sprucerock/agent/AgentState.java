package sprucerock.agent;

import sprucerock.controller.deployment.Version;

/**
 * What an agent remembers across its own restarts.
 *
 * @param epoch the highest epoch of a controller whose desired state was taken
 * @param generation the last desired generation; 0 before any
 * @param completedGeneration the last generation that was carried out
 * @param desired the version wanted last; {@link Version#NONE} before any
 * @param lastGood the version that ran well last; {@link Version#NONE} where none did
 * @param starts how often the relay was started, in all incarnations of the agent
 */
public record AgentState(
    long epoch,
    int generation,
    int completedGeneration,
    Version desired,
    Version lastGood,
    int starts) {
  /** Of an agent that remembers nothing. */
  public static final AgentState NONE = new AgentState(0, 0, 0, Version.NONE, Version.NONE, 0);

  /** How a desired state from a controller relates to the one that is known. */
  enum DesiredStateChange {
    /** Of an older controller, or an older generation. */
    STALE,
    /** Another version for a generation that is known: the first one holds. */
    CONFLICTING,
    /** Known already, perhaps from an earlier epoch. */
    UNCHANGED,
    /** To be carried out. */
    NEW
  }

  DesiredStateChange compare(long newEpoch, int newGeneration, Version version) {
    if (newEpoch < epoch || (newEpoch == epoch && newGeneration < generation)) {
      return DesiredStateChange.STALE;
    }
    if (newGeneration == generation && version.equals(desired)) {
      return DesiredStateChange.UNCHANGED;
    }
    boolean conflicting =
        newEpoch == epoch && newGeneration == generation && !desired.equals(Version.NONE);
    return conflicting ? DesiredStateChange.CONFLICTING : DesiredStateChange.NEW;
  }

  /** Takes a desired state; a new one counts as not carried out. */
  AgentState withDesired(long newEpoch, int newGeneration, Version version) {
    boolean unchanged = newGeneration == generation && version.equals(desired);
    int completed =
        unchanged ? completedGeneration : Math.min(completedGeneration, newGeneration - 1);
    return new AgentState(newEpoch, newGeneration, completed, version, lastGood, starts);
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
