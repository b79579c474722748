/**
 * Leases: at most one process of the fleet holds each, granted by a quorum of 3 or 5 grantors.
 *
 * <p>{@link sprucerock.lease.LeaseManager} is the entry point for a process that campaigns for
 * leases, {@link sprucerock.lease.GrantorListener} for one that grants them. {@link
 * sprucerock.lease.LeaseClient} and {@link sprucerock.lease.LeaseGrantor} are the two sides of the
 * protocol: state machines that read no clock, open no connection and start no thread, so that a
 * state-space search can run them through every order of messages. Each grant carries a fencing
 * token. The process that receives an act rejects lower tokens by {@link
 * sprucerock.lease.FencingTokenRegistry}.
 *
 * <p>Owns: which client holds which lease, at the grantor in memory (a grantor that restarts grants
 * nothing for the longest term) and at the client until its usable term ends. Everything runs on
 * one loop's thread.
 *
 * <p>Must not: write to disk, depend on what leases are used for, or act under a lease except
 * through {@link sprucerock.lease.LeaseCheck}.
 */
package sprucerock.lease;
