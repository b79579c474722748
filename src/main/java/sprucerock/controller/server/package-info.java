/**
 * A controller as a process: its listeners, its HTTP interfaces and its settings around the engine.
 *
 * <p>{@link sprucerock.controller.server.ControllerServer} owns the loop, on whose thread the
 * engine and all connections of relays and agents live, the leadership and the outboxes of
 * webhooks. Nothing here decides about rollouts, deployments or maintenance: whatever changes
 * anything is submitted to the engine as an input, and answered once the input is durable.
 *
 * <p>HTTP requests come on threads of their own; {@code LoopDispatcher} alone takes them to the
 * loop. Each outbox has a thread and a bounded queue. No other thread may use the engine.
 *
 * <p>May depend on the engine, on leases, on the transport and on the agents' artifact store; only
 * the command line and rehearsals may depend on this package.
 */
package sprucerock.controller.server;
