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

  private final EndpointConnectionPool pool;
  private final Map<Long, FrameExchange> inFlight = new LinkedHashMap<>();
  FrameConnection connection;

  /** The unit said who it is, and is the one meant. */
  boolean isReady;

  /** Gets nothing new, and is closed once it is empty. */
  boolean isRetired;

  Timestamp lastUsed;
  private long lastId;
  private int abandoned;

  EndpointConnection(EndpointConnectionPool connections, Timestamp now) {
    this.pool = connections;
    lastUsed = now;
  }

  sprucerock.model.Endpoint endpoint() {
    return pool.endpoint;
  }

  /** Picks on it, those included that nobody waits for any more: the unit may still be at them. */
  int load() {
    return inFlight.size() + abandoned;
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }

  /** Nothing new may follow what closes it: such a pick would be cut off with it. */
  void retire() {
    isRetired = true;
    connection.finish();
  }

  /** Gets nothing new; closes once what is out on it has ended. */
  void drain() {
    if (isIdle()) {
      retire();
    } else {
      isRetired = true;
    }
  }

  void send(FrameExchange exchange, Timestamp now) {
    Rpc rpc = exchange.attempt().rpc;
    FrameRequest request = (FrameRequest) rpc.door;
    TimeSpan left = exchange.deadline().since(now);
    Work.Builder work =
        Work.newBuilder()
            .setId(++lastId)
            .setMethod(rpc.method.index)
            .setCustomer(rpc.tenant)
            .setKey(rpc.key)
            .setLeftUs((long) (left.ms() * 1000))
            .setHintUs((long) (rpc.hinted().ms() * 1000));
    if (rpc.method.effect == Method.Effect.TOKENED) {
      work.setToken(request.idempotencyKey);
    }
    exchange.connection = this;
    exchange.wireId = lastId;
    exchange.sentMark = connection.send(FrameKind.WORK, work.build(), request.body);
    inFlight.put(lastId, exchange);
    pool.attemptWritten(exchange);
    lastUsed = now;
  }

  /** Nobody waits for it any more. A unit that is told so may stop. */
  void abandon(FrameExchange exchange, boolean tellUnit) {
    inFlight.remove(exchange.wireId);
    abandoned++;
    if (tellUnit) {
      connection.send(FrameKind.STOP, Stop.newBuilder().setId(exchange.wireId).build(), NO_BODY);
    }
    pool.capacityFreed(this);
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    if (other.getRole() != Role.UNIT
        || Integer.toUnsignedLong(other.getNumber()) != pool.endpoint.id) {
      pool.wrongEndpoint(other);
      made.cut("another one answers there");
      return;
    }
    isReady = true;
    pool.connectionReady(this);
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
    FrameExchange exchange = inFlight.remove(done.getId());
    if (exchange == null) {
      // late, for one given up on; or an id that never was, which a unit can't use to gain room
      if (abandoned > 0 && done.getId() <= lastId) {
        abandoned--;
      }
      pool.lateResult(outcome);
      pool.capacityFreed(this);
      return;
    }
    pool.attemptEnded(exchange, outcome, body);
    pool.capacityFreed(this);
  }

  @Override
  public void closed(String why) {
    pool.connectionClosed(this, why);
    for (FrameExchange exchange : new ArrayList<>(inFlight.values())) {
      // a cut before its frame left proves that it never ran; after that nobody knows
      boolean never = !connection.mayHaveBeenSent(exchange.sentMark);
      pool.attemptEnded(
          exchange, never ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.BROKEN, NO_BODY);
    }
    inFlight.clear();
  }
}
