package sprucerock.rehearsal.invariant;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Document;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;
import org.xml.sax.SAXException;
import sprucerock.time.TimeSpan;

/**
 * The rules' figures of a deployment, as the judge reads them from a relay's configuration by
 * itself. Times are in microseconds, like those of traces.
 *
 * @param waitUs how long a pick may wait in the relay for a connection
 * @param caps by stage, 0 to 1
 */
public record Rules(
    List<Method> methods,
    long slackUs,
    long drainGraceUs,
    double tipMultiple,
    long tipAfterUs,
    long countedOverUs,
    double free,
    boolean byMethod,
    int guarded,
    boolean oneWay,
    int attempts,
    boolean secondCopies,
    long waitUs,
    List<Double> caps) {

  /**
   * What repeats a method bears; the group, all, zone or cell, and the window are for tokened ones.
   */
  public record Method(String effect, String group, long windowUs) {
    boolean idempotent() {
      return effect.equals("idempotent");
    }

    boolean tokened() {
      return effect.equals("tokened");
    }
  }

  public static Rules read(Path file) throws IOException {
    Document xml;
    try (var in = Files.newInputStream(file)) {
      xml = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(in);
    } catch (SAXException | ParserConfigurationException e) {
      throw new IOException(file + ": can't be read: " + e.getMessage());
    }
    List<Method> methods = new ArrayList<>();
    for (Element one : all(xml, "method")) {
      methods.add(
          new Method(
              one.getAttribute("effect"),
              text(one, "group", "all"),
              us(text(one, "window", "0us"))));
    }
    List<Double> caps = new ArrayList<>();
    for (Element one : all(xml, "stage")) {
      caps.add(Double.parseDouble(one.getAttribute("cap")));
    }
    Element rules = all(xml, "rules").get(0);
    Element allowed = all(xml, "allowed").get(0);
    Element connections = all(xml, "connections").get(0);
    return new Rules(
        methods,
        us(text(rules, "answer-slack", "20ms")),
        us(rules.getAttribute("drain-grace")),
        Double.parseDouble(rules.getAttribute("tip-multiple")),
        us(rules.getAttribute("tip-after")),
        us(rules.getAttribute("counted-over")),
        Double.parseDouble(rules.getAttribute("free-picks")),
        text(rules, "cap-by-method", "false").equals("true"),
        Integer.parseInt(text(rules, "guarded-stages", "0")),
        text(rules, "one-way-keys", "false").equals("true"),
        Integer.parseInt(allowed.getAttribute("picks")),
        allowed.getAttribute("second-copies").equals("true"),
        us(text(connections, "connect-within", "250ms")),
        caps);
  }

  private static List<Element> all(Document xml, String name) {
    NodeList nodes = xml.getElementsByTagName(name);
    List<Element> found = new ArrayList<>();
    for (int i = 0; i < nodes.getLength(); i++) {
      found.add((Element) nodes.item(i));
    }
    return found;
  }

  private static String text(Element element, String name, String otherwise) {
    return element.hasAttribute(name) ? element.getAttribute(name) : otherwise;
  }

  private static long us(String span) {
    return Math.round(TimeSpan.parse(span).ms() * 1000);
  }
}
