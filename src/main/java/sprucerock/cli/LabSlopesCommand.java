package sprucerock.cli;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;
import sprucerock.lab.plot.SlopePlot;
import sprucerock.lab.slope.Allowances;
import sprucerock.lab.slope.BadTextException;
import sprucerock.lab.slope.CapacityPage;
import sprucerock.lab.slope.CountedCost;
import sprucerock.lab.slope.RunResult;
import sprucerock.lab.slope.RunSet;
import sprucerock.lab.slope.Series;
import sprucerock.lab.slope.SlopeReport;

@Command(
    name = "slopes",
    mixinStandardHelpOptions = true,
    description =
        "Fits how costs grow with the number of relays, from results of scale runs, and holds what they come to against what is allowed. "
            + "Exit code 1: a prediction at the size held out missed by more than 20%.")
final class LabSlopesCommand implements Callable<Integer> {
  /** A result is some tens of kilobytes; what is this large is something else. */
  private static final long MOST_BYTES = 16 << 20;

  /** More results than a thousand runs an hour give in a day. */
  private static final int MOST_FILES = 20_000;

  @Parameters(paramLabel = "DIR", description = "holds one *.json for each run")
  private Path folder;

  @Option(
      names = "--relays",
      paramLabel = "N",
      description = "holds runs of this size out, predicts it from the others, and compares")
  private int relays;

  @Option(names = "--plot", paramLabel = "DIR", description = "writes a PNG of each slope there")
  private Path plots;

  @Option(
      names = "--page",
      paramLabel = "FILE",
      description =
          "writes the tables between the page's markers, such as of docs/CAPACITY.md; they are printed otherwise")
  private Path page;

  @Option(
      names = "--allowance",
      paramLabel = "FILE",
      defaultValue = "docs/scale/allowance.json",
      description = "what is allowed, ${DEFAULT-VALUE} unless given")
  private Path allowance;

  @Option(
      names = "--counted",
      paramLabel = "FILE",
      defaultValue = "docs/scale/counted.json",
      description =
          "costs that tests counted, ${DEFAULT-VALUE} unless given; none if there is no such file")
  private Path counted;

  @Override
  public Integer call() throws Exception {
    if (relays < 0) {
      throw new ConfigException("--relays: " + relays + " is no size; give 1 or more");
    }
    Allowances allowances = read(allowance, Allowances::parse);
    List<CountedCost> costs = Files.exists(counted) ? read(counted, CountedCost::parse) : List.of();
    RunSet runs = new RunSet(results());
    SlopeReport report = new SlopeReport(runs, allowances, costs, relays);
    String tables = report.markdown();
    if (page != null) {
      String written = read(page, text -> CapacityPage.replace(text, tables));
      Path beside = page.resolveSibling(page.getFileName() + ".new"); // whole or not at all
      Files.writeString(beside, written);
      Files.move(beside, page, StandardCopyOption.ATOMIC_MOVE);
      System.out.println(
          page
              + ": tables of "
              + runs.kept()
              + " runs written, "
              + runs.leftOut().size()
              + " left out");
    } else {
      System.out.print(tables);
    }
    if (plots != null) {
      plot(report, allowances.planningRelays());
    }
    return report.missed() ? Commands.WANTING : Commands.DONE;
  }

  private List<RunSet.Run> results() throws IOException, ConfigException {
    if (!Files.isDirectory(folder)) {
      throw new ConfigException(
          folder + ": is no folder; name the one that holds the results of scale runs");
    }
    List<Path> files = new ArrayList<>();
    try (DirectoryStream<Path> found = Files.newDirectoryStream(folder, "*.json")) {
      for (Path file : found) {
        if (files.size() == MOST_FILES) {
          throw new ConfigException(folder + ": holds over " + MOST_FILES + " results; split them");
        }
        files.add(file);
      }
    }
    if (files.isEmpty()) {
      throw new ConfigException(folder + ": holds no *.json; run lab scale first");
    }
    Collections.sort(files);
    List<RunSet.Run> runs = new ArrayList<>();
    for (Path file : files) {
      runs.add(new RunSet.Run(file.getFileName().toString(), read(file, RunResult::parse)));
    }
    return runs;
  }

  private void plot(SlopeReport report, int planned) throws IOException {
    Files.createDirectories(plots);
    Set<String> names = new HashSet<>();
    int none = 0;
    for (Series series : report.series()) {
      if (!SlopePlot.canShow(series)) {
        none++;
        continue;
      }
      String name = SlopePlot.fileName(series);
      for (int i = 2; !names.add(name); i++) {
        name = SlopePlot.fileName(series).replace(".png", "-" + i + ".png");
      }
      Files.write(plots.resolve(name), SlopePlot.png(series, relays, planned));
    }
    System.out.println(
        plots
            + ": "
            + names.size()
            + " plots"
            + (none == 0 ? "" : ", and " + none + " series with a 0 that have none"));
  }

  private interface Parser<T> {
    T parse(String text) throws BadTextException;
  }

  private static <T> T read(Path file, Parser<T> parser) throws IOException, ConfigException {
    try {
      if (!Files.isRegularFile(file)) {
        throw new ConfigException(file + ": is no file; name one that is there");
      }
      if (Files.size(file) > MOST_BYTES) {
        throw new ConfigException(
            file + ": is over " + MOST_BYTES + " bytes; a result is far smaller, take it out");
      }
      return parser.parse(Files.readString(file));
    } catch (CharacterCodingException e) {
      throw new ConfigException(file + ": is not UTF-8 text; write it anew or take it out");
    } catch (BadTextException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
  }
}
