package sprucerock.model;

/**
 * An attempt at the baseline and one at the canary, to be compared: of one RPC, or where that can't
 * be, of similar ones. Written by the routing policy.
 */
public final class ShadowPair {
  /** The attempt at the baseline; null until there is one. */
  public Attempt baseline;

  /** The attempt at the canary; null until there is one. */
  public Attempt canary;

  /** Whether the pair has been counted. */
  public boolean judged;
}
