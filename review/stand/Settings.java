import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A relay's configuration as DEPLOY.md gives it, with the figures of a small deployment. */
final class Settings {
  final Map<String, Object> top = new LinkedHashMap<>();
  final Map<String, Object> settings = new LinkedHashMap<>();
  final List<Map<String, Object>> classes = new ArrayList<>();

  /** The figures of the example in WIRE-sprucerock.md, which are those of jhb-orders. */
  Settings() {
    settings.put("balancers", 1);
    settings.put("classes", classes);
    settings.put("clients", map("marks_retry", true));
    settings.put("family", "rollout");
    settings.put("index", 0);
    settings.put("kinds", List.of("fast-4core", "std-4core"));
    settings.put("layer", 0);
    settings.put("membership_mode", "push");
    settings.put("my_zone", 0);
    settings.put(
        "obligations",
        map(
            "answer_slack", 20.0, "ask_within", 10000.0, "cold", 3900.0, "drain_grace", 500.0,
            "start_capacity", 0.36, "tip_after", 1000.0, "tip_multiple", 3.0));
    settings.put("orgs", List.of());
    settings.put("over_share_worth", 0.1);
    settings.put(
        "permissions",
        map(
            "cancel", true, "connect_timeout", 250.0, "keepalive", 30000.0, "max_open", 20000,
            "max_retry_after", 500.0, "multiplex", 1, "peers", false, "probes", false,
            "retry_after", true, "second_copies", true, "send_cap", 5));
    settings.put(
        "specifics",
        map(
            "api_rate", 200.0, "auto_after", 0.0, "bake", 2000.0, "ballot_ttl", 4000.0,
            "call_timeout", 2000.0, "caps", List.of(0.1, 0.4, 1.0, 1.0), "complaint_share", 0.15,
            "counted_over", 3000.0, "delay_price", 0.5, "harm_price", 3.0, "keys_stay", false,
            "noes_needed", 1, "per", "all", "push", 4000.0, "safe_only_stages", 0, "sample", 0.4,
            "shares", List.of(0.05, 0.2, 0.5, 1.0), "style", "side_by_side", "sums_every", 2000.0,
            "to_advance", 1, "uncounted", 3.0, "vote_mode", "single", "votes_to_hold", 0,
            "warm_keys", false));
    settings.put("telemetry", map("how", "off", "names", List.of()));
    settings.put("tick", 5.0);
    settings.put("tiers", List.of("order-fleet"));
    settings.put("weight_kind", "rough");
    settings.put("worth_by", "request");
    settings.put("zones", List.of("braamfontein-dc"));
    top.put("limits", map("cores", 1.0, "memory_mb", 192, "sockets", 1024));
    top.put("seed", "8c1f30d27a5be964");
    top.put("settings", settings);
  }

  void addClass(String name, String effect, double aim, double deadline, double worth) {
    classes.add(
        map(
            "effect", effect, "group", "all", "hard_limit", deadline, "late_share", 0.0, "name",
            name, "on_time", aim, "stream", false, "window", deadline, "worth", worth));
  }

  /** The three classes of jhb-orders. */
  Settings usualClasses() {
    addClass("menu-read", "read_like", 1500, 6000, 2);
    addClass("order-place", "idempotency_key", 1200, 4000, 5);
    addClass("vendor-payout", "non_idempotent", 2000, 5000, 3);
    return this;
  }

  @SuppressWarnings("unchecked")
  void set(String group, String name, Object value) {
    ((Map<String, Object>) settings.get(group)).put(name, value);
  }

  static Map<String, Object> map(Object... pairs) {
    Map<String, Object> made = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      made.put((String) pairs[i], pairs[i + 1]);
    }
    return made;
  }

  static String json(Object value) {
    StringBuilder out = new StringBuilder();
    json(value, out);
    return out.toString();
  }

  private static void json(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String gap = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(gap).append('"').append(entry.getKey()).append("\":");
        json(entry.getValue(), out);
        gap = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      out.append('[');
      String gap = "";
      for (Object entry : list) {
        out.append(gap);
        json(entry, out);
        gap = ",";
      }
      out.append(']');
    } else if (value instanceof String text) {
      out.append('"').append(text.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }
}
