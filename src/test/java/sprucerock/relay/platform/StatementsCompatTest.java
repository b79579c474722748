package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import sprucerock.compat.CorpusFiles;
import sprucerock.model.Method;
import sprucerock.time.TimeSpan;

/**
 * Clients' statements with what their comments ask for, recorded with how they are understood and
 * what a unit is sent.
 */
public class StatementsCompatTest {
  private static final String STATEMENTS = "postgres/statements.txt";
  private static final String UNDERSTOOD = "postgres/statements-understood.txt";
  private static final double WAIT_MS = 123.75;
  private static final Map<String, Method> METHODS =
      Map.of(
          "read",
          method(0, Method.Idempotency.IDEMPOTENT),
          "pay \u00e9",
          method(1, Method.Idempotency.KEYED));

  private static Method method(int index, Method.Idempotency effect) {
    return new Method(
        index, effect, Method.KeyScope.ALL, TimeSpan.ofMs(300), TimeSpan.ZERO, 1, false);
  }

  public static void record(Path corpus) throws Exception {
    List<String> statements =
        List.of(
            "SELECT v FROM records WHERE k = 'a0f' /* id=7,c=read,d=250 */",
            "SELECT v FROM records WHERE k = 'Xyz9' /* d=99.5,id=r-1.2_3,c=read,n=0 */",
            "INSERT INTO records (k, v) VALUES ('ff', '\\x0aFF') RETURNING v /* id=8,c=pay \u00e9,d=1500,k=token-1 */",
            "INSERT INTO records (k, v) VALUES ('ff', '\\x0aFF') RETURNING v /* id=8,c=pay \u00e9,d=1500 */",
            "SELECT v FROM records WHERE k = 'a' /* id=7,c=other,d=250 */",
            "SELECT v FROM records WHERE k = 'a' /* c=read,d=250 */",
            "SELECT v FROM records WHERE k = 'a' /* id=7,c=read,d=0 */",
            "SELECT v FROM records");
    Files.writeString(corpus.resolve(STATEMENTS), String.join("\n", statements) + "\n");
    Files.writeString(corpus.resolve(UNDERSTOOD), String.join("\n", understood(statements)) + "\n");
  }

  private static List<String> understood(List<String> statements) {
    List<String> lines = new ArrayList<>();
    for (String text : statements) {
      try {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        Statement read = Statement.read(bytes, bytes.length, METHODS);
        lines.add(
            "id "
                + read.id
                + ", method "
                + read.method.index
                + ", key "
                + Long.toUnsignedString(read.key)
                + ", deadline "
                + read.deadlineMs
                + ", sent "
                + new String(read.within(WAIT_MS), StandardCharsets.UTF_8));
      } catch (Statement.UnreadableException e) {
        lines.add("refused: " + e.getMessage());
      }
    }
    return lines;
  }

  @Test
  public void recordedStatementsAreUnderstoodTheSame() throws Exception {
    assertEquals(understood(CorpusFiles.lines(STATEMENTS)), CorpusFiles.lines(UNDERSTOOD));
  }
}
