package sprucerock.lab;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Scale runs of thirty hollow relays against a real controller and granters, each a process of its
 * own. Only what can be counted is looked at; how long anything took is not.
 */
public class HollowTest {
  private static final int RELAYS = 30;
  private static final int RACKS = 10;

  private final Map<String, JsonNode> results = new HashMap<>();

  /** One fleet plays all scenes, one after another, the controller's end last. */
  @BeforeClass
  public void play() throws Exception {
    List<ScaleRun.Scene> scenes =
        List.of(
            ScaleRun.Scene.VOTE,
            ScaleRun.Scene.MASS,
            ScaleRun.Scene.FREEZE,
            ScaleRun.Scene.CONTROL);
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    try (ScaleRun run =
        new ScaleRun(
            new ScaleRun.Plan(RELAYS, RACKS, 16 * RELAYS, 10, scenes, 1), new PrintStream(said))) {
      for (JsonNode one : run.play()) {
        results.put(one.get("scene").asText(), one);
      }
    }
    assertEquals(results.size(), scenes.size(), said.toString());
  }

  private static JsonNode event(JsonNode result, String name) {
    for (JsonNode one : result.get("in_force")) {
      if (one.get("event").asText().equals(name)) {
        return one;
      }
    }
    throw new AssertionError("nothing is told of " + name + " in " + result);
  }

  private static long messages(JsonNode result, String kind, String direction) {
    for (JsonNode one : result.get("links")) {
      boolean is =
          one.get("role").asText().equals("controller")
              && one.get("kind").asText().equals(kind)
              && one.get("direction").asText().equals(direction);
      if (is) {
        return one.get("messages").asLong();
      }
    }
    return 0;
  }

  @Test
  public void eachVoteThatIsCastIsRecordedAndAnswered() {
    JsonNode result = results.get("vote");
    JsonNode counts = result.get("counts");
    assertEquals(counts.get("linked_at_end").asInt(), RELAYS);
    assertEquals(counts.get("votes_cast").asInt(), RELAYS);
    assertEquals(counts.get("votes_counted").asInt(), RELAYS);
    assertEquals(messages(result, "VOTE", "in"), RELAYS);
    assertEquals(messages(result, "VOTED", "out"), RELAYS);
    assertTrue(counts.get("inputs_recorded").asInt() >= RELAYS, result.toString());
    assertEquals(event(result, "vote").get("missing").asInt(), 0);
  }

  @Test
  public void allHearOfAFreezeAndKeepOffOnceItIsInForce() {
    JsonNode result = results.get("freeze");
    assertEquals(event(result, "freeze").get("missing").asInt(), 0);
    assertEquals(result.get("counts").get("keep_off").asInt(), RELAYS);
    // each was told that something has changed at least once, and asked
    assertTrue(messages(result, "PROMISED", "out") >= 2 * RELAYS, result.toString());
  }

  @Test
  public void allAreLinkedAgainOnceAKilledControllerIsBack() {
    JsonNode result = results.get("control");
    assertEquals(event(result, "control").get("missing").asInt(), 0);
    assertEquals(result.get("counts").get("linked_at_end").asInt(), RELAYS);
    assertTrue(result.get("counts").get("links_closed").asInt() >= RELAYS, result.toString());
    assertTrue(messages(result, "HELLO", "out") >= RELAYS, result.toString());
  }

  @Test
  public void allAreLinkedAgainAfterAMassRestart() {
    JsonNode result = results.get("mass");
    assertEquals(event(result, "mass").get("missing").asInt(), 0);
    assertEquals(result.get("counts").get("reconnects").asInt(), RELAYS);
    assertEquals(result.get("counts").get("linked_at_end").asInt(), RELAYS);
  }

  @Test
  public void aPlanThatCannotBePlayedIsRefusedInALine() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new ScaleRun.Plan(0, 40, 4800, 30, List.of(ScaleRun.Scene.MEAN), 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new ScaleRun.Plan(300, 301, 4800, 30, List.of(ScaleRun.Scene.MEAN), 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new ScaleRun.Plan(300, 40, 39, 30, List.of(ScaleRun.Scene.MEAN), 1));
    assertThrows(
        IllegalArgumentException.class,
        () -> new ScaleRun.Plan(300, 40, 4800, 9, List.of(ScaleRun.Scene.MEAN), 1));
  }
}
