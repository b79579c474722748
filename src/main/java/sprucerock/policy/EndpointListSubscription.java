package sprucerock.policy;

import sprucerock.model.Settings;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Decides when to ask discovery for the endpoint list. */
final class EndpointListSubscription {
  private final RelayActions actions;
  private final Settings settings;
  private final DeterministicRandom random;
  private Timestamp subscribedAt;

  EndpointListSubscription(RelayActions actions, Settings settings, DeterministicRandom random) {
    this.actions = actions;
    this.settings = settings;
    this.random = random;
  }

  void start() {
    if (settings.pollsEndpointList) {
      subscribe();
    }
  }

  /**
   * Subscribes again after a random pause of 0.5 to 1 s, so that an overloaded discovery recovers.
   */
  void listFailed() {
    actions.schedule(actions.now().plus(TimeSpan.ofMs(500 + 500 * random.next())), this::subscribe);
  }

  /** Polls the list again at half its maximum age, if the settings say that relays poll it. */
  void pollIfDue(Timestamp now) {
    if (settings.pollsEndpointList
        && now.since(subscribedAt).over(settings.maxEndpointListAge.times(0.5))) {
      subscribe();
    }
  }

  private void subscribe() {
    subscribedAt = actions.now();
    actions.subscribe();
  }
}
