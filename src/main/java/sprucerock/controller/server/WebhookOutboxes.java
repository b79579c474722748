package sprucerock.controller.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.controller.Rollout;
import sprucerock.controller.RolloutManager;
import sprucerock.transport.net.nio.NioLoop;

/**
 * The outboxes of all webhook targets. Tracks the last step delivered to each target. The engine
 * records the last step delivered to all of them, so that steps that some target lacks are sent
 * again after a restart.
 */
final class WebhookOutboxes implements AutoCloseable {
  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final NioLoop loop;
  private final LongConsumer onDeliveredToAll;
  private final List<WebhookOutbox> outboxes = new ArrayList<>();

  /** Sequence number of the last step delivered to each target. On the loop only. */
  private final Map<String, Long> deliveredByTarget = new TreeMap<>();

  /**
   * Creates outboxes without targets.
   *
   * @param onDeliveredToAll receives, on the loop, the sequence number of the last step that each
   *     outbox has delivered or given up
   */
  WebhookOutboxes(NioLoop loop, LongConsumer onDeliveredToAll) {
    this.loop = loop;
    this.onDeliveredToAll = onDeliveredToAll;
  }

  /** Adds the configured targets. To be called once the engine has replayed its log. */
  void addTargets(ControllerConfig config) {
    for (WebhookOutbox.Target target : config.outboxTargets) {
      outboxes.add(
          new WebhookOutbox(
              target,
              config.storeFolder.resolveSibling(
                  config.storeFolder.getFileName() + "-" + target.name() + ".dead"),
              sequence -> loop.post(() -> delivered(target.name(), sequence)),
              error -> log.error("OUTBOX {}", error)));
    }
  }

  /** Begins to send. */
  void start() {
    outboxes.forEach(WebhookOutbox::start);
  }

  /** Queues a step for every target. */
  void add(Rollout rollout, Rollout.Transition step) {
    outboxes.forEach(outbox -> outbox.add(rollout, step));
  }

  /** Queues, in order, the steps from before a restart that some target has not accepted. */
  void requeueUndelivered(RolloutManager rollouts) {
    List<Map.Entry<Rollout, Rollout.Transition>> undelivered = new ArrayList<>();
    for (Rollout rollout : rollouts.rollouts()) {
      for (Rollout.Transition step : rollout.transitions()) {
        if (step.sequence() > rollouts.webhooksDeliveredUpTo()) {
          undelivered.add(Map.entry(rollout, step));
        }
      }
    }
    undelivered.sort(Comparator.comparingLong(entry -> entry.getValue().sequence()));
    undelivered.forEach(entry -> add(entry.getKey(), entry.getValue()));
  }

  private void delivered(String target, long sequence) {
    deliveredByTarget.put(target, sequence);
    if (deliveredByTarget.size() == outboxes.size()) {
      onDeliveredToAll.accept(
          deliveredByTarget.values().stream().mapToLong(Long::longValue).min().orElse(0));
    }
  }

  /** Ends all threads; undelivered steps are sent after the next start. */
  @Override
  public void close() {
    outboxes.forEach(WebhookOutbox::close);
  }
}
