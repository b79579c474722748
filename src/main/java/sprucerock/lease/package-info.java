/**
 * Leases: at most one process of the fleet holds each lease. A majority of the 3 or 5 grantors has
 * to grant it.
 *
 * <p>{@link sprucerock.lease.LeaseManager} is the entry point for a process that campaigns for
 * leases, {@link sprucerock.lease.GrantorListener} for one that grants them. {@link
 * sprucerock.lease.LeaseClient} and {@link sprucerock.lease.LeaseGrantor} are the two sides of the
 * protocol: state machines that read no clock, open no connection and start no thread, so that a
 * state-space search can run them through every order of messages. Each grant carries a fencing
 * token. An act is something that only the lease holder may do, usually a message to another
 * process. It carries the fencing token, and its receiver rejects lower tokens by {@link
 * sprucerock.lease.FencingTokenRegistry}.
 *
 * <p>Owns: which client holds which lease. A grantor keeps its grants in memory only, so it grants
 * nothing for the longest term after a restart. A client keeps a lease until its usable term, which
 * allows for clock drift, has ended. Everything runs on one loop's thread.
 *
 * <p>Must not: write to disk, depend on what leases are used for, or act under a lease except
 * through {@link sprucerock.lease.LeaseCheck}.
 */
package sprucerock.lease;
