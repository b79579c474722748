package sprucerock.controller.deployment;

import sprucerock.time.Timestamp;

/** The desired state of one relay, and its observed state as its agent reported it last. */
public final class ManagedRelay {
  public final int number;
  int zone;

  /** Carries more than the median of the fleet. */
  boolean busy;

  Version observedVersion = Version.NONE;
  boolean ready;

  /** Since when its agent is not heard; null while it is. */
  Timestamp unreachableSince;

  /** The version that it is to run; null before anybody decided on one. */
  Version desiredVersion;

  /** Counts the desired states after the first; a restart on the same version is one more. */
  int generation;

  /** The last generation that its agent has carried out. */
  int observedGeneration;

  /** When the desired state changed last; null before the first. */
  Timestamp notifiedAt;

  /** When it was reconciled with its generation; null while it has not been. */
  Timestamp readyAt;

  ManagedRelay(int number) {
    this.number = number;
  }

  /** The zone that its agent reports. */
  public int zone() {
    return zone;
  }

  /** It carries more than the median of the fleet. */
  public boolean busy() {
    return busy;
  }

  /** The version that it runs, by its agent's last report. */
  public Version observedVersion() {
    return observedVersion;
  }

  /** It serves, by its agent's last report. */
  public boolean ready() {
    return ready;
  }

  /** Its agent is not heard. */
  public boolean unreachable() {
    return unreachableSince != null;
  }

  /** The version that it is to run; null before anybody decided on one. */
  public Version desiredVersion() {
    return desiredVersion;
  }

  /** Of the desired state: 0 at first, one more each time it changes or a restart is due. */
  public int generation() {
    return generation;
  }

  /** The last generation that its agent has carried out. */
  public int observedGeneration() {
    return observedGeneration;
  }

  /** It serves, and its agent is heard. */
  boolean serving() {
    return ready && unreachableSince == null;
  }

  /** Its observed state is the desired one. */
  boolean reconciled() {
    return serving() && observedGeneration == generation && observedVersion.equals(desiredVersion);
  }
}
