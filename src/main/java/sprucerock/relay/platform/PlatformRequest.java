package sprucerock.relay.platform;

import sprucerock.relay.engine.Request;

/** A client's RPC: who asked it, and its statement. */
final class PlatformRequest extends Request {
  final PlatformClientConnection client;
  final Statement statement;

  PlatformRequest(PlatformClientConnection client, Statement statement) {
    this.client = client;
    this.statement = statement;
  }

  @Override
  protected void complete() {
    super.complete();
    client.over(this);
  }
}
