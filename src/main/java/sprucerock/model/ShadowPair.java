package sprucerock.model;

/**
 * An attempt at the baseline and an attempt at the canary whose results are compared. Both belong
 * to the same RPC or, where that is impossible, to two RPCs of the same method. Written by the
 * routing policy.
 */
public final class ShadowPair {
  /** The attempt at the baseline; null until it is sent. */
  public Attempt baseline;

  /** The attempt at the canary; null until it is sent. */
  public Attempt canary;

  /** Whether the result of this pair has been counted. */
  public boolean judged;
}
