package sprucerock.platform;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import sprucerock.http.HttpException;
import sprucerock.http.HttpLink;
import sprucerock.net.Net;
import sprucerock.net.Pauses;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/** Keeps one answer without end up: whenever it is gone or silent, it is asked for again, after a pause that grows. */
final class Feed {
    /** Who reads it. */
    interface Reader {
        /** An answer begins: what was held of the one before is void. */
        void begun();

        void piece(ByteBuffer bytes) throws HttpException;

        void lost(String why);
    }

    private static final Span CONNECT = Span.ofMs(1000);
    private static final Span FIRST = Span.ofMs(20); // an agent on this machine is back as soon as it can be
    private static final Span MOST = Span.ofMs(1000); // what comes back is known again within this

    private final Net net;
    private final Supplier<String> path;
    private final Span silence;
    private final Pauses pauses;
    private final Reader reader;
    private InetSocketAddress to;
    private HttpLink link;
    private HttpLink before;
    private boolean stopped;
    private Moment lastHeard;

    /** {@code silence}: a connection that tells nothing for so long is given up. */
    Feed(Net net, InetSocketAddress to, Supplier<String> path, Span silence, DoubleSupplier dice, Reader reader) {
        this.net = net;
        this.to = to;
        this.path = path;
        this.silence = silence;
        this.reader = reader;
        lastHeard = net.now();
        pauses = new Pauses(FIRST, MOST, dice);
    }

    void dial() {
        if (stopped) return;
        HttpLink made = new HttpLink(net, to, CONNECT);
        link = made;
        made.get(path.get(), new HttpLink.Call() {
            private boolean begun;

            @Override
            public boolean streams() {
                return true;
            }

            @Override
            public void piece(int status, ByteBuffer bytes) throws HttpException {
                if (link != made) return;
                if (status != 200) throw new HttpException("status " + status);
                if (!begun) {
                    begun = true;
                    pauses.over();
                    reader.begun();
                    leaveBefore();
                }
                reader.piece(bytes);
            }

            @Override
            public void answered(int status, byte[] body) {
                made.cut("it ended with status " + status);
                gone("it ended with status " + status);
            }

            @Override
            public void failed(String why, boolean carriedOut) {
                gone(why);
            }

            private void gone(String why) {
                if (link != made || stopped) return;
                silent();
                link = null;
                reader.lost(why);
                net.at(net.now().plus(pauses.next()), () -> {
                    if (link == null) dial();
                });
            }
        });
        watch(made);
    }

    private void watch(HttpLink one) {
        if (link != one) return;
        Span silent = net.now().since(one.heardLast());
        if (!silence.over(silent)) one.cut("silent for " + silence.ms() + " ms");
        else net.at(net.now().plus(silence.minus(silent).atLeast(Span.ofMs(1))), () -> watch(one));
    }

    private void leaveBefore() {
        if (before != null) before.cut("moved");
        before = null;
    }

    /** It is told elsewhere from now on, true where that is so: the old connection is kept until the new one tells, but no longer heard. */
    boolean move(InetSocketAddress there) {
        if (there.equals(to) || stopped) return false;
        to = there;
        leaveBefore();
        before = link;
        pauses.over();
        dial();
        return true;
    }

    /** How long nothing has come; for as long as there is no connection, since the last one went. */
    Span silent() {
        if (link != null) lastHeard = link.heardLast().later(lastHeard);
        return net.now().since(lastHeard);
    }

    void stop() {
        stopped = true;
        leaveBefore();
        if (link != null) link.cut("the relay ends");
    }
}
