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
 * Reads from a day's traces how it came back after each thing that befell it: when all was served
 * again, what was lost, what came to whom at once. It asks no process how it fared, and knows
 * neither relays' insides nor the rules of the judge.
 */
public final class RecoveryMeter {
  /** A method's soft deadline and utility, in the order of the relays' list. */
  public record Method(double latencyObjectiveMs, double weight) {}

  /**
   * How the day came back from an event.
   *
   * @param fullS seconds to full service; empty where it did not come
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

  private static final long LOOK_US = 10_000_000;

  // as long as the slowest start of a relay, and what it brings with it

  private record Sent(int method, long firstUs) {}

  private record Called(long us, boolean again) {}

  private final List<Method> methods;
  private final ServedWeight service = new ServedWeight();
  private final Peaks peaks = new Peaks();
  private final Map<String, Sent> open = new HashMap<>();
  private final Map<String, Long> firstSent = new HashMap<>();
  private final List<Called> calls = new ArrayList<>();
  private final TreeMap<Long, String> events = new TreeMap<>();

  public RecoveryMeter(List<Method> methods) {
    this.methods = List.copyOf(methods);
  }

  /** The next line of a trace; lines of one place come in their order, places in any. */
  public void accept(Line line) {
    if (line.isNote("TROUBLE") && befallsProcesses(line.text())) {
      events.merge(line.us(), line.text(), (a, b) -> a + "; " + b);
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

  /**
   * Whether a day's line ends processes or stops them: what else befalls a day has a report of its
   * own.
   */
  private static boolean befallsProcesses(String words) {
    boolean process =
        words.startsWith("relay")
            || words.startsWith("controller")
            || words.startsWith("agent")
            || words.startsWith("ways");
    return process && !words.contains(" busy ");
  }

  private void sent(Line line) {
    Call call = line.head(Call.getDefaultInstance());
    String rpc = line.place() + " " + call.getToken();
    // the same in each of its calls
    boolean again = firstSent.putIfAbsent(rpc, line.us()) != null;
    calls.add(new Called(line.us(), again));
    open.put(line.place() + " " + call.getId(), new Sent(call.getMethod(), firstSent.get(rpc)));
  }

  private void answered(Line line) {
    Answer answer = line.head(Answer.getDefaultInstance());
    Sent sent = open.remove(line.place() + " " + answer.getId());
    if (sent == null || answer.getEnding() != Ending.OK) {
      return;
    }
    Method method = methods.get(sent.method());
    if (line.us() - sent.firstUs() <= method.latencyObjectiveMs() * 1000) {
      service.record(line.us(), method.weight());
    }
  }

  /** One for each time at which something befell processes, in the day's order. */
  public List<Recovery> recoveries() {
    List<Recovery> found = new ArrayList<>();
    events.forEach(
        (us, words) -> {
          List<Called> meanwhile =
              calls.stream().filter(one -> one.us() >= us && one.us() < us + LOOK_US).toList();
          found.add(
              new Recovery(
                  us,
                  words,
                  service.secondsToFullService(us),
                  service.lostSeconds(us, LOOK_US / 1e6),
                  meanwhile.size(),
                  (int) meanwhile.stream().filter(Called::again).count(),
                  peaks.between(us, us + LOOK_US)));
        });
    return found;
  }
}
