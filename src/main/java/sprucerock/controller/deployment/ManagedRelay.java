package sprucerock.controller.deployment;

import sprucerock.time.Timestamp;

/** What the fleet's changes know of one relay, by what its agent says, and what they want of it. */
public final class ManagedRelay {
  public final int number;
  int zone;

  /** Carries more than the median of the fleet. */
  boolean busy;

  Version observedVersion = Version.NONE;
  boolean ready;

  /** Since when its agent is silent; null while it is heard. */
  Timestamp unreachableSince;

  Version desiredVersion;

  /** Counts what is wanted of it: a restart on the same version is one more. */
  int generation;

  int observedGeneration;
  Timestamp notifiedAt;

  /** Ready on what is wanted since its turn; null while it is not. */
  Timestamp readyAt;

  ManagedRelay(int number) {
    this.number = number;
  }

  public int zone() {
    return zone;
  }

  public boolean busy() {
    return busy;
  }

  public Version observedVersion() {
    return observedVersion;
  }

  public boolean ready() {
    return ready;
  }

  public boolean unreachable() {
    return unreachableSince != null;
  }

  /** What it is to run; null while nobody has said. */
  public Version desiredVersion() {
    return desiredVersion;
  }

  public int generation() {
    return generation;
  }

  /** The turn that its agent says it has carried out. */
  public int observedGeneration() {
    return observedGeneration;
  }

  /** It serves, or says so. */
  boolean serving() {
    return ready && unreachableSince == null;
  }

  /** It has done what it was told last. */
  boolean reconciled() {
    return serving() && observedGeneration == generation && observedVersion.equals(desiredVersion);
  }
}
