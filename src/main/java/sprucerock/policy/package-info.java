/**
 * The decisions of one relay: where a request goes, whether it is admitted, retried or shadowed,
 * and how this relay votes on a canary. {@link sprucerock.policy.RoutingPolicy} receives the events
 * ({@link sprucerock.policy.RelayEvents}) and delegates to one type for each decision. These types
 * act through {@link sprucerock.policy.RelayActions}.
 *
 * <p>Comments cite the five rules of the design, which rehearsals check, by number:
 *
 * <ol>
 *   <li>No RPC is lost: each ends by its deadline.
 *   <li>No effect happens twice: a request that may have run is repeated only where that is safe.
 *   <li>A draining endpoint gets no new attempts once the grace period is over.
 *   <li>An endpoint that is warming up is not overloaded.
 *   <li>The canary's exposure stays within its cap.
 * </ol>
 *
 * <p>The package owns the state of builds and the rollout ({@code CanaryStatus}), the queue,
 * budgets and token buckets, and those fields of endpoints, methods and attempts that {@code
 * sprucerock.model} documents as written by the policy. All state belongs to one thread and is
 * empty at start.
 *
 * <p>The package must not read a clock, open files or connections, start threads, depend on a
 * transport or a host, or write the fields that only the accounting writes. The simulator replays
 * decisions to the last digit, so the order of random draws, of additions and of actions is part of
 * the behaviour.
 */
package sprucerock.policy;
