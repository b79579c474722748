/**
 * The data that routing decisions are based on: RPCs, their attempts, endpoints, builds, methods,
 * and the settings read at the start.
 *
 * <p>Tracked state (what was sent, what ended, which endpoint is ready) has a single writer: only
 * {@code sprucerock.accounting.RequestTracker} calls the methods marked {@link
 * sprucerock.model.WrittenByRequestTracker}. The other public fields that are not final are working
 * data that only the routing policy writes, except the attachments, which belong to the host that
 * runs the policy.
 *
 * <p>This package does no input or output, reads no clock and starts no thread; all objects belong
 * to the relay's single thread.
 */
package sprucerock.model;
