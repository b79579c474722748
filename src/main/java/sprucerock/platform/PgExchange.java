package sprucerock.platform;

import sprucerock.model.Pick;
import sprucerock.net.Timers.Timer;
import sprucerock.serving.Exchange;
import sprucerock.time.Moment;

/** A pick on its way to a unit that speaks PostgreSQL's protocol. */
final class PgExchange extends Exchange {
  /** Null while it waits for a connection. */
  UnitLink link;

  Timer waiting;

  PgExchange(Pick pick, Moment ends) {
    super(pick, ends);
  }

  Statement statement() {
    return ((ClientAsked) pick().rpc.door).statement;
  }
}
