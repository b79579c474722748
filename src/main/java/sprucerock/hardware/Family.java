package sprucerock.hardware;

/**
 * Endpoints of one kind of hardware, as their operators declare them.
 *
 * @param kind discovery's number for it
 * @param slots attempts that an endpoint takes at a time; 0: not declared
 * @param memoryMb of an endpoint, in MiB or MB as they declare it; 0: not declared
 */
public record Family(int kind, double slots, double memoryMb) {}
