package sprucerock.relay.platform;

import sprucerock.model.Attempt;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.time.Timestamp;

/** A pick on its way to a unit that speaks PostgreSQL's protocol. */
final class PgExchange extends AttemptExchange {
  /** Null while it waits for a connection. */
  PlatformEndpointConnection link;

  Timer waiting;

  PgExchange(Attempt pick, Timestamp ends) {
    super(pick, ends);
  }

  Statement statement() {
    return ((PlatformRequest) pick().rpc.door).statement;
  }
}
