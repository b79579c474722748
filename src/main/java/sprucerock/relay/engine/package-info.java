/**
 * The core that every running relay shares, whichever protocol its clients and endpoints speak.
 *
 * <p>{@link sprucerock.relay.engine.RelayEngine} carries out what the routing policy decides and
 * tells the policy, by way of the request tracker, what became of it. It guarantees that each
 * attempt ends exactly once, that each request gets exactly one final answer, by its deadline at
 * the latest, and that every timer of either is cancelled when it ends.
 *
 * <p>The package owns the timers of open requests and attempts, and the rate limit of the relay's
 * log ({@link sprucerock.relay.engine.EventLog}). It may not choose an endpoint, start an attempt
 * of its own accord or vote: that is the policy's. It may not know a protocol: subclasses of the
 * engine, of {@link sprucerock.relay.engine.Request} and of {@link
 * sprucerock.relay.engine.AttemptExchange} do. All of it runs on the event loop's thread.
 */
package sprucerock.relay.engine;
