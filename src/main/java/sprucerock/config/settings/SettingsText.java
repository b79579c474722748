package sprucerock.config.settings;

import java.util.HashMap;
import java.util.Map;
import sprucerock.model.Method;
import sprucerock.model.Settings;
import sprucerock.time.TimeSpan;

/**
 * Reads start settings as the operators write them: values under paths, such as {@code
 * permissions.cancel}; the simulator has {@code path=value}, one a line.
 */
public final class SettingsText {
  private final Map<String, String> pairs = new HashMap<>();

  private SettingsText(Map<String, String> given) {
    pairs.putAll(given);
  }

  /**
   * Reads lines of {@code path=value}; lines without {@code =} are ignored.
   *
   * @throws IllegalArgumentException naming the setting that is missing or not understood
   */
  public static Settings read(String text) {
    Map<String, String> pairs = new HashMap<>();
    for (String line : text.split("\n")) {
      int eq = line.indexOf('=');
      if (eq > 0) {
        pairs.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
      }
    }
    return read(pairs);
  }

  /**
   * Reads pairs of path and value.
   *
   * @throws IllegalArgumentException naming the setting that is missing or not understood
   */
  public static Settings read(Map<String, String> pairs) {
    return new Settings(new SettingsText(pairs).draft());
  }

  private Settings.Draft draft() {
    Settings.Draft draft = new Settings.Draft();
    draft.zone = (int) number("my_zone");
    addMethods(draft);
    addShares(draft);
    draft.overQuotaWeight = optional("over_share_worth", draft.overQuotaWeight);
    draft.maxTimerDelay = span("tick");
    draft.pollsEndpointList = text("membership_mode").equals("ask");
    draft.maxEndpointListAge = span("obligations.ask_within");
    draft.warmUp = span("obligations.cold");
    draft.initialCapacityShare = number("obligations.start_capacity");
    draft.warmUpOverloadTolerance = span("obligations.tip_after");
    draft.warmUpOverloadMultiple = number("obligations.tip_multiple");
    draft.maxAttempts = (int) number("permissions.send_cap");
    draft.hedgingAllowed = text("permissions.second_copies").equals("true");
    draft.cancellationAllowed = text("permissions.cancel").equals("true");
    draft.gossipAllowed = text("permissions.peers").equals("true");
    draft.retryAfterAllowed = text("permissions.retry_after").equals("true");
    draft.maxRetryAfter = span("permissions.max_retry_after");
    draft.control =
        switch (text("specifics.vote_mode")) {
          case "single" -> Settings.Control.SINGLE;
          case "majority" -> Settings.Control.MAJORITY;
          case "clocked" -> Settings.Control.CLOCKED;
          default ->
              throw new IllegalArgumentException(
                  "setting specifics.vote_mode is not known: " + text("specifics.vote_mode"));
        };
    for (String cap : text("specifics.caps").split(",")) {
      draft.exposureCaps.add(Double.parseDouble(cap));
    }
    draft.capsPerMethod = text("specifics.per").equals("per_lane");
    draft.uncappedCanaryAttempts = number("specifics.uncounted");
    draft.guardedStages = (int) optional("specifics.safe_only_stages", draft.guardedStages);
    draft.oneWayKeys =
        optionalText("specifics.keys_stay", Boolean.toString(draft.oneWayKeys)).equals("true");
    draft.voteLifetime = span("specifics.ballot_ttl");
    draft.controllerCallTimeout = span("specifics.call_timeout");
    draft.relayIndex = (int) number("index");
    draft.relayCount = (int) number("balancers");
    draft.fleetCountsPeriod =
        TimeSpan.ofMs(optional("specifics.sums_every", draft.fleetCountsPeriod.ms()));
    draft.idleTimeout = TimeSpan.ofMs(optional("permissions.keepalive", draft.idleTimeout.ms()));
    return draft;
  }

  private void addMethods(Settings.Draft draft) {
    for (int i = 0; i < (int) number("classes.count"); i++) {
      String at = "classes." + i + ".";
      Method.Idempotency effect =
          switch (text(at + "effect")) {
            case "read_like" -> Method.Idempotency.IDEMPOTENT;
            case "idempotency_key" -> Method.Idempotency.KEYED;
            case "non_idempotent" -> Method.Idempotency.NONE;
            default ->
                throw new IllegalArgumentException(
                    "setting " + at + "effect is not known: " + text(at + "effect"));
          };
      Method.KeyScope group =
          switch (optionalText(at + "group", "all")) {
            case "zone" -> Method.KeyScope.ZONE;
            case "cell" -> Method.KeyScope.CELL;
            default -> Method.KeyScope.ALL;
          };
      draft.methods.add(
          new Method(
              i,
              effect,
              group,
              span(at + "on_time"),
              TimeSpan.ofMs(optional(at + "window", 0)),
              number(at + "worth"),
              optionalText(at + "stream", "false").equals("true")));
    }
  }

  private void addShares(Settings.Draft draft) {
    int count = (int) optional("orgs.count", 0);
    for (int i = 0; i < count; i++) {
      draft.tenantShares.add(optional("orgs." + i + ".share", 1.0 / count));
    }
  }

  private String text(String key) {
    String value = pairs.get(key);
    if (value == null) {
      throw new IllegalArgumentException("setting " + key + " is missing");
    }
    return value;
  }

  private String optionalText(String key, String otherwise) {
    return pairs.getOrDefault(key, otherwise);
  }

  private double number(String key) {
    try {
      return Double.parseDouble(text(key));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("setting " + key + " is not a number: " + text(key));
    }
  }

  private double optional(String key, double otherwise) {
    return pairs.containsKey(key) ? number(key) : otherwise;
  }

  private TimeSpan span(String key) {
    return TimeSpan.ofMs(number(key));
  }
}
