package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.lab.slope.Allowances;
import sprucerock.lab.slope.CountedCost;
import sprucerock.lab.slope.RunResult;
import sprucerock.lab.slope.RunSet;
import sprucerock.lab.slope.SlopeReport;

/** Results of recorded scale runs, read and rendered as the tables of the capacity page. */
public class SlopesCompatTest {
  private static final String RUNS = "slopes/runs";
  private static final String ALLOWANCE = "slopes/allowance.json";
  private static final String COUNTED = "slopes/counted.json";
  private static final String TABLES = "slopes/tables.md";
  private static final String TABLES_HELD_OUT = "slopes/tables-held-out.md";
  private static final int HELD_OUT = 100;

  /** Writes the tables of results, which are there already. */
  static void record(Path corpus) throws Exception {
    Files.writeString(corpus.resolve(TABLES), tables(corpus, 0));
    Files.writeString(corpus.resolve(TABLES_HELD_OUT), tables(corpus, HELD_OUT));
  }

  private static String tables(Path corpus, int heldOut) throws Exception {
    List<RunSet.Run> runs = new ArrayList<>();
    for (String name : CorpusFiles.contents(corpus.resolve(RUNS)).keySet()) {
      runs.add(
          new RunSet.Run(
              name, RunResult.parse(Files.readString(corpus.resolve(RUNS).resolve(name)))));
    }
    Allowances allowances = Allowances.parse(Files.readString(corpus.resolve(ALLOWANCE)));
    List<CountedCost> counted = CountedCost.parse(Files.readString(corpus.resolve(COUNTED)));
    return new SlopeReport(new RunSet(runs), allowances, counted, heldOut).markdown();
  }

  @Test
  public void recordedResultsGiveTheSameTables() throws Exception {
    assertEquals(tables(CorpusFiles.path(""), 0), CorpusFiles.text(TABLES));
    assertEquals(tables(CorpusFiles.path(""), HELD_OUT), CorpusFiles.text(TABLES_HELD_OUT));
  }
}
