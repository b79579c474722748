package sprucerock.controller.deployment;

import sprucerock.time.Timestamp;

/** The desired state of a relay, and the observed state that its agent last reported. */
public final class ManagedRelay {
  public final int number;
  int zone;

  /** Whether the relay carries more load than the median of the fleet. */
  boolean busy;

  Version observedVersion = Version.NONE;
  boolean ready;

  /** When the agent became unreachable; null while it is reachable. */
  Timestamp unreachableSince;

  /** The version that the relay should run; null before the first proposal. */
  Version desiredVersion;

  /** How many desired states followed the first. A restart on the same version counts as one. */
  int generation;

  /** The last generation that the agent has applied. */
  int observedGeneration;

  /** When the desired state last changed; null before the first desired state. */
  Timestamp notifiedAt;

  /** When the relay was reconciled with its current generation; null until then. */
  Timestamp readyAt;

  ManagedRelay(int number) {
    this.number = number;
  }

  /** Returns the zone that the agent reported. */
  public int zone() {
    return zone;
  }

  /** Returns whether the relay carries more load than the median of the fleet. */
  public boolean busy() {
    return busy;
  }

  /** Returns the version that the relay runs according to its agent's last report. */
  public Version observedVersion() {
    return observedVersion;
  }

  /** Returns whether the relay serves according to its agent's last report. */
  public boolean ready() {
    return ready;
  }

  /** Returns whether the relay's agent has stopped reporting. */
  public boolean unreachable() {
    return unreachableSince != null;
  }

  /** Returns the version that the relay should run; null before the first proposal. */
  public Version desiredVersion() {
    return desiredVersion;
  }

  /**
   * Returns the generation of the desired state: 0 at first, plus 1 with each change or restart.
   */
  public int generation() {
    return generation;
  }

  /** Returns the last generation that the agent has applied. */
  public int observedGeneration() {
    return observedGeneration;
  }

  /** Returns whether the relay serves and its agent is reachable. */
  boolean serving() {
    return ready && unreachableSince == null;
  }

  /** Returns whether the observed state is the desired state. */
  boolean reconciled() {
    return serving() && observedGeneration == generation && observedVersion.equals(desiredVersion);
  }
}
