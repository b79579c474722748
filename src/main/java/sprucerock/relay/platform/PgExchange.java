package sprucerock.relay.platform;

import sprucerock.model.Attempt;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.relay.engine.Exchange;
import sprucerock.time.Timestamp;

/** A pick on its way to a unit that speaks PostgreSQL's protocol. */
final class PgExchange extends Exchange {
  /** Null while it waits for a connection. */
  UnitLink link;

  Timer waiting;

  PgExchange(Attempt pick, Timestamp ends) {
    super(pick, ends);
  }

  Statement statement() {
    return ((ClientAsked) pick().rpc.door).statement;
  }
}
