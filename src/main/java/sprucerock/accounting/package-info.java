/**
 * Facts and counters of one relay.
 *
 * <p>{@link sprucerock.accounting.RequestTracker} owns which RPCs, endpoints and builds there are;
 * it is the only writer of their facts and notifies the routing policy after each. {@link
 * sprucerock.accounting.MethodAccounts} owns the counters, kept as double-entry accounts whose sums
 * {@link sprucerock.accounting.AccountAudit} can verify at any time.
 *
 * <p>One thread, no input or output: counters reach a file only through a {@link
 * sprucerock.accounting.MetricsStore} that the program hands in. Names of tables, columns and rows
 * are stored and exported; they don't change.
 */
package sprucerock.accounting;
