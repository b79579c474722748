package sprucerock.lab;

import java.util.function.Consumer;
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

/**
 * The module of a hollow relay, which has no requests to decide on: of all it is told, only news is
 * passed on.
 */
final class Deaf implements Module {
  /** News as the ledger tells it to the module: by then it is in force. */
  record Told(Build build, int stage, Standing standing) {}

  private final Consumer<Told> news;

  Deaf(Consumer<Told> news) {
    this.news = news;
  }

  @Override
  public void newsOfBuild(Build build, int stage, Standing standing, double cap, Moment since) {
    news.accept(new Told(build, stage, standing));
  }

  @Override
  public void unitReady(Unit unit) {}

  @Override
  public void unitLeaving(Unit unit) {}

  @Override
  public void listFailed() {}

  @Override
  public void rpcArrived(Rpc rpc) {}

  @Override
  public void streamStarted(Pick pick) {}

  @Override
  public void pickEnded(Pick pick, boolean answers) {}

  @Override
  public void clientLeft(Rpc rpc) {}

  @Override
  public void counted(Build build, Method method, double picks, double failed, Span mean) {}

  @Override
  public void flagged(Unit unit) {}

  @Override
  public void looked(Unit unit, boolean answered) {}

  @Override
  public void peerTold(int sender, byte[] contents) {}

  @Override
  public void voteAnswered(Reply reply) {}
}
