package sprucerock.rehearsal.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Ending;

/**
 * Reads from a day's traces how service recovered after each fault: when it was full again, what
 * was lost, which activity peaked where. Not thread-safe.
 */
public final class RecoveryMeter {
  /** A method's latency objective in milliseconds and its priority weight. */
  public record Method(double latencyObjectiveMs, double weight) {}

  /**
   * How service recovered from a fault.
   *
   * @param eventMicros when the fault began
   * @param description the faults of that time, as the day script names them
   * @param fullS seconds to full service; empty if it did not return
   * @param lostS worth not served in the ten seconds from the event, in seconds of the level before
   * @param calls sent in those ten seconds, {@code again} of them for an RPC that had been sent
   *     before
   */
  public record Recovery(
      long eventMicros,
      String description,
      OptionalDouble secondsToFullService,
      double lostSeconds,
      int calls,
      int retries,
      List<Peaks.Peak> peaks) {
    @Override
    public String toString() {
      StringBuilder text =
          new StringBuilder(
              String.format(
                  Locale.ROOT,
                  "%s; %.2f s of service lost, %d of %d calls sent again; most in 0.1 s:",
                  secondsToFullService.isPresent()
                      ? String.format(
                          Locale.ROOT,
                          "full service after %.1f s",
                          secondsToFullService.getAsDouble())
                      : "no full service before the day's end",
                  lostSeconds,
                  retries,
                  calls));
      for (Peaks.Peak one : peaks) {
        text.append(' ')
            .append(one.count())
            .append(' ')
            .append(one.activity())
            .append(" at ")
            .append(one.place())
            .append(',');
      }
      text.setCharAt(text.length() - 1, ';');
      return text.append(' ').append(description).toString();
    }
  }

  private static final long WINDOW_MICROS =
      10_000_000; // as long as the slowest start of a relay, and what follows from it

  private record OpenCall(int method, long firstMicros) {}

  private record SentCall(long micros, boolean retry) {}

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MS = 1000;

  private final List<Method> methods;
  private final ServedWeight service = new ServedWeight();
  private final Peaks peaks = new Peaks();
  private final Map<String, OpenCall> openCalls = new HashMap<>();
  private final Map<String, Long> firstSent = new HashMap<>();
  private final List<SentCall> calls = new ArrayList<>();
  private final TreeMap<Long, String> faults = new TreeMap<>();

  /**
   * A meter that has read nothing.
   *
   * @param methods in the order of their numbers in the traces
   */
  public RecoveryMeter(List<Method> methods) {
    this.methods = List.copyOf(methods);
  }

  /** Reads the next line of a trace; lines of one place come in order, places in any. */
  public void accept(Line line) {
    if (line.isNote("TROUBLE") && concernsProcesses(line.text())) {
      faults.merge(line.us(), line.text(), (a, b) -> a + "; " + b);
    }
    String place = line.place();
    if (place.startsWith("client-")) {
      if (line.is('>', FrameKind.CALL)) {
        sent(line);
      } else if (line.is('<', FrameKind.ANSWER)) {
        answered(line);
      }
      return;
    }
    if (line.is('<', FrameKind.HELLO)) {
      peaks.record("new connections", place, line.us());
    } else if (line.is('<', FrameKind.WATCH)) {
      peaks.record("lists asked for", place, line.us());
    } else if (line.is('<', FrameKind.WORK)) {
      peaks.record("picks", place, line.us());
    } else if (line.is('>', FrameKind.VOTE)) {
      peaks.record("votes sent", place, line.us());
    } else if (line.is('<', FrameKind.TOLD)) {
      peaks.record("messages", place, line.us());
    }
  }

  /** Whether a fault ends processes or stops them: other faults are reported elsewhere. */
  private static boolean concernsProcesses(String words) {
    boolean process =
        words.startsWith("relay")
            || words.startsWith("controller")
            || words.startsWith("agent")
            || words.startsWith("ways");
    return process && !words.contains(" busy ");
  }

  private void sent(Line line) {
    Call call = line.head(Call.getDefaultInstance());
    String rpc = line.place() + " " + call.getToken(); // the same in each of its calls
    boolean retry = firstSent.putIfAbsent(rpc, line.us()) != null;
    calls.add(new SentCall(line.us(), retry));
    openCalls.put(
        line.place() + " " + call.getId(), new OpenCall(call.getMethod(), firstSent.get(rpc)));
  }

  private void answered(Line line) {
    Answer answer = line.head(Answer.getDefaultInstance());
    OpenCall call = openCalls.remove(line.place() + " " + answer.getId());
    if (call == null || answer.getEnding() != Ending.OK) {
      return;
    }
    Method method = methods.get(call.method());
    if (line.us() - call.firstMicros() <= method.latencyObjectiveMs() * MICROS_PER_MS) {
      service.record(line.us(), method.weight());
    }
  }

  /** One recovery for each time at which processes had a fault, in order of time. */
  public List<Recovery> recoveries() {
    List<Recovery> recoveries = new ArrayList<>();
    faults.forEach(
        (micros, description) -> {
          List<SentCall> callsInWindow =
              calls.stream()
                  .filter(call -> call.micros() >= micros && call.micros() < micros + WINDOW_MICROS)
                  .toList();
          recoveries.add(
              new Recovery(
                  micros,
                  description,
                  service.secondsToFullService(micros),
                  service.lostSeconds(micros, WINDOW_MICROS / MICROS_PER_SECOND),
                  callsInWindow.size(),
                  (int) callsInWindow.stream().filter(SentCall::retry).count(),
                  peaks.between(micros, micros + WINDOW_MICROS)));
        });
    return recoveries;
  }
}
