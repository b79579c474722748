package sprucerock.compat;

import static org.testng.Assert.expectThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import org.testng.annotations.Test;
import sprucerock.simulation.FrameException;
import sprucerock.simulation.SimulationHost;

/**
 * The simulator's wire: a recorded stretch of batches for three relays is answered byte for byte as
 * it was; bad ones have their errors.
 */
public class SimhostCompatTest {
  private static final String SIMHOST = "simhost/";
  private static final int HEAD = 12;
  private static final int LENGTH_AT = 4;

  private static byte[] played(byte[] input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulationHost(new ByteArrayInputStream(input), out).run();
    return out.toByteArray();
  }

  /** The input has one batch a line, the output one reply a line, in hexadecimal digits. */
  @Test
  public void aStretchOfTheWireIsAnsweredAsBefore() throws Exception {
    byte[] output =
        played(
            HexFormat.of().parseHex(String.join("", Corpus.inputLines(SIMHOST + "stretch.txt"))));
    StringBuilder text = new StringBuilder();
    for (int at = 0; at < output.length; ) {
      int end = at + HEAD + length(output, at + LENGTH_AT);
      text.append(HexFormat.of().formatHex(output, at, end)).append('\n');
      at = end;
    }
    Corpus.holds(SIMHOST + "stretch-replies.txt", text.toString());
  }

  /** Little-endian, as all numbers of that wire. */
  private static int length(byte[] bytes, int at) {
    return bytes[at] & 0xff
        | (bytes[at + 1] & 0xff) << 8
        | (bytes[at + 2] & 0xff) << 16
        | bytes[at + 3] << 24;
  }

  @Test
  public void badBatchesHaveTheSameErrors() throws Exception {
    StringBuilder text = new StringBuilder();
    for (String line : Corpus.inputLines(SIMHOST + "bad.txt")) {
      byte[] input = HexFormat.of().parseHex(line);
      text.append(expectThrows(FrameException.class, () -> played(input)).getMessage())
          .append('\n');
    }
    Corpus.holds(SIMHOST + "bad-errors.txt", text.toString());
  }
}
