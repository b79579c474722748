/**
 * Timestamps and time spans in milliseconds as {@code double}, as on the simulator's wire.
 * Decisions depend on their exact digits, so java.time is not used.
 *
 * <p>Both types are immutable. Neither reads a clock.
 */
package sprucerock.time;
