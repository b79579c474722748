/**
 * The controller's process around the engine: its listeners, HTTP interfaces and configuration.
 *
 * <p>{@link sprucerock.controller.server.ControllerServer} owns the loop, the leadership and the
 * webhook outboxes. The engine and all connections of relays and agents are used on the loop's
 * thread only. This package decides nothing about rollouts, deployments or maintenance: every
 * change is submitted to the engine as an input, and answered once the input is durable.
 *
 * <p>HTTP requests arrive on their own threads; {@code LoopDispatcher} alone moves them to the
 * loop. Each outbox has a thread and a bounded queue. No other thread may use the engine.
 *
 * <p>May depend on the engine, on leases, on the transport and on the agents' artifact store; only
 * the command line and rehearsals may depend on this package.
 */
package sprucerock.controller.server;
