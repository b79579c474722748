package sprucerock.relay.engine;

import java.util.ArrayList;
import java.util.List;
import sprucerock.transport.net.Timers.Timer;

/** What the door that took an RPC keeps with it. */
public abstract class Request {
  private final List<Timer> cancelAtEnd = new ArrayList<>(2);
  private long requestId;

  /** The relay's own number for the RPC; 0 while it has none. */
  public final long requestId() {
    return requestId;
  }

  final void requestId(long given) {
    requestId = given;
  }

  /** Is to be done while the RPC is open. */
  final void cancelAtEnd(Timer timer) {
    cancelAtEnd.add(timer);
  }

  /** The RPC has ended: what was to be done for it is not kept until its deadline. */
  protected void complete() {
    for (Timer timer : cancelAtEnd) {
      timer.cancel();
    }
    cancelAtEnd.clear();
  }
}
