/**
 * The checks of the five rules, of leases and of maintenance windows, from traces alone.
 *
 * <p>Pure: reads lines of traces, holds no connection and asks no process. It never calls the
 * policy or the request accounting, so that it has its own notion of each rule.
 */
package sprucerock.rehearsal.invariant;
