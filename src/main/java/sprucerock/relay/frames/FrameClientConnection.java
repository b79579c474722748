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
import sprucerock.transport.wire.v1.Seen;

/**
 * A connection that somebody made to this relay: a client's, or another relay's with messages for
 * the module.
 */
final class FrameClientConnection implements FrameListener {
  static final byte[] NO_BODY = {};

  private final FrameRelay relay;
  private final Map<Long, FrameRequest> open = new LinkedHashMap<>();
  private FrameConnection connection;
  private TlsConnection by;
  private boolean peer;
  private boolean closed;

  FrameClientConnection(FrameRelay relay) {
    this.relay = relay;
  }

  int open() {
    return open.size();
  }

  /** It came over TLS. */
  void by(TlsConnection over) {
    by = over;
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    connection = made;
    peer = other.getRole() == Role.RELAY;
    if (peer && !relay.proven(other.getNumber(), by)) {
      made.cut("its certificate is not that of relay " + other.getNumber());
    }
    if (!peer && other.getRole() != Role.CLIENT) {
      made.cut("only clients and relays are taken here");
    }
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (peer && kind == FrameKind.TOLD) {
      relay.peerTold(connection.remoteHello().getNumber(), body);
    } else if (peer && kind == FrameKind.SEEN) {
      relay.peerSaw((Seen) head);
    } else if (peer && relay.aboutHardware(connection.remoteHello().getNumber(), kind, head)) {
      return;
    } else if (peer) {
      connection.cut("a relay sends no " + kind + " here");
    } else if (kind == FrameKind.CALL) {
      call((Call) head, body);
    } else if (kind == FrameKind.LEAVE) {
      leave((Leave) head);
    } else if (kind == FrameKind.FLAG) {
      relay.flagged(((Flag) head).getUnit(), ((Flag) head).getAgoUs());
    } else {
      connection.cut("a client sends no " + kind);
    }
  }

  private void call(Call call, byte[] body) {
    if (open.containsKey(call.getId())) {
      connection.cut("RPC id " + call.getId() + " is still open");
      return;
    }
    FrameRequest asked = new FrameRequest(this, call.getId(), call.getToken(), body);
    open.put(asked.id, asked);
    relay.called(asked, call);
  }

  private void leave(Leave leave) {
    FrameRequest asked = open.remove(leave.getId());
    if (asked != null) {
      relay.clientLeft(asked); // else its answer is on the way
    }
  }

  /** The one final answer. */
  void answer(FrameRequest asked, Ending ending, long waitUs, long endpoint, byte[] body) {
    asked.complete();
    if (closed || !open.remove(asked.id, asked)) {
      return;
    }
    connection.send(
        FrameKind.ANSWER,
        Answer.newBuilder()
            .setId(asked.id)
            .setEnding(ending)
            .setWaitUs(waitUs)
            .setUnit(endpoint)
            .build(),
        body);
  }

  @Override
  public void closed(String why) {
    closed = true;
    for (FrameRequest asked : new ArrayList<>(open.values())) {
      relay.clientLeft(asked);
    }
    open.clear();
    relay.gone(this, peer, why);
  }

  /** The relay's time is over: each open RPC gets an answer that promises nothing. */
  void abortAll() {
    for (FrameRequest asked : new ArrayList<>(open.values())) {
      relay.abort(asked);
    }
  }

  void finish() {
    if (connection != null) {
      connection.finish();
    }
  }
}
