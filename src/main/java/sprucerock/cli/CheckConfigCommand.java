package sprucerock.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;
import sprucerock.config.RelayConfig;
import sprucerock.transport.tls.Material;

@Command(
    name = "check-config",
    mixinStandardHelpOptions = true,
    description = "Checks a relay's configuration.")
final class CheckConfigCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "such as relay.xml")
  private Path file;

  @Override
  public Integer call() throws Exception {
    RelayConfig config = RelayConfig.read(file);
    if (config.tlsSetup != null) {
      try {
        Material.read(config.tlsSetup.files());
      } catch (Material.BadMaterialException e) {
        throw new ConfigException(e.getMessage());
      }
    }
    System.out.println(
        file
            + ": relay "
            + config.name
            + ", number "
            + config.settings.relayIndex
            + " of "
            + config.settings.relayCount
            + ", "
            + config.settings.methods.size()
            + " methods, "
            + config.peers.size()
            + " peers: in order");
    return Commands.DONE;
  }
}
