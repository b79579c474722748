package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;

/**
 * What the agents of a rehearsal run: files for the controller's incoming folder, and each agent's
 * configuration.
 */
final class Agents {
  static final String MAIN = "sprucerock.Main";
  private static final String LIMITS = "<limits/>";

  private final Path folder;
  private final Path incoming;
  private final String settings;
  private int made;

  /** {@code settings}: of all relays, with places for what is each one's own. */
  Agents(Path folder, String settings) throws IOException {
    this.folder = folder;
    this.settings = settings;
    incoming = Files.createDirectory(folder.resolve("incoming"));
    program(MAIN, "program-0.jar");
    Files.writeString(incoming.resolve("settings-0.xml"), settings);
  }

  Path incoming() {
    return incoming;
  }

  /** The part of the controller's configuration that is about agents. */
  String controllerXml(int port, ScenarioParser day) {
    return String.format(
        Locale.ROOT,
        """
              <agents host="127.0.0.1" port="%d" incoming="%s" watch="%dms" patience="90s" ready-within="20s" out="0.34" refused="0.1" silent="3s">
                <change-stage share="0.1" harm="0.3"/><change-stage share="0.5" harm="0.2"/><change-stage share="1" harm="0.1"/>
              </agents>
            """,
        port,
        incoming.toAbsolutePath(),
        (long) day.changeWatch.ms());
  }

  void writeAgent(int number, int zone, int controller, List<String[]> values) throws IOException {
    StringBuilder own = new StringBuilder();
    for (String[] value : values) {
      own.append("  <value name=\"")
          .append(value[0])
          .append("\" text=\"")
          .append(value[1])
          .append("\"/>\n");
    }
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Files.writeString(
        folder.resolve("agent-" + number + ".xml"),
        String.format(
            Locale.ROOT,
            """
            <agent xmlns="urn:sprucerock:agent:1" name="agent-%d" number="%d" zone="%d" folder="%s" ready-within="20s" end-within="15s" proven="2s" say-every="500ms">
              <controller host="127.0.0.1" port="%d"/>
              <relay program="%s" settings="%s" java="%s" memory="1024MiB">
                <option text="-XX:TieredStopAtLevel=1"/><option text="-XX:+UseSerialGC"/><option text="-Xmx256m"/>
                <argument text="--trace"/><argument text="%s"/>
              </relay>
            %s</agent>
            """,
            number,
            number,
            zone,
            folder.resolve("agent-" + number).toAbsolutePath(),
            controller,
            incoming.resolve("program-0.jar").toAbsolutePath(),
            incoming.resolve("settings-0.xml").toAbsolutePath(),
            java,
            folder.resolve("relay-" + number + ".${run}.trace").toAbsolutePath(),
            own));
  }

  /** Another program that starts that class; its name in the folder. */
  String program(String main) {
    String name = "program-" + ++made + ".jar";
    try {
      program(main, name);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    return name;
  }

  /**
   * A jar that holds nothing but where the classes are that this process runs on: another name in
   * it, another digest.
   */
  private void program(String main, String name) throws IOException {
    StringBuilder path = new StringBuilder();
    for (String entry : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
      URI uri = Path.of(entry).toAbsolutePath().toUri();
      path.append(path.length() == 0 ? "" : " ").append(uri);
    }
    Manifest manifest = new Manifest();
    manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
    manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, main);
    manifest.getMainAttributes().put(Attributes.Name.CLASS_PATH, path.toString());
    manifest.getMainAttributes().putValue("Made-For", name);
    try (OutputStream out = Files.newOutputStream(incoming.resolve(name));
        JarOutputStream jar = new JarOutputStream(out, manifest)) {
      jar.finish();
    }
  }

  /** Other settings: limits as they are given, such as open=3; their name in the folder. */
  String settings(String limits) {
    String name = "settings-" + ++made + ".xml";
    StringBuilder other = new StringBuilder("<limits");
    List<String> given = new ArrayList<>(List.of(limits.trim().split("\\s+")));
    for (String one : given) {
      other.append(' ').append(one.replaceFirst("=", "=\"")).append('"');
    }
    try {
      Files.writeString(
          incoming.resolve(name), settings.replace(LIMITS, other.append("/>").toString()));
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
    return name;
  }
}
