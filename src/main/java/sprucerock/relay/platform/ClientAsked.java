package sprucerock.relay.platform;

import sprucerock.relay.engine.Asked;

/** A client's RPC: who asked it, and its statement. */
final class ClientAsked extends Asked {
  final ClientLink client;
  final Statement statement;

  ClientAsked(ClientLink client, Statement statement) {
    this.client = client;
    this.statement = statement;
  }

  @Override
  protected void over() {
    super.over();
    client.over(this);
  }
}
