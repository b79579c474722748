package sprucerock.rehearsal.invariant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Result;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Stop;
import sprucerock.transport.wire.v1.Work;

/**
 * Holds one run of one relay against the rules that it keeps alone (1, 2, 3 and 5), by what crossed
 * its links in order. An answer is matched to its RPC by the client's id, a pick to its RPC by the
 * body, which passes unchanged.
 */
final class RelayJudge {
  private static final class Rpc {
    Line call;
    long deadlineUs;
    int method;
    long key;
    Line ended;
    boolean answered;
    final List<Pick> attempts = new ArrayList<>();
  }

  private static final class Pick {
    Line work;
    Rpc rpc;
    Listed endpoint;
    long endsUs;
    Result result;
    boolean stopped;
    boolean cut;
  }

  /** A unit as the relay's list had it. */
  private static final class Listed {
    long id;
    Entry entry;
    boolean leaving;
    Line toldLeaving;
  }

  private record At(long us, int method, int build) {}

  private final Rules rules;
  private final List<Finding> findings;
  private final Set<String> arrived;
  private final Map<String, Rpc> open = new LinkedHashMap<>();
  private final Map<String, Rpc> byMark = new HashMap<>();
  private final Map<String, Pick> attempts = new HashMap<>();
  private final Map<Long, Listed> endpoints = new HashMap<>();
  private final Deque<At> taken = new ArrayDeque<>();
  private final Deque<At> tried = new ArrayDeque<>();
  private final Map<Long, Integer> keys = new HashMap<>();
  private final Deque<long[]> stalls = new ArrayDeque<>();
  private News news;
  private double capBefore;
  private long loweredUs = Long.MIN_VALUE / 2;
  private Line last;
  private boolean finished;

  /**
   * {@code arrived}: body and unit of each pick that reached a unit, as the units' traces have it.
   */
  RelayJudge(Rules rules, Set<String> arrived, List<Finding> findings) {
    this.rules = rules;
    this.arrived = arrived;
    this.findings = findings;
  }

  void judge(List<Line> lines) {
    // all of them first: what the loop does once it moves again stands before the note that it
    // stood still
    for (Line line : lines) {
      if (line.isNote("STALL")) {
        stalls.add(new long[] {line.us(), Long.parseLong(line.text())});
      }
    }
    for (Line line : lines) {
      last = line;
      if (line.isNote("END")) {
        finished = true;
      } else if (line.way() == 'x') {
        closed(line);
      } else if (line.is('<', FrameKind.CALL)) {
        call(line, line.head(Call.getDefaultInstance()));
      } else if (line.is('<', FrameKind.LEAVE)) {
        leave(line, line.head(Leave.getDefaultInstance()));
      } else if (line.is('>', FrameKind.ANSWER)) {
        answer(line, line.head(Answer.getDefaultInstance()));
      } else if (line.is('>', FrameKind.WORK)) {
        work(line, line.head(Work.getDefaultInstance()));
      } else if (line.is('<', FrameKind.DONE)) {
        done(line, line.head(Done.getDefaultInstance()));
      } else if (line.is('>', FrameKind.STOP)) {
        stop(line, line.head(Stop.getDefaultInstance()));
      } else if (line.is('<', FrameKind.LISTING)) {
        listing(line, line.head(Listing.getDefaultInstance()));
      } else if (line.is('<', FrameKind.NEWS)) {
        news(line, line.head(News.getDefaultInstance()));
      }
    }
    for (Rpc rpc : open.values()) {
      boolean due =
          rpc.deadlineUs + rules.slackUs() + stalledSince(rpc.call.us(), last.us()) < last.us();
      if (due || finished) {
        broken(
            1,
            "no answer came, "
                + (due ? "and its deadline is past" : "and the relay ended in good order"),
            rpc.call,
            last);
      }
    }
  }

  private void broken(int rule, String what, Line... frames) {
    findings.add(new Finding(rule, what, List.of(frames)));
  }

  private static String at(Line line, long id) {
    return line.connection() + "/" + Long.toUnsignedString(id);
  }

  private void call(Line line, Call call) {
    Rpc rpc = new Rpc();
    rpc.call = line;
    rpc.method = call.getMethod();
    rpc.key = call.getKey();
    rpc.deadlineUs = line.us() + call.getLeftUs();
    if (call.getMethod() >= rules.methods().size()) {
      return; // answered at the door; nothing to judge it by
    }
    open.put(at(line, call.getId()), rpc);
    byMark.put(line.mark(), rpc);
    taken.add(new At(line.us(), rpc.method, 0));
  }

  private void leave(Line line, Leave leave) {
    Rpc rpc = open.remove(at(line, leave.getId()));
    if (rpc != null) {
      rpc.ended = line;
    }
  }

  private void closed(Line line) {
    String connection = line.connection() + "/";
    open.entrySet()
        .removeIf(
            entry -> {
              if (!entry.getKey().startsWith(connection)) {
                return false;
              }
              entry.getValue().ended = line;
              return true;
            });
    attempts.forEach(
        (key, attempt) -> {
          if (key.startsWith(connection) && attempt.result == null) {
            attempt.cut = true;
          }
        });
  }

