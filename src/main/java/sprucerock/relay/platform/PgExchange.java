package sprucerock.relay.platform;

import sprucerock.model.Attempt;
import sprucerock.relay.engine.AttemptExchange;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers.Timer;

/** A pick on its way to a unit that speaks PostgreSQL's protocol. */
final class PgExchange extends AttemptExchange {
  /** Null while it waits for a connection. */
  PlatformEndpointConnection connection;

  Timer waiting;

  PgExchange(Attempt attempt, Timestamp ends) {
    super(attempt, ends);
  }

  Statement statement() {
    return ((PlatformRequest) attempt().rpc.attachment).statement;
  }
}
