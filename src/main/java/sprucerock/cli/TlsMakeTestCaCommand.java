package sprucerock.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucerock.config.ConfigException;
import sprucerock.transport.tls.TestCa;

@Command(
    name = "make-test-ca",
    mixinStandardHelpOptions = true,
    description =
        "Makes a root and a key with a certificate for each name, for trying out. Its own key is thrown away.")
final class TlsMakeTestCaCommand implements Callable<Integer> {
  @Option(
      names = "--into",
      required = true,
      paramLabel = "DIR",
      description = "a new or empty folder")
  private Path folder;

  @Option(
      names = "--kind",
      paramLabel = "KIND",
      defaultValue = "P-256",
      description = "RSA-2048, RSA-3072, P-256, P-384 or Ed25519")
  private String kind;

  @Parameters(
      paramLabel = "NAME",
      arity = "1..*",
      description = "DNS names or addresses; one certificate each")
  private List<String> names;

  @Override
  public Integer call() throws Exception {
    if (!List.of("RSA-2048", "RSA-3072", "P-256", "P-384", "Ed25519").contains(kind)) {
      throw new ConfigException(
          "--kind is RSA-2048, RSA-3072, P-256, P-384 or Ed25519, not " + kind);
    }
    for (String name : names) {
      if (!name.matches("[A-Za-z0-9.:-]{1,200}")) {
        throw new ConfigException("a name is a DNS name or an address in numbers, not " + name);
      }
    }
    Files.createDirectories(folder);
    try (var files = Files.list(folder)) {
      if (files.findAny().isPresent()) {
        throw new ConfigException(folder + ": is not empty; name a new folder");
      }
    }
    TestCa ca = TestCa.root("test " + System.currentTimeMillis());
    Files.writeString(folder.resolve("trust.pem"), TestCa.pem(ca.certificate()));
    for (String name : names) {
      TestCa.write(
          folder.resolve(name.replace(':', '_') + ".pem"),
          ca.make(TestCa.leaf(name).keyKind(kind)));
    }
    System.out.println(
        folder
            + ": trust.pem, and key and certificate for each of "
            + names
            + ", for 90 days. For tests only.");
    return Commands.DONE;
  }
}
