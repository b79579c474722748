package sprucerock.simulation;

import sprucerock.model.AttemptOutcome;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;

/** The codes of the simulator's wire, and their translation to model types. */
final class WireCodes {
  // Incoming records.
  static final int START_RELAY = 10;
  static final int ENDPOINT_LIST = 20;
  static final int RPC_ARRIVED = 30;
  static final int STREAM_STARTED = 40;
  static final int ATTEMPT_ENDED = 50;
  static final int CLIENT_LEFT = 60;
  static final int TIMER_FIRED = 70;
  static final int HEALTH_CHECKED = 80;
  static final int PEER_MESSAGE = 90;
  static final int STOP_RELAY = 100;
  static final int ROLLOUT_CHANGED = 110;
  static final int BUILD_COUNTS = 120;
  static final int ANSWER_REPORTED_WRONG = 130;
  static final int DEFINE_LIST = 140;

  // Outgoing records.
  static final int SEND = 10;
  static final int REJECT = 20;
  static final int ABORT = 30;
  static final int CANCEL = 40;
  static final int SET_TIMER = 50;
  static final int SEND_TO_PEER = 80;
  static final int LOG = 90;
  static final int RELAY_FAILED = 100;
  static final int SUBSCRIBE = 110;
  static final int VOTE = 130;

  /** The peer number that addresses all peers. */
  static final int ALL_PEERS = 0xffff;

  // Health of a listed endpoint; 0 means that the endpoint is gone, other values are invalid.
  static final int READY = 1;
  static final int DRAINING = 2;

  // Forms of an endpoint list; the other valid forms, 1 and 2, are complete lists.
  static final int PARTIAL_LIST = 0;
  static final int LIST_FAILED = 3;

  private WireCodes() {}

  static AttemptOutcome outcome(int code) {
    return switch (code) {
      case 1 -> AttemptOutcome.OK;
      case 2 -> AttemptOutcome.FULL;
      case 3 -> AttemptOutcome.TIMED_OUT;
      case 4 -> AttemptOutcome.NOT_CONNECTED;
      case 5 -> AttemptOutcome.BROKEN;
      case 6 -> AttemptOutcome.CANCELLED;
      case 7 -> AttemptOutcome.MOOT;
      default -> AttemptOutcome.ERROR;
    };
  }

  static VoteReply voteReply(int status) {
    return switch (status) {
      case 1 -> VoteReply.COUNTS;
      case 2 -> VoteReply.TOO_MANY;
      case 3 -> VoteReply.UNANSWERED;
      case 7 -> VoteReply.MOOT;
      default -> VoteReply.ERROR;
    };
  }

  static int verdict(Verdict verdict) {
    return switch (verdict) {
      case NONE -> 0;
      case ON -> 1;
      case HOLD -> 2;
      case BACK -> 3;
    };
  }
}
