package sprucerock.controller.server;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import sprucerock.controller.Rollout;

/**
 * Tells one listener of each step by a signed webhook, in their order, at least once each: the next
 * one goes out once the one before was taken, or was given up and written into a file of dead
 * letters. It has a thread and a bounded queue of its own and never holds the controller up.
 */
final class WebhookOutbox implements AutoCloseable {
  /** Where to, signed with what; {@code giveUp}: how long one is tried. */
  record Target(String name, URI url, byte[] secret, Duration retryTimeout) {}

  private record Message(long sequence, String body) {}

  private static final int MAX_QUEUED = 10_000;
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final long INITIAL_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 60_000;

  private final Target target;
  private final Path deadLetters;
  private final LongConsumer onDelivered;
  private final Consumer<String> onError;
  private final HttpClient http =
      HttpClient.newBuilder()
          .connectTimeout(REQUEST_TIMEOUT)
          .followRedirects(HttpClient.Redirect.NEVER)
          .build();
  private final ArrayDeque<Message> queue = new ArrayDeque<>();
  private final Thread thread;
  private volatile boolean closed;

  /** {@code done} is told, on this one's thread, of each step that need not be told again. */
  WebhookOutbox(Target target, Path deadLetters, LongConsumer done, Consumer<String> say) {
    this.target = target;
    this.deadLetters = deadLetters;
    this.onDelivered = done;
    this.onError = say;
    thread = new Thread(this::run, "outbox-" + target.name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /**
   * A step to be told. From any thread; where too many wait, the oldest one becomes a dead letter.
   */
  void add(Rollout release, Rollout.Transition step) {
    ObjectNode body =
        Json.object()
            .put("type", "release.changed")
            .put("sequence", step.sequence())
            .put("build", release.build)
            .put("artifact", release.artifact)
            .put("standing", step.state().name().toLowerCase(Locale.ROOT))
            .put("stage", step.stage())
            .put("cause", step.cause())
            .put("at", Instant.ofEpochMilli(step.wallMs()).toString());
    Message lost = null;
    synchronized (queue) {
      if (queue.size() >= MAX_QUEUED) {
        lost = queue.poll();
      }
      queue.add(new Message(step.sequence(), body.toString()));
      queue.notifyAll();
    }
    if (lost != null) {
      writeDeadLetter(lost, "too many wait");
    }
  }

  /** How many wait. */
  int waiting() {
    synchronized (queue) {
      return queue.size();
    }
  }

  private void run() {
    try {
      while (!closed) {
        Message next;
        synchronized (queue) {
          while (queue.isEmpty()) {
            queue.wait();
          }
          next = queue.peek();
        }
        deliver(next);
        synchronized (queue) {
          queue.remove(next);
        }
        onDelivered.accept(next.sequence);
      }
    } catch (InterruptedException e) {
      // the controller ends: what waits is told after the next start
    }
  }

  private void deliver(Message letter) throws InterruptedException {
    long until = System.nanoTime() + target.retryTimeout.toNanos();
    long pause = INITIAL_BACKOFF_MS;
    for (String why = send(letter); why != null; why = send(letter)) {
      if (System.nanoTime() - until > 0) {
        writeDeadLetter(letter, why);
        return;
      }
      Thread.sleep(pause);
      pause = Math.min(MAX_BACKOFF_MS, 2 * pause);
    }
  }

  /** Null once it is taken; else why not. */
  private String send(Message letter) throws InterruptedException {
    String id = "step-" + letter.sequence;
    long now = System.currentTimeMillis() / 1000;
    byte[] body = letter.body.getBytes(StandardCharsets.UTF_8);
    HttpRequest request =
        HttpRequest.newBuilder(target.url)
            .timeout(REQUEST_TIMEOUT)
            .header("Content-Type", "application/json")
            .header("webhook-id", id)
            .header("webhook-timestamp", "" + now)
            .header(
                "webhook-signature",
                Signatures.sign(Signatures.SignatureScheme.STANDARD, id, now, body, target.secret))
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
      return status >= 200 && status < 300 ? null : "status " + status;
    } catch (IOException e) {
      return e.getClass().getSimpleName();
    }
  }

  private void writeDeadLetter(Message letter, String why) {
    try {
      Files.writeString(
          deadLetters, letter.body + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      onError.accept(
          "step "
              + letter.sequence
              + " was not taken by "
              + target.name
              + " ("
              + why
              + "); it is in "
              + deadLetters);
    } catch (IOException e) {
      onError.accept(
          "step "
              + letter.sequence
              + " was not taken by "
              + target.name
              + " ("
              + why
              + "), nor by "
              + deadLetters
              + " ("
              + e.getMessage()
              + "): "
              + letter.body);
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
