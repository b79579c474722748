package sprucerock.lab.slope;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import javax.imageio.ImageIO;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.cli.Commands;

/**
 * The command as a person gives it: files in, tables and plots out, one line and its exit code for
 * what is wrong.
 */
public class SlopesCommandTest {
  private Path folder;
  private String out;
  private String err;

  @BeforeMethod
  public void makeResults() throws Exception {
    folder = Files.createTempDirectory("slopes");
    Files.createDirectory(folder.resolve("runs"));
    for (int size : new int[] {30, 100, 300, 1000}) {
      write("runs/" + size + ".json", Made.result(size, 0.01 * size));
    }
    write("runs/notes.txt", "not a result");
  }

  @AfterMethod(alwaysRun = true)
  public void remove() throws Exception {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private void write(String name, String text) throws Exception {
    Files.writeString(folder.resolve(name), text);
  }

  private int run(String... more) {
    PrintStream wasOut = System.out;
    PrintStream wasErr = System.err;
    ByteArrayOutputStream toOut = new ByteArrayOutputStream();
    ByteArrayOutputStream toErr = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(toOut, true, StandardCharsets.UTF_8));
      System.setErr(new PrintStream(toErr, true, StandardCharsets.UTF_8));
      return Commands.run(
          Stream.concat(
                  Stream.of(
                      "lab",
                      "slopes",
                      folder.resolve("runs").toString(),
                      "--counted",
                      folder.resolve("counted.json").toString()),
                  Stream.of(more))
              .toArray(String[]::new));
    } finally {
      System.setOut(wasOut);
      System.setErr(wasErr);
      out = toOut.toString(StandardCharsets.UTF_8);
      err = toErr.toString(StandardCharsets.UTF_8);
    }
  }

  @Test
  public void printsTablesOfWhatWasRun() {
    assertEquals(run(), Commands.DONE, err);
    assertTrue(out.contains("4 runs are in."), out);
    assertTrue(out.contains("| 4.81 | **OVER** | processor of one control machine |"), out);
    assertFalse(out.contains("Counted costs"), "no such file, no table");
  }

  @Test
  public void writesBetweenThePagesMarkersAlone() throws Exception {
    write("page.md", "Before\n" + CapacityPage.BEGIN + "\n" + CapacityPage.END + "\nAfter\n");
    assertEquals(run("--page", folder.resolve("page.md").toString()), Commands.DONE, err);
    String page = Files.readString(folder.resolve("page.md"));
    assertTrue(page.startsWith("Before\n" + CapacityPage.BEGIN + "\n\nMade by `lab slopes`"), page);
    assertTrue(page.endsWith("\n\n" + CapacityPage.END + "\nAfter\n"), page);
    assertTrue(page.contains("### Slopes: mean"), page);
    try (Stream<Path> left = Files.list(folder)) {
      assertEquals(
          left.map(path -> path.getFileName().toString()).sorted().toList(),
          List.of("page.md", "runs"),
          "no half-written page left");
    }
  }

  @Test
  public void drawsEachSlopeThatHasLogarithms() throws Exception {
    assertEquals(run("--plot", folder.resolve("plots").toString()), Commands.DONE, err);
    BufferedImage image =
        ImageIO.read(folder.resolve("plots/mean-controller-cpu-all-cores.png").toFile());
    assertEquals(image.getWidth(), 900);
    assertFalse(Files.exists(folder.resolve("plots/mean-count-refused.png")), "always 0");
    assertTrue(out.contains("and 1 series with a 0 that have none"), out);
  }

  @Test
  public void aMissIsExitCodeOne() throws Exception {
    write("runs/3000.json", Made.result(3000, 30));
    assertEquals(run("--relays", "3000"), Commands.DONE, out + err);
    write("runs/3000.json", Made.result(3000, 45));
    assertEquals(run("--relays", "3000"), Commands.WANTING, out + err);
    assertTrue(out.contains("**MISSED**"), out);
    assertEquals(run(), Commands.DONE, "nothing was held out");
  }

  @Test
  public void aBadResultIsOneLineThatNamesItsFile() throws Exception {
    write("runs/torn.json", "{\"format\":1,\n\"scene\":");
    write("page.md", CapacityPage.BEGIN + "\n" + CapacityPage.END + "\n");
    assertEquals(run("--page", folder.resolve("page.md").toString()), Commands.USAGE);
    assertEquals(err.lines().count(), 1, err);
    assertTrue(err.startsWith(folder.resolve("runs/torn.json") + ": line 2"), err);
    assertEquals(
        Files.readString(folder.resolve("page.md")),
        CapacityPage.BEGIN + "\n" + CapacityPage.END + "\n",
        "nothing was begun");
  }

  @Test
  public void whatIsNotThereIsOneLine() throws Exception {
    assertEquals(run("--allowance", folder.resolve("none.json").toString()), Commands.USAGE);
    assertEquals(err, folder.resolve("none.json") + ": is no file; name one that is there\n");
    assertEquals(run("--page", folder.resolve("none.md").toString()), Commands.USAGE);
    assertEquals(err, folder.resolve("none.md") + ": is no file; name one that is there\n");
    assertEquals(run("--relays", "-1"), Commands.USAGE);
    assertEquals(err.lines().count(), 1, err);
    Files.write(folder.resolve("runs/x.json"), new byte[] {(byte) 0xff, (byte) 0xfe, '{'});
    assertEquals(run(), Commands.USAGE);
    assertEquals(
        err, folder.resolve("runs/x.json") + ": is not UTF-8 text; write it anew or take it out\n");
    try (Stream<Path> all = Files.list(folder.resolve("runs"))) {
      for (Path path : all.toList()) {
        Files.delete(path);
      }
    }
    assertEquals(run(), Commands.USAGE);
    assertEquals(err, folder.resolve("runs") + ": holds no *.json; run lab scale first\n");
    Files.delete(folder.resolve("runs"));
    assertEquals(run(), Commands.USAGE);
    assertEquals(
        err,
        folder.resolve("runs")
            + ": is no folder; name the one that holds the results of scale runs\n");
    Files.createDirectory(folder.resolve("runs"));
  }
}
