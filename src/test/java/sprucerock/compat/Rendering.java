package sprucerock.compat;

import java.net.InetSocketAddress;
import java.util.List;
import sprucerock.config.LeaseConfig;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;

/**
 * Values that were read, one "key=value" a line. Keys are given by the test, so that no Java name
 * gets into the text.
 */
public final class Rendering {
  private static final String ABSENT = "absent";

  private final StringBuilder text = new StringBuilder();

  /** A value whose own text is its rendering: a number, a flag, a text. */
  public Rendering put(String key, Object value) {
    text.append(key).append('=').append(value == null ? ABSENT : value).append('\n');
    return this;
  }

  /** A length of time, in milliseconds. */
  public Rendering put(String key, TimeSpan value) {
    return put(key, value == null ? ABSENT : value.ms() + "ms");
  }

  /** An address with its port. */
  public Rendering put(String key, InetSocketAddress value) {
    return put(
        key, value == null ? ABSENT : value.getAddress().getHostAddress() + ":" + value.getPort());
  }

  /** The settings of the module, which every form of configuration fills. */
  public Rendering putSettings(String key, Settings settings) {
    for (Method method : settings.methods) {
      putMethod(key + "method." + method.index + ".", method);
    }
    put(key + "customer-shares", settings.tenantShares)
        .put(key + "caps", settings.exposureCaps)
        .put(key + "over-share-worth", settings.overQuotaWeight);
    put(key + "relays", settings.relayCount)
        .put(key + "index", settings.relayIndex)
        .put(key + "zone", settings.zone)
        .put(key + "tick", settings.maxTimerDelay);
    put(key + "ask", settings.pollsEndpointList)
        .put(key + "ask-within", settings.maxEndpointListAge)
        .put(key + "cold", settings.warmUp);
    put(key + "start-capacity", settings.initialCapacityShare)
        .put(key + "tip-multiple", settings.warmUpOverloadMultiple)
        .put(key + "tip-after", settings.warmUpOverloadTolerance);
    put(key + "free-picks", settings.uncappedCanaryAttempts)
        .put(key + "cap-by-method", settings.capsPerMethod)
        .put(key + "guarded-stages", settings.guardedStages);
    put(key + "one-way-keys", settings.oneWayKeys)
        .put(key + "picks", settings.maxAttempts)
        .put(key + "second-copies", settings.hedgingAllowed);
    put(key + "cancel", settings.cancellationAllowed)
        .put(key + "peers", settings.gossipAllowed)
        .put(key + "retry-after", settings.retryAfterAllowed);
    put(key + "most-retry-after", settings.maxRetryAfter)
        .put(key + "control", control(settings.control))
        .put(key + "vote-life", settings.voteLifetime);
    put(key + "answer-within", settings.controllerCallTimeout)
        .put(key + "counts-every", settings.fleetCountsPeriod)
        .put(key + "idle", settings.idleTimeout);
    return put(key + "most-utility", settings.maxPriorityWeight)
        .put(key + "mean-soft-ms", settings.meanLatencyObjectiveMs);
  }

  private void putMethod(String key, Method method) {
    put(key + "effect", effect(method.idempotency))
        .put(key + "group", group(method.keyScope))
        .put(key + "soft-deadline", method.latencyObjective);
    put(key + "window", method.keyLifetime)
        .put(key + "utility", method.priorityWeight)
        .put(key + "stream", method.stream);
  }

  private static String effect(Method.Idempotency effect) {
    return switch (effect) {
      case IDEMPOTENT -> "idempotent";
      case KEYED -> "tokened";
      case NONE -> "non-idempotent";
    };
  }

  private static String group(Method.KeyScope group) {
    return switch (group) {
      case ALL -> "all";
      case ZONE -> "zone";
      case CELL -> "cell";
    };
  }

  private static String control(Settings.Control control) {
    return switch (control) {
      case SINGLE -> "single";
      case MAJORITY -> "majority";
      case CLOCKED -> "clocked";
    };
  }

  /** The leases of a process. */
  public Rendering putLeases(String key, LeaseConfig leases) {
    if (leases == null) {
      return put(key, (Object) null);
    }
    List<InetSocketAddress> granters = leases.grantors();
    for (int i = 0; i < granters.size(); i++) {
      put(key + ".granter." + i, granters.get(i));
    }
    put(key + ".me", leases.memberNumber())
        .put(key + ".grants", leases.grantorNumber())
        .put(key + ".listen", leases.listen())
        .put(key + ".term", leases.term());
    put(key + ".longest", leases.maxTerm())
        .put(key + ".drift", leases.drift())
        .put(key + ".most", leases.maxConnections());
    return put(key + ".looks-every", leases.healthCheckInterval())
        .put(key + ".fit-every", leases.hardwareFitInterval());
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
