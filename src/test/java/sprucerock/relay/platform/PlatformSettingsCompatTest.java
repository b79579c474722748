package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.compat.Corpus;
import sprucerock.compat.LogLines;
import sprucerock.compat.Rendering;
import sprucerock.config.ConfigException;
import sprucerock.config.settings.SettingsText;
import sprucerock.relay.engine.EventLog;
import sprucerock.transport.net.SimulatedNet;

/**
 * The platform's configuration, in JSON, and the simulator's settings, in lines: the values read
 * and the errors are those recorded.
 */
public class PlatformSettingsCompatTest {
  private static final String FOLDER = "platform/";
  private static final Path FILE = Path.of("FILE");
  private static final ObjectMapper JSON = new ObjectMapper();

  private static PlatformConfig read(String json, Map<String, String> environment)
      throws Exception {
    return PlatformConfig.of(FILE, json.getBytes(StandardCharsets.UTF_8), environment);
  }

  @DataProvider
  public Object[][] configurations() {
    return new Object[][] {
      {"every", Map.of()},
      {"least", Map.of()},
      {
        "environment",
        Map.of(
            "LB_NAME",
            "named-otherwise",
            "LB_LISTEN",
            "127.0.0.9:5999",
            "LB_DISCOVERY",
            "127.0.0.9:5998")
      }
    };
  }

  @Test(dataProvider = "configurations")
  public void aConfigurationIsReadAsBefore(String name, Map<String, String> environment)
      throws Exception {
    Corpus.holds(
        FOLDER + name + ".txt", rendered(read(Corpus.input(FOLDER + name + ".json"), environment)));
  }

  private static String rendered(PlatformConfig config) {
    Rendering text = new Rendering();
    text.put("name", config.name)
        .put("listen", config.listen)
        .put("discovery", config.discovery)
        .put("release_api.address", config.desk);
    text.put("seed", Long.toHexString(config.seed))
        .put("limits.sockets", config.sockets)
        .put("peer_listen", config.peerListen);
    for (int i = 0; i < config.peers.size(); i++) {
      text.put("peers." + i, config.peers.get(i));
    }
    text.put("peers_all", config.peersAll)
        .put("known", json(config.known))
        .put("release_api.news", json(config.news));
    text.put("classes", config.methodNames).put("zones", config.zones).put("kinds", config.kinds);
    text.put("connect-within", config.connectWithin).put("longest", config.longest);
    return text.putSettings("settings.", config.settings).toString();
  }

  private static String json(JsonNode node) {
    return node.isMissingNode() ? "missing" : node.toString();
  }

  /** Each line of the input: path, and the value that it gets; no value takes it away. */
  @Test
  public void wrongConfigurationsHaveTheSameErrors() throws Exception {
    StringBuilder text = new StringBuilder();
    for (String line : Corpus.inputLines(FOLDER + "wrong.txt")) {
      ObjectNode root = (ObjectNode) JSON.readTree(Corpus.input(FOLDER + "every.json"));
      int eq = line.indexOf('=');
      set(root, line.substring(0, eq), line.substring(eq + 1));
      text.append(
              expectThrows(ConfigException.class, () -> read(root.toString(), Map.of()))
                  .getMessage())
          .append('\n');
    }
    text.append(expectThrows(ConfigException.class, () -> read("[]", Map.of())).getMessage())
        .append('\n');
    text.append(
            expectThrows(ConfigException.class, () -> PlatformConfig.read(Map.of())).getMessage())
        .append('\n');
    text.append(
            expectThrows(
                    ConfigException.class,
                    () -> PlatformConfig.read(Map.of("LB_CONFIG", "no-such-folder/none.json")))
                .getMessage())
        .append('\n');
    Corpus.holds(FOLDER + "wrong-errors.txt", text.toString());
  }

  private static void set(ObjectNode root, String path, String value) throws Exception {
    String[] names = path.split("/");
    JsonNode at = root;
    for (int i = 0; i < names.length - 1; i++) {
      at = at.isArray() ? at.get(Integer.parseInt(names[i])) : at.get(names[i]);
    }
    ObjectNode parent = (ObjectNode) at;
    if (value.isEmpty()) {
      parent.remove(names[names.length - 1]);
    } else {
      parent.set(names[names.length - 1], JSON.readTree(value));
    }
  }

  @DataProvider
  public Object[][] lines() {
    return new Object[][] {{"lines-every"}, {"lines-least"}};
  }

  @Test(dataProvider = "lines")
  public void settingsInLinesAreReadAsBefore(String name) throws Exception {
    Corpus.holds(
        FOLDER + name + "-read.txt",
        new Rendering()
            .putSettings("", SettingsText.read(Corpus.input(FOLDER + name + ".txt")))
            .toString());
  }

  /**
   * Each setting is left out in turn, and each is said wrongly: either it may be, or the error
   * names it.
   */
  @Test
  public void settingsInLinesThatAreWrongHaveTheSameErrors() throws Exception {
    List<String> all = Corpus.inputLines(FOLDER + "lines-every.txt");
    StringBuilder text = new StringBuilder();
    for (String line : all) {
      String key = line.substring(0, line.indexOf('='));
      text.append("without ").append(key).append(": ").append(verdict(all, line, "")).append('\n');
      text.append("wrong ")
          .append(key)
          .append(": ")
          .append(verdict(all, line, key + "=wrong"))
          .append('\n');
    }
    Corpus.holds(FOLDER + "lines-wrong-errors.txt", text.toString());
  }

  private static String verdict(List<String> lines, String line, String instead) {
    List<String> changed = new ArrayList<>(lines);
    changed.set(changed.indexOf(line), instead);
    try {
      SettingsText.read(String.join("\n", changed));
      return "read";
    } catch (IllegalArgumentException e) {
      return String.valueOf(e.getMessage());
    }
  }

  /** The names of the figures that a relay on the platform logs, without their values. */
  @Test
  public void theLineOfFiguresHasTheSameNames() throws Exception {
    SimulatedNet net = new SimulatedNet(1000, 1);
    List<String> logged = new ArrayList<>();
    PlatformRelay serving =
        new PlatformRelay(
            read(Corpus.input(FOLDER + "least.json"), Map.of()),
            net,
            5000,
            () -> {},
            new EventLog(net, LogLines.into(logged)));
    SimulatedPeers.start(net, serving);
    net.pass(6000);
    List<String> figures =
        logged.stream()
            .filter(line -> line.startsWith("FIGURES "))
            .map(line -> line.replaceAll("-?[0-9]+", "N"))
            .distinct()
            .toList();
    assertEquals(figures.size(), 1, figures.toString());
    Corpus.holds(FOLDER + "figures-line.txt", figures.get(0) + "\n");
  }
}
