package sprucerock.relay.frames;

import java.util.ArrayList;
import java.util.List;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RelayEvents;
import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Attempt;
import sprucerock.model.VoteReply;
import sprucerock.model.Rpc;
import sprucerock.model.RolloutState;
import sprucerock.model.Endpoint;
import sprucerock.time.Timestamp;
import sprucerock.time.TimeSpan;

/** A module that writes down what it is told, and hands it on where there is another behind it. */
public class Told implements RelayEvents {
  public final List<String> calls = new ArrayList<>();
  public RelayEvents behind;

  /** Where set, each call is noted with its time. */
  public RelayActions clock;

  private void say(String call, java.util.function.Consumer<RelayEvents> next) {
    calls.add(clock == null ? call : call + " @" + clock.now().ms());
    if (behind != null) {
      next.accept(behind);
    }
  }

  @Override
  public void unitReady(Endpoint unit) {
    say("ready " + unit.id, m -> m.unitReady(unit));
  }

  @Override
  public void unitLeaving(Endpoint unit) {
    say("leaving " + unit.id, m -> m.unitLeaving(unit));
  }

  @Override
  public void listFailed() {
    say("list failed", RelayEvents::listFailed);
  }

  @Override
  public void newsOfBuild(Build build, int stage, RolloutState standing, double cap, Timestamp since) {
    say(
        "news " + build.number + " " + stage + " " + standing + " " + (float) cap,
        m -> m.newsOfBuild(build, stage, standing, cap, since));
  }

  @Override
  public void rpcArrived(Rpc rpc) {
    say("arrived " + rpc.id, m -> m.rpcArrived(rpc));
  }

  @Override
  public void streamStarted(Attempt pick) {
    say("stream " + pick.rpc.id, m -> m.streamStarted(pick));
  }

  @Override
  public void pickEnded(Attempt pick, boolean answers) {
    say(
        "ended "
            + pick.rpc.id
            + "."
            + pick.number
            + " "
            + pick.outcome()
            + (answers ? " answers" : ""),
        m -> m.pickEnded(pick, answers));
  }

  @Override
  public void clientLeft(Rpc rpc) {
    say("left " + rpc.id, m -> m.clientLeft(rpc));
  }

  @Override
  public void counted(Build build, Method method, double picks, double failed, TimeSpan mean) {
    say("counted " + build.number, m -> m.counted(build, method, picks, failed, mean));
  }

  @Override
  public void looked(Endpoint unit, boolean answered) {
    say("looked " + unit.id + " " + answered, m -> m.looked(unit, answered));
  }

  @Override
  public void flagged(Endpoint unit) {
    say("flagged " + unit.id, m -> m.flagged(unit));
  }

  @Override
  public void peerTold(int sender, byte[] contents) {
    say("peer " + sender + " " + contents.length, m -> m.peerTold(sender, contents));
  }

  @Override
  public void voteAnswered(VoteReply reply) {
    say("vote " + reply, m -> m.voteAnswered(reply));
  }
}
