package sprucerock.relay.platform;

import sprucerock.relay.engine.Request;
import sprucerock.time.Timestamp;

/** A client's RPC: who asked it, and its statement. */
final class PlatformRequest extends Request {
  final PlatformClientConnection client;
  final Statement statement;

  /** When its turn on the client's connection came. */
  final Timestamp readAt;

  private final int heldBytes;

  /** {@code heldBytes}: what the client's account holds for the statement. */
  PlatformRequest(
      PlatformClientConnection client, Statement statement, Timestamp readAt, int heldBytes) {
    this.readAt = readAt;
    this.client = client;
    this.statement = statement;
    this.heldBytes = heldBytes;
  }

  /** It never begins: its client left before it could. */
  void withdraw() {
    complete();
  }

  @Override
  protected void complete() {
    super.complete();
    client.requestCompleted(this);
  }

  @Override
  protected void released() {
    statement.release();
    client.requestReleased(heldBytes);
  }
}
