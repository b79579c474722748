package sprucerock.rehearsal.invariant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.rehearsal.trace.Line;

/**
 * Hand-made traces: each way in which a rule can be broken is found, and clean ones pass. Times are
 * in milliseconds.
 */
public class JudgeTest {
  private static final int READ = 0;
  private static final int TOKENED = 1;
  private static final int PAY = 2;
  private static final int BY_CELL = 3;

  private final StringBuilder relay = new StringBuilder();
  private final StringBuilder others = new StringBuilder();
  private boolean secondCopies;
  private boolean oneWay;
  private boolean byMethod;
  private int guarded;
  private int lastWork;

  @BeforeMethod
  public void begin() {
    relay.setLength(0);
    others.setLength(0);
    secondCopies = true;
    oneWay = false;
    byMethod = false;
    guarded = 0;
    lastWork = 0;
    in(
        0,
        9,
        "ROSTER-0",
        "LISTING",
        "",
        "form: WHOLE entries { unit: 1 run: 1 build: 1 cell: 1 health: READY } "
            + "entries { unit: 2 run: 1 build: 1 cell: 2 health: READY } entries { unit: 3 run: 1 build: 2 cell: 1 health: READY }");
  }

  private void line(
      StringBuilder to,
      double ms,
      String place,
      int connection,
      String other,
      String way,
      String kind,
      String mark,
      String text) {
    to.append((long) (ms * 1000))
        .append('\t')
        .append(place)
        .append('\t')
        .append(connection)
        .append('\t')
        .append(other)
        .append('\t')
        .append(way)
        .append('\t')
        .append(kind)
        .append('\t')
        .append(mark.length() / 2)
        .append(':')
        .append(mark)
        .append('\t')
        .append(text)
        .append('\n');
  }

  private void in(double ms, int connection, String other, String kind, String mark, String text) {
    line(relay, ms, "relay-0", connection, other, "<", kind, mark, text);
  }

  private void out(double ms, int connection, String other, String kind, String mark, String text) {
    line(relay, ms, "relay-0", connection, other, ">", kind, mark, text);
  }

  private static String mark(int id) {
    return String.format("%032x", id);
  }

  private void call(double ms, int id, int method) {
    call(ms, id, method, 0);
  }

  private void call(double ms, int id, int method, long key) {
    in(
        ms,
        1,
        "CLIENT-5",
        "CALL",
        mark(id),
        "id: " + id + " method: " + method + " left_us: 1000000 key: " + key);
  }

  private int work(double ms, int id, int endpoint) {
    out(
        ms,
        20 + endpoint,
        "UNIT-" + endpoint,
        "WORK",
        mark(id),
        "id: " + ++lastWork + " left_us: 500000");
    return lastWork;
  }

  private void done(double ms, int work, int endpoint, String result) {
    in(ms, 20 + endpoint, "UNIT-" + endpoint, "DONE", "", "id: " + work + " result: " + result);
  }

  private void answer(double ms, int id, String ending) {
    out(ms, 1, "CLIENT-5", "ANSWER", "", "id: " + id + " ending: " + ending);
  }

  private void news(double ms, int build, int stage, String standing, double cap) {
    in(
        ms,
        8,
        "DESK-0",
        "NEWS",
        "",
        "build: " + build + " stage: " + stage + " standing: " + standing + " cap: " + cap);
  }

  private void closed(double ms, int connection, String other) {
    line(relay, ms, "relay-0", connection, other, "x", "CLOSED", "", "gone");
  }

  private void end(double ms) {
    line(relay, ms, "relay-0", 0, "-", "!", "END", "", "in good order");
  }

  private void note(double ms, String place, String name, String text) {
    line(others, ms, place, 0, "-", "!", name, "", text);
  }

