package sprucerock.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MethodMetrics;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.transport.wire.v1.RelaySums;

/**
 * What a relay did so far: its accounts from the file that it keeps, and what the machine says of
 * its process.
 */
final class MetricsSummary {
  private MetricsSummary() {}

  /**
   * {@code utilities}: by the names of methods. Null while there are no figures that can be read.
   */
  static RelaySums read(Path figures, java.util.Map<String, Double> utilities, long pid) {
    RelaySums.Builder sums = RelaySums.newBuilder();
    ProcessHandle.of(pid)
        .flatMap(one -> one.info().totalCpuDuration())
        .ifPresent(time -> sums.setWorkMs(time.toNanos() / 1e6));
    sums.setMemoryMb(memoryMb(pid)).setConnections(descriptors(pid));
    if (figures == null) {
      return sums.build();
    }
    try {
      MetricsSnapshot snapshot = MetricsSnapshot.read(figures);
      accounts(snapshot, snapshot.accounts(), utilities, sums);
    } catch (NoSuchFileException e) {
      return sums.build(); // it has not begun one yet
    } catch (IOException | MetricsSnapshot.InvalidFileException e) {
      return null;
    }
    return sums.build();
  }

  private static void accounts(
      MetricsSnapshot snapshot,
      MethodAccounts accounts,
      java.util.Map<String, Double> utilities,
      RelaySums.Builder sums) {
    long turned = of(snapshot, accounts.calls, 0, "turned_away");
    double worth = 0;
    double inTime = 0;
    long rpcs = turned;
    long refused = turned;
    long aborted = 0;
    long lost = 0;
    long answered = 0;
    double answeredMs = 0;
    for (int row = 0; row < accounts.rpcs.rows(); row++) {
      String method = accounts.name(accounts.rpcs, row);
      if (method == null) {
        continue;
      }
      double utility = utilities.getOrDefault(method, 1.0);
      long taken = of(snapshot, accounts.rpcs, row, "taken");
      rpcs += taken;
      worth += utility * taken;
      inTime += utility * of(snapshot, accounts.answers, row, "in_time");
      refused += of(snapshot, accounts.rpcs, row, "pushed_back");
      aborted += of(snapshot, accounts.rpcs, row, "aborted");
      lost += of(snapshot, accounts.rpcs, row, "lost");
      answered += of(snapshot, accounts.latency, row, "answered");
      for (int i = 0; i < HistogramBuckets.BUCKETS; i++) {
        answeredMs +=
            snapshot.values[accounts.latency.index(row, 1 + i)]
                * HistogramBuckets.lowerBoundUs(i)
                / 1000.0;
      }
    }
    worth += turned; // of what was turned away nobody knows the method: as worth as the least
    sums.setRpcs(rpcs)
        .setWorth(worth)
        .setInTime(inTime)
        .setRefused(refused)
        .setAborted(aborted)
        .setLost(lost)
        .setAnswered(answered)
        .setAnsweredMs(answeredMs)
        .setMessages(
            of(snapshot, accounts.messages, 0, "sent") + of(snapshot, accounts.votes, 0, "cast"));
  }

  private static long of(MetricsSnapshot snapshot, MethodMetrics sheet, int row, String column) {
    return snapshot.values[sheet.index(row, sheet.columns().indexOf(column))];
  }

  /** What the process holds, in MB; 0 where the machine does not say. */
  static double memoryMb(long pid) {
    try {
      List<String> lines = Files.readAllLines(Path.of("/proc/" + pid + "/status"));
      for (String line : lines) {
        if (line.startsWith("VmRSS:")) {
          return Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024;
        }
      }
    } catch (IOException e) {
      return 0; // another kind of machine, or it has just ended
    }
    return 0;
  }

  /** Its open files and sockets; 0 where the machine does not say. */
  static int descriptors(long pid) {
    try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
      return (int) open.count();
    } catch (IOException e) {
      return 0;
    }
  }
}
