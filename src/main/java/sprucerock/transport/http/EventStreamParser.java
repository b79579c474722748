package sprucerock.transport.http;

import java.nio.ByteBuffer;

/**
 * Parses a stream of server-sent events ({@code text/event-stream}). Comment lines are keep-alives
 * and are skipped. Not thread-safe.
 */
public final class EventStreamParser {
  /** Receives events. */
  public interface Listener {
    /**
     * An event with data has arrived.
     *
     * @param name the event's name; empty if the stream gave none
     * @param data its data lines, joined by LF
     * @throws HttpException if the listener finds the event invalid; {@link #feed} passes it on
     */
    void onEvent(String name, String data) throws HttpException;
  }

  /** Of a line in bytes, and of an event's data in characters. */
  private static final int MAX_LENGTH = 16 * 1024;

  private final LineReader lines = new LineReader(MAX_LENGTH);
  private String name = "";
  private String data; // null while the event has no data line

  /**
   * Consumes all bytes and passes on each event that they complete.
   *
   * @throws HttpException if a line or an event exceeds its limit, a field is unknown, or the
   *     listener threw it
   */
  public void feed(ByteBuffer in, Listener listener) throws HttpException {
    lines.feed(in, line -> parseLine(line, listener));
  }

  private void parseLine(String line, Listener listener) throws HttpException {
    if (line.startsWith(":")) {
      return; // a keep-alive comment
    }
    if (line.isEmpty()) {
      dispatch(listener);
      return;
    }
    int colon = line.indexOf(':');
    String field = colon < 0 ? line : line.substring(0, colon);
    String value = colon < 0 ? "" : line.substring(colon + 1);
    if (value.startsWith(" ")) {
      value = value.substring(1);
    }
    switch (field) {
      case "event" -> name = value;
      case "data" -> appendData(value);
      case "id", "retry" -> {}
      default -> throw new HttpException("an event stream has no field of that name");
    }
  }

  private void dispatch(Listener listener) throws HttpException {
    if (data != null) {
      listener.onEvent(name, data);
    }
    name = "";
    data = null;
  }

  private void appendData(String value) throws HttpException {
    if (data != null && data.length() + value.length() > MAX_LENGTH) {
      throw new HttpException("an event of more than " + MAX_LENGTH + " characters");
    }
    data = data == null ? value : data + "\n" + value;
  }
}
