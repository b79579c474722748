/**
 * The trace files of a rehearsal, as docs/protocol.md describes them.
 *
 * <p><b>Job.</b> {@link sprucerock.rehearsal.trace.TraceWriter} writes a line for each frame that
 * crosses a connection, and notes; {@link sprucerock.rehearsal.trace.Line} is a line read back.
 *
 * <p><b>Owns.</b> The trace file of one process, and the numbers of its connections.
 *
 * <p><b>Thread.</b> A writer is confined to the loop thread of its timers; lines are immutable.
 *
 * <p><b>May not.</b> Change or delay a frame, or judge what it means.
 */
package sprucerock.rehearsal.trace;
