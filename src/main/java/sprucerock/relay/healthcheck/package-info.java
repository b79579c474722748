/**
 * Which endpoint is to be health-checked next, by the one relay of the fleet that holds the lease
 * for it.
 *
 * <p>{@link sprucerock.relay.healthcheck.HealthCheckScheduler} owns the schedule; it is lost with
 * its holder, and the next one begins anew. It decides alone: whoever uses it sends the checks and
 * tells others of the results.
 *
 * <p>Must not: read a clock, do input or output, start a thread, or judge an endpoint beyond
 * whether it answered.
 */
package sprucerock.relay.healthcheck;
