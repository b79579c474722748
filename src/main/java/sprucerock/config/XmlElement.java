package sprucerock.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;
import sprucerock.time.TimeSpan;

/** An element of a checked XML file, with its line; spans and sizes are read with their units. */
public final class XmlElement {
  private final String file;
  private final int line;
  private final String name;
  private final Map<String, String> values = new LinkedHashMap<>();
  private final List<XmlElement> children = new ArrayList<>();

  private XmlElement(String file, int line, String name) {
    this.file = file;
    this.line = line;
    this.name = name;
  }

  /** Reads a file against a schema in the jar; the first thing that is wrong ends it. */
  public static XmlElement read(Path path, String schema) throws ConfigException {
    String file = path.toString();
    Reader reader = new Reader(file);
    String where =
        XmlElement.class
            .getResource(schema)
            .toExternalForm(); // so that it can include others beside it
    try (InputStream xsd = XmlElement.class.getResourceAsStream(schema);
        InputStream in = Files.newInputStream(path)) {
      SAXParserFactory factory = SAXParserFactory.newInstance();
      factory.setNamespaceAware(true);
      factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      factory.setSchema(
          SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI)
              .newSchema(new StreamSource(xsd, where)));
      factory.newSAXParser().parse(new InputSource(in), reader);
    } catch (SAXParseException e) {
      String what = e.getMessage().replaceFirst("^cvc-[^:]*: ", "").replaceAll("\\s+", " ");
      throw new ConfigException(file + ":" + e.getLineNumber() + ": " + what);
    } catch (java.nio.file.NoSuchFileException e) {
      throw new ConfigException(file + ": there is no such file");
    } catch (IOException | SAXException e) {
      throw new ConfigException(file + ": can't be read: " + e.getMessage());
    } catch (ParserConfigurationException e) {
      throw new IllegalStateException(e);
    }
    return reader.root;
  }

  private static final class Reader extends DefaultHandler {
    private final String file;
    private final List<XmlElement> open = new ArrayList<>();
    private Locator locator;
    private XmlElement root;

    Reader(String file) {
      this.file = file;
    }

    @Override
    public void setDocumentLocator(Locator where) {
      locator = where;
    }

    @Override
    public void startElement(String space, String local, String qualified, Attributes attributes) {
      XmlElement node = new XmlElement(file, locator.getLineNumber(), local);
      for (int i = 0; i < attributes.getLength(); i++) {
        node.values.put(attributes.getLocalName(i), attributes.getValue(i));
      }
      if (open.isEmpty()) {
        root = node;
      } else {
        open.get(open.size() - 1).children.add(node);
      }
      open.add(node);
    }

    @Override
    public void endElement(String space, String local, String qualified) {
      open.remove(open.size() - 1);
    }

    @Override
    public void error(SAXParseException e) throws SAXException {
      throw e;
    }
  }

  /** One that says what is wrong here, and what is allowed. */
  public ConfigException invalid(String what) {
    return new ConfigException(file + ":" + line + ": " + name + ": " + what);
  }

  public List<XmlElement> children(String child) {
    return children.stream().filter(node -> node.name.equals(child)).toList();
  }

  /** The child of a name; null where there is none. */
  public XmlElement child(String child) {
    return children.stream().filter(node -> node.name.equals(child)).findFirst().orElse(null);
  }

  public boolean has(String key) {
    return values.containsKey(key);
  }

  public String text(String key) {
    return values.get(key);
  }

  public boolean flag(String key) {
    return text(key).equals("true") || text(key).equals("1");
  }

  public int count(String key) {
    return Integer.parseInt(text(key).trim());
  }

  public long longNumber(String key) {
    return Long.parseLong(text(key).trim());
  }

  public double number(String key) {
    return Double.parseDouble(text(key).trim());
  }

  /** The schema lets only numbers with us, ms, s or min through. */
  public TimeSpan span(String key) {
    return TimeSpan.parse(text(key).trim());
  }

  /** The schema lets only whole numbers with B, KiB or MiB through. */
  public long bytes(String key) {
    String text = text(key).trim();
    String endpoint = text.replaceFirst("^[0-9]+", "");
    long value = Long.parseLong(text.substring(0, text.length() - endpoint.length()));
    return value
        * switch (endpoint) {
          case "B" -> 1;
          case "KiB" -> 1 << 10;
          default -> 1 << 20;
        };
  }
}
