package sprucerock.transport.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Cuts bytes into lines of a bounded length, each without its end. */
public final class LineReader {
  /** Who is told of lines. */
  public interface Listener {
    void onLine(String line) throws HttpException;
  }

  private final int most;
  private byte[] held = new byte[128];
  private int have;

  public LineReader(int most) {
    this.most = most;
  }

  /**
   * The next whole line; null once all bytes are taken and none is. @throws HttpException if it
   * gets too long
   */
  public String nextLine(ByteBuffer in) throws HttpException {
    while (in.hasRemaining()) {
      byte b = in.get();
      if (b == '\n') {
        int end = have > 0 && held[have - 1] == '\r' ? have - 1 : have;
        have = 0;
        return new String(held, 0, end, StandardCharsets.UTF_8);
      }
      if (have == most) {
        throw new HttpException("a line of more than " + most + " bytes");
      }
      if (have == held.length) {
        held = Arrays.copyOf(held, Math.min(2 * have, most));
      }
      held[have++] = b;
    }
    return null;
  }

  /**
   * Tells of all lines that are whole. @throws HttpException if one is too long, or the user says
   * so
   */
  public void feed(ByteBuffer in, Listener user) throws HttpException {
    for (String line = nextLine(in); line != null; line = nextLine(in)) {
      user.onLine(line);
    }
  }
}
