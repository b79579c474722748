package sprucerock.transport.wire;

import sprucerock.time.TimeSpan;

/**
 * What a connection may take.
 *
 * @param maxFrameBytes of a frame, after its length
 * @param maxUnsentBytes that wait for a peer which does not read; beyond, the connection is cut
 * @param heartbeat after which a silent peer is asked for a sign; after three it is cut, and so is
 *     one that does not greet
 */
public record FrameLimits(int maxFrameBytes, long maxUnsentBytes, TimeSpan heartbeat) {}
