package sprucerock.lease;

import sprucerock.time.TimeSpan;

/**
 * What all sides of leases agree on; the same in every process's configuration.
 *
 * @param grantors how many there are: 3 or 5, of which a quorum (majority) grants
 * @param term how long a grant lasts by the grantor's clock
 * @param longestTerm no term was ever longer than this while any of the processes that run now, or
 *     their last incarnations, ran
 * @param drift how far any clock's pace may be from the true one, as a share; 0 to under 0.2
 */
public record LeaseTerms(int grantorCount, TimeSpan term, TimeSpan maxTerm, double drift) {
  /**
   * Checks the terms.
   *
   * @throws IllegalArgumentException if they make no sense together; the message says which
   */
  public LeaseTerms {
    if (grantorCount != 3 && grantorCount != 5) {
      throw new IllegalArgumentException("3 or 5 granters, not " + grantorCount);
    }
    if (term.over(maxTerm)) {
      throw new IllegalArgumentException("longest may not be shorter than term");
    }
    if (!(drift >= 0 && drift < 0.2)) {
      throw new IllegalArgumentException("drift may be 0 to under 0.2");
    }
  }

  int quorum() {
    return grantorCount / 2 + 1;
  }

  /**
   * How long a holder may act, by its own clock, from before it asked. The grantor's clock may be
   * the fastest that is allowed and so end the grant after term / (1 + drift); the holder's may be
   * the slowest and take its own count for less than it is.
   */
  TimeSpan usableTerm() {
    return term.times((1 - drift) / (1 + drift));
  }
}
