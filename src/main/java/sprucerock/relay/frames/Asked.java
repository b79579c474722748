package sprucerock.relay.frames;

/** What the door keeps with an RPC: who asked, under which id, and what the units are sent. */
final class Asked extends sprucerock.relay.engine.Asked {
  final ClientLink client;
  final long id;
  final long token;
  byte[] body;

  Asked(ClientLink client, long id, long token, byte[] body) {
    this.client = client;
    this.id = id;
    this.token = token;
    this.body = body;
  }

  /** Its body is not kept either. */
  @Override
  protected void over() {
    super.over();
    body = null;
  }
}
