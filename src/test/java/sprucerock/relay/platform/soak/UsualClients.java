package sprucerock.relay.platform.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients in good order: they ask at a mean rate, hold on to their connections, and open more once
 * all are busy. Where a used connection closes under a request it is asked once more on a new one.
 */
final class UsualClients {
  /** A third of 1,024 descriptors, nearly. */
  private static final int MAX_OPEN = 120;

  /** What the pages forgive behind a deadline: half a second, and 50 ms on sockets. */
  static final int LATE_ANSWER_MS = 550;

  private final SoakPlan plan;
  private final String idPrefix;
  private final Random random;
  private final ArrayDeque<PgClient> idle = new ArrayDeque<>();
  private final Queue<RequestEnd> ends = new ConcurrentLinkedQueue<>();
  private final Semaphore places = new Semaphore(MAX_OPEN);
  private final AtomicLong asked = new AtomicLong();
  private final OpenIds openIds;
  private final int extraWaitMs;
  private volatile int port;
  private volatile boolean stopped;

  /** {@code extraWaitMs}: how much longer than the pages say a client waits for an answer. */
  UsualClients(SoakPlan plan, String idPrefix, OpenIds openIds, int extraWaitMs) {
    this.plan = plan;
    this.idPrefix = idPrefix;
    this.openIds = openIds;
    this.extraWaitMs = extraWaitMs;
    random = new Random(plan.seed() ^ 0x5eedL);
  }

  void start(int relayPort) {
    port = relayPort;
    Background.start("usual clients", this::run);
  }

  private void run() throws InterruptedException {
    double nextMs = System.nanoTime() / 1e6;
    while (!stopped) {
      nextMs += -Math.log(1 - random.nextDouble()) * 1000 / plan.requestsPerSecond();
      double pauseMs = nextMs - System.nanoTime() / 1e6;
      if (pauseMs > 0) {
        Thread.sleep((long) pauseMs);
      }
      if (stopped || !places.tryAcquire()) {
        continue;
      }
      RequestClass requestClass =
          RequestClass.values()[random.nextInt(RequestClass.values().length)];
      String id = idPrefix + requestClass.wireName + "-" + asked.incrementAndGet();
      boolean large = random.nextDouble() < plan.largeValueShare();
      boolean leaves = random.nextDouble() < plan.leavingShare();
      Background.start(
          "usual client",
          () -> askAndRelease(id, requestClass, large ? plan.valueBytes() : 2, leaves));
    }
  }

  private void askAndRelease(String id, RequestClass requestClass, int valueBytes, boolean leaves) {
    openIds.add(id);
    try {
      if (leaves) {
        leave(id, requestClass);
      } else {
        ask(id, requestClass, valueBytes);
      }
    } catch (IOException e) {
      // no connection was made: nobody has taken the request
    } finally {
      openIds.remove(id);
      places.release();
    }
  }

  private void ask(String id, RequestClass requestClass, int valueBytes) throws IOException {
    PgClient client = take();
    boolean wasFresh = client.isFresh();
    String statement = requestClass.statement(id, plan.deadlineMs(), valueBytes);
    long waitMs = plan.deadlineMs() + LATE_ANSWER_MS + extraWaitMs;
    PgClient.Answer answer = client.ask(id, statement, waitMs);
    RequestEnd end = end(id, requestClass, answer, wasFresh);
    boolean crossed =
        answer.kind() == RequestEnd.Kind.CLOSED || answer.kind() == RequestEnd.Kind.RESET;
    if (crossed && !wasFresh) {
      client = new PgClient(port);
      end = end(id, requestClass, client.ask(id, statement, waitMs), true);
    }
    ends.add(end);
    synchronized (idle) {
      if (client.isUsable()) {
        idle.addLast(client);
      }
    }
  }

  private RequestEnd end(
      String id, RequestClass requestClass, PgClient.Answer answer, boolean fresh) {
    return new RequestEnd(
        id,
        requestClass,
        answer.kind(),
        fresh,
        answer.sentNanos(),
        answer.endedNanos(),
        plan.deadlineMs(),
        answer.detail());
  }

  private PgClient take() throws IOException {
    synchronized (idle) {
      PgClient kept = idle.pollLast();
      if (kept != null) {
        return kept;
      }
    }
    return new PgClient(port);
  }

  /** Sends a request and closes without a wait for its answer. */
  private void leave(String id, RequestClass requestClass) throws IOException {
    try (PgClient client = new PgClient(port)) {
      client.send(
          sprucerock.transport.postgres.MessageWriter.query(
              requestClass
                  .statement(id, plan.deadlineMs(), 2)
                  .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1)));
    }
    long now = System.nanoTime();
    ends.add(
        new RequestEnd(
            id, requestClass, RequestEnd.Kind.LEFT, true, now, now, plan.deadlineMs(), ""));
  }

  /** The relay serves at another port, or again. */
  void moveTo(int relayPort) {
    port = relayPort;
  }

  /** Asks nothing more, and waits until each open request has ended. */
  void finish() throws InterruptedException {
    stopped = true;
    long waitMs = 2L * (plan.deadlineMs() + LATE_ANSWER_MS + extraWaitMs) + 10_000;
    if (!places.tryAcquire(MAX_OPEN, waitMs, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException("a usual client does not end");
    }
  }

  Queue<RequestEnd> ends() {
    return ends;
  }
}
