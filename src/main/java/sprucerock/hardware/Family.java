package sprucerock.hardware;

/**
 * A hardware family, as operators declare it.
 *
 * @param kind the family's number in discovery
 * @param slots the number of attempts that an endpoint takes at a time; 0: not declared
 * @param memoryMb the memory of an endpoint, in MiB or MB as operators declare it (only ratios of
 *     families are used); 0: not declared
 */
public record Family(int kind, double slots, double memoryMb) {}
