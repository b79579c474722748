package sprucerock.agent;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Settings of a whole fleet, with places for what is each machine's own: a name in braces behind a
 * dollar sign stands for a value that the agent's configuration has. So one digest names the
 * settings of all.
 */
final class SettingsTemplate {
  private static final Pattern PLACE = Pattern.compile("\\$\\{([A-Za-z0-9_.-]{1,64})\\}");

  private SettingsTemplate() {}

  /**
   * @throws IllegalArgumentException in one line, if a place has no value here
   */
  static String fill(String text, Map<String, String> values) {
    Set<String> missing = new TreeSet<>();
    Matcher place = PLACE.matcher(text);
    StringBuilder filled = new StringBuilder();
    while (place.find()) {
      String value = values.get(place.group(1));
      if (value == null) {
        missing.add(place.group(1));
      }
      place.appendReplacement(
          filled, Matcher.quoteReplacement(value == null ? "" : escaped(value)));
    }
    if (!missing.isEmpty()) {
      throw new IllegalArgumentException(
          "the settings want values for "
              + missing
              + ", which this machine's agent has not; give them as <value> in its configuration");
    }
    return place.appendTail(filled).toString();
  }

  private static String escaped(String value) {
    return value.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
  }
}
