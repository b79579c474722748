/**
 * Adapter between the operators' simulator and the routing policy. It reads batches of binary
 * records and writes one reply frame per batch.
 *
 * <p>{@link sprucerock.simulation.SimulationHost} owns the streams and the simulated relays. The
 * package makes no decisions. Only the command that starts it depends on it.
 */
package sprucerock.simulation;
