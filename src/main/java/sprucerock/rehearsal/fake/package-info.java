/**
 * Stand-ins for what surrounds a relay: endpoints, discovery, controller, clients, monitor, and
 * proxies that inject faults between processes, each with faults on command.
 *
 * <p>Each owns its listening socket on loopback and its trace file. Nothing here is part of a relay
 * or calls its code beyond transport and wire formats.
 */
package sprucerock.rehearsal.fake;
