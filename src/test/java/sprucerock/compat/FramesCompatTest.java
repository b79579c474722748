package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.Message;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;

/**
 * The relay protocol on recorded bytes: one frame of each kind, with every field of its head set.
 * The line that a trace has for a frame names its fields, so that two fields which swapped their
 * numbers are told apart.
 */
public class FramesCompatTest {
  private static final String FOLDER = "frames";
  private static final String TRACE = "frames.trace";
  private static final String ENUMERATIONS = "enumerations.txt";
  private static final String PROTOCOL = "protocol.txt";
  private static final String NEWER_KIND = "newer-kind.hex";
  private static final String PREFIX = "frame-";
  private static final int NEWER_KIND_NUMBER = 100;
  private static final int KIND_AT = 4;
  private static final Set<FrameKind> WITH_BODY =
      EnumSet.of(
          FrameKind.CALL,
          FrameKind.ANSWER,
          FrameKind.WORK,
          FrameKind.DONE,
          FrameKind.TOLD,
          FrameKind.PIECE);

  /** Writes the recorded files below a folder. */
  static void record(Path corpus) throws Exception {
    Path folder = Files.createDirectories(corpus.resolve(FOLDER));
    StringBuilder trace = new StringBuilder();
    for (FrameKind kind : FrameKind.values()) {
      Message head =
          FilledMessages.filled((Message) kind.parser().parseFrom(FrameRecorder.noBody()), 0);
      byte[] body =
          WITH_BODY.contains(kind)
              ? ("body of " + kind).getBytes(StandardCharsets.UTF_8)
              : FrameRecorder.noBody();
      byte[] bytes = FrameRecorder.encode(kind, head, body);
      Files.writeString(
          folder.resolve(String.format("%s%02d.hex", PREFIX, bytes[KIND_AT])),
          CorpusFiles.dump(bytes));
      trace.append(FrameRecorder.traceLine(new FrameRecorder.Frame(kind, head, body))).append('\n');
    }
    Files.writeString(folder.resolve(TRACE), trace.toString());
    Files.writeString(folder.resolve(ENUMERATIONS), String.join("\n", enumerations()) + "\n");
    Files.writeString(folder.resolve(PROTOCOL), protocol() + "\n");
    byte[] newer =
        FrameRecorder.encode(
            FrameKind.LEAVE,
            FilledMessages.filled(
                (Message) FrameKind.LEAVE.parser().parseFrom(FrameRecorder.noBody()), 0),
            FrameRecorder.noBody());
    newer[KIND_AT] = NEWER_KIND_NUMBER;
    Files.writeString(folder.resolve(NEWER_KIND), CorpusFiles.dump(newer));
  }

  /**
   * For each field of a head that is an enumeration its values with their numbers, as traces and
   * frames have them.
   */
  private static List<String> enumerations() throws Exception {
    List<String> lines = new ArrayList<>();
    for (FrameKind kind : FrameKind.values()) {
      Message head = (Message) kind.parser().parseFrom(FrameRecorder.noBody());
      FilledMessages.enumerations(head.getDescriptorForType(), "")
          .forEach(line -> lines.add(kind + " " + line));
    }
    return lines;
  }

  /** The protocol's name in TLS, and its version in greetings. */
  private static String protocol() {
    return Credentials.PROTOCOL + " " + FrameConnection.VERSION;
  }

  @DataProvider
  public Object[][] recorded() throws IOException {
    return CorpusFiles.names(FOLDER).stream()
        .filter(name -> name.startsWith(PREFIX))
        .map(name -> new Object[] {name})
        .toArray(Object[][]::new);
  }

  private static FrameRecorder.Frame frame(String name) throws Exception {
    List<FrameRecorder.Frame> frames = FrameRecorder.decode(CorpusFiles.hex(FOLDER + "/" + name));
    assertEquals(frames.size(), 1, name);
    return frames.get(0);
  }

  private static List<FrameRecorder.Frame> all() throws Exception {
    List<FrameRecorder.Frame> frames = new ArrayList<>();
    for (String name : CorpusFiles.names(FOLDER)) {
      if (name.startsWith(PREFIX)) {
        frames.add(frame(name));
      }
    }
    return frames;
  }

  @Test
  public void everyKindIsRecorded() throws Exception {
    Set<FrameKind> found = EnumSet.noneOf(FrameKind.class);
    for (FrameRecorder.Frame frame : all()) {
      found.add(frame.kind());
    }
    assertEquals(found, EnumSet.allOf(FrameKind.class));
  }

  @Test(dataProvider = "recorded")
  public void aFrameIsReadWholeAndWrittenAsTheSameBytes(String name) throws Exception {
    FrameRecorder.Frame frame = frame(name);
    assertEquals(FilledMessages.missing(frame.head()), List.of(), name);
    assertEquals(
        CorpusFiles.dump(FrameRecorder.encode(frame.kind(), frame.head(), frame.body())),
        CorpusFiles.text(FOLDER + "/" + name));
  }

  @Test(dataProvider = "recorded")
  public void onlyFramesOfWorkAndAnswersHaveABody(String name) throws Exception {
    FrameRecorder.Frame frame = frame(name);
    assertEquals(frame.body().length > 0, WITH_BODY.contains(frame.kind()), name);
  }

  @Test
  public void theTraceOfEachFrameNamesItsFieldsAsBefore() throws Exception {
    List<String> lines = new ArrayList<>();
    for (FrameRecorder.Frame frame : all()) {
      lines.add(FrameRecorder.traceLine(frame));
    }
    assertEquals(lines, CorpusFiles.lines(FOLDER + "/" + TRACE));
  }

  @Test
  public void aRecordedTraceIsReadBackToTheHeadsOfItsFrames() throws Exception {
    List<String> lines = CorpusFiles.lines(FOLDER + "/" + TRACE);
    List<FrameRecorder.Frame> frames = all();
    assertEquals(lines.size(), frames.size());
    for (int i = 0; i < lines.size(); i++) {
      Line line = Line.parse(TRACE, "12345\t" + lines.get(i) + "\n").get(0);
      FrameRecorder.Frame frame = frames.get(i);
      assertEquals(line.is('<', frame.kind()), true, lines.get(i));
      assertEquals(line.head(frame.head().getDefaultInstanceForType()), frame.head());
      assertEquals(line.bodyBytes(), frame.body().length);
    }
  }

  @Test
  public void enumerationsHaveTheSameNumbers() throws Exception {
    assertEquals(enumerations(), CorpusFiles.lines(FOLDER + "/" + ENUMERATIONS));
  }

  @Test
  public void theProtocolHasTheSameNameAndVersion() throws Exception {
    assertEquals(List.of(protocol()), CorpusFiles.lines(FOLDER + "/" + PROTOCOL));
  }

  @Test
  public void aFrameOfANewerProgramIsReadPast() throws Exception {
    assertEquals(FrameRecorder.decode(CorpusFiles.hex(FOLDER + "/" + NEWER_KIND)), List.of());
  }
}
