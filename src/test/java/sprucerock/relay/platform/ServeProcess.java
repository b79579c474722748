package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A relay as its own process, run by {@code serve}, whose log is read. */
public final class ServeProcess {
  private static final Pattern STARTED = Pattern.compile(" STARTED .* listens at \\S*:([0-9]+), ");

  private final Process process;
  private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

  private ServeProcess(Process process) {
    this.process = process;
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    Thread reader = new Thread(() -> lines.lines().forEach(log::add), "log");
    reader.setDaemon(true);
    reader.start();
  }

  /**
   * Starts a relay by a configuration file.
   *
   * @param port where it listens; 0: the system chooses one
   * @param options of its virtual machine
   */
  public static ServeProcess start(Path config, int port, String... options) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of(options));
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "sprucerock.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("LB_CONFIG", config.toString());
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    return new ServeProcess(builder.start());
  }

  /** Waits until it takes clients; the port at which it does. */
  public int awaitStarted() throws InterruptedException {
    Matcher line = STARTED.matcher(awaitLog("STARTED"));
    assertTrue(line.find(), "its log does not say where it listens");
    return Integer.parseInt(line.group(1));
  }

  /** Waits for a line of its log that holds this text, and drops those before. */
  public String awaitLog(String text) throws InterruptedException {
    String line = Peers.next(log, "in the log: " + text);
    while (!line.contains(text)) {
      line = Peers.next(log, "in the log: " + text);
    }
    return line;
  }

  /** The lines of its log that nobody waited for. */
  public List<String> unreadLog() {
    return List.copyOf(log);
  }

  public void signal(String name) throws IOException, InterruptedException {
    String command = "kill -" + name + " " + process.pid();
    assertEquals(new ProcessBuilder("sh", "-c", command).start().waitFor(), 0);
  }

  /** Waits until it has ended; its exit code. */
  public int awaitExit() throws InterruptedException {
    assertTrue(process.waitFor(Peers.LONG, TimeUnit.SECONDS), "it does not end");
    return process.exitValue();
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  public long pid() {
    return process.pid();
  }

  public void kill() {
    process.destroyForcibly();
  }
}
