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
 * Sends the steps of rollouts to one target by signed webhooks, in order and at least once. A step
 * is sent after the previous one was accepted, or was given up and written to the dead-letter file.
 * Has its own thread and bounded queue, and never delays the controller.
 */
final class WebhookOutbox implements AutoCloseable {
  /**
   * The receiver of the webhooks.
   *
   * @param secret the secret that signs the webhooks
   * @param retryTimeout how long a step is retried before it becomes a dead letter
   */
  record Target(String name, URI url, byte[] secret, Duration retryTimeout) {}

  private record Message(long sequence, String body) {}

  private static final int MAX_QUEUED_STEPS = 10_000;
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

  /**
   * Creates an outbox; {@link #start} begins to send.
   *
   * @param onDelivered receives, on the outbox's thread, the sequence number of each step that need
   *     not be sent again
   * @param onError receives a message for the log for each step that was given up
   */
  WebhookOutbox(
      Target target, Path deadLetters, LongConsumer onDelivered, Consumer<String> onError) {
    this.target = target;
    this.deadLetters = deadLetters;
    this.onDelivered = onDelivered;
    this.onError = onError;
    thread = new Thread(this::run, "outbox-" + target.name);
    thread.setDaemon(true);
  }

  /** Begins to send. */
  void start() {
    thread.start();
  }

  /**
   * Queues a step. If the queue is full, its oldest step becomes a dead letter. May be called from
   * any thread.
   */
  void add(Rollout rollout, Rollout.Transition step) {
    ObjectNode body =
        Json.object()
            .put("type", "release.changed")
            .put("sequence", step.sequence())
            .put("build", rollout.build)
            .put("artifact", rollout.artifact)
            .put("standing", step.state().name().toLowerCase(Locale.ROOT))
            .put("stage", step.stage())
            .put("cause", step.cause())
            .put("at", Instant.ofEpochMilli(step.wallMs()).toString());
    Message dropped = null;
    synchronized (queue) {
      if (queue.size() >= MAX_QUEUED_STEPS) {
        dropped = queue.poll();
      }
      queue.add(new Message(step.sequence(), body.toString()));
      queue.notifyAll();
    }
    if (dropped != null) {
      writeDeadLetter(dropped, "the queue is full");
    }
  }

  /** The number of queued steps. */
  int size() {
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
      // the controller ends: queued steps are sent after the next start
    }
  }

  private void deliver(Message message) throws InterruptedException {
    long deadline = System.nanoTime() + target.retryTimeout.toNanos();
    long backoffMs = INITIAL_BACKOFF_MS;
    for (String reason = send(message); reason != null; reason = send(message)) {
      if (System.nanoTime() - deadline > 0) {
        writeDeadLetter(message, reason);
        return;
      }
      Thread.sleep(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
  }

  /**
   * Sends a message once. Returns null if the target accepted it, else the reason of the failure.
   */
  private String send(Message message) throws InterruptedException {
    String id = "step-" + message.sequence;
    long now = System.currentTimeMillis() / 1000;
    byte[] body = message.body.getBytes(StandardCharsets.UTF_8);
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

  private void writeDeadLetter(Message message, String reason) {
    String description =
        "step " + message.sequence + " was not accepted by " + target.name + " (" + reason + ")";
    try {
      Files.writeString(
          deadLetters, message.body + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      onError.accept(description + "; written to the dead-letter file " + deadLetters);
    } catch (IOException e) {
      onError.accept(
          description
              + " and cannot be written to the dead-letter file "
              + deadLetters
              + " ("
              + e.getMessage()
              + "): "
              + message.body);
    }
  }

  /** Ends the thread; queued steps are sent after the next start. */
  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
