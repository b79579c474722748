package sprucerock.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * The files and addresses of one scale run: one controller, three granters, what all hollow relays
 * and agents share.
 */
final class ScaleSite {
  static final int GRANTERS = 3;
  static final String TOKEN = "of-this-scale-run-only";
  static final int FIRST_BUILD = 1;
  // under what Linux hands out by itself: a hollow relay's own port must not take a door's while
  // its process restarts
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;
  private static final long NOTICE_MS = 2000;

  final Path folder;
  final String host;
  final int relays;
  final int agents;
  final int hooks;
  final int api;
  final int[] granters = new int[GRANTERS];
  private final Set<Integer> taken = new HashSet<>();

  /**
   * An address of its own on the loopback, so that runs beside each other don't meet: each door
   * there can be reached from all ports.
   */
  ScaleSite(Path folder, ScaleRun.Plan plan) throws IOException {
    this.folder = folder;
    long pid = ProcessHandle.current().pid();
    host = "127.0." + (1 + pid / 250 % 250) + "." + (1 + pid % 250);
    relays = port();
    agents = port();
    hooks = port();
    api = port();
    for (int i = 0; i < GRANTERS; i++) {
      granters[i] = port();
    }
    controller(plan);
    for (int i = 0; i < GRANTERS; i++) {
      Files.writeString(granter(i), relayXml(plan, "granter-" + i, " grants=\"" + i + "\""));
    }
    Files.writeString(relay(), relayXml(plan, "hollow", ""));
    Files.writeString(
        agent(),
        String.format(
            """
            <agent xmlns="urn:sprucerock:agent:1" name="hollow" number="0" folder="%s" proven="5s">
              <controller host="%s" port="%d"/>
              <relay/>
            </agent>
            """,
            folder.resolve("none"), host, agents));
  }

  Path controller() {
    return folder.resolve("controller.xml");
  }

  Path relay() {
    return folder.resolve("relay.xml");
  }

  Path agent() {
    return folder.resolve("agent.xml");
  }

  Path granter(int number) {
    return folder.resolve("granter-" + number + ".xml");
  }

  /** Where the files of proposed versions are put. */
  Path incoming() {
    return folder.resolve("incoming");
  }

  static String rack(int number) {
    return "z" + zone(number) + "r" + cell(number);
  }

  static int zone(int rack) {
    return rack % HollowFleet.ZONES;
  }

  static int cell(int rack) {
    return 1 + rack / HollowFleet.ZONES;
  }

  private int port() throws IOException {
    for (int port = FIRST_PORT; port < LAST_PORT; port++) {
      if (taken.contains(port)) {
        continue;
      }
      try (ServerSocket free = new ServerSocket()) {
        free.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        taken.add(port);
        return port;
      } catch (java.net.BindException e) {
        // somebody else's; the next one
      }
    }
    throw new IOException(
        "no port from " + FIRST_PORT + " to " + LAST_PORT + " is free at " + host);
  }

  private Path secret(String name, String text) throws IOException {
    Path file = folder.resolve(name);
    Files.createFile(
        file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    return Files.writeString(file, text);
  }

  private String leases(String more) {
    StringBuilder xml = new StringBuilder("  <leases term=\"3s\"" + more + " most=\"20000\">\n");
    for (int port : granters) {
      xml.append("    <granter host=\"" + host + "\" port=\"" + port + "\"/>\n");
    }
    return xml.append("  </leases>\n").toString();
  }

  /**
   * Votes go on standing, and none moves a stage on: the run is about what they cost, not what they
   * decide. Its seat is the folder's, under a long lease: on a machine that is busy with other
   * things it would lose the granters' and end, for what is no cost of its own.
   */
  private void controller(ScaleRun.Plan plan) throws IOException {
    Files.createDirectories(incoming());
    StringBuilder racks =
        new StringBuilder("  <racks notice=\"" + NOTICE_MS + "ms\" warm=\"1s\" step=\"1s\">\n");
    for (int i = 0; i < plan.racks(); i++) {
      racks.append(
          String.format(
              "    <rack name=\"%s\" zone=\"%d\" cell=\"%d\"><units kind=\"0\" count=\"%d\"/></rack>%n",
              rack(i), zone(i), cell(i), Math.max(1, plan.endpoints() / plan.racks())));
    }
    racks.append("  </racks>\n");
    Files.writeString(
        controller(),
        String.format(
            Locale.ROOT,
            """
            <controller xmlns="urn:sprucerock:controller:1" name="c0" folder="%s" first-build="%d" places="%d" lease="20s">
              <relays host="%s" port="%d" most="%d"/>
              <agents host="%s" port="%d" most="%d" incoming="%s" watch="1s" patience="20s"><change-stage share="1" harm="0.9"/></agents>
              <hooks host="%s" port="%d"/>
              <api host="%s" port="%d" token="%s"/>
            %s  <stage share="0.1" cap="0.1"/>
              <stage share="1" cap="1"/>
              <votes control="majority" on="%d" hold="%d" back="%d" life="10min" least="10min" start-within="10min" watch="1s"/>
            </controller>
            """,
            folder.resolve("store"),
            FIRST_BUILD,
            plan.endpoints(),
            host,
            relays,
            2 * plan.relays() + 100,
            host,
            agents,
            2 * plan.relays() + 100,
            incoming(),
            host,
            hooks,
            host,
            api,
            secret("token", TOKEN),
            racks,
            plan.relays() + 1,
            plan.relays() + 1,
            plan.relays() + 1));
  }

  private String relayXml(ScaleRun.Plan plan, String name, String grants) {
    return String.format(
        Locale.ROOT,
        """
            <relay xmlns="urn:sprucerock:relay:1" name="%s" number="0" seed="%d">
              <listen host="%s" port="0"/>
              <roster host="%s" port="1"/>
              <desk host="%s" port="%d"/>
              <limits/>
              <connections/>
            %s  <racks/>
              <site relays="%d" tick="100ms">
                <method name="call" effect="idempotent" soft-deadline="200ms" deadline="400ms" utility="1"/>
                <stage cap="0.1"/>
                <stage cap="1"/>
                <rules drain-grace="1s" cold="1s" start-capacity="0.4" tip-multiple="3" tip-after="1s" counted-over="1s" free-picks="3"/>
                <allowed picks="3" second-copies="true" cancel="true" peers="false" retry-after="true" most-retry-after="500ms"/>
                <votes control="majority" life="10min" answer-within="20s"/>
              </site>
            </relay>
            """,
        name,
        plan.seed(),
        host,
        host,
        host,
        relays,
        leases(grants),
        plan.relays());
  }
}
