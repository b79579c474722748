package sprucerock.lab;

import java.util.function.Consumer;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.EndpointListState;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.VoteReply;
import sprucerock.policy.RelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The module of a hollow relay, which has no requests to decide on: of all it is told, only news is
 * passed on.
 */
final class UnresponsivePeer implements RelayEvents {
  /** News as the ledger tells it to the module: by then it is in force. */
  record Told(Build build, int stage, RolloutState standing) {}

  private final Consumer<Told> news;

  UnresponsivePeer(Consumer<Told> news) {
    this.news = news;
  }

  @Override
  public void rolloutChanged(
      Build build, int stage, RolloutState standing, double cap, Timestamp since) {
    news.accept(new Told(build, stage, standing));
  }

  @Override
  public void endpointReady(Endpoint endpoint) {}

  @Override
  public void endpointDraining(Endpoint endpoint) {}

  @Override
  public void endpointListFailed() {}

  @Override
  public void endpointListStateChanged(EndpointListState state) {}

  @Override
  public void rpcArrived(Rpc rpc) {}

  @Override
  public boolean mayWrite(Attempt attempt) {
    return false;
  }

  @Override
  public void streamStarted(Attempt attempt) {}

  @Override
  public void attemptEnded(Attempt attempt, boolean answers) {}

  @Override
  public void clientDisconnected(Rpc rpc) {}

  @Override
  public void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean) {}

  @Override
  public void answerReportedWrong(Endpoint endpoint) {}

  @Override
  public void healthChecked(Endpoint endpoint, boolean answered) {}

  @Override
  public void peerMessageReceived(int sender, byte[] contents) {}

  @Override
  public void voteAnswered(VoteReply reply) {}
}
