package sprucerock.agent;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import sprucerock.accounting.HistogramBuckets;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.transport.wire.v1.RelaySums;

/**
 * Sums of a relay's work so far, from its metrics file, and of its process, from the operating
 * system.
 */
final class MetricsSummary {
  private MetricsSummary() {}

  /**
   * Reads the sums of a relay.
   *
   * @param metricsFile null: the relay has none, and only its process is summed
   * @param weights by method name; 1 for a method that is not there
   * @return null while the metrics file can't be read
   */
  static RelaySums read(Path metricsFile, Map<String, Double> weights, long pid) {
    RelaySums.Builder sums = RelaySums.newBuilder();
    ProcessHandle.of(pid)
        .flatMap(one -> one.info().totalCpuDuration())
        .ifPresent(time -> sums.setWorkMs(time.toNanos() / 1e6));
    sums.setMemoryMb(memoryMb(pid)).setConnections(descriptors(pid));
    if (metricsFile == null) {
      return sums.build();
    }
    try {
      MetricsSnapshot snapshot = MetricsSnapshot.read(metricsFile);
      addAccounts(snapshot, snapshot.accounts(), weights, sums);
    } catch (NoSuchFileException e) {
      return sums.build(); // it has not begun one yet
    } catch (IOException | MetricsSnapshot.InvalidFileException e) {
      return null;
    }
    return sums.build();
  }

  private static void addAccounts(
      MetricsSnapshot snapshot,
      MethodAccounts accounts,
      Map<String, Double> weights,
      RelaySums.Builder sums) {
    long rejectedUnread = value(snapshot, accounts.calls, 0, "turned_away");
    double weightedRequests = 0;
    double weightedInTime = 0;
    long requests = rejectedUnread;
    long rejected = rejectedUnread;
    long aborted = 0;
    long lost = 0;
    long answered = 0;
    double answeredMs = 0;
    for (int row = 0; row < accounts.rpcs.rowCount(); row++) {
      String method = accounts.name(accounts.rpcs, row);
      if (method == null) {
        continue;
      }
      double weight = weights.getOrDefault(method, 1.0);
      long accepted = value(snapshot, accounts.rpcs, row, "taken");
      requests += accepted;
      weightedRequests += weight * accepted;
      weightedInTime += weight * value(snapshot, accounts.answers, row, "in_time");
      rejected += value(snapshot, accounts.rpcs, row, "pushed_back");
      aborted += value(snapshot, accounts.rpcs, row, "aborted");
      lost += value(snapshot, accounts.rpcs, row, "lost");
      answered += value(snapshot, accounts.latency, row, "answered");
      for (int i = 0; i < HistogramBuckets.BUCKET_COUNT; i++) {
        answeredMs +=
            snapshot.values[accounts.latency.index(row, 1 + i)]
                * HistogramBuckets.lowerBoundUs(i)
                / 1000.0;
      }
    }
    // the methods of requests that were rejected unread are not known: each weighs 1
    weightedRequests += rejectedUnread;
    sums.setRpcs(requests)
        .setWorth(weightedRequests)
        .setInTime(weightedInTime)
        .setRefused(rejected)
        .setAborted(aborted)
        .setLost(lost)
        .setAnswered(answered)
        .setAnsweredMs(answeredMs)
        .setMessages(
            value(snapshot, accounts.messages, 0, "sent")
                + value(snapshot, accounts.votes, 0, "cast"));
  }

  private static long value(MetricsSnapshot snapshot, MetricsSheet table, int row, String column) {
    return snapshot.values[table.index(row, table.columns().indexOf(column))];
  }

  /** Resident memory of a process in MB; 0 where the machine does not tell. */
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

  /** Open files and sockets of a process; 0 where the machine does not tell. */
  static int descriptors(long pid) {
    try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
      return (int) open.count();
    } catch (IOException e) {
      return 0;
    }
  }
}
