package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Stop;
import sprucerock.transport.wire.v1.Work;

/** One connection to a unit, with the picks that are out on it. */
final class EndpointConnection implements FrameListener {
  private static final byte[] NO_BODY = {};

  private final EndpointConnectionPool connections;
  private final Map<Long, FrameExchange> live = new LinkedHashMap<>();
  FrameConnection connection;

  /** The unit said who it is, and is the one meant. */
  boolean greeted;

  /** Gets nothing new, and is closed once it is empty. */
  boolean retired;

  Timestamp usedLast;
  private long lastId;
  private int forsaken;

  EndpointConnection(EndpointConnectionPool connections, Timestamp now) {
    this.connections = connections;
    usedLast = now;
  }

  sprucerock.model.Endpoint unit() {
    return connections.endpoint;
  }

  /** Picks on it, those included that nobody waits for any more: the unit may still be at them. */
  int load() {
    return live.size() + forsaken;
  }

  boolean idle() {
    return live.isEmpty();
  }

  /** Nothing new may follow what closes it: such a pick would be cut off with it. */
  void retire() {
    retired = true;
    connection.finish();
  }

  /** Gets nothing new; closes once what is out on it has ended. */
  void drain() {
    if (idle()) {
      retire();
    } else {
      retired = true;
    }
  }

  void send(FrameExchange exchange, Timestamp now) {
    Rpc rpc = exchange.attempt().rpc;
    FrameRequest asked = (FrameRequest) rpc.attachment;
    TimeSpan left = exchange.deadline().since(now);
    Work.Builder work =
        Work.newBuilder()
            .setId(++lastId)
            .setMethod(rpc.method.index)
            .setCustomer(rpc.tenant)
            .setKey(rpc.key)
            .setLeftUs((long) (left.ms() * 1000))
            .setHintUs((long) (rpc.hintedWork().ms() * 1000));
    if (rpc.method.idempotency == Method.Idempotency.KEYED) {
      work.setToken(asked.token);
    }
    exchange.connection = this;
    exchange.id = lastId;
    exchange.mark = connection.send(FrameKind.WORK, work.build(), asked.body);
    live.put(lastId, exchange);
    connections.written(exchange);
    usedLast = now;
  }

  /** Nobody waits for it any more. A unit that is told so may stop. */
  void forsake(FrameExchange exchange, boolean tellUnit) {
    live.remove(exchange.id);
    forsaken++;
    if (tellUnit) {
      connection.send(FrameKind.STOP, Stop.newBuilder().setId(exchange.id).build(), NO_BODY);
    }
    connections.emptied(this);
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    if (other.getRole() != Role.UNIT
        || Integer.toUnsignedLong(other.getNumber()) != connections.endpoint.id) {
      connections.misnamed(other);
      made.cut("another one answers there");
      return;
    }
    greeted = true;
    connections.up(this);
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (kind != FrameKind.DONE) {
      connection.cut("a unit sends no " + kind);
      return;
    }
    Done done = (Done) head;
    AttemptOutcome outcome =
        switch (done.getResult()) {
          case DONE -> AttemptOutcome.OK;
          case FULL -> AttemptOutcome.FULL;
          default -> AttemptOutcome.ERROR;
        };
    FrameExchange exchange = live.remove(done.getId());
    if (exchange == null) {
      // late, for one given up on; or an id that never was, which a unit can't use to gain room
      if (forsaken > 0 && done.getId() <= lastId) {
        forsaken--;
      }
      connections.late(outcome);
      connections.emptied(this);
      return;
    }
    connections.ended(exchange, outcome, body);
    connections.emptied(this);
  }

  @Override
  public void closed(String why) {
    connections.down(this, why);
    for (FrameExchange exchange : new ArrayList<>(live.values())) {
      // a cut before its frame left proves that it never ran; after that nobody knows
      boolean never = !connection.mayHaveBeenSent(exchange.mark);
      connections.ended(
          exchange, never ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.BROKEN, NO_BODY);
    }
    live.clear();
  }
}
