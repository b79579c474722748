/**
 * Points in time and lengths of time, in milliseconds as {@code double}, as the simulator's wire
 * has them; decisions depend on their exact digits, so java.time isn't used.
 *
 * <p>Both are immutable values. Nothing here reads a clock.
 */
package sprucerock.time;
