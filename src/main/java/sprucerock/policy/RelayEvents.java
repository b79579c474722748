package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.EndpointListState;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.VoteReply;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Events that the host reports to the policy, and the one question that it asks, one method for
 * each. The state in {@code sprucerock.model} is updated before the call.
 */
public interface RelayEvents {
  /** The endpoint may get new work from now on. */
  void endpointReady(Endpoint endpoint);

  /**
   * The endpoint must get no new work: it is draining, is gone, or was replaced by another
   * incarnation.
   */
  void endpointDraining(Endpoint endpoint);

  /** A requested endpoint list did not arrive, or the subscription broke. */
  void endpointListFailed();

  /**
   * The endpoint list was confirmed by discovery, or is no longer. A host whose endpoints all come
   * from discovery in this process need not call this: the list counts as confirmed until then.
   */
  void endpointListStateChanged(EndpointListState state);

  /**
   * The controller sent the state of a rollout.
   *
   * @param cap the largest share of requests, from 0 to 1, that the build may get
   * @param since when the stage began
   */
  void rolloutChanged(Build build, int stage, RolloutState state, double cap, Timestamp since);

  /** A client sent an RPC. The policy must end the RPC before its deadline in all cases. */
  void rpcArrived(Rpc rpc);

  /**
   * Asks whether an attempt may still be written to its connection; called right before. If not, it
   * must not be written, and ends as {@link sprucerock.model.AttemptOutcome#MOOT}.
   */
  boolean mayWrite(Attempt attempt);

  /** The first part of a streamed answer arrived and goes to the client. */
  void streamStarted(Attempt attempt);

  /**
   * An attempt ended.
   *
   * @param endsRpc whether the RPC ended with this attempt, by its answer or by a broken stream
   */
  void attemptEnded(Attempt attempt, boolean endsRpc);

  /** The client of an RPC disconnected before the answer. */
  void clientDisconnected(Rpc rpc);

  /** The controller sent its counts of a sample of all relays' attempts in one period. */
  void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean);

  /** A client reported that an answer of this endpoint was wrong. */
  void answerReportedWrong(Endpoint endpoint);

  /**
   * A health check of the endpoint ended. One relay checks each endpoint on behalf of all relays. A
   * check does not run a request at the endpoint.
   */
  void healthChecked(Endpoint endpoint, boolean answered);

  /**
   * A message from another relay arrived, sent by {@link RelayActions#sendToPeers} or {@link
   * RelayActions#sendToPeer}.
   */
  void peerMessageReceived(int sender, byte[] contents);

  /** The controller answered the last vote. */
  void voteAnswered(VoteReply reply);
}
