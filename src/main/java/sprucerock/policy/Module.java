package sprucerock.policy;

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
 * What the module is told, one method for each thing that can happen. The facts hold already when
 * it is told.
 */
public interface Module {
  void unitReady(Unit unit);

  /** It drains, is gone, or came back as another run: nothing new goes there. */
  void unitLeaving(Unit unit);

  /** A list that was asked for did not come, or the subscription broke. */
  void listFailed();

  void newsOfBuild(Build build, int stage, Standing standing, double cap, Moment since);

  void rpcArrived(Rpc rpc);

  void streamStarted(Pick pick);

  /** A pick ended; {@code answers} says that it ended its RPC too. */
  void pickEnded(Pick pick, boolean answers);

  void clientLeft(Rpc rpc);

  /** What the release desk counted in a sample of all relays' picks, in one period. */
  void counted(Build build, Method method, double picks, double failed, Span mean);

  /** A client found wrong what this unit answered. */
  void flagged(Unit unit);

  /**
   * The one relay that looks at units for all asked it for a sign, and got it or not; no work was
   * run for it.
   */
  void looked(Unit unit, boolean answered);

  void peerTold(int sender, byte[] contents);

  void voteAnswered(Reply reply);
}
