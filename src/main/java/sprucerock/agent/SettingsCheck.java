package sprucerock.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Has a relay's program check settings, in a process and on a thread of its own. */
final class SettingsCheck {
  private static final long TIMEOUT_SECONDS = 30;

  private SettingsCheck() {}

  /**
   * Starts the check.
   *
   * @param onRefusal called on the check's thread with one line that says why the settings can't be
   *     used, empty where they can
   * @throws IOException if the process can't be started
   */
  static void start(List<String> command, Consumer<String> onRefusal) throws IOException {
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    Thread thread = new Thread(() -> onRefusal.accept(refusal(process)), "check");
    thread.setDaemon(true);
    thread.start();
  }

  private static String refusal(Process process) {
    String lastLine = "";
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        lastLine = line;
      }
      if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        return "its check took longer than " + TIMEOUT_SECONDS + " s";
      }
      return process.exitValue() == 0 ? "" : lastLine;
    } catch (IOException e) {
      return "its check broke off: " + e.getMessage();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "the agent ends";
    }
  }
}
