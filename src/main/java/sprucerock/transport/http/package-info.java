/**
 * A client of HTTP/1.1 for the platform's few, small calls, and for event streams.
 *
 * <p><b>Job.</b> {@link sprucerock.transport.http.HttpConnection} sends pipelined requests over one
 * connection and matches the responses to them; {@link sprucerock.transport.http.EventStreamParser}
 * and {@link sprucerock.transport.http.LineReader} parse what streams carry.
 *
 * <p><b>Owns.</b> For each connection its requests without a response (64 at most) and the body of
 * the response being received (64 KiB at most).
 *
 * <p><b>Thread.</b> Everything is confined to the loop thread of the {@link
 * sprucerock.transport.net.Net} it was made with.
 *
 * <p><b>May not.</b> Retry a request, reconnect, follow a redirect, log, or interpret a status or a
 * body: the caller decides these.
 */
package sprucerock.transport.http;
