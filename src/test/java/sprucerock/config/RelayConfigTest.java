package sprucerock.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.model.Method;
import sprucerock.model.Settings;

/** The error of an invalid configuration is one line with file, line, and what is allowed. */
public class RelayConfigTest {
  private static final Path EXAMPLE = Path.of("deploy", "relay.xml");

  @Test
  public void readsTheExample() throws Exception {
    RelayConfig config = RelayConfig.read(EXAMPLE);
    Settings settings = config.settings;
    assertEquals(settings.methods.get(1).idempotency, Method.Idempotency.KEYED);
    assertEquals(settings.methods.get(1).keyLifetime.ms(), 4000.0);
    assertEquals(settings.exposureCaps.size(), 3);
    assertEquals(config.connectionLimits.maxFrameBytes(), 1 << 20);
    assertEquals(config.connectTimeout.ms(), 250.0);
    assertFalse(settings.oneWayKeys);
  }

  @DataProvider
  public Object[][] invalid() {
    return new Object[][] {
      {"tick=\"5ms\"", "tick=\"5\"", "'5' is not facet-valid with respect to pattern"},
      {"control=\"single\"", "control=\"often\"", "[single, majority, clocked]"},
      {
        "<roster host=\"127.0.0.1\"",
        "<roster host=\"roster.example\"",
        "\"roster.example\" is no IPv4 or IPv6 address"
      },
      {"cap=\"0.1\"", "cap=\"1.1\"", "maxInclusive"},
      {"number=\"0\" seed", "number=\"3\" seed", "number 3 of 3 relays: 0 to 2"},
      {"window=\"4s\"", "", "window is for tokened methods"},
      {"soft-deadline=\"300ms\"", "soft-deadline=\"9s\"", "soft-deadline is at most the deadline"},
      {
        "<limits",
        "<limit",
        "One of '{\"urn:sprucerock:relay:1\":peer, \"urn:sprucerock:relay:1\":limits}' is expected"
      },
      {"free-picks=\"3\"", "free-picks=\"NaN\"", "free-picks: 0 or more"},
      {"<?xml", "<!DOCTYPE a []><?xml", ""},
    };
  }

  @Test(dataProvider = "invalid")
  public void errorNamesLineAndWhatIsAllowed(String part, String replacement, String problem)
      throws Exception {
    String text = Files.readString(EXAMPLE);
    assertTrue(text.contains(part), part);
    Path file = Files.createTempFile("wrong", ".xml");
    Files.writeString(
        file,
        text.replaceFirst(
            java.util.regex.Pattern.quote(part),
            java.util.regex.Matcher.quoteReplacement(replacement)));
    String message = expectThrows(ConfigException.class, () -> RelayConfig.read(file)).getMessage();
    assertTrue(
        message.startsWith(file + ":") && message.contains(problem) && !message.contains("\n"),
        message);
    int line = text.substring(0, text.indexOf(part)).split("\n", -1).length;
    assertTrue(
        message.matches("(?s).*\\.xml:(" + line + "|" + (line + 1) + "|" + (line + 2) + "): .*"),
        line + ": " + message);
  }

  @Test
  public void errorNamesMissingFile() {
    assertEquals(
        expectThrows(ConfigException.class, () -> RelayConfig.read(Path.of("none.xml")))
            .getMessage(),
        "none.xml: there is no such file");
  }
}
