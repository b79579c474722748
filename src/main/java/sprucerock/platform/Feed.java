package sprucerock.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import sprucerock.http.HttpException;
import sprucerock.http.HttpLink;
import sprucerock.net.Net;
import sprucerock.net.Pauses;
import sprucerock.net.Timers.Timer;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * Keeps one answer without end up. One watch is heard; where it is lost, falls silent or is to be elsewhere, a successor is asked
 * for, and the watch before is heard until the successor tells: who is silent because what it asks is down may be the first to
 * tell, and until a new address answers the old one may tell more. There are never more than these two. What comes of a watch
 * that is neither is nobody's any more.
 */
final class Feed {
    /** Who reads it. */
    interface Reader {
        /** An answer begins: what was held of the one before is void. */
        void begun();

        void piece(ByteBuffer bytes) throws HttpException;

        void lost(String why);
    }

    private static final Span FIRST = Span.ofMs(20); // an agent on this machine is back as soon as it can be

    private final Net net;
    private final Supplier<String> path;
    private final Span silence;
    private final Span within;
    private final Pauses pauses;
    private final Reader reader;
    private InetSocketAddress to;
    private Watch heard;
    private Watch next;
    private Timer again;
    private boolean stopped;
    private Moment lastHeard;

    /**
     * {@code silence}: a watch that tells nothing for so long is asked for anew; {@code within}: a connection takes no longer, and
     * what was lost is asked for again after no longer a pause.
     */
    Feed(Net net, InetSocketAddress to, Supplier<String> path, Span silence, Span within, DoubleSupplier dice, Reader reader) {
        this.net = net;
        this.to = to;
        this.path = path;
        this.silence = silence;
        this.within = within;
        this.reader = reader;
        lastHeard = net.now();
        pauses = new Pauses(FIRST, within, dice);
    }

    /** One answer, from its asking on. */
    private final class Watch implements HttpLink.Call {
        private final HttpLink link = new HttpLink(net, to, within);
        private final Moment asked = net.now();

        void ask() {
            link.get(path.get(), this);
            look(silence);
        }

        private void look(Span after) {
            net.patiently(after, () -> {
                if (this != heard && this != next) return;
                Span silent = net.now().since(link.heardLast());
                if (silence.over(silent)) look(silence.minus(silent).atLeast(Span.ofMs(1)));
                else silent();
            });
        }

        /** Nothing came for too long. The heard one is kept beside its successor; a successor that is silent too gives way to another. */
        private void silent() {
            String why = "silent for " + silence.ms() + " ms";
            if (this == next) next = null;
            dial();
            if (this == heard) look(silence); // it may tell again, and fall silent once more
            else cut(why);
            reader.lost(why);
        }

        void cut(String why) {
            link.cut(why);
        }

        @Override
        public boolean streams() {
            return true;
        }

        @Override
        public void piece(int status, ByteBuffer bytes) throws HttpException {
            if (this != heard && this != next) return;
            if (status != 200) throw new HttpException("status " + status);
            if (this == next) {
                Watch before = heard;
                heard = this;
                next = null;
                if (before != null) before.cut("another tells now");
                reader.begun();
            }
            reader.piece(bytes);
        }

        @Override
        public void answered(int status, byte[] body) {
            cut("it ended with status " + status);
            gone("it ended with status " + status);
        }

        @Override
        public void failed(String why, boolean carriedOut) {
            gone(why);
        }

        private void gone(String why) {
            if (stopped || this != heard && this != next) return;
            Feed.this.silent(); // noted while it is there
            // what lasted was good: else one that can't be read to its end would be asked for without a pause
            if (net.now().since(asked).over(silence)) pauses.over();
            if (this == next) next = null;
            else heard = null;
            if (heard == null) reader.lost(why);
            if (next == null && again == null) {
                again = net.at(net.now().plus(pauses.next()), () -> {
                    again = null;
                    dial();
                });
            }
        }
    }

    /** Asks for a watch, unless one is asked for. */
    void dial() {
        if (stopped || next != null) return;
        if (again != null) again.cancel();
        again = null;
        next = new Watch();
        next.ask();
    }

    /** It is told elsewhere from now on, true where that is so. */
    boolean move(InetSocketAddress there) {
        if (there.equals(to) || stopped) return false;
        to = there;
        pauses.over();
        Watch elsewhere = next;
        next = null;
        dial();
        if (elsewhere != null) elsewhere.cut("moved");
        return true;
    }

    /** How long nothing has come; for as long as there is no watch, since the last one went. */
    Span silent() {
        if (heard != null) lastHeard = heard.link.heardLast().later(lastHeard);
        return net.now().since(lastHeard);
    }

    void stop() {
        stopped = true;
        if (next != null) next.cut("the relay ends");
        if (heard != null) heard.cut("the relay ends");
    }
}
