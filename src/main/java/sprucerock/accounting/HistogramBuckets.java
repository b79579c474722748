package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sprucerock.time.TimeSpan;

/**
 * The buckets of latencies: those that HdrHistogram has for one significant digit, 16 us wide up to
 * half a millisecond and a sixteenth of their octave further up, so that a percentile is at most 6%
 * off. What took longer than 67 s counts in the last one. They are accounts like all others, so
 * that a latency's count is a posting that can't be lost by itself.
 */
public final class HistogramBuckets {
  /** How many buckets there are. */
  public static final int BUCKETS = 304;

  private static final int FINE_US = 16; // loopback takes ten of these
  private static final int HALF = 16;
  private static final long MOST_US = (long) FINE_US << 22;

  private HistogramBuckets() {}

  /** The bucket that a latency falls into. */
  public static int bucket(TimeSpan took) {
    double us = Math.max(0, took.ms() * 1000);
    if (us >= MOST_US) {
      return BUCKETS - 1;
    }
    long fine = (long) us / FINE_US;
    if (fine < 2 * HALF) {
      return (int) fine;
    }
    int shift = 59 - Long.numberOfLeadingZeros(fine); // leaves five bits, the first of them set
    return shift * HALF + (int) (fine >> shift);
  }

  /** The shortest latency that falls into a bucket, in microseconds. */
  public static long lowerBoundUs(int bucket) {
    if (bucket < 2 * HALF) {
      return (long) bucket * FINE_US;
    }
    return (long) (HALF + bucket % HALF) << bucket / HALF - 1 << 4;
  }

  /** One for values in microseconds that has these buckets. */
  public static Histogram histogram() {
    return new Histogram(FINE_US, 2 * MOST_US, 1);
  }

  /** A row's latencies; its counts are those of the accounts. */
  public static Histogram histogram(MethodMetrics sheet, int row, long[] values) {
    Histogram made = histogram();
    for (int i = 0; i < BUCKETS; i++) {
      long count = values[sheet.index(row, 1 + i)];
      if (count > 0) {
        made.recordValueWithCount(lowerBoundUs(i), count);
      }
    }
    return made;
  }

  static List<String> columns(String total) {
    List<String> columns = new ArrayList<>();
    columns.add(total);
    for (int i = 0; i < BUCKETS; i++) {
      columns.add("us" + lowerBoundUs(i));
    }
    return List.copyOf(columns);
  }
}
