package sprucerock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import sprucerock.time.Span;

/** Where links come from. Everything is called, and calls back, on the loop's one thread. */
public interface Net extends Timers {
    /**
     * Takes connections at an address; each gets a user of its own. Beyond {@code most} open at a time, one is closed
     * as soon as it is accepted.
     *
     * @throws IOException if the address can't be had
     */
    Listener listen(InetSocketAddress at, int most, long mostUnsent, Supplier<LinkUser> users) throws IOException;

    /**
     * Begins to connect. The user is told that it is up, or that it is closed: at once refused, or at the latest when
     * {@code within} is over. {@code mostUnsent}: bytes that may wait for a peer that does not read.
     */
    Link connect(InetSocketAddress to, Span within, long mostUnsent, LinkUser user);

    /** A listening address. */
    interface Listener {
        InetSocketAddress address();

        /** Takes no more connections; those that are open stay. */
        void close();
    }
}
