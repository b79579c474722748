/**
 * Scenario scripts and the processes that play them: parser, runner, reports, and audits that hold
 * a relay's metrics against the frames that crossed its connections.
 *
 * <p>Owns the processes and folders of one play. Verdicts on the rules are left to {@link
 * sprucerock.rehearsal.invariant}, which reads traces alone.
 */
package sprucerock.rehearsal.scenario;
