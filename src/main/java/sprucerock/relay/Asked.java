package sprucerock.relay;

import sprucerock.model.Rpc;

/** What the door keeps with an RPC: who asked, under which id, and what the units are sent. */
final class Asked {
    final ClientLink client;
    final long id;
    final long token;
    /** Gone once the RPC has ended: the module may hold on to that for as long as its deadline. */
    byte[] body;
    Rpc rpc;

    Asked(ClientLink client, long id, long token, byte[] body) {
        this.client = client;
        this.id = id;
        this.token = token;
        this.body = body;
    }
}
