package sprucerock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OperationsPerInvocation;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import sprucerock.accounting.MethodAccounts;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.time.TimeSpan;

/**
 * What the figures of an RPC with one pick cost in a mapped file, and what a reader of them pays.
 * See docs/figures.md.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PostingsBenchmark {
  private static final int RPCS = 1024;

  @Param({"1", "8", "64"})
  public int eachTurn;

  private Path file;
  private MethodAccounts accounts;
  private MetricsFileWriter keeper;

  @Setup
  public void begin() throws IOException {
    file = Files.createTempDirectory("postings").resolve("bench.figures");
    List<String> methods = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      methods.add("method-" + i);
    }
    accounts = new MethodAccounts(methods, new MethodAccounts.Capacity(16, 1024, 64));
    for (int i = 0; i < 300; i++) {
      accounts.row(accounts.endpoints, "" + i);
    }
    for (int i = 0; i < 2; i++) {
      accounts.row(accounts.builds, "" + i);
    }
    keeper = MetricsFileWriter.open(file, accounts, () -> {}, System.out::println);
  }

  @TearDown
  public void end() throws IOException {
    keeper.close();
    Files.delete(file);
    Files.delete(file.getParent());
  }

  @Benchmark
  @OperationsPerInvocation(RPCS)
  public void rpc() {
    for (int i = 0; i < RPCS; i++) {
      int method = i % 20;
      int build = i & 1;
      int endpoint = (i * 7919 & 0xffff) % 300;
      TimeSpan took = TimeSpan.ofMs(0.1 + (i & 255) * 0.05);
      accounts.rpcArrived(method, 0);
      accounts.attemptSent(method, build, endpoint, false);
      accounts.attemptWritten();
      accounts.attemptEnded(method, build, endpoint, false, true, 1, took);
      accounts.rpcAnswered(method, 0, took, true, true);
      if (i % eachTurn == eachTurn - 1) {
        accounts.commit();
      }
    }
  }

  /** The check that a relay makes each second, on its loop. */
  @Benchmark
  public Object check() {
    return accounts.check();
  }

  /** What a scrape reads, on its own thread. */
  @Benchmark
  public MetricsSnapshot snapshot() {
    return keeper.snapshot();
  }
}
