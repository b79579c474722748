package sprucerock.relay.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.transport.http.HttpException;

/** Lists of endpoints in pieces of any size, and what is none. */
public class EndpointListParserTest {
  private static final String ENTRY =
      "{\"id\":\"s-1\",\"addr\":\"127.0.0.1:5\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":3,"
          + "\"state\":\"SERVING\",\"weight\":0.5,\"started_ms\":12,\"image_id\":41,"
          + "\"labels\":{\"servers\":[1,{\"x\":[]}]}}";
  private static final String LISTS =
      "{\"version\":41,\"full\":true,\"servers\":["
          + ENTRY
          + ",{\"id\":\"s-2\",\"state\":\"DELETED\"}]}\n\n{\n \"servers\": [],\n \"full\": false,\n"
          + " \"other\": [[1], {\"servers\": [2]}],\n \"version\": 42\n}\n";

  private static List<EndpointList> read(String text, int piece) throws HttpException {
    List<EndpointList> lists = new ArrayList<>();
    EndpointListParser parser = new EndpointListParser(2000, 10);
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int at = 0; at < bytes.length; at += piece) {
      parser.feed(ByteBuffer.wrap(bytes, at, Math.min(piece, bytes.length - at)), lists::add);
    }
    return lists;
  }

  @Test
  public void piecesOfAnySizeGiveTheSameLists() throws Exception {
    ObjectMapper json = new ObjectMapper();
    List<EndpointList> expected = new ArrayList<>();
    for (String list : LISTS.split("\n\n")) {
      expected.add(EndpointList.of(json.readTree(list)));
    }
    assertEquals(expected.get(0).entries().size(), 2);
    assertEquals(expected.get(0).entries().get(0).startedMs(), 12.0);
    for (int piece = 1; piece <= LISTS.length(); piece++) {
      assertEquals(read(LISTS, piece), expected);
    }
  }

  @Test
  public void itTellsWhetherAListIsIncomplete() throws Exception {
    EndpointListParser parser = new EndpointListParser(2000, 10);
    byte[] bytes = LISTS.getBytes(StandardCharsets.UTF_8);
    assertEquals(parser.feed(ByteBuffer.wrap(bytes, 0, 60), list -> {}), false);
    assertTrue(parser.feed(ByteBuffer.wrap(bytes, 60, bytes.length - 60), list -> {}));
  }

  private static String errorOf(String text) {
    return expectThrows(HttpException.class, () -> read(text, 7)).getMessage();
  }

  @Test
  public void whatIsNoListOrTooLongIsRejected() {
    assertEquals(errorOf("{\"version\":41,\"full\":true}"), "a line that is no list");
    assertEquals(errorOf("[[{\"servers\":[]}]]"), "a line that is no list");
    assertEquals(
        errorOf("{\"version\":\"x\",\"full\":true,\"servers\":[]}"), "a line that is no list");
    assertTrue(errorOf("{]").startsWith("what is no JSON"));
    assertEquals(errorOf("{\"servers\":[" + "0,".repeat(2000)), "a list of more than 10 entries");
    assertEquals(errorOf("{\"x\":\"" + "a".repeat(3000)), "a list of more than 2000 bytes");
  }
}
