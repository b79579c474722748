package sprucerock.accounting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.HdrHistogram.Histogram;
import sprucerock.metrics.MetricsFileWriter;
import sprucerock.metrics.MetricsSnapshot;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.relay.frames.RecordingRelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Tests that the sums of the accounts hold after each event, whatever the order of events, with
 * late, duplicate and missing events, and across crashes.
 */
class RequestTrackerProperties {
  private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

  /**
   * An event of the tracker.
   *
   * @param kind which method of the tracker is called
   * @param subject selects the RPC or attempt
   * @param variant selects the endpoint, method or outcome
   * @param afterMs the time since the previous event
   */
  record Event(int kind, int subject, int variant, double afterMs) {}

  @Provide
  Arbitrary<Event> events() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 9),
            Arbitraries.integers().between(0, 1000),
            Arbitraries.integers().between(0, 40),
            Arbitraries.doubles().between(0, 400))
        .as(Event::new);
  }

  /** One incarnation of a relay, reduced to its tracker and accounts. */
  private static final class Incarnation {
    final MethodAccounts accounts =
        new MethodAccounts(List.of("read", "pay"), new MethodAccounts.Capacity(2, 3, 2));
    final RequestTracker tracker;
    final List<Method> methods = new ArrayList<>();
    final List<Rpc> rpcs = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    Timestamp now = Timestamp.ofMs(1000);
    long lastId;

    Incarnation() {
      Settings.Draft draft = new Settings.Draft();
      for (int i = 0; i < 2; i++) {
        methods.add(
            new Method(
                i,
                Method.Idempotency.IDEMPOTENT,
                Method.KeyScope.ALL,
                TimeSpan.ofMs(100),
                TimeSpan.ZERO,
                1,
                false));
        draft.methods.add(methods.get(i));
      }
      tracker = new RequestTracker(new Settings(draft), accounts);
      tracker.setListener(new RecordingRelayEvents());
      listEndpoint(0);
    }

    private Endpoint listEndpoint(int id) {
      return tracker.endpointListed(id, 0, 0, 0, 1 + id % 4, null, 1, true);
    }

    void apply(Event event) {
      now = now.plus(TimeSpan.ofMs(event.afterMs));
      Rpc rpc = rpcs.isEmpty() ? null : rpcs.get(event.subject % rpcs.size());
      Attempt attempt = attempts.isEmpty() ? null : attempts.get(event.subject % attempts.size());
      switch (event.kind) {
        case 0, 1 ->
            rpcs.add(
                tracker.rpcArrived(
                    ++lastId,
                    methods.get(event.variant % 2),
                    event.subject % 5,
                    0,
                    now,
                    now.plus(TimeSpan.ofMs(300)),
                    null,
                    null));
        case 2 -> listEndpoint(event.variant % 6);
        case 3 -> tracker.endpointRemoved(event.variant % 6);
        case 4 -> {
          if (rpc != null) {
            tracker.rpcRejected(rpc);
          }
        }
        case 5 -> {
          if (rpc != null) {
            tracker.rpcAborted(rpc);
          }
        }
        case 6 -> {
          if (rpc != null) {
            tracker.clientDisconnected(rpc);
          }
        }
        case 7 -> {
          Endpoint endpoint = tracker.endpoint(event.variant % 6);
          if (rpc == null || rpc.ended() || endpoint == null) {
            break;
          }
          Attempt sentAttempt = new Attempt(rpc, endpoint, now, null);
          sentAttempt.shadow = event.variant % 3 == 0;
          attempts.add(sentAttempt);
          tracker.attemptSent(sentAttempt);
        }
        default -> {
          // The events include late ends and repeated ends of an attempt.
          if (attempt == null) {
            break;
          }
          AttemptOutcome outcome = OUTCOMES[event.variant % OUTCOMES.length];
          tracker.attemptEnded(
              attempt,
              outcome,
              now.since(attempt.sentAt),
              attempt.rpc.ended() || outcome == AttemptOutcome.OK);
        }
      }
    }

    void assertSumsHold() {
      assertEquals(accounts.check(), List.of());
      assertEquals(accounts.sum(accounts.rpcs, accounts.rpcs.pendingColumn()), tracker.openRpcs());
      long inFlight = attempts.stream().filter(attempt -> attempt.outcome() == null).count();
      assertEquals(accounts.sum(accounts.attempts, accounts.attempts.pendingColumn()), inFlight);
      long shadows =
          attempts.stream().filter(attempt -> attempt.outcome() == null && attempt.shadow).count();
      assertEquals(
          accounts.sum(accounts.shadowAttempts, accounts.shadowAttempts.pendingColumn()), shadows);
    }
  }

  @Property(seed = "20261201", tries = 400, shrinking = ShrinkingMode.BOUNDED)
  void sumsHoldAfterEachStep(@ForAll("eventLists") List<Event> events) {
    Incarnation incarnation = new Incarnation();
    for (Event event : events) {
      incarnation.apply(event);
      incarnation.assertSumsHold();
    }
  }

  @Provide
  Arbitrary<List<Event>> eventLists() {
    return events().list().ofMinSize(1).ofMaxSize(200);
  }

  /**
   * Each incarnation ends in the middle of a loop iteration; the next incarnation continues from
   * the last commit.
   */
  @Property(seed = "20261202", tries = 60, shrinking = ShrinkingMode.BOUNDED)
  void sumsHoldThroughRepeatedCrashes(
      @ForAll("eventLists") List<Event> events,
      @ForAll @Size(max = 12) List<@DoubleRange(min = 0, max = 1) Double> crashes)
      throws Exception {
    Path file = Files.createTempDirectory("incarnations").resolve("r.figures");
    long taken = 0;
    long lost = 0;
    long open = 0;
    for (int number = 0; number <= crashes.size(); number++) {
      Incarnation incarnation = new Incarnation();
      MetricsFileWriter.open(
          file,
          incarnation.accounts,
          () -> {},
          line -> {
            throw new AssertionError(line);
          });
      assertEquals(incarnation.accounts.sum(incarnation.accounts.rpcs, 0), taken);
      lost += open;
      assertEquals(
          incarnation.accounts.sum(
              incarnation.accounts.rpcs, incarnation.accounts.rpcs.lostColumn()),
          lost);
      int eventCount =
          number < crashes.size() ? (int) (crashes.get(number) * events.size()) : events.size();
      for (int i = 0; i < eventCount; i++) {
        incarnation.apply(events.get(i));
        if (i % 7 == 6) {
          incarnation.accounts.commit();
        }
      }
      MetricsSnapshot snapshot = MetricsSnapshot.read(file);
      MethodAccounts snapshotAccounts = snapshot.accounts();
      assertEquals(snapshotAccounts.check(snapshot.values), List.of());
      taken = 0;
      open = 0;
      for (int row = 0; row < snapshotAccounts.rpcs.rowCount(); row++) {
        taken += snapshot.values[snapshotAccounts.rpcs.index(row, 0)];
        open +=
            snapshot
                .values[snapshotAccounts.rpcs.index(row, snapshotAccounts.rpcs.pendingColumn())];
      }
    }
    Files.delete(file);
    Files.delete(file.getParent());
  }

  /** Latencies of one bucket must be equivalent in HdrHistogram too. */
  @Property(seed = "20261203", tries = 5000)
  void bucketsAreThoseOfHdrHistogram(@ForAll @DoubleRange(min = 0, max = 67_000) double ms) {
    Histogram hdrHistogram = HistogramBuckets.histogram();
    long us = (long) (ms * 1000);
    int bucket = HistogramBuckets.bucket(TimeSpan.ofMs(us / 1000.0));
    assertEquals(
        HistogramBuckets.lowerBoundUs(bucket),
        hdrHistogram.lowestEquivalentValue(HistogramBuckets.lowerBoundUs(bucket)));
    // The conversion from milliseconds to whole microseconds may lose 1 us.
    long slackUs = 1;
    assertTrue(us + slackUs >= HistogramBuckets.lowerBoundUs(bucket), us + " in " + bucket);
    assertTrue(
        bucket == HistogramBuckets.BUCKET_COUNT - 1
            || us - slackUs < HistogramBuckets.lowerBoundUs(bucket + 1),
        us + " in " + bucket);
    hdrHistogram.recordValue(us);
    assertTrue(hdrHistogram.getMaxValue() - us <= Math.max(16, us / 16), "6% at most");
  }
}
