/**
 * Adapter between the operators' simulator and the routing policy: batches of binary records in,
 * one reply frame a batch out.
 *
 * <p>{@link sprucerock.simulation.SimulationHost} owns the streams and the simulated relays.
 * Nothing here decides anything, and no other package depends on it but the command that starts it.
 */
package sprucerock.simulation;
