/**
 * The relay that speaks this project's own frames with clients, endpoints and other relays.
 *
 * <ul>
 *   <li>{@link sprucerock.relay.frames.FrameRelay} puts the parts together and is the engine that
 *       the routing policy acts through;
 *   <li>{@code ClientConnections} accepts clients and peers, and admits requests within limits;
 *   <li>{@code EndpointConnectionPool} holds the connections to one endpoint;
 *   <li>{@code DiscoveryConnection} and {@link sprucerock.relay.frames.ControllerConnection} keep
 *       the lists of endpoints and the news of rollouts up to date, {@link
 *       sprucerock.relay.frames.RackPermits} what may be placed on which rack;
 *   <li>{@code PeerConnections} carry the policy's messages to other relays;
 *   <li>{@code FleetTasks} does what one relay does for all, under leases: health checks and the
 *       hardware model;
 *   <li>{@code MetricsMonitor} and {@code GracefulShutdown} watch the sums and end the relay.
 * </ul>
 *
 * <p>The package owns all of the relay's connections, and runs on the event loop's thread, but for
 * the accessors that say otherwise. It chooses no endpoint, no retry and no vote; where a limit is
 * reached it answers what the configuration states, and nothing else.
 */
package sprucerock.relay.frames;
