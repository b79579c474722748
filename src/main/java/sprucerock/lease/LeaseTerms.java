package sprucerock.lease;

import sprucerock.time.TimeSpan;

/**
 * The lease parameters, which must be the same in the configuration of every process.
 *
 * @param grantorCount the number of grantors, 3 or 5; a quorum (majority) of them grants a lease
 * @param term how long a grant lasts by the grantor's clock
 * @param maxTerm the longest {@code term} that any process that runs now, or its previous
 *     incarnation, was ever configured with
 * @param drift the largest relative error of the rate of any clock, from 0 to under 0.2
 */
public record LeaseTerms(int grantorCount, TimeSpan term, TimeSpan maxTerm, double drift) {
  /**
   * Validates the parameters.
   *
   * @throws IllegalArgumentException if a parameter is out of range; the message names it
   */
  public LeaseTerms {
    if (grantorCount != 3 && grantorCount != 5) {
      throw new IllegalArgumentException(
          "the number of lease grantors must be 3 or 5, not " + grantorCount);
    }
    if (term.over(maxTerm)) {
      throw new IllegalArgumentException(
          "leases/longest must not be shorter than leases/term, but "
              + maxTerm.ms()
              + " ms is shorter than "
              + term.ms()
              + " ms");
    }
    if (!(drift >= 0 && drift < 0.2)) {
      throw new IllegalArgumentException("leases/drift must be from 0 to under 0.2, not " + drift);
    }
  }

  int quorum() {
    return grantorCount / 2 + 1;
  }

  /**
   * Returns how long a holder may act, by its own clock, counted from before its request. The
   * grantor's clock may be the fastest that is allowed and end the grant after term / (1 + drift).
   * The holder's clock may be the slowest that is allowed and show less time than has passed.
   */
  TimeSpan usableTerm() {
    return term.times((1 - drift) / (1 + drift));
  }
}
