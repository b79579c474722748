package sprucerock.relay.frames;

import sprucerock.relay.engine.Request;

/** A client's request over frames: its connection, its own id for it, and what endpoints get. */
final class FrameRequest extends Request {
  final FrameClientConnection client;
  final long clientRequestId;
  final long idempotencyKey;
  byte[] body;

  /** What is held for the body of the memory for requests; 0 until it is admitted. */
  int heldBytes;

  FrameRequest(FrameClientConnection client, long id, long token, byte[] body) {
    this.client = client;
    this.clientRequestId = id;
    this.idempotencyKey = token;
    this.body = body;
  }

  /** Releases the body too. */
  @Override
  protected void complete() {
    super.complete();
    body = null;
  }

  @Override
  protected void released() {
    client.requestReleased(heldBytes);
  }
}
