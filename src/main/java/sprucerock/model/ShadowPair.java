package sprucerock.model;

/**
 * A pick at the earlier build and one at the build on trial: of one RPC, or where that cannot be,
 * of its like.
 */
public final class ShadowPair {
  public Attempt baseline;
  public Attempt canary;
  public boolean judged;
}
