package sprucerock.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucerock.accounting.MethodAccounts;
import sprucerock.config.ConfigException;
import sprucerock.config.LiveSettings;
import sprucerock.config.RelayConfig;
import sprucerock.lease.LeaseManager;
import sprucerock.metrics.MetricsExporter;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.policy.RoutingPolicy;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.relay.frames.FrameRelay;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Workers;
import sprucerock.transport.wire.FrameTap;
import sun.misc.Signal;

@Command(
    name = "relay",
    mixinStandardHelpOptions = true,
    description =
        "Runs a relay until it is told to end (SIGTERM or SIGINT): then every open RPC gets its answer first.")
final class RelayCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "its configuration, see docs/operators/relay.md")
  private Path file;

  @Option(
      names = "--trace",
      paramLabel = "FILE",
      description = "writes a line for every frame into a new file; costs time")
  private Path trace;

  @Option(
      names = "--log",
      paramLabel = "FORM",
      defaultValue = "plain",
      description = "plain or json")
  private String form;

  /** What is true now of TLS and leases. */
  private static Map<String, Double> now(FrameRelay relay) {
    Map<String, Double> all = new java.util.TreeMap<>();
    Long days = relay.tlsDaysLeft();
    if (days != null) {
      all.put("tls_days_left", days.doubleValue());
      all.put("tls_files_broken", relay.tlsBroken() ? 1.0 : 0.0);
    }
    LeaseManager.Counts leases = relay.leases();
    if (leases != null) {
      all.put("lease_taken", (double) leases.acquired());
      all.put("lease_lost", (double) leases.lost());
      all.put("lease_held", (double) leases.held());
    }
    return all;
  }

  private volatile String inForce;

  /** Read on the signal's own thread, whole or not at all: the loop reads no files. */
  private void reload(NioLoop loop, FrameRelay relay) {
    try {
      RelayConfig anew = RelayConfig.read(file);
      String text = Files.readString(file);
      java.util.List<String> restart = LiveSettings.pathsThatNeedRestart(inForce, text);
      if (!restart.isEmpty()) {
        throw new ConfigException(file + ": " + restart + " can't be taken over without a restart");
      }
      inForce = text;
      loop.post(() -> relay.reload(anew));
    } catch (ConfigException | IOException | RuntimeException e) {
      loop.post(() -> relay.reloadFailed(e.getMessage()));
    }
  }

  @Override
  public Integer call() throws Exception {
    if (!form.equals("plain") && !form.equals("json")) {
      throw new ConfigException("--log is plain or json, not " + form);
    }
    FatalThreadHandler.install();
    RelayConfig config = RelayConfig.read(file);
    inForce = Files.readString(file);
    Logs.to(form.equals("json") ? Logs.Form.JSON : Logs.Form.PLAIN);
    AtomicReference<FrameRelay> relay = new AtomicReference<>();
    CountDownLatch ended = new CountDownLatch(1);
    CountDownLatch started = new CountDownLatch(1);
    AtomicReference<String> wrong = new AtomicReference<>();
    NioLoop loop =
        new NioLoop(
            "relay-" + config.settings.relayIndex,
            e -> {
              if (relay.get() != null) {
                relay.get().internalError(e);
              } else {
                e.printStackTrace(System.err);
              }
            });
    AtomicReference<MetricsFileWriter> keeper = new AtomicReference<>();
    AtomicReference<TraceWriter> tracing = new AtomicReference<>();
    loop.post(
        () -> {
          try {
            if (trace != null) {
              tracing.set(new TraceWriter(loop, trace, "relay-" + config.settings.relayIndex));
              tracing.get().watchStalls();
            }
            relay.set(new FrameRelay(config, loop, trace == null ? FrameTap.NONE : tracing.get()));
            MethodAccounts accounts = relay.get().requestTracker().accounts();
            keeper.set(
                MetricsFileWriter.open(
                    config.metricsFile,
                    accounts,
                    () -> loop.atTurnsEnd(accounts::commit),
                    relay.get()::metricsFileProblem));
            boolean fits = config.leases != null && config.leases.hardwareFitInterval() != null;
            Workers aside =
                config.tlsSetup == null && !fits
                    ? null
                    : new Workers(
                        Math.max(1, config.tlsWorkers),
                        Math.max(1, config.tlsQueueCapacity),
                        loop::post,
                        relay.get()::internalError);
            relay.get().start(RoutingPolicy::new, aside);
          } catch (IOException e) {
            wrong.set(
                config.listen
                    + " can't be listened at, or the trace can't be written: "
                    + e.getMessage());
          } catch (Material.BadMaterialException e) {
            wrong.set(e.getMessage());
          } finally {
            started.countDown();
          }
        });
    started.await();
    if (wrong.get() != null) {
      throw new IOException(wrong.get());
    }
    if (config.scrapeAddress != null) {
      try {
        new MetricsExporter(
            keeper.get()::snapshot,
            relay.get()::hasMetricsDrift,
            keeper.get()::isPersistent,
            () -> now(relay.get()),
            config.scrapeAddress);
      } catch (IOException e) {
        throw new IOException(config.scrapeAddress + " can't be scraped at: " + e.getMessage());
      }
    }
    Signal.handle(new Signal("HUP"), signal -> reload(loop, relay.get()));
    Thread stopper =
        new Thread(
            () -> {
              loop.post(
                  () ->
                      relay
                          .get()
                          .shutdown(
                              () -> {
                                keeper.get().close();
                                if (tracing.get() != null) {
                                  tracing.get().note("END", "in good order");
                                }
                                loop.atTurnsEnd(ended::countDown);
                              }));
              try {
                ended.await();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
              Runtime.getRuntime().halt(Commands.DONE);
              // the signal's own code would say that it failed
            },
            "stopper");
    Runtime.getRuntime().addShutdownHook(stopper);
    ended.await();
    Thread.sleep(10_000);
    // the stopper halts the process
    return Commands.DONE;
  }
}
