/**
 * Statistics for routing decisions: exponentially decaying sums and means, a two-sample distance,
 * the standard error of the difference of two proportions, and a seeded random sequence.
 *
 * <p>Results are reproducible to the last digit: the order of additions and of draws is part of the
 * contract. No type reads a clock; callers pass the current time. The types are not thread-safe.
 */
package sprucerock.stats;
