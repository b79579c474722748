/**
 * The relay on the operators' platform: clients and endpoints over PostgreSQL's protocol, discovery
 * and the release API over HTTP, other relays by datagrams.
 *
 * <p>Owns the client and endpoint connections of one relay, its discovery and release watches and
 * its shutdown. Everything here runs on the loop's thread. It translates between the protocol pages
 * and {@link sprucerock.relay.engine.RelayEngine}; it makes no routing decision.
 */
package sprucerock.relay.platform;
