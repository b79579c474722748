/**
 * The times until which a relay may place work on each rack, shared between its threads without a
 * lock.
 *
 * <p>{@link sprucerock.relay.snapshot.RackSnapshot} is immutable and cheap to read; {@link
 * sprucerock.relay.snapshot.SharedSnapshot} holds the current one. One thread publishes, any thread
 * reads.
 *
 * <p>Must not: lock, allocate on the read path, or depend on the controller that grants rack
 * permits or on the connection to it.
 */
package sprucerock.relay.snapshot;
