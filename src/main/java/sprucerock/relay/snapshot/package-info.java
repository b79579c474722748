/**
 * Until when a relay may place work on each rack, shared between its threads without a lock.
 *
 * <p>{@link sprucerock.relay.snapshot.RackSnapshot} is immutable and cheap to read; {@link
 * sprucerock.relay.snapshot.SharedSnapshot} owns which one is current. One thread publishes, any
 * thread reads.
 *
 * <p>Must not: lock, allocate on the read path, or know the controller that grants or the
 * connection that a grant came by.
 */
package sprucerock.relay.snapshot;
