package sprucerock.hardware;

/**
 * Units of one kind, as their operators declare them.
 *
 * @param kind the roster's number for it
 * @param slots picks that a unit takes at a time; 0: not declared
 * @param memoryMb of a unit; 0: not declared
 */
public record Family(int kind, double slots, double memoryMb) {}
