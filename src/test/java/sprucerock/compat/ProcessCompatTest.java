package sprucerock.compat;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.Main;
import sprucerock.cli.Commands;

/** The program as a process of its own: what only that shows. Nothing hangs on how fast it is. */
public class ProcessCompatTest {
  private static final String PROCESS = "process/";

  /** Far over what a start takes on a slow machine. */
  private static final int PATIENCE_SECONDS = 120;

  private static final int LOOK_MS = 50;

  private Path folder;
  private Process process;

  @BeforeMethod
  public void begin() throws IOException {
    folder = Files.createTempDirectory("process");
  }

  @AfterMethod
  public void end() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  private void start(List<String> words, String configuration) throws IOException {
    List<String> all =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
    all.addAll(words);
    ProcessBuilder builder =
        new ProcessBuilder(all)
            .redirectError(folder.resolve("err").toFile())
            .redirectOutput(folder.resolve("out").toFile());
    builder.environment().remove("LB_CONFIG");
    if (configuration != null) {
      builder.environment().put("LB_CONFIG", configuration);
    }
    process = builder.start();
  }

  private int exit() throws InterruptedException {
    assertTrue(process.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS), "it does not end");
    return process.exitValue();
  }

  private String said(String where) throws IOException {
    return Files.readString(folder.resolve(where)).replace(folder.toString(), "FOLDER");
  }

  private String ending() throws Exception {
    return "exit "
        + exit()
        + "\nout: "
        + said("out").strip()
        + "\nerr: "
        + said("err").strip()
        + "\n";
  }

  /** Those that do not go through the command line, and one that does. */
  @Test
  public void processesThatEndAtOnceEndAsRecorded() throws Exception {
    StringBuilder text = new StringBuilder();
    start(List.of(), null);
    text.append("> (nothing)\n").append(ending());
    start(List.of("serve"), null);
    text.append("> serve, without LB_CONFIG\n").append(ending());
    start(List.of("serve"), folder.resolve("none.json").toString());
    text.append("> serve, without the file\n").append(ending());
    start(List.of("simhost"), null);
    try (OutputStream in = process.getOutputStream()) {
      in.write(HexFormat.of().parseHex(Corpus.inputLines("simhost/bad.txt").get(0)));
    }
    text.append("> simhost, with a batch that is cut short\n").append(ending());
    start(List.of("simhost"), null);
    process.getOutputStream().close();
    text.append("> simhost, with nothing\n").append(ending());
    Corpus.holds(PROCESS + "endings.txt", text.toString());
  }

  /**
   * The gauges that only a running relay adds, the kinds of what it logs until it ends in good
   * order, and the line of its figures.
   */
  @Test
  public void relayGaugesAndLogAreAsRecorded() throws Exception {
    assertEquals(
        Commands.run("tls", "make-test-ca", "--into", folder + "/ca", "relay-0.example"),
        Commands.DONE);
    int port = freePort();
    Path file =
        Files.writeString(
            folder.resolve("relay.xml"),
            Corpus.input(PROCESS + "relay.xml")
                .replace("FOLDER", folder.toString())
                .replace("SCRAPED", "" + port));
    start(List.of("relay", "--config", file.toString()), null);
    List<String> gauges =
        Arrays.stream(scraped(port).split("\n"))
            .filter(
                line ->
                    line.matches(
                        "# (TYPE|HELP) [a-z]+_(tls|lease|generation|figures|starts|files).*"))
            .toList();
    Corpus.holdsSorted(PROCESS + "relay-gauges.txt", gauges);
    until("STARTED"); // two seconds after it listens for scrapes: by then it also heeds signals
    process.destroy(); // SIGTERM
    assertEquals(exit(), Commands.DONE);
    List<String> lines =
        said("out")
            .lines()
            .filter(line -> line.matches(".* (STARTED|FIGURES|FINISHING|FINISHED) .*"))
            .map(
                line ->
                    line.replaceAll("^.*? (STARTED|FIGURES|FINISHING|FINISHED) ", "$1 ")
                        .replaceAll("[0-9]+", "N"))
            .distinct()
            .toList();
    Corpus.holdsSorted(
        PROCESS + "relay-log.txt", lines); // a slow machine has figures logged more than once
  }

  private void until(String kind) throws Exception {
    for (int i = 0; i < PATIENCE_SECONDS * 1000 / LOOK_MS && !said("out").contains(kind); i++) {
      Thread.sleep(LOOK_MS);
    }
    assertTrue(said("out").contains(kind), said("out") + said("err"));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private String scraped(int port) throws Exception {
    HttpClient http = HttpClient.newHttpClient();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
            .header("Accept", "text/plain")
            .build();
    for (int i = 0; i < PATIENCE_SECONDS * 1000 / LOOK_MS && process.isAlive(); i++) {
      try {
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() == 200) {
          return answer.body();
        }
      } catch (IOException e) {
        Thread.sleep(LOOK_MS); // it does not listen yet
      }
    }
    throw new AssertionError("it can't be scraped: " + said("out") + said("err"));
  }
}
