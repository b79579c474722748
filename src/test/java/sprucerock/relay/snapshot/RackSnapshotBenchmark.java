package sprucerock.relay.snapshot;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import sprucerock.time.Timestamp;

/**
 * Measures the cost of one lookup among 300 racks, without publishing and while 1,000 snapshots are
 * published each second.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RackSnapshotBenchmark {
  @Param({"0", "1000"})
  public int publishesPerSecond;

  private final SharedSnapshot shared = new SharedSnapshot();
  private volatile boolean stopped;
  private int lookupCount;

  private static RackSnapshot snapshot(long sequence) {
    Map<Integer, Timestamp> until = new HashMap<>();
    for (int rack = 0; rack < 300; rack++) {
      until.put(RackSnapshot.key(rack / 20, rack % 20), Timestamp.ofMs(1e12 + sequence));
    }
    return new RackSnapshot(sequence, until);
  }

  @Setup
  public void startPublisher() {
    shared.publish(snapshot(1));
    if (publishesPerSecond == 0) {
      return;
    }
    Thread publisher =
        new Thread(
            () -> {
              for (long sequence = 2; !stopped; sequence++) {
                shared.publish(snapshot(sequence));
                java.util.concurrent.locks.LockSupport.parkNanos(
                    1_000_000_000L / publishesPerSecond);
              }
            });
    publisher.setDaemon(true);
    publisher.start();
  }

  @TearDown
  public void stopPublisher() {
    stopped = true;
  }

  @Benchmark
  public boolean mayPlace() {
    lookupCount = lookupCount + 7 & 0xff;
    return shared
        .current()
        .mayPlace(RackSnapshot.key(lookupCount >> 4, lookupCount & 15), 1e9, 100);
  }

  public static void main(String[] args) throws Exception {
    org.openjdk.jmh.Main.main(new String[] {"RackSnapshotBenchmark"});
  }
}
