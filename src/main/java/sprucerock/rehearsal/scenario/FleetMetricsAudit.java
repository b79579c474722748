package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.rehearsal.fake.Counts;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Result;

/**
 * Adds up all relays of a rehearsal and holds them against what clients and units counted for
 * themselves. Where the two differ, each class that explains it is counted by itself, from traces
 * or by whoever caused it, and all of them together have to be the difference: there is no rest.
 */
public final class FleetMetricsAudit {
  /** Where a rehearsal leaves its stand-ins' own counts. */
  static final String COUNTS = "standins.counts";

  /** One side's figure beside another's, and what lies between. */
  public record Entry(
      String left, long leftCount, String right, long rightCount, Map<String, Long> classes) {
    /** What no class explains. */
    public long unexplained() {
      return leftCount - rightCount - classes.values().stream().mapToLong(Long::longValue).sum();
    }
  }

  private final Map<String, Counts> places;
  private final Counts clients = new Counts();
  private final Counts endpoints = new Counts();
  private final List<MetricsSnapshot> relays = new ArrayList<>();
  private final List<MethodAccounts> accounts = new ArrayList<>();
  private final Map<String, Long> cutOff = new HashMap<>();
  private final List<Entry> entries = new ArrayList<>();

  // frames that went out and have not come in, by who they were between and what they were
  private final Map<String, Long> worksOut = new HashMap<>();
  private final Map<String, Long> resultsOut = new HashMap<>();
  private final Map<String, Fate> calls = new HashMap<>();

  /** What the traces say of one RPC: its client's, then its relay's. */
  private static final class Fate {
    boolean received;
    boolean answered;
    boolean left;
    Ending ending;
    boolean came;
  }

  private FleetMetricsAudit(Path folder) throws IOException {
    places = Counts.read(folder.resolve(COUNTS));
    places.forEach(
        (place, counts) -> (place.startsWith("client-") ? clients : endpoints).plus(counts));
  }

  /**
   * Reads a folder as a rehearsal leaves it.
   *
   * @throws IOException if something in it is missing or can't be read; the message says what
   */
  public static List<Entry> hold(Path folder) throws IOException {
    FleetMetricsAudit book = new FleetMetricsAudit(folder);
    for (int i = 0; Files.exists(folder.resolve("relay-" + i + ".xml")); i++) {
      book.relay(folder, i);
    }
    if (book.relays.isEmpty()) {
      throw new IOException(folder + ": no relay-0.xml; name a folder that a rehearsal left");
    }
    book.standIns(Line.read(folder.resolve("standins.trace")));
    for (int i = 0; i < book.relays.size(); i++) {
      for (Path trace : RelayProcess.traces(folder, i)) {
        book.relayTrace(i, Line.read(trace));
      }
    }
    book.calls();
    book.answers();
    book.unanswered();
    book.picks();
    book.results();
    return book.entries;
  }

  private void relay(Path folder, int number) throws IOException {
    try {
      MetricsSnapshot snapshot =
          MetricsSnapshot.read(folder.resolve("relay-" + number + ".figures"));
      relays.add(snapshot);
      accounts.add(snapshot.accounts());
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IOException(e.getMessage());
    }
    // frames of turns that a kill cut off before their postings counted, within bounds that the
    // second book checks
    for (TraceMetricsAudit.Entry entry : TraceMetricsAudit.hold(folder, number)) {
      if (entry.holds()) {
        cutOff.merge(entry.what(), entry.cutOff(), Long::sum);
      }
    }
  }

  // What the traces say.

  private void standIns(List<Line> lines) {
    for (Line line : lines) {
      boolean client = line.place().startsWith("client-");
      if (client && line.is('>', FrameKind.CALL)) {
        calls.put(call(line.place(), line.head(Call.getDefaultInstance()).getId()), new Fate());
      }
      if (client && line.is('<', FrameKind.ANSWER)) {
        Fate fate = calls.get(call(line.place(), line.head(Answer.getDefaultInstance()).getId()));
        if (fate != null) {
          fate.came = true;
        }
      }
      if (!line.place().startsWith("unit-")) {
        continue;
      }
      if (line.is('<', FrameKind.WORK)) {
        worksOut.merge(work(line.other(), line.place(), line.mark()), -1L, Long::sum);
      }
      if (line.is('>', FrameKind.DONE)) {
        resultsOut.merge(done(line.other(), line.place(), line), 1L, Long::sum);
      }
    }
  }

  private static String call(String client, long id) {
    return client.toLowerCase(Locale.ROOT) + "/" + id;
  }

