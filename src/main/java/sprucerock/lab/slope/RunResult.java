package sprucerock.lab.slope;

import com.fasterxml.jackson.core.type.TypeReference;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What one scale run measured, as its JSON file of format 1 has it. Times end in their unit; {@code
 * rssMb} counts megabytes of a million bytes.
 *
 * @param relays how many relays took part, the N of every slope; 1 or more
 * @param seconds how long was measured, over 0
 * @param keptUp whether the load that was asked for was really offered; else its figures are of
 *     another load and are left out
 * @param whyNot why not, empty otherwise
 */
public record RunResult(
    int format,
    String scene,
    int relays,
    int racks,
    int units,
    int services,
    double seconds,
    boolean keptUp,
    String whyNot,
    List<ProcessUse> processes,
    List<LinkTotal> links,
    List<InForce> inForce,
    SortedMap<String, Double> counts) {

  /** What one process used within {@code seconds} of its own. */
  public record ProcessUse(
      String role, String name, double cpuUserS, double cpuSystemS, double rssMb, double seconds) {
    public ProcessUse {
      named("role", role);
      atLeastZero("cpu_user_s", cpuUserS);
      atLeastZero("cpu_system_s", cpuSystemS);
      atLeastZero("rss_mb", rssMb);
      overZero("seconds", seconds);
    }

    /** Processor cores that it kept busy on average. */
    double cores() {
      return (cpuUserS + cpuSystemS) / seconds;
    }
  }

  /** What processes of one role sent ("out") or got ("in") of one kind of message, over the run. */
  public record LinkTotal(String role, String kind, String direction, long messages, long bytes) {
    public LinkTotal {
      named("role", role);
      named("kind", kind);
      if (!"in".equals(direction) && !"out".equals(direction)) {
        throw new IllegalArgumentException("direction is in or out, not " + direction);
      }
      atLeastZero("messages", messages);
      atLeastZero("bytes", bytes);
    }
  }

  /**
   * How long a state took until relays had it in force; {@code missing} of them never had within
   * the run.
   */
  public record InForce(
      String event, int relays, int missing, double p50Ms, double p99Ms, double lastMs) {
    public InForce {
      named("event", event);
      atLeastZero("relays", relays);
      atLeastZero("missing", missing);
      atLeastZero("p50_ms", p50Ms);
      atLeastZero("p99_ms", p99Ms);
      atLeastZero("last_ms", lastMs);
    }
  }

  public RunResult {
    if (format != 1) {
      throw new IllegalArgumentException("format is 1, not " + format);
    }
    named("scene", scene);
    if (relays < 1) {
      throw new IllegalArgumentException("relays is 1 or more, not " + relays);
    }
    atLeastZero("racks", racks);
    atLeastZero("units", units);
    atLeastZero("services", services);
    overZero("seconds", seconds);
    if (whyNot == null) {
      whyNot = "";
    }
    processes = List.copyOf(processes);
    links = List.copyOf(links);
    inForce = List.copyOf(inForce);
    counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    counts.forEach(
        (name, count) -> {
          named("a count's name", name);
          if (count == null) {
            throw new IllegalArgumentException("count " + name + " is null");
          }
          atLeastZero("count " + name, count);
        });
  }

  /** Reads one result; the exception's line names the place and what is wrong. */
  public static RunResult parse(String text) throws BadTextException {
    return Json.read(text, new TypeReference<RunResult>() {});
  }

  static void named(String field, String name) {
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException(field + " must not be empty");
    }
  }

  static void atLeastZero(String field, double value) {
    if (!(value >= 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + " is 0 or more, not " + value);
    }
  }

  static void overZero(String field, double value) {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(field + " is over 0, not " + value);
    }
  }
}
