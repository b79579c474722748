/**
 * The messages of version 3 of PostgreSQL's wire protocol, as far as the relay speaks it: simple
 * queries whose result is one column.
 *
 * <p><b>Job.</b> {@link sprucerock.transport.postgres.MessageFramer} cuts a byte stream into
 * messages, {@link sprucerock.transport.postgres.MessageReader} parses their bodies and {@link
 * sprucerock.transport.postgres.MessageWriter} encodes messages.
 *
 * <p><b>Owns.</b> The bytes of at most one incomplete message per {@code MessageFramer}; nothing
 * else is kept.
 *
 * <p><b>Thread.</b> A {@code MessageFramer} is confined to the loop thread of its connection. The
 * static methods may be called from any thread.
 *
 * <p><b>May not.</b> Open or close connections, read a clock, log, or know what a query means:
 * callers decide what follows from a message or from a {@link
 * sprucerock.transport.postgres.ProtocolException}.
 */
package sprucerock.transport.postgres;
