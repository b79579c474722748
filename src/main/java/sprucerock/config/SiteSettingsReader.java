package sprucerock.config;

import java.util.Locale;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;

/** Reads the element {@code site}: what the decisions of a relay are made by. */
final class SiteSettingsReader {
  private static final int MAX_METHODS = 256;
  private static final int MAX_TENANTS = 10_000;
  private static final int MAX_STAGES = 100;
  private static final TimeSpan MIN_TICK = TimeSpan.ofMs(0.1);
  private static final TimeSpan MIN_LATENCY_OBJECTIVE = TimeSpan.ofMs(1);

  private SiteSettingsReader() {}

  /**
   * Reads and checks the settings of a site.
   *
   * @param relayNumber of the relay that reads them, 0 for the first
   */
  static Settings.Draft read(XmlElement site, int relayNumber) throws ConfigException {
    final Settings.Draft draft = new Settings.Draft();
    requireAtMost(site, "method", MAX_METHODS);
    requireAtMost(site, "customer", MAX_TENANTS);
    requireAtMost(site, "stage", MAX_STAGES);
    for (XmlElement method : site.children("method")) {
      draft.methods.add(method(method, draft.methods.size()));
    }
    for (XmlElement tenant : site.children("customer")) {
      draft.tenantShares.add(tenant.number("share"));
    }
    for (XmlElement stage : site.children("stage")) {
      draft.exposureCaps.add(stage.number("cap"));
    }
    draft.zone = site.count("zone");
    if (site.has("over-share-worth")) {
      draft.overQuotaWeight = site.number("over-share-worth");
    }
    draft.maxTimerDelay = site.span("tick");
    site.requireAtLeast("tick", MIN_TICK);
    draft.pollsEndpointList = site.flag("ask");
    draft.maxEndpointListAge = site.span("ask-within");
    readRules(site.child("rules"), draft);
    readAllowed(site.child("allowed"), draft);
    readVotes(site.child("votes"), draft);
    draft.relayIndex = relayNumber;
    draft.relayCount = site.count("relays");
    return draft;
  }

  private static void readRules(XmlElement rules, Settings.Draft draft) throws ConfigException {
    draft.warmUp = rules.span("cold");
    draft.initialCapacityShare = rules.number("start-capacity");
    draft.warmUpOverloadTolerance = rules.span("tip-after");
    draft.warmUpOverloadMultiple = rules.number("tip-multiple");
    draft.capsPerMethod = rules.flag("cap-by-method");
    draft.uncappedCanaryAttempts = rules.number("free-picks");
    if (!(draft.uncappedCanaryAttempts >= 0) || !(draft.warmUpOverloadMultiple > 0)) {
      throw rules.invalid("free-picks: 0 or more; tip-multiple: above 0");
    }
    if (rules.has("guarded-stages")) {
      draft.guardedStages = rules.count("guarded-stages");
    }
    if (rules.has("one-way-keys")) {
      draft.oneWayKeys = rules.flag("one-way-keys");
    }
  }

  private static void readAllowed(XmlElement allowed, Settings.Draft draft) {
    draft.maxAttempts = allowed.count("picks");
    draft.hedgingAllowed = allowed.flag("second-copies");
    draft.cancellationAllowed = allowed.flag("cancel");
    draft.gossipAllowed = allowed.flag("peers");
    draft.retryAfterAllowed = allowed.flag("retry-after");
    draft.maxRetryAfter = allowed.span("most-retry-after");
  }

  private static void readVotes(XmlElement votes, Settings.Draft draft) {
    draft.control = Settings.Control.valueOf(votes.text("control").toUpperCase(Locale.ROOT));
    draft.voteLifetime = votes.span("life");
    draft.controllerCallTimeout = votes.span("answer-within");
    if (votes.has("counts-every")) {
      draft.fleetCountsPeriod = votes.span("counts-every");
    }
  }

  private static void requireAtMost(XmlElement element, String child, int max)
      throws ConfigException {
    int count = element.children(child).size();
    if (count > max) {
      throw element.invalid(count + " of " + child + ", allowed are " + max);
    }
  }

  private static Method method(XmlElement method, int index) throws ConfigException {
    Method.Idempotency effect = effect(method);
    boolean keyed = effect == Method.Idempotency.KEYED;
    if (keyed != method.has("window") || (!keyed && method.has("group"))) {
      throw method.invalid("window is for tokened methods, which need it; group for them alone");
    }
    TimeSpan latencyObjective = method.span("soft-deadline");
    if (latencyObjective.over(method.span("deadline"))) {
      throw method.invalid("soft-deadline is at most the deadline, " + method.text("deadline"));
    }
    method.requireAtLeast("soft-deadline", MIN_LATENCY_OBJECTIVE);
    if (!(method.number("utility") > 0)) {
      throw method.invalid("utility is above 0, not " + method.text("utility"));
    }
    return new Method(
        index,
        effect,
        group(method),
        latencyObjective,
        keyed ? method.span("window") : TimeSpan.ZERO,
        method.number("utility"),
        false);
  }

  private static Method.Idempotency effect(XmlElement method) {
    return switch (method.text("effect")) {
      case "idempotent" -> Method.Idempotency.IDEMPOTENT;
      case "tokened" -> Method.Idempotency.KEYED;
      default -> Method.Idempotency.NONE;
    };
  }

  private static Method.KeyScope group(XmlElement method) {
    if (!method.has("group")) {
      return Method.KeyScope.ALL;
    }
    return switch (method.text("group")) {
      case "zone" -> Method.KeyScope.ZONE;
      case "cell" -> Method.KeyScope.CELL;
      default -> Method.KeyScope.ALL;
    };
  }
}
