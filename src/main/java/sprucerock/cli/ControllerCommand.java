package sprucerock.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucerock.config.ConfigException;
import sprucerock.controller.Engine;
import sprucerock.controller.server.ControllerConfig;
import sprucerock.controller.server.ControllerServer;
import sprucerock.transport.wire.FrameTap;

@Command(
    name = "controller",
    mixinStandardHelpOptions = true,
    description = "Runs the release controller until it is told to end (SIGTERM or SIGINT).")
final class ControllerCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "its configuration, see docs/operators/controller.md")
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
    ControllerConfig config = ControllerConfig.read(file);
    if (check) {
      System.out.println(
          file
              + ": controller "
              + config.name
              + ", "
              + config.rolloutRules.stages().size()
              + " stages, "
              + config.webhookSources.size()
              + " sources: in order");
      return Commands.DONE;
    }
    Logs.to(form.equals("json") ? Logs.Form.JSON : Logs.Form.PLAIN);
    FatalThreadHandler.install();
    ControllerServer desk =
        new ControllerServer(
            config,
            new Engine.Clock() {
              @Override
              public long wallMs() {
                return System.currentTimeMillis();
              }

              @Override
              public long steadyMs() {
                return System.nanoTime() / 1_000_000;
              }
            },
            FrameTap.NONE,
            () -> new Thread(() -> System.exit(Commands.FAILED), "replaced").start());
    CountDownLatch told = new CountDownLatch(1);
    Thread stopper =
        new Thread(
            () -> {
              told.countDown();
              try {
                desk.close();
              } catch (java.io.IOException e) {
                System.err.println("the store did not close: " + e.getMessage());
              }
              Runtime.getRuntime()
                  .halt(
                      desk.isReplaced()
                          ? Commands.FAILED
                          : Commands.DONE); // the signal's own code would say that it failed
            },
            "stopper");
    Runtime.getRuntime().addShutdownHook(stopper);
    told.await();
    Thread.sleep(10_000); // the stopper halts the process
    return Commands.DONE;
  }
}
