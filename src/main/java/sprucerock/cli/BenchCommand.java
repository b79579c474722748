package sprucerock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucerock.benchmark.Bench;

@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description =
        "Measures the relay beside a bare forwarder and the straight way, on loopback, for a few minutes.")
final class BenchCommand implements Callable<Integer> {
  private static final int METHODS = 20;
  private static final int ROUNDS =
      10; // of either kind: enough that one held up by the machine does not tell

  @Option(
      names = "--connections",
      split = ",",
      defaultValue = "1,64,1024",
      description = "client connections, several with commas")
  private int[] connections;

  @Option(
      names = "--units",
      split = ",",
      defaultValue = "10,300",
      description = "units, several with commas")
  private int[] endpoints;

  @Option(
      names = "--seconds",
      defaultValue = "4",
      description = "how long each part is counted; warmed up for as long")
  private double seconds;

  @Option(
      names = "--shares",
      split = ",",
      defaultValue = "0.5,0.1",
      description = "of the relay's rate, at which times are taken")
  private double[] shares;

  @Option(
      names = "--figures",
      description = "measures only what figures cost: the relay with and without them, in turns")
  private boolean figures;

  @Option(
      names = "--tls",
      description = "measures only what TLS costs: the relay with and without it, in turns")
  private boolean tls;

  @Override
  public Integer call() throws Exception {
    Logs.to(Logs.Form.PLAIN);
    ((ch.qos.logback.classic.Logger) org.slf4j.LoggerFactory.getLogger("sprucerock"))
        .setLevel(ch.qos.logback.classic.Level.ERROR);
    Bench bench = new Bench(System.out, new Bench.Lengths(seconds, seconds), shares);
    for (int many : endpoints) {
      for (int some : connections) {
        if (tls) {
          bench.tls(some, many, ROUNDS);
        } else if (figures) {
          bench.figures(some, many, METHODS, ROUNDS);
        } else {
          bench.run(some, many);
        }
      }
    }
    return Commands.DONE;
  }
}
