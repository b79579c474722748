package sprucerock.transport.http;

import java.nio.ByteBuffer;

/** An event stream: names and data of events, and signs of life. */
public final class EventStreamParser {
  /** Who is told of events. */
  public interface Listener {
    void onEvent(String name, String data) throws HttpException;
  }

  private static final int LINE = 16 * 1024;

  private final LineReader lines = new LineReader(LINE);
  private String name = "";
  private String data;

  /**
   * @throws HttpException if it is no event stream, or the user says so
   */
  public void feed(ByteBuffer in, Listener user) throws HttpException {
    lines.feed(in, line -> line(line, user));
  }

  private void line(String line, Listener user) throws HttpException {
    if (line.startsWith(":")) {
      return; // a comment, as a sign of life
    }
    if (line.isEmpty()) {
      if (data != null) {
        user.onEvent(name, data);
      }
      name = "";
      data = null;
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
      case "data" -> {
        if (data != null && data.length() + value.length() > LINE) {
          throw new HttpException("an event of more than " + LINE + " characters");
        }
        data = data == null ? value : data + "\n" + value;
      }
      case "id", "retry" -> {}
      default -> throw new HttpException("an event stream has no field of that name");
    }
  }
}
