package sprucerock.relay.frames;

import java.util.ArrayList;
import java.util.List;
import sprucerock.policy.Host;
import sprucerock.policy.Module;
import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Pick;
import sprucerock.model.Reply;
import sprucerock.model.Rpc;
import sprucerock.model.Standing;
import sprucerock.model.Unit;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/** A module that writes down what it is told, and hands it on where there is another behind it. */
public class Told implements Module {
  public final List<String> calls = new ArrayList<>();
  public Module behind;

  /** Where set, each call is noted with its time. */
  public Host clock;

  private void say(String call, java.util.function.Consumer<Module> next) {
    calls.add(clock == null ? call : call + " @" + clock.now().ms());
    if (behind != null) {
      next.accept(behind);
    }
  }

  @Override
  public void unitReady(Unit unit) {
    say("ready " + unit.id, m -> m.unitReady(unit));
  }

  @Override
  public void unitLeaving(Unit unit) {
    say("leaving " + unit.id, m -> m.unitLeaving(unit));
  }

  @Override
  public void listFailed() {
    say("list failed", Module::listFailed);
  }

  @Override
  public void newsOfBuild(Build build, int stage, Standing standing, double cap, Moment since) {
    say(
        "news " + build.number + " " + stage + " " + standing + " " + (float) cap,
        m -> m.newsOfBuild(build, stage, standing, cap, since));
  }

  @Override
  public void rpcArrived(Rpc rpc) {
    say("arrived " + rpc.id, m -> m.rpcArrived(rpc));
  }

  @Override
  public void streamStarted(Pick pick) {
    say("stream " + pick.rpc.id, m -> m.streamStarted(pick));
  }

  @Override
  public void pickEnded(Pick pick, boolean answers) {
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
  public void counted(Build build, Method method, double picks, double failed, Span mean) {
    say("counted " + build.number, m -> m.counted(build, method, picks, failed, mean));
  }

  @Override
  public void looked(Unit unit, boolean answered) {
    say("looked " + unit.id + " " + answered, m -> m.looked(unit, answered));
  }

  @Override
  public void flagged(Unit unit) {
    say("flagged " + unit.id, m -> m.flagged(unit));
  }

  @Override
  public void peerTold(int sender, byte[] contents) {
    say("peer " + sender + " " + contents.length, m -> m.peerTold(sender, contents));
  }

  @Override
  public void voteAnswered(Reply reply) {
    say("vote " + reply, m -> m.voteAnswered(reply));
  }
}
