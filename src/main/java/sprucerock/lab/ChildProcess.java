package sprucerock.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of a scale run, watched from outside by what the system tells of it. */
final class ChildProcess {
  /** Processor time so far, in seconds. */
  record Cpu(double user, double system) {
    Cpu minus(Cpu before) {
      return new Cpu(user - before.user, system - before.system);
    }
  }

  private static final double TICKS_A_SECOND =
      100; // USER_HZ, which Linux tells all programs the same on every machine
  private static final JsonMapper JSON = JsonMapper.builder().build();

  final String role;
  final String name;
  private final Process process;
  private final BufferedReader answers;
  private final OutputStream words;
  private Cpu last = new Cpu(0, 0);

  /**
   * Java with these options on the program's own class path; what it says goes to {@code log}, but
   * for its answers to words.
   */
  ChildProcess(
      String role, String name, File log, boolean talks, List<String> options, String... arguments)
      throws IOException {
    this.role = role;
    this.name = name;
    List<String> command =
        new ArrayList<>(
            List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(options);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "sprucerock.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(log));
    if (!talks) {
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    }
    process = builder.start();
    answers = talks ? process.inputReader(StandardCharsets.UTF_8) : null;
    words = process.getOutputStream();
  }

  /** Says a word and waits for its answer. */
  JsonNode ask(String word) throws IOException {
    tell(word);
    return answer();
  }

  void tell(String word) throws IOException {
    words.write((word + "\n").getBytes(StandardCharsets.UTF_8));
    words.flush();
  }

  JsonNode answer() throws IOException {
    String line = answers.readLine();
    if (line == null) {
      throw new IOException(name + " has ended; its log tells why");
    }
    JsonNode answer = JSON.readTree(line);
    if (answer.has("wrong")) {
      throw new IOException(name + ": " + answer.get("wrong").asText());
    }
    return answer;
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Of a process that has ended, what was read last. */
  Cpu cpu() throws IOException {
    String stat;
    try {
      stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    } catch (IOException e) {
      if (process.isAlive()) {
        throw e;
      }
      return last;
    }
    String[] fields =
        stat.substring(stat.lastIndexOf(')') + 2)
            .split(" "); // from the third on: a name may hold spaces
    last =
        new Cpu(
            Long.parseLong(fields[11]) / TICKS_A_SECOND,
            Long.parseLong(fields[12]) / TICKS_A_SECOND);
    return last;
  }

  /** Resident memory in MB, after a collection where the JDK's tool for that is there. */
  double residentMb() throws IOException, InterruptedException {
    Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    if (Files.isExecutable(jcmd)) {
      Process collect =
          new ProcessBuilder(jcmd.toString(), Long.toString(process.pid()), "GC.run")
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .redirectError(ProcessBuilder.Redirect.DISCARD)
              .start();
      if (!collect.waitFor(10, TimeUnit.SECONDS)) {
        collect.destroyForcibly();
      }
    }
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmRSS:")) {
        return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
      }
    }
    throw new IOException("the system tells no memory of " + name);
  }

  /** SIGSTOP, or SIGCONT. */
  void hold(boolean still) throws IOException, InterruptedException {
    new ProcessBuilder("kill", still ? "-STOP" : "-CONT", Long.toString(process.pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  /** SIGKILL, and waits for its end. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(10, TimeUnit.SECONDS);
  }

  /** Without waiting: for a run that breaks off. */
  void destroy() {
    process.destroyForcibly();
  }
}