  private List<Finding> judge() {
    Rules rules =
        new Rules(
            List.of(
                new Rules.Method("idempotent", "all", 0),
                new Rules.Method("tokened", "all", 400_000),
                new Rules.Method("non-idempotent", "all", 0),
                new Rules.Method("tokened", "cell", 400_000)),
            20_000,
            250_000,
            3,
            1_000_000,
            3_000_000,
            2,
            byMethod,
            guarded,
            oneWay,
            3,
            secondCopies,
            100_000,
            List.of(0.1, 0.5, 1.0));
    try {
      return InvariantChecker.judge(
              rules,
              Map.of("relay-0.1.trace", Line.parse("relay-0.1.trace", relay.toString())),
              Line.parse("standins.trace", others.toString()))
          .findings();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private void broken(int rule, String what) {
    List<Finding> findings = judge();
    assertEquals(findings.size(), 1, findings.toString());
    assertEquals(findings.get(0).rule(), rule, findings.toString());
    assertTrue(findings.get(0).what().contains(what), findings.toString());
    assertTrue(!findings.get(0).frames().isEmpty());
  }

  private void kept() {
    assertEquals(judge(), List.of());
  }

  private void served(double ms, int id, int method, int endpoint) {
    call(ms, id, method);
    done(ms + 20, work(ms + 1, id, endpoint), endpoint, "DONE");
    answer(ms + 20, id, "OK");
  }

  @Test
  public void aCleanDayPasses() {
    news(1, 1, 2, "RELEASED", 1);
    served(10, 1, READ, 1);
    call(20, 2, TOKENED);
    done(30, work(21, 2, 1), 1, "ERROR");
    done(50, work(31, 2, 2), 2, "DONE");
    answer(50, 2, "OK");
    call(60, 3, PAY);
    done(65, work(61, 3, 1), 1, "FULL");
    done(80, work(66, 3, 2), 2, "ERROR");
    answer(81, 3, "ABORTED");
    call(90, 4, PAY);
    answer(91, 4, "PUSHED_BACK");
    call(100, 5, READ);
    in(110, 1, "CLIENT-5", "LEAVE", "", "id: 5");
    call(120, 6, READ);
    closed(130, 1, "CLIENT-5");
    end(2000);
    kept();
  }

  @Test
  public void rule1NoAnswer() {
    call(10, 1, READ);
    served(1050, 2, READ, 1);
    broken(1, "its deadline is past");
  }

  @Test
  public void rule1NoAnswerBeforeAnOrderlyEnd() {
    call(10, 1, READ);
    end(20);
    broken(1, "ended in good order");
  }

  @Test
  public void anRpcOpenWhenItsRelayWasKilledIsNotOwed() {
    call(10, 1, READ);
    work(11, 1, 1);
    kept();
  }

  @Test
  public void rule1SecondAnswer() {
    served(10, 1, READ, 1);
    answer(40, 1, "ABORTED");
    broken(1, "an answer to no open RPC");
  }

  @Test
  public void rule1AnswerAfterTheClientLeft() {
    call(10, 1, READ);
    in(11, 1, "CLIENT-5", "LEAVE", "", "id: 1");
    answer(12, 1, "ABORTED");
    broken(1, "an answer to no open RPC");
  }

  @Test
  public void rule1LateAnswer() {
    call(10, 1, READ);
    answer(1031, 1, "ABORTED");
    broken(1, "past its deadline and slack");
  }

  @Test
  public void anAnswerLateByNoMoreThanItsRelayWasHeldUpIsExcused() {
    call(10, 1, READ);
    line(relay, 1060, "relay-0", 0, "-", "!", "STALL", "", "40000");
    answer(1061, 1, "ABORTED");
    kept();
  }

  @Test
  public void rule1AnswerInTheTurnAfterAStallWhoseNoteComesBehindIt() {
    call(10, 1, READ);
    answer(1060, 1, "ABORTED");
    line(relay, 1061, "relay-0", 0, "-", "!", "STALL", "", "40000");
    kept();
  }

  @Test
  public void rule1AStallOfAnotherTimeExcusesNothing() {
    line(relay, 9, "relay-0", 0, "-", "!", "STALL", "", "400000");
    call(10, 1, READ);
    answer(1060, 1, "ABORTED");
    line(relay, 1500, "relay-0", 0, "-", "!", "STALL", "", "400000");
    broken(1, "past its deadline");
  }

  @Test
  public void rule1OkThatNoUnitSaid() {
    call(10, 1, READ);
    done(20, work(11, 1, 1), 1, "ERROR");
    answer(21, 1, "OK");
    broken(1, "no unit had said so");
  }

  @Test
  public void rule1PickAfterTheEnd() {
    served(10, 1, READ, 1);
    work(50, 1, 2);
    broken(1, "sent after the RPC had ended");
  }

  @Test
  public void rule1PickForNothing() {
    work(50, 77, 2);
    broken(1, "a pick for no RPC");
  }

  @Test
  public void rule1SecondAnswerAsTheClientSawIt() {
    served(10, 1, READ, 1);
    for (int i = 0; i < 2; i++) {
      line(others, 30 + i, "client-5", 4, "RELAY-0", "<", "ANSWER", "", "id: 1 ending: OK");
    }
    broken(1, "a client got a second answer");
  }

  @Test
  public void rule2NonIdempotentAgainAfterAnError() {
    call(10, 1, PAY);
    done(20, work(11, 1, 1), 1, "ERROR");
    work(21, 1, 2);
    answer(500, 1, "ABORTED");
    broken(2, "sent again, though a pick may have run");
  }

  @Test
  public void rule2NonIdempotentPushedBackWhileItsPickIsOut() {
    call(10, 1, PAY);
    work(11, 1, 1);
    answer(500, 1, "PUSHED_BACK");
    broken(2, "pushed back, though a pick may have run");
  }

  @Test
  public void aPickCutBeforeAnyUnitSawItMayBeRepeatedAndOneThatArrivedNot() {
    call(10, 1, PAY);
    work(11, 1, 1);
    closed(12, 21, "UNIT-1");
    work(13, 1, 2);
    answer(500, 1, "ABORTED");
    kept();
    line(others, 12, "unit-1", 3, "RELAY-0", "<", "WORK", mark(1), "id: 1");
    broken(2, "sent again, though a pick may have run");
  }

  @Test
  public void rule2TokenedPastItsWindow() {
    call(10, 1, TOKENED);
    done(20, work(11, 1, 1), 1, "ERROR");
    work(412, 1, 2);
    answer(500, 1, "PUSHED_BACK");
    broken(2, "past its window");
  }

  @Test
  public void rule2TokenedOutsideItsGroup() {
    call(10, 1, BY_CELL);
    done(20, work(11, 1, 1), 1, "ERROR");
    work(21, 1, 2);
    answer(500, 1, "ABORTED");
    broken(2, "outside its cell");
  }

  @Test
  public void rule2TokenedPushedBackThatOthersMightRepeat() {
    call(10, 1, BY_CELL);
    done(20, work(11, 1, 1), 1, "ERROR");
    answer(30, 1, "PUSHED_BACK");
    broken(2, "pushed back");
  }

  @Test
  public void rule2TwoPicksOutWhereCopiesAreBarred() {
    secondCopies = false;
    call(10, 1, READ);
    work(11, 1, 1);
    work(12, 1, 2);
    answer(500, 1, "PUSHED_BACK");
    broken(2, "two picks out at once");
  }

  @Test
  public void rule2MorePicksThanAllowed() {
    call(10, 1, READ);
    for (int i = 0; i < 4; i++) {
      work(11 + i, 1, 1);
    }
    answer(500, 1, "PUSHED_BACK");
    broken(2, "more picks than are allowed");
  }

  @Test
  public void rule2EffectsThatUnitsSaw() {
    served(10, 1, PAY, 1);
    note(20, "unit-1", "EFFECT", "unit=1 method=2 body=" + "00".repeat(8) + "00000000000000aa");
    note(30, "unit-2", "EFFECT", "unit=2 method=2 body=" + "01".repeat(8) + "00000000000000aa");
    broken(2, "an effect happened twice");
  }

  @Test
  public void check6AUnitThatShowedAWrongCertificateGotAnRpc() {
    served(10, 1, READ, 1);
    note(9, "unit-1", "UNPROVEN", "unit=1 by=0");
    broken(6, "a unit that showed a wrong certificate got an RPC");
  }

  @Test
  public void rule3SentLongAfterTheDrain() {
    in(
        5,
        9,
        "ROSTER-0",
        "LISTING",
        "",
        "form: CHANGES entries { unit: 1 run: 1 build: 1 health: DRAINING }");
    served(200, 1, READ, 1);
    kept();
    served(260, 2, READ, 1);
    broken(3, "after the relay was told that the unit leaves");
  }

  @Test
  public void rule3GoneFromAWholeListAndBackAsAnotherRun() {
    in(
        5,
        9,
        "ROSTER-0",
        "LISTING",
        "",
        "form: WHOLE entries { unit: 2 run: 1 build: 1 health: READY }");
    in(
        400,
        9,
        "ROSTER-0",
        "LISTING",
        "",
        "form: CHANGES entries { unit: 1 run: 2 build: 1 health: READY }");
    served(410, 1, READ, 1);
    kept();
    served(420, 2, READ, 3);
    broken(3, "after the relay was told that the unit leaves");
  }

  @Test
  public void rule3SentToAUnitThatWasNeverListed() {
    call(10, 1, READ);
    work(11, 1, 8);
    answer(500, 1, "PUSHED_BACK");
    broken(3, "no list had named");
  }

  @Test
  public void rule4AColdUnitPushedOverByRelaysThatKnew() {
    news(1, 2, 2, "RELEASED", 1);
    served(20, 1, READ, 3);
    note(10, "unit-3", "START", "unit=3 run=1 capacity=1.0 from=0.4 lasts_us=4000000");
    for (int i = 0; i < 40; i++) {
      note(20 + i, "unit-3", "TAKEN", "unit=3 run=1 by=0 cost_us=30000");
    }
    kept();
    for (int i = 0; i < 10; i++) {
      note(70 + i, "unit-3", "TAKEN", "unit=3 run=1 by=0 cost_us=30000");
    }
    broken(4, "unit/run 3/1");
  }

  @Test
  public void loadFromRelaysThatDidNotKnowOfTheStartIsNoFaultOfTheirs() {
    served(20, 1, READ, 1);
    note(10, "unit-3", "START", "unit=3 run=9 capacity=1.0 from=0.4 lasts_us=4000000");
    for (int i = 0; i < 100; i++) {
      note(20 + i, "unit-3", "TAKEN", "unit=3 run=9 by=0 cost_us=30000");
    }
    kept();
  }

  private void trials(int count, double fromMs) {
    for (int i = 0; i < count; i++) {
      served(fromMs + 30 * i, 100 + lastWork, READ, 3);
    }
  }

  @Test
  public void rule5MoreThanTheCapAllows() {
    news(1, 2, 1, "ON_TRIAL", 0.5);
    trials(4, 10);
    kept();
    trials(1, 200);
    broken(5, "5 picks at build 2");
  }

  @Test
  public void rule5ABuildNotYetNamedCountsAsInTheFirstStage() {
    news(1, 1, 2, "RELEASED", 1);
    trials(2, 10);
    kept();
    trials(1, 200);
    broken(5, "3 picks at build 2");
  }

  @Test
  public void rule5ByMethod() {
    byMethod = true;
    news(1, 2, 1, "ON_TRIAL", 0.5);
    for (int i = 0; i < 10; i++) {
      served(10 + i, 300 + i, TOKENED, 1);
    }
    trials(5, 50);
    broken(5, "5 picks at build 2");
  }

  @Test
  public void rule5ALowerCapBindsAfterTheGraceAndCountsAnew() {
    news(1, 2, 2, "ON_TRIAL", 1);
    trials(6, 10);
    news(200, 2, 2, "GOING_BACK", 0);
    trials(1, 300);
    kept();
    trials(1, 460);
    broken(5, "whose cap is 0");
  }

  @Test
  public void rule5AStageClosedToEffects() {
    guarded = 1;
    news(1, 2, 0, "ON_TRIAL", 0.9);
    served(10, 1, READ, 3);
    kept();
    served(40, 2, PAY, 3);
    broken(5, "closed to such");
  }

  @Test
  public void rule5AKeyGoesBack() {
    oneWay = true;
    news(1, 2, 1, "ON_TRIAL", 0.5);
    call(10, 1, READ, 44);
    done(20, work(11, 1, 3), 3, "DONE");
    answer(20, 1, "OK");
    call(30, 2, READ, 45);
    done(40, work(31, 2, 1), 1, "DONE");
    answer(40, 2, "OK");
    kept();
    call(50, 3, READ, 44);
    done(60, work(51, 3, 1), 1, "DONE");
    answer(60, 3, "OK");
    broken(5, "its key belongs to build 2");
  }

  @Test
  public void aKeyIsFreeOnceItsBuildIsCalledBack() {
    oneWay = true;
    news(1, 2, 1, "ON_TRIAL", 0.5);
    call(10, 1, READ, 44);
    done(20, work(11, 1, 3), 3, "DONE");
    answer(20, 1, "OK");
    news(30, 2, 1, "GOING_BACK", 0);
    call(50, 3, READ, 44);
    done(60, work(51, 3, 1), 1, "DONE");
    answer(60, 3, "OK");
    kept();
  }

  @Test
  public void aTraceWithNothingInItProvesNothing() throws IOException {
    List<Line> none = new ArrayList<>();
    Rules rules = new Rules(List.of(), 0, 0, 1, 1, 1, 0, false, 0, false, 1, true, 0, List.of(1.0));
    assertTrue(!InvariantChecker.judge(rules, Map.of("relay-0.1.trace", none), none).kept());
  }
}
