package sprucerock.rehearsal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sprucerock.figures.Snapshot;
import sprucerock.ledger.Accounts;
import sprucerock.trace.Line;
import sprucerock.wire.Kind;
import sprucerock.wire.v1.Answer;
import sprucerock.wire.v1.Call;
import sprucerock.wire.v1.Ending;
import sprucerock.wire.v1.Leave;

/**
 * Holds each relay's figures against what crossed its links, to the last RPC, through all its lives. The two are kept apart:
 * the ledger posts what it was told, the trace has the frames. A turn's frames are written down just before its postings
 * count, so a kill may leave the frames of its last turn without postings, and never the reverse.
 */
final class SecondBook {
    /** A line that was held against another. */
    record Entry(String what, long figures, long frames, long cutOff, boolean holds) {
        @Override
        public String toString() {
            return what + " " + figures + ", crossed " + frames + (holds && cutOff > 0 ? ", " + cutOff + " in turns that a kill cut off" : "")
                + (holds ? "" : ": DIFFERS");
        }
    }

    private static final long LAST_TURN_US = 20_000; // a turn is far shorter; kills are seconds apart

    private SecondBook() {}

    /** Relay by relay; a relay without figures differs. */
    static List<Entry> hold(Path folder, int relay) throws IOException {
        Snapshot snapshot;
        Accounts accounts;
        try {
            snapshot = Snapshot.read(folder.resolve("relay-" + relay + ".figures"));
            accounts = snapshot.accounts();
        } catch (Snapshot.BadFileException e) {
            return List.of(new Entry(e.getMessage(), 0, 1, 0, false));
        }
        long[] calls = new long[2];
        long[] ok = new long[2];
        long[] back = new long[2];
        long[] aborted = new long[2];
        long[] works = new long[2];
        long[] votes = new long[2];
        long[] told = new long[2];
        long[] left = new long[2];
        for (int run = 1; Files.exists(folder.resolve("relay-" + relay + "." + run + ".trace")); run++) {
            List<Line> lines = Line.read(folder.resolve("relay-" + relay + "." + run + ".trace"));
            boolean ended = lines.stream().anyMatch(line -> line.isNote("END"));
            long cutFrom = ended || lines.isEmpty() ? Long.MAX_VALUE : lines.get(lines.size() - 1).us() - LAST_TURN_US;
            Set<String> open = new HashSet<>();
            for (Line line : lines) {
                int late = line.us() >= cutFrom ? 1 : 0;
                if (line.is('<', Kind.CALL)) {
                    add(calls, late);
                    open.add(line.link() + "/" + line.head(Call.getDefaultInstance()).getId());
                } else if (line.is('<', Kind.LEAVE)) {
                    // one whose answer was on its way already leaves nothing
                    if (open.remove(line.link() + "/" + line.head(Leave.getDefaultInstance()).getId())) add(left, late);
                } else if (line.way() == 'x') {
                    String link = line.link() + "/";
                    for (String one : List.copyOf(open)) if (one.startsWith(link) && open.remove(one)) add(left, late);
                }
                if (line.is('>', Kind.WORK)) add(works, late);
                else if (line.is('>', Kind.VOTE)) add(votes, late);
                else if (line.is('>', Kind.TOLD)) add(told, late);
                else if (line.is('>', Kind.ANSWER)) {
                    Answer answer = line.head(Answer.getDefaultInstance());
                    Ending ending = answer.getEnding();
                    open.remove(line.link() + "/" + answer.getId());
                    add(ending == Ending.OK ? ok : ending == Ending.PUSHED_BACK ? back : aborted, late);
                }
            }
        }
        long[] v = snapshot.values;
        List<Entry> found = new ArrayList<>();
        found.add(same("calls received", v[accounts.calls.index(0, 0)], calls));
        found.add(same("answered ok", sum(accounts, v, 1), ok));
        found.add(same("pushed back or turned away", sum(accounts, v, 2) + v[accounts.calls.index(0, 2)], back));
        found.add(same("aborted or refused", sum(accounts, v, 3) + v[accounts.calls.index(0, 3)], aborted));
        found.add(same("messages sent", v[accounts.messages.index(0, 1)], told));
        long sent = 0;
        long unsent = 0;
        for (int row = 0; row < accounts.picks.rows(); row++) {
            sent += v[accounts.picks.index(row, 0)];
            for (int column : new int[] {5, 8, accounts.picks.lost()}) unsent += v[accounts.picks.index(row, column)];
        }
        // a pick that found no connection, or was moot, may never have become a frame; every other one did
        boolean picks = works[0] <= sent + works[1] && sent - unsent <= works[0];
        found.add(new Entry("picks sent, " + unsent + " of them perhaps without a connection", sent, works[0], works[1], picks));
        long cast = v[accounts.votes.index(0, 0)];
        long unanswered = v[accounts.votes.index(0, 5)] + v[accounts.votes.index(0, accounts.votes.lost())];
        found.add(new Entry("votes cast, " + unanswered + " of them unanswered", cast, votes[0], votes[1],
            votes[0] <= cast + votes[1] && cast - unanswered <= votes[0]));
        found.add(same("RPCs whose clients left, by frame or with their links", sum(accounts, v, 4), left));
        for (Accounts.Drift drift : accounts.check(v)) found.add(new Entry(drift.toString(), drift.left(), drift.right(), 0, false));
        return found;
    }

    private static void add(long[] count, int late) {
        count[0]++;
        count[1] += late;
    }

    private static long sum(Accounts accounts, long[] values, int column) {
        long sum = 0;
        for (int row = 0; row < accounts.rpcs.rows(); row++) sum += values[accounts.rpcs.index(row, column)];
        return sum;
    }

    private static Entry same(String what, long figures, long[] frames) {
        long missing = frames[0] - figures;
        return new Entry(what, figures, frames[0], Math.max(0, missing), missing >= 0 && missing <= frames[1]);
    }
}
