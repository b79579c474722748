package sprucerock.agent;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.config.Address;
import sprucerock.config.ConfigException;
import sprucerock.config.XmlElement;
import sprucerock.time.TimeSpan;

/** The configuration of one agent, checked; agent.xsd has the values used where one is left out. */
public final class AgentConfig {
  public final String name;
  public final int number;
  public final int zone;
  public final Path folder;

  /** A controller and its standbys. */
  public final List<InetSocketAddress> controllers;

  /** Run where no controller has spoken yet; null: it is waited for. */
  public final Path initialProgram;

  public final Path initialSettings;
  public final String javaCommand;
  public final List<String> jvmOptions;

  /**
   * Of the relay's command line, behind its configuration; ${run} in them stands for the number of
   * the start.
   */
  public final List<String> relayArguments;

  /** Over which the relay is ended, in MB and open files; 0: no bound of the agent's. */
  /** Of processors, that the relay may use. */
  public final double cores;

  public final int maxMemoryMb;
  public final int maxDescriptors;
  public final Map<String, String> templateValues;
  public final Agent.Timeouts timeouts;
  public final TimeSpan reportInterval;
  public final long maxArtifactBytes;
  public final int versionsKept;

  public static AgentConfig read(Path file) throws ConfigException {
    return new AgentConfig(XmlElement.read(file, "/sprucerock/agent.xsd"));
  }

  private AgentConfig(XmlElement root) throws ConfigException {
    name = root.text("name");
    number = root.count("number");
    zone = root.count("zone");
    folder = Path.of(root.text("folder"));
    List<InetSocketAddress> found = new ArrayList<>();
    for (XmlElement one : root.children("controller")) {
      InetSocketAddress address = Address.of(one.text("host"), one.count("port"));
      if (address == null) {
        throw one.invalid(
            "host \"" + one.text("host") + "\" is no IPv4 or IPv6 address in numbers");
      }
      found.add(address);
    }
    controllers = List.copyOf(found);
    XmlElement relay = root.child("relay");
    initialProgram = relay.has("program") ? Path.of(relay.text("program")) : null;
    initialSettings = relay.has("settings") ? Path.of(relay.text("settings")) : null;
    if (initialProgram == null != (initialSettings == null)) {
      throw relay.invalid("program and settings come together");
    }
    javaCommand = relay.text("java");
    jvmOptions = relay.children("option").stream().map(option -> option.text("text")).toList();
    relayArguments =
        relay.children("argument").stream().map(argument -> argument.text("text")).toList();
    cores = relay.number("cores");
    maxMemoryMb = relay.has("memory") ? (int) (relay.bytes("memory") >> 20) : 0;
    maxDescriptors = relay.has("descriptors") ? relay.count("descriptors") : 0;
    Map<String, String> own = new TreeMap<>();
    for (XmlElement value : root.children("value")) {
      if (own.put(value.text("name"), value.text("text")) != null) {
        throw value.invalid("named twice");
      }
    }
    templateValues = own;
    timeouts =
        new Agent.Timeouts(root.span("ready-within"), root.span("end-within"), root.span("proven"));
    reportInterval = root.span("say-every");
    if (TimeSpan.ofMs(100).over(reportInterval)) {
      throw root.invalid("say-every is 100ms at least");
    }
    maxArtifactBytes = root.bytes("most-bytes");
    versionsKept = root.count("versions");
  }
}
