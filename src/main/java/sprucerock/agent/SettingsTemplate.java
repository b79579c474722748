package sprucerock.agent;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Relay settings shared by a fleet, with placeholders such as {@code ${name}} for the values that
 * each agent's configuration has; so one digest names the settings of all machines.
 */
final class SettingsTemplate {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\$\\{([A-Za-z0-9_.-]{1,64})\\}");

  private SettingsTemplate() {}

  /**
   * Fills all placeholders; the values are escaped for XML.
   *
   * @throws IllegalArgumentException in one line, if a placeholder has no value here
   */
  static String fill(String text, Map<String, String> values) {
    Set<String> missing = new TreeSet<>();
    Matcher placeholder = PLACEHOLDER.matcher(text);
    StringBuilder filled = new StringBuilder();
    while (placeholder.find()) {
      String value = values.get(placeholder.group(1));
      if (value == null) {
        missing.add(placeholder.group(1));
      }
      placeholder.appendReplacement(
          filled, Matcher.quoteReplacement(value == null ? "" : escaped(value)));
    }
    if (!missing.isEmpty()) {
      throw new IllegalArgumentException(
          "the settings want values for "
              + missing
              + ", which this machine's agent has not; give them as <value> in its configuration");
    }
    return placeholder.appendTail(filled).toString();
  }

  private static String escaped(String value) {
    return value.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
