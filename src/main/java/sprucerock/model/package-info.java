/**
 * The data that the relay decides about: RPCs, their attempts, endpoints, builds, methods, and the
 * settings read at the start.
 *
 * <p>Facts (what was sent, what ended, which endpoint is ready) have a single writer: methods
 * marked {@link sprucerock.model.WrittenByRequestTracker} are called only by {@code
 * sprucerock.accounting.RequestTracker}. The remaining public fields are notes of the routing
 * policy, which it alone writes.
 *
 * <p>Nothing here does input or output, reads a clock or starts a thread; all objects belong to the
 * relay's one thread.
 */
package sprucerock.model;
