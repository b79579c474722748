package sprucerock.controller.deployment;

import sprucerock.time.Timestamp;

/** What the fleet's changes know of one relay, by what its agent says, and what they want of it. */
public final class ManagedRelay {
  public final int number;
  int zone;

  /** Carries more than the median of the fleet. */
  boolean busy;

  Version runs = Version.NONE;
  boolean ready;

  /** Since when its agent is silent; null while it is heard. */
  Timestamp silentSince;

  Version wanted;

  /** Counts what is wanted of it: a restart on the same version is one more. */
  int turn;

  int done;
  Timestamp toldAt;

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

  public Version runs() {
    return runs;
  }

  public boolean ready() {
    return ready;
  }

  public boolean silent() {
    return silentSince != null;
  }

  /** What it is to run; null while nobody has said. */
  public Version wanted() {
    return wanted;
  }

  public int turn() {
    return turn;
  }

  /** The turn that its agent says it has carried out. */
  public int done() {
    return done;
  }

  /** It serves, or says so. */
  boolean serves() {
    return ready && silentSince == null;
  }

  /** It has done what it was told last. */
  boolean settled() {
    return serves() && done == turn && runs.equals(wanted);
  }
}
