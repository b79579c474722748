package sprucerock.simulation;

import java.nio.ByteBuffer;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Decodes the records of one relay's events. All fields are read at once, also where the relay has
 * failed; what is returned then acts on the relay.
 */
final class EventDecoder {
  private static final int STATUS_KNOWN_BUILD = 1; // the controller knows the build
  private static final Runnable NO_ACTION = () -> {};

  private final SimulatedRelay relay;

  EventDecoder(SimulatedRelay relay) {
    this.relay = relay;
  }

  /**
   * What an event does; null where the code is none of the wire's.
   *
   * @throws java.nio.BufferUnderflowException if the record is too short
   */
  Runnable decode(int code, ByteBuffer f) {
    return switch (code) {
      case WireCodes.RPC_ARRIVED -> rpcArrived(f);
      case WireCodes.STREAM_STARTED -> streamStarted(f);
      case WireCodes.ATTEMPT_ENDED -> attemptEnded(f);
      case WireCodes.CLIENT_LEFT -> clientLeft(f);
      case WireCodes.TIMER_FIRED -> timerFired(f);
      case WireCodes.HEALTH_CHECKED -> healthChecked(f);
      case WireCodes.PEER_MESSAGE -> peerMessage(f);
      case WireCodes.ROLLOUT_CHANGED -> rolloutChanged(f);
      case WireCodes.BUILD_COUNTS -> buildCounts(f);
      case WireCodes.ANSWER_REPORTED_WRONG -> answerReportedWrong(f);
      default -> null;
    };
  }

  private Runnable rpcArrived(ByteBuffer f) {
    long id = unsignedInt(f);
    int method = f.getShort() & 0xffff;
    int tenant = f.getInt();
    long key = f.getLong();
    Timestamp deadline = Timestamp.ofMs(f.getDouble());
    double workHint = f.getDouble();
    boolean hasHint = (f.get() & 1) != 0;
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

  private Runnable streamStarted(ByteBuffer f) {
    long id = unsignedInt(f);
    f.getInt();
    int attempt = f.get() & 0xff;
    f.getDouble();
    return () -> {
      Rpc rpc = relay.tracker().rpc(id);
      if (rpc != null && attempt < rpc.attempts.size()) {
        relay.tracker().streamStarted(rpc.attempts.get(attempt));
      }
    };
  }

  private Runnable attemptEnded(ByteBuffer f) {
    long id = unsignedInt(f);
    int attempt = f.get() & 0xff;
    TimeSpan latency = TimeSpan.ofMs(f.getDouble());
    boolean closed = f.get() != 0;
    f.getInt();
    AttemptOutcome outcome = WireCodes.outcome(f.get() & 0xff);
    skipLoadReport(f);
    return () -> {
      Rpc rpc = relay.tracker().rpc(id);
      if (rpc != null && attempt < rpc.attempts.size()) {
        relay.tracker().attemptEnded(rpc.attempts.get(attempt), outcome, latency, closed);
      }
    };
  }

  private Runnable clientLeft(ByteBuffer f) {
    long id = unsignedInt(f);
    return () -> {
      Rpc rpc = relay.tracker().rpc(id);
      if (rpc != null) {
        relay.tracker().clientDisconnected(rpc);
      }
    };
  }

  private Runnable timerFired(ByteBuffer f) {
    Runnable due = relay.takeTimer(unsignedInt(f));
    return due == null ? NO_ACTION : due;
  }

  private Runnable healthChecked(ByteBuffer f) {
    f.getDouble();
    f.get();
    f.getInt();
    skipLoadReport(f);
    return NO_ACTION;
  }

  private Runnable peerMessage(ByteBuffer f) {
    int sender = f.getInt();
    byte[] contents = new byte[SimulationHost.checkedCount(f, f.getShort() & 0xffff, 1)];
    f.get(contents);
    return () -> relay.policy().peerMessageReceived(sender, contents);
  }

  private Runnable rolloutChanged(ByteBuffer f) {
    int number = f.getShort() & 0xffff;
    int stage = f.get() & 0xff;
    int state = f.get() & 0xff;
    boolean isVoteReply = f.get() == 1;
    int status = f.get() & 0xff;
    double cap = f.getFloat();
    TimeSpan age = TimeSpan.ofMs(f.getDouble());
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

  private Runnable buildCounts(ByteBuffer f) {
    int number = f.getShort() & 0xffff;
    int method = f.getShort() & 0xffff;
    long attempts = unsignedInt(f);
    long failed = unsignedInt(f);
    TimeSpan mean = TimeSpan.ofMs(f.getDouble());
    f.getDouble();
    return () -> relay.tracker().fleetCountsReceived(number, method, attempts, failed, mean);
  }

  private Runnable answerReportedWrong(ByteBuffer f) {
    long endpoint = unsignedInt(f);
    f.getShort();
    TimeSpan sentAgo = TimeSpan.ofMs(f.getDouble());
    return () -> relay.tracker().answerReportedWrong(endpoint, sentAgo, relay.now());
  }

  private static long unsignedInt(ByteBuffer f) {
    return Integer.toUnsignedLong(f.getInt());
  }

  /** Load reports are read past: the policy doesn't use them. */
  private static void skipLoadReport(ByteBuffer f) {
    int values = SimulationHost.checkedCount(f, f.get() & 0xff, Float.BYTES);
    f.position(f.position() + Float.BYTES * values);
  }
}
