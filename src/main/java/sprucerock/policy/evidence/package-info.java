/**
 * The observations of one relay on which the policy bases its decisions: load reports, the shadow
 * pairs of a stage, the controller's counts, the last vote and the arrivals of tenants.
 *
 * <p>The package owns this state and the format of messages between relays ({@code LoadReports},
 * {@code StageEvidence}), which stays readable by relays of other versions. It makes no decisions,
 * reads no clock and opens nothing; {@code sprucerock.policy} decides, on one thread.
 */
package sprucerock.policy.evidence;
