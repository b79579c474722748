package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Result;

/**
 * Holds each relay's figures against what crossed its links, to the last RPC, through all its
 * lives. The two are kept apart: the ledger posts what it was told, the trace has the frames. A
 * turn's frames are written down just before its postings count, so a kill may leave the frames of
 * its last turn without postings, and never the reverse.
 */
final class TraceMetricsAudit {
  /** A line that was held against another. */
  record Entry(String what, long figures, long frames, long cutOff, boolean holds) {
    @Override
    public String toString() {
      return what
          + " "
          + figures
          + ", crossed "
          + frames
          + (holds && cutOff > 0 ? ", " + cutOff + " in turns that a kill cut off" : "")
          + (holds ? "" : ": DIFFERS");
    }
  }

  static final String CALLS = "calls received";
  static final String OK = "answered ok";
  static final String BACK = "pushed back or turned away";
  static final String ABORTED = "aborted or refused";
  static final String WORKS = "picks written to units";
  static final String DONE = "results ok";
  static final String ERROR = "results error";
  static final String FULL = "results full";
  static final String LEFT = "RPCs whose clients left, by frame or with their links";
  private static final long LAST_TURN_US = 20_000; // a turn is far shorter; kills are seconds apart

  private TraceMetricsAudit() {}

  /** Relay by relay; a relay without figures differs. */
  static List<Entry> hold(Path folder, int relay) throws IOException {
    MetricsSnapshot snapshot;
    MethodAccounts accounts;
    try {
      snapshot = MetricsSnapshot.read(folder.resolve("relay-" + relay + ".figures"));
      accounts = snapshot.accounts();
    } catch (MetricsSnapshot.InvalidFileException e) {
      return List.of(new Entry(e.getMessage(), 0, 1, 0, false));
    }
    long[] calls = new long[2];
    long[] ok = new long[2];
    long[] back = new long[2];
    long[] aborted = new long[2];
    long[] works = new long[2];
    Map<Result, long[]> results = new EnumMap<>(Result.class);
    for (Result result : Result.values()) {
      results.put(result, new long[2]);
    }
    long[] votes = new long[2];
    long[] told = new long[2];
    long[] left = new long[2];
    for (Path trace : RelayProcess.traces(folder, relay)) {
      List<Line> lines = Line.read(trace);
      boolean ended = lines.stream().anyMatch(line -> line.isNote("END"));
      long cutFrom =
          ended || lines.isEmpty()
              ? Long.MAX_VALUE
              : lines.get(lines.size() - 1).us() - LAST_TURN_US;
      Set<String> open = new HashSet<>();
      for (Line line : lines) {
        int late = line.us() >= cutFrom ? 1 : 0;
        if (line.is('<', FrameKind.CALL)) {
          add(calls, late);
          open.add(line.connection() + "/" + line.head(Call.getDefaultInstance()).getId());
        } else if (line.is('<', FrameKind.LEAVE)) {
          // one whose answer was on its way already leaves nothing
          if (open.remove(
              line.connection() + "/" + line.head(Leave.getDefaultInstance()).getId())) {
            add(left, late);
          }
        } else if (line.way() == 'x') {
          String connection = line.connection() + "/";
          for (String one : List.copyOf(open)) {
            if (one.startsWith(connection) && open.remove(one)) {
              add(left, late);
            }
          }
        }
        if (line.is('>', FrameKind.WORK)) {
          add(works, late);
        } else if (line.is('<', FrameKind.DONE)) {
          add(results.get(line.head(Done.getDefaultInstance()).getResult()), late);
        } else if (line.is('>', FrameKind.VOTE)) {
          add(votes, late);
        } else if (line.is('>', FrameKind.TOLD)) {
          add(told, late);
        } else if (line.is('>', FrameKind.ANSWER)) {
          Answer answer = line.head(Answer.getDefaultInstance());
          Ending ending = answer.getEnding();
          open.remove(line.connection() + "/" + answer.getId());
          add(ending == Ending.OK ? ok : ending == Ending.PUSHED_BACK ? back : aborted, late);
        }
      }
    }
    long[] v = snapshot.values;
    List<Entry> found = new ArrayList<>();
    found.add(same(CALLS, v[accounts.calls.index(0, 0)], calls));
    found.add(same(OK, sum(accounts.rpcs, v, 1), ok));
    found.add(same(BACK, sum(accounts.rpcs, v, 2) + v[accounts.calls.index(0, 2)], back));
    found.add(same(ABORTED, sum(accounts.rpcs, v, 3) + v[accounts.calls.index(0, 3)], aborted));
    found.add(same("messages sent", v[accounts.messages.index(0, 1)], told));
    found.add(same(WORKS, v[accounts.frames.index(0, 1)], works));
    found.add(
        same(
            DONE,
            sum(accounts.attempts, v, 1) + v[accounts.lateResults.index(0, 1)],
            results.get(Result.DONE)));
    found.add(
        same(
            ERROR,
            sum(accounts.attempts, v, 2) + v[accounts.lateResults.index(0, 2)],
            results.get(Result.ERROR)));
    found.add(
        same(
            FULL,
            sum(accounts.attempts, v, 3) + v[accounts.lateResults.index(0, 3)],
            results.get(Result.FULL)));
    long cast = v[accounts.votes.index(0, 0)];
    long unanswered =
        v[accounts.votes.index(0, 5)] + v[accounts.votes.index(0, accounts.votes.lostColumn())];
    found.add(
        new Entry(
            "votes cast, " + unanswered + " of them unanswered",
            cast,
            votes[0],
            votes[1],
            votes[0] <= cast + votes[1] && cast - unanswered <= votes[0]));
    found.add(same(LEFT, sum(accounts.rpcs, v, 4), left));
    for (MethodAccounts.Imbalance drift : accounts.check(v)) {
      found.add(new Entry(drift.toString(), drift.left(), drift.right(), 0, false));
    }
    return found;
  }

  private static void add(long[] count, int late) {
    count[0]++;
    count[1] += late;
  }

  /** A column over all rows. */
  static long sum(MetricsSheet sheet, long[] values, int column) {
    long sum = 0;
    for (int row = 0; row < sheet.rowCount(); row++) {
      sum += values[sheet.index(row, column)];
    }
    return sum;
  }

  private static Entry same(String what, long figures, long[] frames) {
    long missing = frames[0] - figures;
    return new Entry(
        what, figures, frames[0], Math.max(0, missing), missing >= 0 && missing <= frames[1]);
  }
}
