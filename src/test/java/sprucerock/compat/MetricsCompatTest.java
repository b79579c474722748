package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;
import sprucerock.cli.Commands;
import sprucerock.metrics.MetricsExporter;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.metrics.MetricsTable;
import sprucerock.time.TimeSpan;

/**
 * What a monitor scrapes of a relay, and what people see of its figures: names, types, labels and
 * values of a known relay.
 */
public class MetricsCompatTest {
  private static final String METRICS = "metrics/";

  private static MethodAccounts accounts() {
    MethodAccounts accounts =
        new MethodAccounts(List.of("read", "pay"), new MethodAccounts.Capacity(1, 1, 1));
    accounts.row(accounts.builds, "7");
    accounts.row(accounts.endpoints, "unit-3");
    accounts.row(accounts.tenants, "north");
    accounts.row(accounts.shadowAttempts, "7");
    return accounts;
  }

  /** One of each kind at once: no sum holds, and nothing is missing. */
  private static void fill(MethodAccounts accounts) {
    for (MetricsSheet sheet : accounts.sheets()) {
      if (sheet.isHistogram() || sheet == accounts.starts || sheet == accounts.metricsFiles) {
        continue;
      }
      for (int column = 1; column < sheet.columns().size(); column++) {
        for (int row = 0; row < sheet.rowCount(); row++) {
          accounts.postNew(sheet, row, column);
        }
      }
    }
  }

  /** What a relay posts, so that every sum holds. */
  private static void post(MethodAccounts accounts) {
    for (double ms : new double[] {0.1, 0.9, 1.1, 200, 80_000}) {
      accounts.rpcArrived(0, 0);
      accounts.rpcAnswered(0, 0, TimeSpan.ofMs(ms), ms < 100, ms < 1000);
      accounts.attemptSent(1, 0, 0, true);
      accounts.attemptWritten();
      accounts.attemptEnded(1, 0, 0, true, true, 1, TimeSpan.ofMs(ms));
    }
    accounts.commit();
  }

  private static MetricsFileWriter keeper(boolean whole) {
    MethodAccounts accounts = accounts();
    MetricsFileWriter keeper = MetricsFileWriter.open(null, accounts, () -> {}, line -> {});
    if (!whole) {
      fill(accounts);
    }
    post(accounts);
    return keeper;
  }

  private static String scraped(MetricsFileWriter keeper, String path, String accept)
      throws Exception {
    Map<String, Double> more = Map.of("tls_days_left", 3.0, "lease_held", 1.0);
    try (MetricsExporter export =
        new MetricsExporter(
            keeper::snapshot,
            () -> false,
            keeper::isPersistent,
            () -> more,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + export.port() + path))
              .header("Accept", accept)
              .build();
      HttpResponse<String> answer =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
      assertEquals(answer.statusCode(), 200);
      return "content-type "
          + answer.headers().firstValue("Content-Type").orElse("none")
          + "\n"
          + answer.body();
    }
  }

  @DataProvider
  public Object[][] forms() {
    return new Object[][] {
      {"text", "text/plain"}, {"openmetrics", "application/openmetrics-text; version=1.0.0"}
    };
  }

  @Test(dataProvider = "forms")
  public void scrapeIsAsRecorded(String name, String accept) throws Exception {
    Corpus.holdsSorted(
        METRICS + name + ".txt", scraped(keeper(false), "/metrics", accept).lines().toList());
  }

  @Test
  public void metricNamesAreAsRecorded() throws Exception {
    TreeSet<String> names = new TreeSet<>();
    for (String line : scraped(keeper(false), "/metrics", "text/plain").lines().toList()) {
      if (line.startsWith("# TYPE ")) {
        names.add(line.substring(7));
      }
    }
    Corpus.holdsSorted(METRICS + "names.txt", names);
  }

  @Test
  public void tableIsAsRecorded() throws Exception {
    Corpus.holds(METRICS + "table.txt", scraped(keeper(true), "/figures", "text/plain"));
    assertEquals(
        "content-type text/plain; charset=utf-8\n" + MetricsTable.format(keeper(true).snapshot()),
        scraped(keeper(true), "/figures", "text/plain"));
  }

  @Test
  public void layoutIsAsRecorded() throws Exception {
    Corpus.holds(METRICS + "layout.txt", keeper(true).snapshot().layout);
  }

  /**
   * A relay's file, shown and checked by the command: in order once it has ended, and with sums
   * that do not hold.
   */
  @Test
  public void commandPrintsFileAsRecorded() throws Exception {
    Path folder = Files.createTempDirectory("figures");
    Path file = folder.resolve("relay-0.figures");
    MethodAccounts accounts = accounts();
    MetricsFileWriter keeper = MetricsFileWriter.open(file, accounts, () -> {}, line -> {});
    post(accounts);
    StringBuilder text = new StringBuilder(shown(file)).append(shown(file, "--check"));
    keeper.close();
    text.append(shown(file)).append(shown(file, "--check"));
    fill(accounts);
    accounts.commit();
    text.append(shown(file, "--check"));
    Files.delete(file);
    Files.delete(folder);
    Corpus.holds(METRICS + "command.txt", text.toString());
  }

  private static String shown(Path file, String... options) throws Exception {
    List<String> words = new ArrayList<>(List.of("figures", file.toString()));
    words.addAll(List.of(options));
    PrintStream out = System.out;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
      int code = Commands.run(words.toArray(new String[0]));
      return "> figures FILE "
          + String.join(" ", options)
          + "\nexit "
          + code
          + "\n"
          + said.toString(StandardCharsets.UTF_8).replace(file.toString(), "FILE");
    } finally {
      System.setOut(out);
    }
  }
}
