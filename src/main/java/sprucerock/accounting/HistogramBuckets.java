package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sprucerock.time.TimeSpan;

/**
 * The buckets of latency histograms. They equal the buckets of HdrHistogram for one significant
 * digit: 16 us wide up to half a millisecond, and above that a sixteenth of the octave's lower
 * bound wide, so that a percentile is at most 6% off. Latencies above 67 s count in the last
 * bucket. Buckets are accounts like all others, so that a latency is counted by a posting and can't
 * be lost on its own.
 */
public final class HistogramBuckets {
  /** The number of buckets. */
  public static final int BUCKET_COUNT = 304;

  // Narrow enough: a loopback round trip alone takes 10 us.
  private static final int MIN_BUCKET_WIDTH_US = 16;
  private static final int BUCKETS_PER_OCTAVE = 16;
  private static final long MAX_LATENCY_US = (long) MIN_BUCKET_WIDTH_US << 22;

  private HistogramBuckets() {}

  /** Returns the bucket of a latency. */
  public static int bucket(TimeSpan latency) {
    double us = Math.max(0, latency.ms() * 1000);
    if (us >= MAX_LATENCY_US) {
      return BUCKET_COUNT - 1;
    }
    long usInBucketWidths = (long) us / MIN_BUCKET_WIDTH_US;
    if (usInBucketWidths < 2 * BUCKETS_PER_OCTAVE) {
      return (int) usInBucketWidths;
    }
    // Shifting leaves the five highest bits, from the highest set bit on: 16 to 31.
    int shift = 59 - Long.numberOfLeadingZeros(usInBucketWidths);
    return shift * BUCKETS_PER_OCTAVE + (int) (usInBucketWidths >> shift);
  }

  /** Returns the shortest latency of a bucket, in microseconds. */
  public static long lowerBoundUs(int bucket) {
    if (bucket < 2 * BUCKETS_PER_OCTAVE) {
      return (long) bucket * MIN_BUCKET_WIDTH_US;
    }
    // The shift by 4 multiplies by MIN_BUCKET_WIDTH_US.
    return (long) (BUCKETS_PER_OCTAVE + bucket % BUCKETS_PER_OCTAVE)
        << bucket / BUCKETS_PER_OCTAVE - 1
        << 4;
  }

  /** Returns an empty histogram with these buckets, for values in microseconds. */
  public static Histogram histogram() {
    return new Histogram(MIN_BUCKET_WIDTH_US, 2 * MAX_LATENCY_US, 1);
  }

  /**
   * Returns the histogram of a sheet's row.
   *
   * @param values the values by account
   */
  public static Histogram histogram(MetricsSheet sheet, int row, long[] values) {
    Histogram histogram = histogram();
    for (int i = 0; i < BUCKET_COUNT; i++) {
      long count = values[sheet.index(row, 1 + i)];
      if (count > 0) {
        histogram.recordValueWithCount(lowerBoundUs(i), count);
      }
    }
    return histogram;
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
