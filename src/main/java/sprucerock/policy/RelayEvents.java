package sprucerock.policy;

import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.VoteReply;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What the policy is told, one method for each thing that can happen. The facts in {@code
 * sprucerock.model} hold already when it is told.
 */
public interface RelayEvents {
  /** It may get new work from now on. */
  void endpointReady(Endpoint endpoint);

  /** It drains, is gone, or came back as another incarnation: nothing new goes there. */
  void endpointDraining(Endpoint endpoint);

  /** An endpoint list that was asked for did not come, or the subscription broke. */
  void endpointListFailed();

  /**
   * The controller's news of the canary: {@code cap} is the greatest share of requests, 0 to 1,
   * that it may get, and {@code since} when the stage began.
   */
  void rolloutChanged(Build build, int stage, RolloutState state, double cap, Timestamp since);

  /** A client sent it; it gets its final answer in time, whatever happens. */
  void rpcArrived(Rpc rpc);

  /** The first part of a streamed answer came, and goes to the client. */
  void streamStarted(Attempt attempt);

  /** An attempt ended; {@code answers} says that it ended its RPC too. */
  void attemptEnded(Attempt attempt, boolean answers);

  /** Its client is gone before the answer. */
  void clientDisconnected(Rpc rpc);

  /** What the controller counted in a sample of all relays' attempts, in one period. */
  void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean);

  /** A client found wrong what this endpoint answered. */
  void answerReportedWrong(Endpoint endpoint);

  /**
   * The one relay that checks endpoints for all asked it for a sign, and got it or not; no work was
   * run for it.
   */
  void healthChecked(Endpoint endpoint, boolean answered);

  /** A message from another relay, as {@link RelayActions#sendToPeers} sent it. */
  void peerMessageReceived(int sender, byte[] contents);

  /** The controller's reply to the last vote. */
  void voteAnswered(VoteReply reply);
}
