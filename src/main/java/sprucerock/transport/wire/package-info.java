/**
 * The project's own protocol: frames over a connection. docs/protocol.md has its bytes.
 *
 * <p>{@link sprucerock.transport.wire.FrameReader} decodes frames from bytes, {@link
 * sprucerock.transport.wire.FrameConnection} exchanges them with one peer, with greeting and
 * heartbeats, and {@link sprucerock.transport.wire.ReconnectingConnection} keeps a connection to
 * one address. {@link sprucerock.transport.wire.FrameKind} has the frames' numbers, {@link
 * sprucerock.transport.wire.FrameTap} sees all frames for tests and traces. The messages in {@code
 * v1} are generated from src/main/proto.
 *
 * <p>The package owns the numbers of frame kinds and the protocol's version, which stay as they
 * are: a newer program is understood as far as the versions overlap. It may not know what a frame
 * means to a relay, an endpoint or the controller. A connection is its event loop's.
 */
package sprucerock.transport.wire;
