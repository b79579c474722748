package sprucerock.relay.platform;

import sprucerock.relay.engine.Request;

/** A client's RPC: who asked it, and its statement. */
final class PlatformRequest extends Request {
  final PlatformClientConnection client;
  final Statement statement;
  private final int heldBytes;

  /** {@code heldBytes}: what the client's account holds for the statement. */
  PlatformRequest(PlatformClientConnection client, Statement statement, int heldBytes) {
    this.client = client;
    this.statement = statement;
    this.heldBytes = heldBytes;
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
