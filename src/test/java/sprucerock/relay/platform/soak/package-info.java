/**
 * A soak test of {@code serve} as its own process: seeded plans of clients, endpoints and signals
 * over loopback, and a judge that holds every request to one final answer.
 */
package sprucerock.relay.platform.soak;
