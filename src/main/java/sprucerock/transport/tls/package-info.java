/**
 * TLS between connections and frames: certificate chains, expected names, files that are reloaded
 * under traffic, and limits on handshakes.
 *
 * <p>Owns the {@code SSLEngine} of each connection and the worker threads that run its delegated
 * tasks. It neither opens sockets nor decides whom a relay talks to.
 */
package sprucerock.transport.tls;
