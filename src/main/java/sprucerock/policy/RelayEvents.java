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
 * What the module is told, one method for each thing that can happen. The facts hold already when
 * it is told.
 */
public interface RelayEvents {
  void endpointReady(Endpoint endpoint);

  /** It drains, is gone, or came back as another run: nothing new goes there. */
  void endpointDraining(Endpoint endpoint);

  /** A list that was asked for did not come, or the subscription broke. */
  void endpointListFailed();

  void rolloutChanged(Build build, int stage, RolloutState standing, double cap, Timestamp since);

  void rpcArrived(Rpc rpc);

  void streamStarted(Attempt attempt);

  /** A pick ended; {@code answers} says that it ended its RPC too. */
  void attemptEnded(Attempt attempt, boolean answers);

  void clientDisconnected(Rpc rpc);

  /** What the release desk counted in a sample of all relays' picks, in one period. */
  void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean);

  /** A client found wrong what this unit answered. */
  void answerReportedWrong(Endpoint endpoint);

  /**
   * The one relay that looks at units for all asked it for a sign, and got it or not; no work was
   * run for it.
   */
  void healthChecked(Endpoint endpoint, boolean answered);

  void peerMessageReceived(int sender, byte[] contents);

  void voteAnswered(VoteReply reply);
}
