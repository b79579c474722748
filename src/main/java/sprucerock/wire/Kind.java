package sprucerock.wire;

import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import sprucerock.wire.v1.AgentSays;
import sprucerock.wire.v1.Answer;
import sprucerock.wire.v1.Beat;
import sprucerock.wire.v1.Call;
import sprucerock.wire.v1.Counts;
import sprucerock.wire.v1.Done;
import sprucerock.wire.v1.Fetch;
import sprucerock.wire.v1.Flag;
import sprucerock.wire.v1.Hello;
import sprucerock.wire.v1.Leave;
import sprucerock.wire.v1.Listing;
import sprucerock.wire.v1.News;
import sprucerock.wire.v1.Piece;
import sprucerock.wire.v1.Stop;
import sprucerock.wire.v1.Told;
import sprucerock.wire.v1.Vote;
import sprucerock.wire.v1.Voted;
import sprucerock.wire.v1.Wants;
import sprucerock.wire.v1.Watch;
import sprucerock.wire.v1.Work;

/** What a frame is, by the number that stands in it. */
public enum Kind {
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
    PIECE(20, Piece.parser(), true);

    private static final Kind[] BY_CODE = new Kind[21];

    static {
        for (Kind kind : values()) BY_CODE[kind.code] = kind;
    }

    final int code;
    private final Parser<? extends MessageLite> parser;
    final boolean hasBody;

    Kind(int code, Parser<? extends MessageLite> parser, boolean hasBody) {
        this.code = code;
        this.parser = parser;
        this.hasBody = hasBody;
    }

    /** The kind of a number; null where there is none. */
    static Kind of(int code) {
        return code < BY_CODE.length ? BY_CODE[code] : null;
    }

    public Parser<? extends MessageLite> parser() {
        return parser;
    }
}
