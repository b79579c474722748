package sprucerock.relay.frames;

import java.util.ArrayList;
import java.util.List;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.EndpointListState;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.VoteReply;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** A policy that records its events, and hands them on to a delegate where there is one. */
public class RecordingRelayEvents implements RelayEvents {
  public final List<String> calls = new ArrayList<>();
  public RelayEvents delegate;

  /** Where set, each event is recorded with its time. */
  public RelayActions clock;

  private void record(String call, java.util.function.Consumer<RelayEvents> next) {
    calls.add(clock == null ? call : call + " @" + clock.now().ms());
    if (delegate != null) {
      next.accept(delegate);
    }
  }

  @Override
  public void endpointReady(Endpoint endpoint) {
    record("ready " + endpoint.id, m -> m.endpointReady(endpoint));
  }

  @Override
  public void endpointDraining(Endpoint endpoint) {
    record("leaving " + endpoint.id, m -> m.endpointDraining(endpoint));
  }

  @Override
  public void endpointListFailed() {
    record("list failed", RelayEvents::endpointListFailed);
  }

  @Override
  public void endpointListStateChanged(EndpointListState state) {
    record("list " + state, m -> m.endpointListStateChanged(state));
  }

  @Override
  public void rolloutChanged(
      Build build, int stage, RolloutState standing, double cap, Timestamp since) {
    record(
        "news " + build.number + " " + stage + " " + standing + " " + (float) cap,
        m -> m.rolloutChanged(build, stage, standing, cap, since));
  }

  @Override
  public void rpcArrived(Rpc rpc) {
    record("arrived " + rpc.id, m -> m.rpcArrived(rpc));
  }

  @Override
  public boolean mayWrite(Attempt attempt) {
    return delegate == null || delegate.mayWrite(attempt);
  }

  @Override
  public void streamStarted(Attempt attempt) {
    record("stream " + attempt.rpc.id, m -> m.streamStarted(attempt));
  }

  @Override
  public void attemptEnded(Attempt attempt, boolean answers) {
    record(
        "ended "
            + attempt.rpc.id
            + "."
            + attempt.number
            + " "
            + attempt.outcome()
            + (answers ? " answers" : ""),
        m -> m.attemptEnded(attempt, answers));
  }

  @Override
  public void clientDisconnected(Rpc rpc) {
    record("left " + rpc.id, m -> m.clientDisconnected(rpc));
  }

  @Override
  public void fleetCountsReceived(
      Build build, Method method, double attempts, double failed, TimeSpan mean) {
    record(
        "counted " + build.number,
        m -> m.fleetCountsReceived(build, method, attempts, failed, mean));
  }

  @Override
  public void healthChecked(Endpoint endpoint, boolean answered) {
    record("looked " + endpoint.id + " " + answered, m -> m.healthChecked(endpoint, answered));
  }

  @Override
  public void answerReportedWrong(Endpoint endpoint) {
    record("flagged " + endpoint.id, m -> m.answerReportedWrong(endpoint));
  }

  @Override
  public void peerMessageReceived(int sender, byte[] contents) {
    record("peer " + sender + " " + contents.length, m -> m.peerMessageReceived(sender, contents));
  }

  @Override
  public void voteAnswered(VoteReply reply) {
    record("vote " + reply, m -> m.voteAnswered(reply));
  }
}
