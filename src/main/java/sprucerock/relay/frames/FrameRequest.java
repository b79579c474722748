package sprucerock.relay.frames;

/** What the door keeps with an RPC: who asked, under which id, and what the units are sent. */
final class FrameRequest extends sprucerock.relay.engine.Request {
  final FrameClientConnection client;
  final long clientRequestId;
  final long idempotencyKey;
  byte[] body;

  FrameRequest(FrameClientConnection client, long id, long token, byte[] body) {
    this.client = client;
    this.clientRequestId = id;
    this.idempotencyKey = token;
    this.body = body;
  }

  /** Its body is not kept either. */
  @Override
  protected void complete() {
    super.complete();
    body = null;
  }
}