  private static String work(String relay, String endpoint, String mark) {
    return relay.toLowerCase(Locale.ROOT)
        + " to "
        + endpoint.toLowerCase(Locale.ROOT)
        + ": "
        + mark;
  }

  private static String done(String relay, String endpoint, Line line) {
    return line.head(Done.getDefaultInstance()).getResult()
        + " "
        + relay.toLowerCase(Locale.ROOT)
        + " from "
        + endpoint.toLowerCase(Locale.ROOT);
  }

  private void relayTrace(int relay, List<Line> lines) {
    Map<String, List<Fate>> openOn = new HashMap<>();
    String name = "relay-" + relay;
    for (Line line : lines) {
      if (line.is('>', FrameKind.WORK)) {
        worksOut.merge(work(name, line.other(), line.mark()), 1L, Long::sum);
      } else if (line.is('<', FrameKind.DONE)) {
        resultsOut.merge(done(name, line.other(), line), -1L, Long::sum);
      } else if (line.is('<', FrameKind.CALL)) {
        Fate fate = calls.get(call(line.other(), line.head(Call.getDefaultInstance()).getId()));
        if (fate == null) {
          continue; // no client's: its counts will not add up
        }
        fate.received = true;
        openOn.computeIfAbsent(line.connection() + "", key -> new ArrayList<>()).add(fate);
      } else if (line.is('>', FrameKind.ANSWER)) {
        Answer answer = line.head(Answer.getDefaultInstance());
        Fate fate = calls.get(call(line.other(), answer.getId()));
        if (fate == null) {
          continue;
        }
        fate.answered = true;
        fate.ending = answer.getEnding();
      } else if (line.is('<', FrameKind.LEAVE)) {
        Fate fate = calls.get(call(line.other(), line.head(Leave.getDefaultInstance()).getId()));
        if (fate != null) {
          fate.left = true;
        }
      } else if (line.way() == 'x') {
        for (Fate fate : openOn.getOrDefault(line.connection() + "", List.of())) {
          if (!fate.answered) {
            fate.left = true;
          }
        }
      }
    }
  }

  // What is held against what.

  private long figures(Function<MethodAccounts, MetricsSheet> sheet, int column) {
    long sum = 0;
    for (int i = 0; i < relays.size(); i++) {
      sum += TraceMetricsAudit.sum(sheet.apply(accounts.get(i)), relays.get(i).values, column);
    }
    return sum;
  }

  private long cutOff(String what) {
    return cutOff.getOrDefault(what, 0L);
  }

  private long fates(Predicate<Fate> which) {
    return calls.values().stream().filter(which).count();
  }

  private void entry(
      String left, long leftCount, String right, long rightCount, Object... classes) {
    Map<String, Long> found = new LinkedHashMap<>();
    for (int i = 0; i < classes.length; i += 2) {
      found.put((String) classes[i], (Long) classes[i + 1]);
    }
    entries.add(new Entry(left, leftCount, right, rightCount, found));
  }

  private void calls() {
    entry(
        "clients: RPCs sent",
        clients.of("sent"),
        "relays: calls received",
        figures(one -> one.calls, 0),
        "cut off on the way: the connection ended before the relay read them",
        fates(fate -> !fate.received),
        "read in a turn that a kill cut off",
        cutOff(TraceMetricsAudit.CALLS));
    entry(
        "clients: RPCs sent",
        clients.of("sent"),
        "their own ends of them",
        clients.all("answered_"),
        "left",
        clients.of("left"),
        "given up",
        clients.of("given_up"),
        "connection ended",
        clients.of("link_ended"),
        "open",
        clients.of("open"));
  }

  private void answers() {
    answers(Ending.OK, figures(one -> one.rpcs, 1), TraceMetricsAudit.OK);
    answers(
        Ending.PUSHED_BACK,
        figures(one -> one.rpcs, 2) + figures(one -> one.calls, 2),
        TraceMetricsAudit.BACK);
    answers(
        Ending.ABORTED,
        figures(one -> one.rpcs, 3) + figures(one -> one.calls, 3),
        TraceMetricsAudit.ABORTED);
  }

  private void answers(Ending ending, long given, String cut) {
    entry(
        "relays: " + cut,
        given,
        "clients: answered so",
        clients.of("answered_" + ending),
        "answer dropped: the connection ended before the client read it",
        fates(fate -> fate.ending == ending && !fate.came),
        "came after the client had left or given up",
        clients.of("late_" + ending),
        "given in a turn that a kill cut off (less)",
        -cutOff(cut));
  }

