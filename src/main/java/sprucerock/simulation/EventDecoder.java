package sprucerock.simulation;

import java.nio.ByteBuffer;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Decodes the event records of one relay. All fields of a record are read before its event is
 * applied, and even if the relay has failed, so that a malformed record is always detected. Fields
 * that the relay does not use are read and dropped.
 */
final class EventDecoder {
  // The controller knows the build.
  private static final int STATUS_KNOWN_BUILD = 1;
  private static final Runnable NO_ACTION = () -> {};

  private final SimulatedRelay relay;

  EventDecoder(SimulatedRelay relay) {
    this.relay = relay;
  }

  /**
   * Returns a task that applies the event, or null if the code is not on the simulator's wire.
   *
   * @throws java.nio.BufferUnderflowException if the record is too short
   */
  Runnable decode(int code, ByteBuffer fields) {
    return switch (code) {
      case WireCodes.RPC_ARRIVED -> rpcArrived(fields);
      case WireCodes.STREAM_STARTED -> streamStarted(fields);
      case WireCodes.ATTEMPT_ENDED -> attemptEnded(fields);
      case WireCodes.CLIENT_LEFT -> clientLeft(fields);
      case WireCodes.TIMER_FIRED -> timerFired(fields);
      case WireCodes.HEALTH_CHECKED -> healthChecked(fields);
      case WireCodes.PEER_MESSAGE -> peerMessage(fields);
      case WireCodes.ROLLOUT_CHANGED -> rolloutChanged(fields);
      case WireCodes.BUILD_COUNTS -> buildCounts(fields);
      case WireCodes.ANSWER_REPORTED_WRONG -> answerReportedWrong(fields);
      default -> null;
    };
  }

  private Runnable rpcArrived(ByteBuffer fields) {
    long id = unsignedInt(fields);
    int method = fields.getShort() & 0xffff;
    int tenant = fields.getInt();
    long key = fields.getLong();
    Timestamp deadline = Timestamp.ofMs(fields.getDouble());
    double workHint = fields.getDouble();
    boolean hasHint = (fields.get() & 1) != 0;
    return () -> {
      relay
          .tracker()
          .rpcArrived(
              id,
              relay.settings().methods.get(method),
              tenant,
              key,
              relay.now(),
              deadline,
              hasHint ? TimeSpan.ofMs(workHint) : null,
              null);
    };
  }

  private Runnable streamStarted(ByteBuffer fields) {
    long id = unsignedInt(fields);
    fields.getInt();
    int attempt = fields.get() & 0xff;
    fields.getDouble();
    return () -> {
      Rpc rpc = relay.tracker().rpc(id);
      if (rpc != null && attempt < rpc.attempts.size()) {
        relay.tracker().streamStarted(rpc.attempts.get(attempt));
      }
    };
  }

  private Runnable attemptEnded(ByteBuffer fields) {
    long id = unsignedInt(fields);
    int attempt = fields.get() & 0xff;
    TimeSpan latency = TimeSpan.ofMs(fields.getDouble());
    boolean rpcEnded = fields.get() != 0;
    fields.getInt();
    AttemptOutcome outcome = WireCodes.outcome(fields.get() & 0xff);
    skipLoadReport(fields);
    return () -> {
      Rpc rpc = relay.tracker().rpc(id);
      if (rpc != null && attempt < rpc.attempts.size()) {
        relay.tracker().attemptEnded(rpc.attempts.get(attempt), outcome, latency, rpcEnded);
      }
    };
  }

  private Runnable clientLeft(ByteBuffer fields) {
    long id = unsignedInt(fields);
    return () -> {
      Rpc rpc = relay.tracker().rpc(id);
      if (rpc != null) {
        relay.tracker().clientDisconnected(rpc);
      }
    };
  }

  private Runnable timerFired(ByteBuffer fields) {
    Runnable task = relay.takeTimer(unsignedInt(fields));
    return task == null ? NO_ACTION : task;
  }

  private Runnable healthChecked(ByteBuffer fields) {
    fields.getDouble();
    fields.get();
    fields.getInt();
    skipLoadReport(fields);
    return NO_ACTION;
  }

  private Runnable peerMessage(ByteBuffer fields) {
    int sender = fields.getInt();
    byte[] contents = new byte[SimulationHost.checkedCount(fields, fields.getShort() & 0xffff, 1)];
    fields.get(contents);
    return () -> relay.policy().peerMessageReceived(sender, contents);
  }

  private Runnable rolloutChanged(ByteBuffer fields) {
    int number = fields.getShort() & 0xffff;
    int stage = fields.get() & 0xff;
    int state = fields.get() & 0xff;
    boolean isVoteReply = fields.get() == 1;
    int status = fields.get() & 0xff;
    double cap = fields.getFloat();
    TimeSpan age = TimeSpan.ofMs(fields.getDouble());
    return () -> {
      if (isVoteReply) {
        relay.policy().voteAnswered(WireCodes.voteReply(status));
      }
      if (status == STATUS_KNOWN_BUILD && state < RolloutState.values().length) {
        relay
            .tracker()
            .rolloutChanged(
                number, stage, RolloutState.values()[state], cap, relay.now().minus(age));
      }
    };
  }

  private Runnable buildCounts(ByteBuffer fields) {
    int number = fields.getShort() & 0xffff;
    int method = fields.getShort() & 0xffff;
    long attempts = unsignedInt(fields);
    long failed = unsignedInt(fields);
    TimeSpan mean = TimeSpan.ofMs(fields.getDouble());
    fields.getDouble();
    return () -> relay.tracker().fleetCountsReceived(number, method, attempts, failed, mean);
  }

  private Runnable answerReportedWrong(ByteBuffer fields) {
    long endpoint = unsignedInt(fields);
    fields.getShort();
    TimeSpan sentAgo = TimeSpan.ofMs(fields.getDouble());
    return () -> relay.tracker().answerReportedWrong(endpoint, sentAgo, relay.now());
  }

  private static long unsignedInt(ByteBuffer fields) {
    return Integer.toUnsignedLong(fields.getInt());
  }

  /** Skips a load report, which the policy does not use. */
  private static void skipLoadReport(ByteBuffer fields) {
    int values = SimulationHost.checkedCount(fields, fields.get() & 0xff, Float.BYTES);
    fields.position(fields.position() + Float.BYTES * values);
  }
}
