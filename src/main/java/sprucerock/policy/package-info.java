/**
 * The decisions of one relay: where a request goes, whether it is admitted, retried or shadowed,
 * and what this relay votes on a canary. {@link sprucerock.policy.RoutingPolicy} is told of events
 * ({@link sprucerock.policy.RelayEvents}) and delegates to one type for each decision; those act
 * through {@link sprucerock.policy.RelayActions}.
 *
 * <p>It owns: what is known of builds and the rollout ({@code CanaryStatus}), queue, budgets and
 * token buckets, and the notes on endpoints, methods and attempts that {@code sprucerock.model}
 * says are the policy's. All of it is memory of one thread, and starts empty.
 *
 * <p>It may not: read a clock, open anything, start a thread, know a transport or a host, or write
 * the facts that only the accounting writes. The simulator replays decisions to the last digit, so
 * the order of random draws, of additions and of actions is part of its behaviour.
 */
package sprucerock.policy;
