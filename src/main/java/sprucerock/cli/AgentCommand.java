package sprucerock.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucerock.agent.AgentConfig;
import sprucerock.agent.ControllerClient;
import sprucerock.config.ConfigException;
import sprucerock.transport.net.nio.NioLoop;

@Command(
    name = "agent",
    mixinStandardHelpOptions = true,
    description =
        "Keeps a relay running on this machine, on the version that the controller wants; told to end (SIGTERM or SIGINT), it ends the relay first.")
final class AgentCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "its configuration, see docs/operators/change.md")
  private Path file;

  @Option(names = "--check", description = "only checks the configuration")
  private boolean check;

  @Option(
      names = "--log",
      paramLabel = "FORM",
      defaultValue = "plain",
      description = "plain or json")
  private String form;

  @Override
  public Integer call() throws Exception {
    if (!form.equals("plain") && !form.equals("json")) {
      throw new ConfigException("--log is plain or json, not " + form);
    }
    AgentConfig config = AgentConfig.read(file);
    if (check) {
      System.out.println(
          file
              + ": agent "
              + config.name
              + " of relay "
              + config.number
              + ", "
              + config.controllers.size()
              + " controllers: in order");
      return Commands.DONE;
    }
    Logs.to(form.equals("json") ? Logs.Form.JSON : Logs.Form.PLAIN);
    FatalThreadHandler.install();
    NioLoop loop =
        new NioLoop(
            "agent",
            e ->
                org.slf4j.LoggerFactory.getLogger("sprucerock.agent")
                    .error("BROKEN {}", e.toString(), e));
    AtomicReference<ControllerClient> station = new AtomicReference<>();
    AtomicReference<String> wrong = new AtomicReference<>();
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch ended = new CountDownLatch(1);
    loop.post(
        () -> {
          try {
            station.set(new ControllerClient(config, loop));
            station.get().start();
          } catch (IOException e) {
            wrong.set(config.folder + " can't be used: " + e.getMessage());
          } finally {
            started.countDown();
          }
        });
    started.await();
    if (wrong.get() != null) {
      throw new IOException(wrong.get());
    }
    Thread stopper =
        new Thread(
            () -> {
              loop.post(() -> station.get().stop(ended::countDown));
              try {
                ended.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              Runtime.getRuntime()
                  .halt(Commands.DONE); // the signal's own code would say that it failed
            },
            "stopper");
    Runtime.getRuntime().addShutdownHook(stopper);
    ended.await();
    Thread.sleep(10_000); // the stopper halts the process
    return Commands.DONE;
  }
}
