/**
 * Statistics on which routing decisions rest: exponentially decaying sums and means, a two-sample
 * distance, the standard error of two proportions, and a seeded random sequence.
 *
 * <p>Results are reproducible to the last digit: the order of additions and of draws is part of the
 * contract. Nothing here reads a clock; callers hand the current time in. The types aren't
 * thread-safe.
 */
package sprucerock.stats;
