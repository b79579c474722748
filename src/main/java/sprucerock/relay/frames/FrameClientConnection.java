package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Flag;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Role;

/**
 * A connection that was accepted: a client's with its open requests, or another relay's with
 * messages for the policy. For the event loop's thread.
 */
final class FrameClientConnection implements FrameListener {
  static final byte[] NO_BODY = {};

  private final ClientConnections owner;
  private final Map<Long, FrameRequest> openRequests = new LinkedHashMap<>();
  private FrameConnection connection;
  private TlsConnection tls;
  private boolean isPeer;
  private boolean isClosed;

  FrameClientConnection(ClientConnections owner) {
    this.owner = owner;
  }

  int openRequests() {
    return openRequests.size();
  }

  /** The connection is by TLS, with its certificates. */
  void tls(TlsConnection over) {
    tls = over;
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    connection = made;
    isPeer = other.getRole() == Role.RELAY;
    if (isPeer && !owner.isProvenRelay(other.getNumber(), tls)) {
      made.cut("its certificate is not that of relay " + other.getNumber());
    }
    if (!isPeer && other.getRole() != Role.CLIENT) {
      made.cut("only clients and relays are taken here");
    }
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (isPeer) {
      if (!owner.peerFrame(connection.remoteHello().getNumber(), kind, head, body)) {
        connection.cut("a relay sends no " + kind + " here");
      }
    } else if (kind == FrameKind.CALL) {
      requestReceived((Call) head, body);
    } else if (kind == FrameKind.LEAVE) {
      requestWithdrawn((Leave) head);
    } else if (kind == FrameKind.FLAG) {
      owner.endpointFlagged(((Flag) head).getUnit(), ((Flag) head).getAgoUs());
    } else {
      connection.cut("a client sends no " + kind);
    }
  }

  private void requestReceived(Call call, byte[] body) {
    if (openRequests.containsKey(call.getId())) {
      connection.cut("RPC id " + call.getId() + " is still open");
      return;
    }
    FrameRequest request = new FrameRequest(this, call.getId(), call.getToken(), body);
    openRequests.put(request.clientRequestId, request);
    owner.requestReceived(request, call);
  }

  @Override
  public void bodyDropped(FrameConnection made, FrameKind kind, MessageLite head) {
    if (isPeer || kind != FrameKind.CALL) {
      made.cut("no memory for the body of " + kind);
      return;
    }
    Call call = (Call) head;
    if (openRequests.containsKey(call.getId())) {
      made.cut("RPC id " + call.getId() + " is still open");
      return;
    }
    FrameRequest request = new FrameRequest(this, call.getId(), call.getToken(), NO_BODY);
    openRequests.put(request.clientRequestId, request);
    owner.rejectForMemory(request);
  }

  /** The request's body is not needed any more. */
  void requestReleased(int heldBytes) {
    owner.requestReleased(heldBytes);
  }

  private void requestWithdrawn(Leave leave) {
    FrameRequest request = openRequests.remove(leave.getId());
    if (request != null) {
      owner.clientLeft(request); // else its answer is on its way
    }
  }

  /** Sends the final answer; dropped where the request has one, or its client left. */
  void answer(FrameRequest request, Ending ending, long retryAfterUs, long endpoint, byte[] body) {
    request.complete();
    if (isClosed || !openRequests.remove(request.clientRequestId, request)) {
      return;
    }
    connection.send(
        FrameKind.ANSWER,
        Answer.newBuilder()
            .setId(request.clientRequestId)
            .setEnding(ending)
            .setWaitUs(retryAfterUs)
            .setUnit(endpoint)
            .build(),
        body);
  }

  @Override
  public void closed(String why) {
    isClosed = true;
    for (FrameRequest request : new ArrayList<>(openRequests.values())) {
      owner.clientLeft(request);
    }
    openRequests.clear();
    owner.connectionClosed(this, isPeer, why);
  }

  /** Aborts each open request, as the time for the relay's shutdown is over. */
  void abortAll() {
    for (FrameRequest request : new ArrayList<>(openRequests.values())) {
      owner.abort(request);
    }
  }

  void finish() {
    if (connection != null) {
      connection.finish();
    }
  }
}