  private void unanswered() {
    long lateOnes = clients.all("late_");
    entry(
        "clients: RPCs without an answer in time",
        clients.of("left") + clients.of("given_up") + clients.of("link_ended") + clients.of("open"),
        "whose answer came late",
        lateOnes,
        "cut off on the way",
        fates(fate -> !fate.received),
        "answer dropped with the connection",
        fates(fate -> fate.received && fate.answered && !fate.came),
        "the relay saw the client go",
        fates(fate -> fate.received && !fate.answered && !fate.came && fate.left),
        "lost with a relay",
        fates(fate -> fate.received && !fate.answered && !fate.came && !fate.left));
    entry(
        "traces: RPCs open when a relay was cut off",
        fates(fate -> fate.received && !fate.answered && !fate.left),
        "relays: lost or open",
        figures(one -> one.rpcs, accounts.get(0).rpcs.lostColumn())
            + figures(one -> one.rpcs, accounts.get(0).rpcs.pendingColumn()),
        "whose last turn a kill cut off",
        cutOff(TraceMetricsAudit.CALLS)
            - cutOff(TraceMetricsAudit.OK)
            - cutOff(TraceMetricsAudit.BACK)
            - cutOff(TraceMetricsAudit.ABORTED)
            - cutOff(TraceMetricsAudit.LEFT));
  }

  private void picks() {
    entry(
        "relays: picks sent",
        figures(one -> one.attempts, 0),
        "relays: picks written to a connection",
        figures(one -> one.frames, 1),
        "ended before there was a connection",
        figures(one -> one.frames, 2),
        "lost with a relay while waiting for one",
        figures(one -> one.frames, accounts.get(0).frames.lostColumn()),
        "waiting for one",
        figures(one -> one.frames, accounts.get(0).frames.pendingColumn()));
    entry(
        "relays: picks written to a connection",
        figures(one -> one.frames, 1),
        "units: picks that came",
        endpoints.of("came"),
        "cut off on the way: the connection ended before the unit read them",
        worksOut.values().stream().mapToLong(Long::longValue).sum(),
        "written in a turn that a kill cut off (less)",
        -cutOff(TraceMetricsAudit.WORKS));
    entry(
        "units: picks that came",
        endpoints.of("came"),
        "units: results made",
        endpoints.all("made_"),
        "lost on the way in",
        endpoints.of("lost_on_way"),
        "came when it was down",
        endpoints.of("came_when_down"),
        "never begun: nobody waited any more",
        endpoints.of("never_begun"),
        "lost with the unit",
        endpoints.of("killed"),
        "held",
        endpoints.of("held"));
  }

  private void results() {
    result(Result.DONE, 1, TraceMetricsAudit.DONE);
    result(Result.ERROR, 2, TraceMetricsAudit.ERROR);
    result(Result.FULL, 3, TraceMetricsAudit.FULL);
  }

  private void result(Result result, int column, String cut) {
    long missing =
        resultsOut.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith(result + " "))
            .mapToLong(Map.Entry::getValue)
            .sum();
    entry(
        "units: " + cut,
        endpoints.of("made_" + result),
        "relays: picks ended so",
        figures(one -> one.attempts, column),
        "answer dropped by the unit",
        endpoints.of("dropped_" + result),
        "lost on a bad link",
        endpoints.of("lost_on_link_" + result),
        "its connection had ended",
        endpoints.of("link_gone_" + result),
        "sent as rubbish",
        endpoints.of("rubbish_" + result),
        "cut off on the way: the connection ended before the relay read it",
        missing,
        "late: the pick had ended",
        figures(one -> one.lateResults, column),
        "read in a turn that a kill cut off",
        cutOff(cut));
  }

  /** For people; what is zero is left out. */
  public static String table(List<Entry> entries) {
    StringBuilder text = new StringBuilder();
    for (Entry entry : entries) {
      text.append(String.format(Locale.ROOT, "  %-48s %9d%n", entry.left, entry.leftCount));
      text.append(String.format(Locale.ROOT, "  %-48s %9d%n", entry.right, entry.rightCount));
      entry.classes.forEach(
          (what, many) -> {
            if (many != 0) {
              text.append(String.format(Locale.ROOT, "    %+9d  %s%n", many, what));
            }
          });
      if (entry.unexplained() != 0) {
        text.append(String.format(Locale.ROOT, "    %+9d  UNEXPLAINED%n", entry.unexplained()));
      }
    }
    return text.toString();
  }
}
