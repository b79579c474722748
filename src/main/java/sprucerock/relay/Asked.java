package sprucerock.relay;

import java.util.ArrayList;
import java.util.List;
import sprucerock.net.Timers.Timer;

/** What the door keeps with an RPC: who asked, under which id, and what the units are sent. */
final class Asked {
    final ClientLink client;
    final long id;
    final long token;
    byte[] body;
    /** What is to be done while the RPC is open. */
    final List<Timer> until = new ArrayList<>(2);
    /** The relay's own number for the RPC. */
    long number;

    Asked(ClientLink client, long id, long token, byte[] body) {
        this.client = client;
        this.id = id;
        this.token = token;
        this.body = body;
    }

    /** The RPC has ended: neither its body nor what was to be done for it is kept until its deadline. */
    void over() {
        body = null;
        for (Timer timer : until) timer.cancel();
        until.clear();
    }
}
