/**
 * The real network: one loop thread over NIO.2's asynchronous channels.
 *
 * <p><b>Job.</b> {@link sprucerock.transport.net.nio.NioLoop} runs timers and events in turns, and
 * makes and accepts connections.
 *
 * <p><b>Owns.</b> The loop thread, the channel group with its own thread, a thread for each
 * datagram socket, the sockets, the timer wheel and the pool of I/O buffers.
 *
 * <p><b>Thread.</b> All state is confined to the loop thread. Other threads hand over work by
 * {@link sprucerock.transport.net.nio.NioLoop#post} only.
 *
 * <p><b>May not.</b> Interpret bytes, retry, or block the loop thread other than to wait for work.
 */
package sprucerock.transport.net.nio;
