package sprucerock.rehearsal.scenario;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.rehearsal.fake.FakeClient;
import sprucerock.rehearsal.fake.FakeClient.End;
import sprucerock.rehearsal.fake.FakeClient.Order;
import sprucerock.rehearsal.fake.Site;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What clients asked and what became of it: by method, and by the second in which it was asked. */
final class MetricsAudit implements FakeClient.Ear {
  /** One method's orders. */
  static final class Column {
    long asked;
    long tries;
    final Map<End, Long> ends = new EnumMap<>(End.class);

    long of(End end) {
      return ends.getOrDefault(end, 0L);
    }

    long open() {
      return asked - ends.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  private final Site site;
  private final Column[] columns;
  private final TreeMap<Integer, double[]> seconds = new TreeMap<>();
  private Timestamp from;

  MetricsAudit(Site site) {
    this.site = site;
    columns = new Column[site.methods().size()];
    java.util.Arrays.setAll(columns, i -> new Column());
  }

  /** What is asked before then is not counted. */
  void begin(Timestamp then) {
    from = then;
  }

  Column column(int method) {
    return columns[method];
  }

  @Override
  public void asked(Order order) {
    if (from.after(order.at)) {
      return;
    }
    columns[order.method].asked++;
    second(order)[0] += site.methods().get(order.method).utility();
  }

  @Override
  public void ended(Order order, End end) {
    if (from.after(order.at)) {
      return;
    }
    columns[order.method].ends.merge(end, 1L, Long::sum);
    columns[order.method].tries += order.tries;
    if (end == End.OK) {
      second(order)[1] += site.methods().get(order.method).utility();
    }
  }

  private double[] second(Order order) {
    return seconds.computeIfAbsent(
        (int) Math.floor(order.at.since(from).ms() / 1000), key -> new double[2]);
  }

  /**
   * Utility asked for and utility answered within the soft deadline, of what was asked from one
   * time to another.
   */
  double[] between(TimeSpan start, TimeSpan end) {
    double[] sum = new double[2];
    seconds.forEach(
        (second, one) -> {
          if (second * 1000.0 + 1000 <= start.ms() || second * 1000.0 >= end.ms()) {
            return;
          }
          sum[0] += one[0];
          sum[1] += one[1];
        });
    return sum;
  }

  static double ratio(double[] sums) {
    return sums[0] == 0 ? 1 : sums[1] / sums[0];
  }
}
