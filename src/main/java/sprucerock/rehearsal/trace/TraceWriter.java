package sprucerock.rehearsal.trace;

import com.google.protobuf.Message;
import com.google.protobuf.MessageLite;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Timers;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Hello;

/**
 * Writes a line for every frame that crosses the links of one place, as docs/protocol.md describes
 * it. The lines of a turn are written before its frames go out, so that a place that is killed has
 * said all that it sent.
 */
public final class TraceWriter implements FrameTap {
  private static final int MARK = 16;
  private static final TimeSpan LOOK = TimeSpan.ofMs(10);
  private static final TimeSpan STALL =
      TimeSpan.ofMs(10); // beside a look's own time: half the slack of answers

  private final Timers timers;
  private final FileChannel file;
  private final String place;
  private final StringBuilder lines = new StringBuilder();
  private final Map<FrameConnection, Integer> numbers = new HashMap<>();
  private int connections;

  /** Begins a file, which must not be there yet. */
  public TraceWriter(Timers timers, Path path, String place) throws IOException {
    this.timers = timers;
    this.place = place;
    file = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
  }

  /** Another place that writes into the same file. */
  public TraceWriter(TraceWriter with, String place) {
    this.timers = with.timers;
    this.file = with.file;
    this.place = place;
  }

  /**
   * Notes from now on when this loop came late to its turns: what it sent late then, the machine
   * held up.
   */
  public void watchStalls() {
    Timestamp due = timers.now().plus(LOOK);
    timers.at(
        due,
        () -> {
          TimeSpan late = timers.now().since(due);
          if (late.over(STALL)) {
            note("STALL", Long.toString((long) (late.ms() * 1000)));
          }
          watchStalls();
        });
  }

  @Override
  public void frame(
      FrameConnection connection, boolean out, FrameKind kind, MessageLite head, byte[] body) {
    String mark = HexFormat.of().formatHex(body, 0, Math.min(body.length, MARK));
    line(
        number(connection),
        label(connection, kind, head, out),
        out ? ">" : "<",
        kind.name(),
        body.length + ":" + mark,
        TextFormat.printer().emittingSingleLine(true).printToString((Message) head));
  }

  @Override
  public void closed(FrameConnection connection, String why) {
    line(number(connection), label(connection, null, null, false), "x", "CLOSED", "0:", why);
    numbers.remove(connection);
  }

  /** Something that is no frame. */
  public void note(String name, String text) {
    line(0, "-", "!", name, "0:", text);
  }

  private int number(FrameConnection connection) {
    return numbers.computeIfAbsent(connection, one -> ++connections);
  }

  private static String label(
      FrameConnection connection, FrameKind kind, MessageLite head, boolean out) {
    Hello hello = kind == FrameKind.HELLO && !out ? (Hello) head : connection.remoteHello();
    return hello == null
        ? "-"
        : hello.getRole() + "-" + Integer.toUnsignedString(hello.getNumber());
  }

  private void line(
      int connection, String label, String way, String kind, String body, String text) {
    if (lines.length() == 0) {
      timers.atTurnsEnd(this::flush);
    }
    lines
        .append(NioLoop.monotonicMicros())
        .append('\t')
        .append(place)
        .append('\t')
        .append(connection)
        .append('\t')
        .append(label)
        .append('\t')
        .append(way)
        .append('\t')
        .append(kind)
        .append('\t')
        .append(body)
        .append('\t')
        .append(text.replace('\n', ' ').replace('\t', ' ').strip())
        .append('\n');
  }

  private void flush() {
    ByteBuffer bytes = ByteBuffer.wrap(lines.toString().getBytes(StandardCharsets.UTF_8));
    lines.setLength(0);
    try {
      while (bytes.hasRemaining()) {
        file.write(bytes);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
