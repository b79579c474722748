package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
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

/** One connection to an endpoint, with the attempts in flight on it. */
final class EndpointConnection implements FrameListener {
  private static final byte[] NO_BODY = {};

  private final EndpointConnectionPool pool;
  private final Map<Long, FrameExchange> inFlight = new LinkedHashMap<>();
  FrameConnection connection;

  /** The endpoint has greeted, and is the one meant. */
  boolean isReady;

  /** Is sent nothing new, and closes once nothing is in flight on it. */
  boolean isRetired;

  Timestamp lastUsed;
  private long lastId;

  /** The ids of attempts that were given up, and whose results have not come. */
  private final Set<Long> abandoned = new HashSet<>();

  EndpointConnection(EndpointConnectionPool connections, Timestamp now) {
    this.pool = connections;
    lastUsed = now;
  }

  Endpoint endpoint() {
    return pool.endpoint;
  }

  /** Attempts on it, with abandoned ones: the endpoint may still be working on those. */
  int load() {
    return inFlight.size() + abandoned.size();
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }

  /** Closes it. Nothing new may follow: such an attempt would be cut off with it. */
  void retire() {
    isRetired = true;
    connection.finish();
  }

  /** Sends nothing new on it, and closes it once what is in flight has ended. */
  void drain() {
    if (isIdle()) {
      retire();
    } else {
      isRetired = true;
    }
  }

  void send(FrameExchange exchange, Timestamp now) {
    Rpc rpc = exchange.attempt().rpc;
    FrameRequest request = (FrameRequest) rpc.attachment;
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
      work.setToken(request.idempotencyKey);
    }
    exchange.connection = this;
    exchange.wireId = lastId;
    exchange.sentMark = connection.send(FrameKind.WORK, work.build(), request.body);
    inFlight.put(lastId, exchange);
    pool.attemptWritten(exchange);
    lastUsed = now;
  }

  /** Stops waiting for an attempt. An endpoint that is notified may stop working on it. */
  void abandon(FrameExchange exchange, boolean notifyEndpoint) {
    inFlight.remove(exchange.wireId);
    abandoned.add(exchange.wireId);
    if (notifyEndpoint) {
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
    resultReceived(done, outcome, body);
  }

  /** There is no memory for an answer: its attempt ends without one, and may have run. */
  @Override
  public void bodyDropped(FrameConnection made, FrameKind kind, MessageLite head) {
    if (kind != FrameKind.DONE) {
      made.cut("a unit sends no " + kind);
      return;
    }
    pool.answerDropped();
    resultReceived((Done) head, AttemptOutcome.BROKEN, NO_BODY);
  }

  private void resultReceived(Done done, AttemptOutcome outcome, byte[] body) {
    FrameExchange exchange = inFlight.remove(done.getId());
    if (exchange == null) {
      // late, for an abandoned one; a second copy, or an id that never was, must not free capacity
      abandoned.remove(done.getId());
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
      boolean neverSent = !connection.mayHaveBeenSent(exchange.sentMark);
      pool.attemptEnded(
          exchange, neverSent ? AttemptOutcome.NOT_CONNECTED : AttemptOutcome.BROKEN, NO_BODY);
    }
    inFlight.clear();
  }
}
