package sprucerock.agent;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.config.ConfigException;
import sprucerock.config.XmlElement;
import sprucerock.time.TimeSpan;

/** The configuration of one agent, checked; agent.xsd has the values used where one is left out. */
public final class AgentConfig {
  public final String name;
  public final int number;
  public final int zone;
  public final Path folder;

  /** The controller and its standbys. */
  public final List<InetSocketAddress> controllers;

  /** Run where no controller has spoken yet; null: the agent waits for one. */
  public final Path initialProgram;

  public final Path initialSettings;
  public final String javaCommand;
  public final List<String> jvmOptions;

  /** At the end of the relay's command line; ${run} in them stands for the number of the start. */
  public final List<String> relayArguments;

  /** Processors that the relay may use; reported to the controller. */
  public final double cores;

  /** Resident memory in MB, over which the relay is ended; 0: not bounded. */
  public final int maxMemoryMb;

  /** Open files and sockets, over which the relay is ended; 0: not bounded. */
  public final int maxDescriptors;

  /** This machine's values for the places of a settings template, by name. */
  public final Map<String, String> templateValues;

  public final Agent.Timeouts timeouts;

  /** Between two status reports, at least 100 ms. */
  public final TimeSpan reportInterval;

  /** A file of a version that is larger is not taken. */
  public final long maxArtifactBytes;

  /** Versions that are left on the disk; those that are needed come on top. */
  public final int versionsKept;

  /**
   * Reads and checks a file.
   *
   * @throws ConfigException at the first thing that is wrong
   */
  public static AgentConfig read(Path file) throws ConfigException {
    return new AgentConfig(XmlElement.read(file, "/sprucerock/agent.xsd"));
  }

  private AgentConfig(XmlElement root) throws ConfigException {
    name = root.text("name");
    number = root.count("number");
    zone = root.count("zone");
    folder = Path.of(root.text("folder"));
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (XmlElement controller : root.children("controller")) {
      addresses.add(controller.address());
    }
    controllers = List.copyOf(addresses);
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
    Map<String, String> values = new TreeMap<>();
    for (XmlElement value : root.children("value")) {
      if (values.put(value.text("name"), value.text("text")) != null) {
        throw value.invalid("named twice");
      }
    }
    templateValues = values;
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
