/**
 * What one relay has seen and been told, in a form that decisions can go by: load reports, pairs of
 * a stage, the controller's counts, the last vote, tenants' arrivals.
 *
 * <p>It owns those facts, and the bytes of messages between relays ({@code LoadReports}, {@code
 * StageEvidence}): they stay readable by relays of other versions. It decides nothing, reads no
 * clock and opens nothing; {@code sprucerock.policy} decides, on one thread.
 */
package sprucerock.policy.evidence;
