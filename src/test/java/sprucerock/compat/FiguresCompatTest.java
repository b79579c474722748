package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.metrics.MetricsTable;
import sprucerock.time.TimeSpan;

/**
 * A relay's file of figures: recorded ones of a relay that was cut off and of one that ended, with
 * the listing that they give.
 */
public class FiguresCompatTest {
  private static final String FOLDER = "figures/";
  private static final String CUT_OFF = "cut-off.figures";
  private static final String ENDED = "ended.figures";
  private static final String CARRIED_ON = "carried-on";
  private static final String LISTING = ".txt";
  private static final List<String> METHODS = List.of("read");
  private static final MethodAccounts.Capacity ROOM = new MethodAccounts.Capacity(1, 2, 1);
  private static final int TURNS = 5;
  private static final int ENDED_OK = 1;

  static void record(Path corpus) throws Exception {
    Path folder = Files.createDirectories(corpus.resolve(FOLDER));
    for (String name : List.of(CUT_OFF, ENDED)) {
      Files.deleteIfExists(folder.resolve(name));
      live(folder.resolve(name), name.equals(ENDED));
      Files.writeString(folder.resolve(name + LISTING), listing(folder.resolve(name)));
    }
    Path copy = Files.createTempDirectory("compat");
    Files.copy(folder.resolve(CUT_OFF), copy.resolve(CUT_OFF));
    live(copy.resolve(CUT_OFF), true);
    Files.writeString(folder.resolve(CARRIED_ON + LISTING), listing(copy.resolve(CUT_OFF)));
    CorpusFiles.remove(copy);
  }

  /** One life of a relay with some RPCs, of which one is open at its end. */
  private static void live(Path file, boolean ends) {
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
    List<String> said = new ArrayList<>();
    MetricsFileWriter keeper = MetricsFileWriter.open(file, accounts, () -> {}, said::add);
    assertEquals(said, List.of());
    int tenant = accounts.row(accounts.tenants, "north");
    int build = accounts.row(accounts.builds, "7");
    int endpoint = accounts.row(accounts.endpoints, "unit \u00e9");
    for (int turn = 1; turn <= TURNS; turn++) {
      accounts.rpcArrived(0, tenant);
      accounts.attemptSent(0, build, endpoint, false);
      accounts.attemptWritten();
      if (turn == TURNS) {
        break;
      }
      accounts.attemptEnded(0, build, endpoint, false, true, ENDED_OK, TimeSpan.ofMs(2 * turn));
      accounts.rpcAnswered(0, tenant, TimeSpan.ofMs(3 * turn), true, true);
      accounts.commit();
    }
    accounts.commit();
    if (ends) {
      keeper.close();
    }
  }

  /** The table that is shown, then the layout, the names of rows and all values but zeros. */
  private static String listing(Path file) throws Exception {
    MetricsSnapshot snapshot = MetricsSnapshot.read(file);
    StringBuilder text = new StringBuilder(MetricsTable.format(snapshot));
    text.append("drifts ")
        .append(snapshot.accounts().check(snapshot.values))
        .append('\n')
        .append("layout\n")
        .append(snapshot.layout.stripTrailing())
        .append('\n');
    for (int row = 0; row < snapshot.rowNames.length; row++) {
      if (snapshot.rowNames[row] != null) {
        text.append("row ").append(row).append(' ').append(snapshot.rowNames[row]).append('\n');
      }
    }
    for (int i = 0; i < snapshot.values.length; i++) {
      if (snapshot.values[i] != 0) {
        text.append("value ").append(i).append(' ').append(snapshot.values[i]).append('\n');
      }
    }
    return text.toString();
  }

  @Test
  public void printsRecordedFileAsRecorded() throws Exception {
    for (String name : List.of(CUT_OFF, ENDED)) {
      assertEquals(
          listing(CorpusFiles.path(FOLDER + name)),
          CorpusFiles.text(FOLDER + name + LISTING),
          name);
    }
  }

  @Test
  public void samePostingsMakeTheRecordedFile() throws Exception {
    Path folder = Files.createTempDirectory("compat");
    try {
      for (String name : List.of(CUT_OFF, ENDED)) {
        live(folder.resolve(name), name.equals(ENDED));
        assertEquals(
            CorpusFiles.dump(Files.readAllBytes(folder.resolve(name))),
            CorpusFiles.dump(Files.readAllBytes(CorpusFiles.path(FOLDER + name))),
            name);
      }
    } finally {
      CorpusFiles.remove(folder);
    }
  }

  @Test
  public void relayGoesOnFromRecordedFile() throws Exception {
    Path folder = Files.createTempDirectory("compat");
    try {
      Path file = folder.resolve(CUT_OFF);
      Files.copy(CorpusFiles.path(FOLDER + CUT_OFF), file);
      live(file, true);
      assertEquals(listing(file), CorpusFiles.text(FOLDER + CARRIED_ON + LISTING));
    } finally {
      CorpusFiles.remove(folder);
    }
  }
}
