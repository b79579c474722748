package sprucerock.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/**
 * Guards against a process that has lost a thread and stays: it would accept connections and answer
 * nobody.
 */
public class FatalThreadHandlerTest {
  /** A process of which one thread ends for want of memory, and whose others wait for ever. */
  public static final class LosesAThread {
    public static void main(String[] args) throws InterruptedException {
      FatalThreadHandler.install();
      new Thread(
              () -> {
                throw new OutOfMemoryError("a test");
              },
              "input")
          .start();
      new CountDownLatch(1).await();
    }
  }

  @Test
  public void theProcessEndsWithOneLine() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                LosesAThread.class.getName())
            .redirectErrorStream(true)
            .start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(process.waitFor(), Commands.FAILED);
    assertTrue(
        said.startsWith("BROKEN thread input ended: java.lang.OutOfMemoryError: a test"), said);
    assertEquals(said.strip().lines().count(), 1, said);
  }
}