  private void answer(Line line, Answer answer) {
    Rpc rpc = open.remove(at(line, answer.getId()));
    if (rpc == null) {
      broken(1, "an answer to no open RPC: a second one, or after its client left", line);
      return;
    }
    rpc.ended = line;
    rpc.answered = true;
    long lateUs = line.us() - rpc.deadlineUs - rules.slackUs();
    if (lateUs > stalledSince(rpc.call.us(), line.us())) {
      broken(1, "answered " + lateUs / 1000.0 + " ms past its deadline and slack", rpc.call, line);
    }
    if (answer.getEnding() == Ending.OK) {
      if (rpc.attempts.stream().noneMatch(attempt -> attempt.result == Result.DONE)) {
        broken(1, "told ok, and no unit had said so", rpc.call, line);
      }
    } else if (answer.getEnding() == Ending.PUSHED_BACK) {
      Rules.Method method = rules.methods().get(rpc.method);
      Pick ran = firstThatMayHaveRun(rpc);
      boolean harmless = method.idempotent() || method.tokened() && method.group().equals("all");
      if (ran != null && !harmless) {
        broken(2, "pushed back, though a pick may have run", rpc.call, ran.work, line);
      }
    } else if (answer.getEnding() != Ending.ABORTED) {
      broken(1, "an answer that is none: " + answer.getEnding(), rpc.call, line);
    }
  }

  /**
   * How long the loop was held up in that time: what it answered late then is no choice of the
   * relay's.
   */
  private long stalledSince(long fromUs, long toUs) {
    long sum = 0;
    for (long[] stall : stalls) {
      sum += Math.max(0, Math.min(stall[0], toUs) - Math.max(stall[0] - stall[1], fromUs));
    }
    return sum;
  }

  private boolean mayHaveRun(Pick attempt) {
    if (attempt.result == Result.FULL) {
      return false;
    }
    // cut off before it left proves that it did not run: then no unit has seen it
    return !attempt.cut || arrived.contains(attempt.work.mark() + "@" + attempt.endpoint.id);
  }

  private Pick firstThatMayHaveRun(Rpc rpc) {
    for (Pick attempt : rpc.attempts) {
      if (mayHaveRun(attempt)) {
        return attempt;
      }
    }
    return null;
  }

  private void work(Line line, Work work) {
    long id = endpointOf(line);
    Rpc rpc = byMark.get(line.mark());
    Listed endpoint = endpoints.get(id);
    if (rpc == null) {
      broken(1, "a pick for no RPC that was taken", line);
      return;
    }
    if (endpoint == null) {
      broken(3, "sent to a unit that no list had named", line);
      return;
    }
    if (rpc.ended != null) {
      broken(1, "sent after the RPC had ended", rpc.call, rpc.ended, line);
    }
    repeat(line, rpc, endpoint);
    if (endpoint.leaving && line.us() - endpoint.toldLeaving.us() > rules.drainGraceUs()) {
      broken(
          3,
          "sent "
              + (line.us() - endpoint.toldLeaving.us()) / 1000.0
              + " ms after the relay was told that the unit leaves",
          endpoint.toldLeaving,
          line);
    }
    exposure(line, rpc, endpoint);
    Pick attempt = new Pick();
    attempt.work = line;
    attempt.rpc = rpc;
    attempt.endpoint = endpoint;
    attempt.endsUs = line.us() + work.getLeftUs();
    rpc.attempts.add(attempt);
    attempts.put(at(line, work.getId()), attempt);
    if (rpc.attempts.size() > rules.attempts()) {
      broken(2, "more picks than are allowed", rpc.call, line);
    }
  }

  private static long endpointOf(Line line) {
    return line.other().startsWith("UNIT-") ? Long.parseLong(line.other().substring(5)) : -1;
  }

  private void repeat(Line line, Rpc rpc, Listed endpoint) {
    if (!rules.secondCopies()) {
      for (Pick attempt : rpc.attempts) {
        boolean out =
            attempt.result == null
                && !attempt.cut
                && !attempt.stopped
                && attempt.endsUs > line.us();
        if (out) {
          broken(2, "two picks out at once", attempt.work, line);
        }
      }
    }
    Pick ran = firstThatMayHaveRun(rpc);
    Rules.Method method = rules.methods().get(rpc.method);
    if (ran == null || method.idempotent()) {
      return;
    }
    if (!method.tokened()) {
      broken(2, "sent again, though a pick may have run", ran.work, line);
      return;
    }
    boolean inGroup =
        switch (method.group()) {
          case "zone" -> ran.endpoint.entry.getZone() == endpoint.entry.getZone();
          case "cell" -> ran.endpoint.entry.getCell() == endpoint.entry.getCell();
          default -> true;
        };
    if (!inGroup) {
      broken(2, "repeated outside its " + method.group(), ran.work, line);
    }
    if (line.us() - ran.work.us() > method.windowUs()) {
      broken(2, "repeated past its window", ran.work, line);
    }
  }

