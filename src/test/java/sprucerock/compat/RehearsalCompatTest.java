package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.rehearsal.invariant.Finding;
import sprucerock.rehearsal.invariant.InvariantChecker;

/**
 * The traces of a small recorded rehearsal, and the judge's verdict on them: as they are, and with
 * one of them broken.
 */
public class RehearsalCompatTest {
  private static final String FOLDER = "rehearsal/day";
  private static final String VERDICT = "rehearsal/verdict.txt";
  private static final String VERDICT_BROKEN = "rehearsal/verdict-broken.txt";
  private static final String BROKEN_TRACE = "relay-1.1.trace";
  private static final String ANSWER = "\t>\tANSWER\t";
  private static final String DONE = "\t<\tDONE\t";

  /**
   * Of so many answers one is there twice in a broken trace; of so many units' results one is left
   * out of it.
   */
  private static final int TWICE_EVERY = 10;

  private static final int LEFT_OUT_EVERY = 15;

  /** Writes the verdicts on traces, which are there already. */
  static void record(Path corpus) throws Exception {
    Files.writeString(corpus.resolve(VERDICT), verdict(corpus.resolve(FOLDER)));
    Files.writeString(corpus.resolve(VERDICT_BROKEN), verdictBroken(corpus.resolve(FOLDER)));
  }

  private static String verdict(Path folder) throws Exception {
    InvariantChecker.Verdict verdict = InvariantChecker.judge(folder);
    StringBuilder text = new StringBuilder();
    for (Finding finding : verdict.findings()) {
      text.append(finding).append('\n');
    }
    text.append(verdict.kept() ? "kept" : "broken")
        .append(", relay runs ")
        .append(verdict.relayRuns())
        .append(", frames ")
        .append(verdict.frames())
        .append(", RPCs ")
        .append(verdict.rpcs())
        .append(", picks ")
        .append(verdict.attempts())
        .append(", stalled ms ")
        .append(verdict.stalledMs())
        .append('\n');
    verdict.shared().forEach(line -> text.append(line).append('\n'));
    return text.toString();
  }

  private static String verdictBroken(Path recorded) throws Exception {
    Path folder = Files.createTempDirectory("compat");
    try {
      for (String name : CorpusFiles.contents(recorded).keySet()) {
        Files.copy(recorded.resolve(name), folder.resolve(name));
      }
      Path trace = folder.resolve(BROKEN_TRACE);
      Files.write(trace, broken(Files.readAllLines(trace)));
      return verdict(folder);
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  private static List<String> broken(List<String> lines) {
    List<String> broken = new ArrayList<>();
    int answers = 0;
    int results = 0;
    for (String line : lines) {
      boolean leftOut = line.contains(DONE) && ++results % LEFT_OUT_EVERY == 0;
      if (!leftOut) {
        broken.add(line);
      }
      if (line.contains(ANSWER) && ++answers % TWICE_EVERY == 0) {
        broken.add(line);
      }
    }
    return broken;
  }

  @Test
  public void theVerdictOnRecordedTracesIsTheSame() throws Exception {
    assertEquals(verdict(CorpusFiles.path(FOLDER)), CorpusFiles.text(VERDICT));
  }

  @Test
  public void theVerdictOnABrokenTraceIsTheSame() throws Exception {
    assertEquals(verdictBroken(CorpusFiles.path(FOLDER)), CorpusFiles.text(VERDICT_BROKEN));
  }
}
