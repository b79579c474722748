package sprucerock.compat;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NamedNodeMap;
import org.w3c.dom.Node;
import org.w3c.dom.NodeList;
import org.xml.sax.InputSource;

/** What the schemas declare and what documents use of it, both by names in the XML alone. */
final class Schemas {
  /** Attributes of a declaration that decide what a document may hold. */
  private static final List<String> FACETS =
      List.of("type", "itemType", "base", "minOccurs", "maxOccurs", "use", "default", "value");

  private static final Set<String> LISTED =
      Set.of(
          "element",
          "attribute",
          "complexType",
          "simpleType",
          "extension",
          "restriction",
          "list",
          "pattern",
          "enumeration",
          "minInclusive",
          "maxInclusive");

  private Schemas() {}

  static Element parse(String text) throws Exception {
    DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
    factory.setNamespaceAware(true);
    return factory
        .newDocumentBuilder()
        .parse(new InputSource(new StringReader(text)))
        .getDocumentElement();
  }

  static Element schema(String name) throws Exception {
    return parse(Files.readString(schemaFile(name)));
  }

  private static Path schemaFile(String name) throws IOException {
    try (var files = Files.walk(Path.of("src", "main", "resources"))) {
      return files
          .filter(file -> file.getFileName().toString().equals(name))
          .findFirst()
          .orElseThrow();
    }
  }

  /** One line for each declaration of a schema: its path of names, and what it allows. */
  static List<String> declarations(Element schema) {
    List<String> found = new ArrayList<>();
    found.add("namespace " + schema.getAttribute("targetNamespace"));
    NodeList all = schema.getElementsByTagNameNS(XMLConstants.W3C_XML_SCHEMA_NS_URI, "*");
    for (int i = 0; i < all.getLength(); i++) {
      Element one = (Element) all.item(i);
      boolean says =
          LISTED.contains(one.getLocalName())
              && (one.hasAttribute("name") || FACETS.stream().anyMatch(one::hasAttribute));
      if (says) {
        found.add(path(one) + " " + one.getLocalName() + facets(one));
      }
    }
    return found;
  }

  private static String facets(Element one) {
    StringBuilder text = new StringBuilder();
    for (String facet : FACETS) {
      if (one.hasAttribute(facet)) {
        text.append(' ').append(facet).append('=').append(one.getAttribute(facet));
      }
    }
    return text.toString();
  }

  private static String path(Element of) {
    String path = "";
    for (Node at = of; at instanceof Element element; at = at.getParentNode()) {
      if (!element.hasAttribute("name")) {
        continue;
      }
      path =
          "/"
              + (element.getLocalName().equals("attribute") ? "@" : "")
              + element.getAttribute("name")
              + path;
    }
    return path.isEmpty() ? "/" : path;
  }

  /**
   * All that documents of a schema can use: names of elements, and "element/@attribute"; attributes
   * of a named type stand for each element of that type.
   */
  static Set<String> allowed(Element schema) {
    Set<String> found = new TreeSet<>();
    NodeList all = schema.getElementsByTagNameNS(XMLConstants.W3C_XML_SCHEMA_NS_URI, "*");
    for (int i = 0; i < all.getLength(); i++) {
      Element one = (Element) all.item(i);
      if (one.getLocalName().equals("element")) {
        found.add(one.getAttribute("name"));
      }
      if (one.getLocalName().equals("attribute")) {
        for (String holder : holders(one, all)) {
          found.add(holder + "/@" + one.getAttribute("name"));
        }
      }
    }
    return found;
  }

  private static List<String> holders(Element attribute, NodeList all) {
    Node at = attribute.getParentNode();
    while (!((Element) at).hasAttribute("name")) {
      at = at.getParentNode();
    }
    Element named = (Element) at;
    if (named.getLocalName().equals("element")) {
      return List.of(named.getAttribute("name"));
    }
    List<String> found = new ArrayList<>();
    for (int i = 0; i < all.getLength(); i++) {
      Element one = (Element) all.item(i);
      String type =
          one.getLocalName().equals("extension")
              ? one.getAttribute("base")
              : one.getAttribute("type");
      if (type.equals(named.getAttribute("name"))) {
        found.add(enclosing(one));
      }
    }
    return found;
  }

  private static String enclosing(Element of) {
    Node at = of;
    while (!((Element) at).getLocalName().equals("element")) {
      at = at.getParentNode();
    }
    return ((Element) at).getAttribute("name");
  }

  /** What a document uses, in the form of {@link #allowed}. */
  static Set<String> used(Element document) {
    Set<String> found = new TreeSet<>();
    found.add(document.getLocalName());
    NamedNodeMap attributes = document.getAttributes();
    for (int i = 0; i < attributes.getLength(); i++) {
      found.add(document.getLocalName() + "/@" + attributes.item(i).getNodeName());
    }
    for (Node at = document.getFirstChild(); at != null; at = at.getNextSibling()) {
      if (at instanceof Element child) {
        found.addAll(used(child));
      }
    }
    return found;
  }
}
