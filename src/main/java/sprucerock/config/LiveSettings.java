package sprucerock.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.NamedNodeMap;
import org.w3c.dom.Node;
import org.w3c.dom.NodeList;
import org.xml.sax.InputSource;
import org.xml.sax.SAXException;

/**
 * Which settings a running relay can take over without a restart: the attributes that the schema
 * marks with an {@code appinfo} of "live". The schema is the only list; relay, agent and controller
 * ask here.
 */
public final class LiveSettings {
  private static final String SCHEMA = "/sprucerock/relay.xsd";
  private static final Set<String> LIVE_PATHS = readLivePaths();

  private LiveSettings() {}

  /**
   * Where two settings differ and a restart is needed.
   *
   * @return paths such as relay/limits/frame; empty where a reload suffices
   * @throws ConfigException if either text is no XML
   */
  public static List<String> pathsThatNeedRestart(String from, String to) throws ConfigException {
    List<String> differing = new ArrayList<>();
    addDifferences(parse(from), parse(to), "", differing);
    differing.removeIf(LIVE_PATHS::contains);
    return differing;
  }

  private static void addDifferences(Element from, Element to, String above, List<String> found) {
    String path = above + from.getLocalName();
    if (!from.getLocalName().equals(to.getLocalName())) {
      found.add(path);
      return;
    }
    Set<String> names = new TreeSet<>();
    for (Element one : new Element[] {from, to}) {
      NamedNodeMap values = one.getAttributes();
      for (int i = 0; i < values.getLength(); i++) {
        if (!values.item(i).getNodeName().startsWith("xmlns")) {
          names.add(values.item(i).getNodeName());
        }
      }
    }
    for (String name : names) {
      boolean same =
          from.hasAttribute(name) == to.hasAttribute(name)
              && from.getAttribute(name).equals(to.getAttribute(name));
      if (!same) {
        found.add(path + "/" + name);
      }
    }
    List<Element> fromChildren = children(from);
    List<Element> toChildren = children(to);
    if (fromChildren.size() != toChildren.size()) {
      found.add(path);
      return;
    }
    for (int i = 0; i < fromChildren.size(); i++) {
      addDifferences(fromChildren.get(i), toChildren.get(i), path + "/", found);
    }
  }

  private static List<Element> children(Element parent) {
    List<Element> found = new ArrayList<>();
    NodeList all = parent.getChildNodes();
    for (int i = 0; i < all.getLength(); i++) {
      if (all.item(i) instanceof Element element) {
        found.add(element);
      }
    }
    return found;
  }

  private static Element parse(String text) throws ConfigException {
    try {
      return builder().parse(new InputSource(new StringReader(text))).getDocumentElement();
    } catch (SAXException | IOException e) {
      throw new ConfigException("the settings are no XML: " + e.getMessage());
    }
  }

  private static DocumentBuilder builder() {
    try {
      DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
      factory.setNamespaceAware(true);
      factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      DocumentBuilder builder = factory.newDocumentBuilder();
      builder.setErrorHandler(null); // errors are thrown, and not printed besides
      return builder;
    } catch (ParserConfigurationException e) {
      throw new IllegalStateException(e); // the JDK's own parser has it
    }
  }

  /** From the schema: the chain of elements around each attribute that is marked. */
  private static Set<String> readLivePaths() {
    Set<String> found = new TreeSet<>();
    try (InputStream in = LiveSettings.class.getResourceAsStream(SCHEMA)) {
      NodeList marks =
          builder().parse(in).getElementsByTagNameNS(XMLConstants.W3C_XML_SCHEMA_NS_URI, "appinfo");
      for (int i = 0; i < marks.getLength(); i++) {
        if (!marks.item(i).getTextContent().strip().equals("live")) {
          continue;
        }
        String path = null;
        for (Node at = marks.item(i); at instanceof Element element; at = at.getParentNode()) {
          boolean named =
              element.getLocalName().equals("attribute")
                  || element.getLocalName().equals("element");
          if (named) {
            path = element.getAttribute("name") + (path == null ? "" : "/" + path);
          }
        }
        found.add(path);
      }
      return found;
    } catch (IOException | SAXException e) {
      throw new IllegalStateException("the schema in the jar can't be read", e);
    }
  }

  /** The paths of all settings that need no restart, such as relay/limits/open. */
  public static Set<String> paths() {
    return LIVE_PATHS;
  }
}
