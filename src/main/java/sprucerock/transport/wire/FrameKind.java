package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Beat;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Counts;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Fetch;
import sprucerock.transport.wire.v1.Fitter;
import sprucerock.transport.wire.v1.Flag;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.LeaseAsk;
import sprucerock.transport.wire.v1.LeaseBack;
import sprucerock.transport.wire.v1.LeaseFree;
import sprucerock.transport.wire.v1.LeaseList;
import sprucerock.transport.wire.v1.LeaseListed;
import sprucerock.transport.wire.v1.LeaseSaid;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.Look;
import sprucerock.transport.wire.v1.Looked;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Piece;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.Seen;
import sprucerock.transport.wire.v1.Stop;
import sprucerock.transport.wire.v1.Tallied;
import sprucerock.transport.wire.v1.Told;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Wants;
import sprucerock.transport.wire.v1.Watch;
import sprucerock.transport.wire.v1.Work;
import sprucerock.transport.wire.v1.Worth;

/**
 * The kinds of frames, with their numbers on the wire and their heads' messages. Numbers are never
 * reused; names appear in logs and in the reasons for which connections are cut.
 */
public enum FrameKind {
  HELLO(1, Hello.parser(), false),
  CALL(2, Call.parser(), true),
  ANSWER(3, Answer.parser(), true),
  LEAVE(4, Leave.parser(), false),
  FLAG(5, Flag.parser(), false),
  WORK(6, Work.parser(), true),
  DONE(7, Done.parser(), true),
  STOP(8, Stop.parser(), false),
  TOLD(9, Told.parser(), true),
  BEAT(10, Beat.parser(), false),
  WATCH(11, Watch.parser(), false),
  LISTING(12, Listing.parser(), false),
  NEWS(13, News.parser(), false),
  VOTE(14, Vote.parser(), false),
  VOTED(15, Voted.parser(), false),
  COUNTS(16, Counts.parser(), false),
  AGENT(17, AgentSays.parser(), false),
  WANTS(18, Wants.parser(), false),
  FETCH(19, Fetch.parser(), false),
  PIECE(20, Piece.parser(), true),
  LEASE_ASK(21, LeaseAsk.parser(), false),
  LEASE_SAID(22, LeaseSaid.parser(), false),
  LEASE_BACK(23, LeaseBack.parser(), false),
  LEASE_FREE(24, LeaseFree.parser(), false),
  LEASE_LIST(25, LeaseList.parser(), false),
  LEASE_LISTED(26, LeaseListed.parser(), false),
  LOOK(27, Look.parser(), false),
  LOOKED(28, Looked.parser(), false),
  SEEN(29, Seen.parser(), false),
  PROMISE_ASK(30, PromiseAsk.parser(), false),
  PROMISED(31, Promised.parser(), false),
  FITTER(32, Fitter.parser(), false),
  TALLIED(33, Tallied.parser(), false),
  WORTH(34, Worth.parser(), false);

  private static final int MAX_CODE = 34;
  private static final FrameKind[] BY_CODE = new FrameKind[MAX_CODE + 1];

  static {
    for (FrameKind kind : values()) {
      BY_CODE[kind.code] = kind;
    }
  }

  final int code;
  private final Parser<? extends MessageLite> parser;
  final boolean hasBody;

  FrameKind(int code, Parser<? extends MessageLite> parser, boolean hasBody) {
    this.code = code;
    this.parser = parser;
    this.hasBody = hasBody;
  }

  /** The kind with that number; null where there is none. */
  static FrameKind of(int code) {
    return code < BY_CODE.length ? BY_CODE[code] : null;
  }

  /** Decodes the head of such a frame. */
  public Parser<? extends MessageLite> parser() {
    return parser;
  }
}
