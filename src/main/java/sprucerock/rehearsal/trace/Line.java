package sprucerock.rehearsal.trace;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sprucerock.transport.wire.FrameKind;

/**
 * One line of a trace: a frame that crossed a link, a link's end, or a note.
 *
 * @param where file and line, for a person to find it
 * @param us on the machine's monotonic clock
 * @param other who is at the other end, such as UNIT-7; - where that is not known
 * @param way &gt; out, &lt; in, x closed, ! a note
 * @param kind the frame's kind, or the note's name
 * @param mark the first bytes of the body, in hex
 */
public record Line(
    String where,
    long us,
    String place,
    int connection,
    String other,
    char way,
    String kind,
    int bodyBytes,
    String mark,
    String text) {

  /**
   * A file's lines; one that was cut short in its last line, as a kill leaves it, is read up to
   * there.
   */
  public static List<Line> read(Path file) throws IOException {
    String all = Files.readString(file, StandardCharsets.UTF_8);
    return parse(file.getFileName().toString(), all.substring(0, all.lastIndexOf('\n') + 1));
  }

  /** Lines of a text. */
  public static List<Line> parse(String name, String text) throws IOException {
    List<Line> found = new ArrayList<>();
    int number = 0;
    for (String line : text.lines().toList()) {
      number++;
      String[] parts = line.split("\t", 8);
      try {
        int colon = parts[6].indexOf(':');
        found.add(
            new Line(
                name + ":" + number,
                Long.parseLong(parts[0]),
                parts[1],
                Integer.parseInt(parts[2]),
                parts[3],
                parts[4].charAt(0),
                parts[5],
                Integer.parseInt(parts[6].substring(0, colon)),
                parts[6].substring(colon + 1),
                parts[7]));
      } catch (RuntimeException e) {
        throw new IOException(name + ":" + number + ": no line of a trace: " + line);
      }
    }
    return found;
  }

  /** Whether it is a frame of a kind that went one way: &gt; out, &lt; in. */
  public boolean is(char whichWay, FrameKind which) {
    return way == whichWay && kind.equals(which.name());
  }

  /** Whether it is a note of a name. */
  public boolean isNote(String name) {
    return way == '!' && kind.equals(name);
  }

  /** The head of a frame. */
  @SuppressWarnings("unchecked")
  public <M extends Message> M head(M type) {
    Message.Builder builder = type.newBuilderForType();
    try {
      TextFormat.merge(text, builder);
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(where + ": the head can't be read: " + e.getMessage());
    }
    return (M) builder.build();
  }
}
