package sprucerock.config;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
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

/** An element of an XML file that a schema has checked, with its line for errors. */
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

  /**
   * Reads a file against a schema in the jar.
   *
   * @throws ConfigException at the first thing that is wrong
   */
  public static XmlElement read(Path path, String schema) throws ConfigException {
    String file = path.toString();
    Reader reader = new Reader(file);
    // with its place, the schema can include others beside it
    String schemaPlace = XmlElement.class.getResource(schema).toExternalForm();
    try (InputStream xsd = XmlElement.class.getResourceAsStream(schema);
        InputStream in = Files.newInputStream(path)) {
      SAXParserFactory factory = SAXParserFactory.newInstance();
      factory.setNamespaceAware(true);
      factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      factory.setSchema(
          SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI)
              .newSchema(new StreamSource(xsd, schemaPlace)));
      factory.newSAXParser().parse(new InputSource(in), reader);
    } catch (SAXParseException e) {
      String problem = e.getMessage().replaceFirst("^cvc-[^:]*: ", "").replaceAll("\\s+", " ");
      throw new ConfigException(file + ":" + e.getLineNumber() + ": " + problem);
    } catch (NoSuchFileException e) {
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
    public void setDocumentLocator(Locator given) {
      locator = given;
    }

    @Override
    public void startElement(String space, String local, String qualified, Attributes attributes) {
      XmlElement element = new XmlElement(file, locator.getLineNumber(), local);
      for (int i = 0; i < attributes.getLength(); i++) {
        element.values.put(attributes.getLocalName(i), attributes.getValue(i));
      }
      if (open.isEmpty()) {
        root = element;
      } else {
        open.get(open.size() - 1).children.add(element);
      }
      open.add(element);
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

  /** An error at this element's line; {@code problem} says what is wrong and what is allowed. */
  public ConfigException invalid(String problem) {
    return new ConfigException(file + ":" + line + ": " + name + ": " + problem);
  }

  /** All children of a name, in their order. */
  public List<XmlElement> children(String child) {
    return children.stream().filter(element -> element.name.equals(child)).toList();
  }

  /** The first child of a name; null where there is none. */
  public XmlElement child(String child) {
    return children.stream().filter(element -> element.name.equals(child)).findFirst().orElse(null);
  }

  /** Whether an attribute is there, by itself or as the schema's default. */
  public boolean has(String key) {
    return values.containsKey(key);
  }

  /** An attribute's text; null where there is none. */
  public String text(String key) {
    return values.get(key);
  }

  /** An attribute that the schema lets only booleans through for. */
  public boolean flag(String key) {
    return text(key).equals("true") || text(key).equals("1");
  }

  /** An attribute that the schema lets only whole numbers through for. */
  public int count(String key) {
    return Integer.parseInt(text(key).trim());
  }

  /** An attribute that the schema lets only whole numbers through for. */
  public long longNumber(String key) {
    return Long.parseLong(text(key).trim());
  }

  /** An attribute that the schema lets only numbers through for. */
  public double number(String key) {
    return Double.parseDouble(text(key).trim());
  }

  /** A duration; the schema lets only numbers with us, ms, s or min through. */
  public TimeSpan span(String key) {
    return TimeSpan.parse(text(key).trim());
  }

  /** A duration with a lower bound. */
  TimeSpan requireAtLeast(String key, TimeSpan min) throws ConfigException {
    TimeSpan span = span(key);
    if (min.over(span)) {
      throw invalid(key + " may be " + min.ms() + "ms at least, not " + text(key));
    }
    return span;
  }

  /** The address in the attributes {@code host} and {@code port}. */
  public InetSocketAddress address() throws ConfigException {
    InetSocketAddress address = Address.of(text("host"), count("port"));
    if (address == null) {
      throw invalid("host \"" + text("host") + "\" is no IPv4 or IPv6 address in numbers");
    }
    return address;
  }

  /** A size in bytes; the schema lets only whole numbers with B, KiB or MiB through. */
  public long bytes(String key) {
    String text = text(key).trim();
    String unit = text.replaceFirst("^[0-9]+", "");
    long value = Long.parseLong(text.substring(0, text.length() - unit.length()));
    return value
        * switch (unit) {
          case "B" -> 1;
          case "KiB" -> 1 << 10;
          default -> 1 << 20;
        };
  }
}
