package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sprucerock.time.TimeSpan;

/**
 * The buckets of latency histograms: those that HdrHistogram has for one significant digit, 16 us
 * wide up to half a millisecond and a sixteenth of their octave further up, so that a percentile is
 * at most 6% off. What took longer than 67 s counts in the last one. Buckets are accounts like all
 * others, so that a latency's count is a posting that can't be lost by itself.
 */
public final class HistogramBuckets {
  /** How many buckets there are. */
  public static final int BUCKET_COUNT = 304;

  private static final int BUCKET_US = 16; // a loopback round trip takes ten
  private static final int BUCKETS_PER_OCTAVE = 16;
  private static final long MAX_US = (long) BUCKET_US << 22;

  private HistogramBuckets() {}

  /** The bucket that a latency falls into. */
  public static int bucket(TimeSpan latency) {
    double us = Math.max(0, latency.ms() * 1000);
    if (us >= MAX_US) {
      return BUCKET_COUNT - 1;
    }
    long fine = (long) us / BUCKET_US;
    if (fine < 2 * BUCKETS_PER_OCTAVE) {
      return (int) fine;
    }
    int shift = 59 - Long.numberOfLeadingZeros(fine); // leaves five bits, the first of them set
    return shift * BUCKETS_PER_OCTAVE + (int) (fine >> shift);
  }

  /** The shortest latency that falls into a bucket, in microseconds. */
  public static long lowerBoundUs(int bucket) {
    if (bucket < 2 * BUCKETS_PER_OCTAVE) {
      return (long) bucket * BUCKET_US;
    }
    return (long) (BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE)
        << bucket / BUCKETS_PER_OCTAVE - 1
        << 4;
  }

  /** An empty histogram of values in microseconds that has these buckets. */
  public static Histogram histogram() {
    return new Histogram(BUCKET_US, 2 * MAX_US, 1);
  }

  /**
   * The histogram of a table's row.
   *
   * @param values by account
   */
  public static Histogram histogram(MetricsSheet table, int row, long[] values) {
    Histogram made = histogram();
    for (int i = 0; i < BUCKET_COUNT; i++) {
      long count = values[table.index(row, 1 + i)];
      if (count > 0) {
        made.recordValueWithCount(lowerBoundUs(i), count);
      }
    }
    return made;
  }

  static List<String> columns(String total) {
    List<String> columns = new ArrayList<>();
    columns.add(total);
    for (int i = 0; i < BUCKET_COUNT; i++) {
      columns.add("us" + lowerBoundUs(i));
    }
    return List.copyOf(columns);
  }
}
