/**
 * Request tracking and counters of one relay.
 *
 * <p>{@link sprucerock.accounting.RequestTracker} owns the set of RPCs, endpoints and builds. It is
 * the only writer of their state and notifies the routing policy after each change. {@link
 * sprucerock.accounting.MethodAccounts} owns the counters, which are double-entry accounts whose
 * sums {@link sprucerock.accounting.AccountAudit} can verify at any time.
 *
 * <p>The package is single-threaded and does no input or output: counters reach a file only through
 * a {@link sprucerock.accounting.MetricsStore} that the program passes in. The names of sheets,
 * columns and rows are stored and exported and must not change.
 */
package sprucerock.accounting;
