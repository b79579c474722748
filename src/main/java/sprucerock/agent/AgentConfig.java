package sprucerock.agent;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.config.Address;
import sprucerock.config.ConfigException;
import sprucerock.config.Node;
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
  public final Path program;

  public final Path settings;
  public final String java;
  public final List<String> options;

  /**
   * Of the relay's command line, behind its configuration; ${run} in them stands for the number of
   * the start.
   */
  public final List<String> arguments;

  /** Over which the relay is ended, in MB and open files; 0: no bound of the agent's. */
  /** Of processors, that the relay may use. */
  public final double cores;

  public final int memoryMb;
  public final int descriptors;
  public final Map<String, String> values;
  public final Agent.Times times;
  public final TimeSpan sayEvery;
  public final long mostBytes;
  public final int versions;

  public static AgentConfig read(Path file) throws ConfigException {
    return new AgentConfig(Node.read(file, "/sprucerock/agent.xsd"));
  }

  private AgentConfig(Node root) throws ConfigException {
    name = root.text("name");
    number = root.count("number");
    zone = root.count("zone");
    folder = Path.of(root.text("folder"));
    List<InetSocketAddress> found = new ArrayList<>();
    for (Node one : root.all("controller")) {
      InetSocketAddress address = Address.of(one.text("host"), one.count("port"));
      if (address == null) {
        throw one.wrong("host \"" + one.text("host") + "\" is no IPv4 or IPv6 address in numbers");
      }
      found.add(address);
    }
    controllers = List.copyOf(found);
    Node relay = root.child("relay");
    program = relay.has("program") ? Path.of(relay.text("program")) : null;
    settings = relay.has("settings") ? Path.of(relay.text("settings")) : null;
    if (program == null != (settings == null)) {
      throw relay.wrong("program and settings come together");
    }
    java = relay.text("java");
    options = relay.all("option").stream().map(option -> option.text("text")).toList();
    arguments = relay.all("argument").stream().map(argument -> argument.text("text")).toList();
    cores = relay.number("cores");
    memoryMb = relay.has("memory") ? (int) (relay.bytes("memory") >> 20) : 0;
    descriptors = relay.has("descriptors") ? relay.count("descriptors") : 0;
    Map<String, String> own = new TreeMap<>();
    for (Node value : root.all("value")) {
      if (own.put(value.text("name"), value.text("text")) != null) {
        throw value.wrong("named twice");
      }
    }
    values = own;
    times =
        new Agent.Times(root.span("ready-within"), root.span("end-within"), root.span("proven"));
    sayEvery = root.span("say-every");
    if (TimeSpan.ofMs(100).over(sayEvery)) {
      throw root.wrong("say-every is 100ms at least");
    }
    mostBytes = root.bytes("most-bytes");
    versions = root.count("versions");
  }
}
