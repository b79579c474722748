/**
 * The schedule of health checks. One relay, which holds the lease for this task, checks the
 * endpoints for the whole fleet.
 *
 * <p>{@link sprucerock.relay.healthcheck.HealthCheckScheduler} owns the schedule. The schedule is
 * lost with the lease holder, and the next holder starts a new one. The scheduler only decides; its
 * caller sends the health checks and notifies other relays of the results.
 *
 * <p>Must not: read a clock, do input or output, start a thread, or judge an endpoint beyond
 * whether it answered.
 */
package sprucerock.relay.healthcheck;
