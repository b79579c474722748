package sprucerock.transport.wire;

import sprucerock.time.TimeSpan;

/**
 * What a link may take: a frame's bytes after its length, bytes that wait for a peer that does not
 * read, and how long silence may last: after one {@code beat} it is asked for a sign, after three
 * it is cut; a greeting has three too.
 */
public record FrameLimits(int maxFrameBytes, long maxUnsentBytes, TimeSpan heartbeat) {}