  private void exposure(Line line, Rpc rpc, Listed endpoint) {
    int build = endpoint.entry.getBuild();
    if (news == null) {
      return; // nobody has said yet which build is on trial
    }
    boolean newest = build == news.getBuild();
    Integer bound = rpc.key == 0 || !rules.oneWay() ? null : keys.get(rpc.key);
    boolean binds =
        bound != null
            && bound == news.getBuild()
            && (news.getStanding() == Stand.ON_TRIAL || news.getStanding() == Stand.RELEASED);
    if (binds && build < bound) {
      broken(5, "its key belongs to build " + bound + " already", rpc.call, line);
    }
    if (build < news.getBuild() || newest && news.getStanding() == Stand.RELEASED) {
      return;
    }
    long graceEnds = loweredUs + rules.drainGraceUs();
    boolean inGrace = newest && line.us() < graceEnds;
    double cap =
        !newest
            ? rules.caps().get(0)
            : inGrace ? Math.max(capBefore, news.getCap()) : news.getCap();
    long from = line.us() - rules.countedOverUs();
    if (newest && !inGrace) {
      from = Math.max(from, graceEnds);
    }
    int stage = newest ? news.getStage() : 0;
    boolean guarded = stage < rules.guarded() && !rules.methods().get(rpc.method).idempotent();
    if (guarded) {
      broken(5, "a method with an effect in a stage closed to such", rpc.call, line);
    }
    tried.add(new At(line.us(), rpc.method, build));
    if (cap <= 0) {
      broken(5, "sent to build " + build + " whose cap is 0", line);
      return;
    }
    long since = from;
    long count =
        tried.stream()
            .filter(
                one ->
                    one.us > since
                        && one.build == build
                        && (!rules.byMethod() || one.method == rpc.method))
            .count();
    // a pick may have waited for a connection since its RPC was counted
    long arrivals =
        taken.stream()
            .filter(
                one ->
                    one.us > since - rules.waitUs()
                        && (!rules.byMethod() || one.method == rpc.method))
            .count();
    if (count > rules.free() + cap * arrivals + 1e-6) {
      broken(
          5,
          count
              + " picks at build "
              + build
              + ", allowed are "
              + rules.free()
              + " + "
              + cap
              + " x "
              + arrivals,
          line);
    }
    while (taken.size() > 1
        && taken.peek().us < line.us() - rules.countedOverUs() - rules.waitUs()) {
      taken.poll();
    }
    while (tried.size() > 1 && tried.peek().us < line.us() - rules.countedOverUs()) {
      tried.poll();
    }
  }

  private void done(Line line, Done done) {
    Pick attempt = attempts.get(at(line, done.getId()));
    if (attempt == null) {
      return; // a unit's fault, not the relay's
    }
    attempt.result = done.getResult();
    boolean binds =
        news != null
            && attempt.endpoint.entry.getBuild() == news.getBuild()
            && attempt.rpc.key != 0;
    if (binds && done.getResult() == Result.DONE) {
      keys.put(attempt.rpc.key, attempt.endpoint.entry.getBuild());
    }
  }

  private void stop(Line line, Stop stop) {
    Pick attempt = attempts.get(at(line, stop.getId()));
    if (attempt != null) {
      attempt.stopped = true;
    }
  }

  private void listing(Line line, Listing listing) {
    if (listing.getForm() != Form.WHOLE && listing.getForm() != Form.CHANGES) {
      return;
    }
    List<Long> named = new ArrayList<>();
    for (Entry entry : listing.getEntriesList()) {
      named.add(entry.getUnit());
      Listed known = endpoints.get(entry.getUnit());
      if (entry.getHealth() == Health.READY) {
        Listed endpoint = new Listed();
        endpoint.id = entry.getUnit();
        endpoint.entry = entry;
        endpoints.put(entry.getUnit(), endpoint);
      } else if (known != null) {
        leaves(known, line);
      }
    }
    if (listing.getForm() != Form.WHOLE) {
      return;
    }
    for (Listed endpoint : endpoints.values()) {
      if (!named.contains(endpoint.id)) {
        leaves(endpoint, line);
      }
    }
  }

  private static void leaves(Listed endpoint, Line line) {
    if (!endpoint.leaving) {
      endpoint.toldLeaving = line;
    }
    endpoint.leaving = true;
  }

  private void news(Line line, News told) {
    boolean same = news != null && news.getBuild() == told.getBuild();
    if (same && told.getCap() < news.getCap()) {
      capBefore = news.getCap();
      loweredUs = line.us();
    } else if (!same) {
      loweredUs = Long.MIN_VALUE / 2;
    }
    boolean callsBack =
        told.getStanding() == Stand.GOING_BACK || told.getStanding() == Stand.WITHDRAWN;
    if (!same || callsBack) {
      keys.clear();
    }
    news = told;
  }
}
