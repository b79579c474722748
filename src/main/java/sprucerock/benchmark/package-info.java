/**
 * Measures a request's way in one run: straight to an endpoint, through a bare forwarder, and
 * through the relay, with and without TLS.
 *
 * <p>Owns the loops and sockets of the run, all on loopback.
 */
package sprucerock.benchmark;
