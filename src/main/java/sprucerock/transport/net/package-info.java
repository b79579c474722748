/**
 * Connections, datagrams and timers as the programs see them, without a word about sockets.
 *
 * <p><b>Job.</b> {@link sprucerock.transport.net.Net} and {@link sprucerock.transport.net.Timers}
 * are what code on a loop is written against; {@link sprucerock.transport.net.nio.NioLoop} is the
 * real one, {@link sprucerock.transport.net.SimulatedNet} one in memory.
 *
 * <p><b>Owns.</b> {@code SimulatedNet} owns its clock, timers and connections; the interfaces own
 * nothing.
 *
 * <p><b>Thread.</b> One loop thread calls everything and is called back on it. A <em>turn</em> is
 * one pass of that loop: due timers, then events, then what was deferred to the turn's end, then
 * writes.
 *
 * <p><b>May not.</b> Block, know what bytes mean, or retry: protocols are the packages above.
 */
package sprucerock.transport.net;
