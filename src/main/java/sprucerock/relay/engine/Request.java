package sprucerock.relay.engine;

import java.util.ArrayList;
import java.util.List;
import sprucerock.transport.net.Timers.Timer;

/** What the door that took an RPC keeps with it. */
public abstract class Request {
  private final List<Timer> until = new ArrayList<>(2);
  private long number;

  /** The relay's own number for the RPC; 0 while it has none. */
  public final long number() {
    return number;
  }

  final void number(long given) {
    number = given;
  }

  /** Is to be done while the RPC is open. */
  final void until(Timer timer) {
    until.add(timer);
  }

  /** The RPC has ended: what was to be done for it is not kept until its deadline. */
  protected void over() {
    for (Timer timer : until) {
      timer.cancel();
    }
    until.clear();
  }
}
