package sprucerock.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.cert.X509CRL;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucerock.config.Address;
import sprucerock.config.ConfigException;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.Buffers;
import sprucerock.transport.tls.Chain;
import sprucerock.transport.tls.Counter;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.Material;
import sprucerock.transport.tls.Names;
import sprucerock.transport.tls.RefusedException;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.tls.Workers;

@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description =
        "Explains files as a relay would use them, and what a running peer shows. Exit code 1: a relay would not use or talk to it.")
final class TlsCheckCommand implements java.util.concurrent.Callable<Integer> {
  private static final TimeSpan WITHIN = TimeSpan.ofMs(5000);
  private static final long SOON = 14; // days: time to have one made and rolled out

  @Option(
      names = "--trust",
      required = true,
      paramLabel = "FILE",
      description = "whom to trust, PEM or PKCS#12")
  private Path trust;

  @Option(
      names = "--key",
      paramLabel = "FILE",
      description = "the own key, with its chain unless --chain has it")
  private Path key;

  @Option(names = "--chain", paramLabel = "FILE", description = "the own certificates, leaf first")
  private Path chain;

  @Option(
      names = "--password",
      paramLabel = "FILE",
      description = "holds the password of a PKCS#12 key")
  private Path password;

  @Option(names = "--crl", paramLabel = "FILE", description = "revocation lists, PEM")
  private Path crl;

  @Option(
      names = "--at",
      paramLabel = "HOST:PORT",
      description = "a running peer, by its address in numbers")
  private String at;

  @Option(
      names = "--name",
      paramLabel = "NAME",
      description = "the name that the peer has to carry")
  private String name;

  @Override
  public Integer call() throws Exception {
    if ((at == null) != (name == null)) {
      throw new ConfigException("--at and --name go together");
    }
    Material material;
    try {
      material = Material.read(new Material.Sources(trust, key, chain, password, crl));
    } catch (Material.BadMaterialException e) {
      System.out.println(e.getMessage());
      return Commands.WANTING;
    }
    Instant now = Instant.now();
    boolean good = true;
    System.out.println("trusted:");
    for (X509Certificate one : material.anchors) {
      describe(one, now);
    }
    for (X509CRL one : material.crls) {
      boolean old = one.getNextUpdate() != null && one.getNextUpdate().toInstant().isBefore(now);
      System.out.println(
          "  list of "
              + one.getIssuerX500Principal().getName()
              + ", "
              + (one.getRevokedCertificates() == null ? 0 : one.getRevokedCertificates().size())
              + " revoked"
              + (one.getNextUpdate() == null ? "" : ", next due " + one.getNextUpdate().toInstant())
              + (old ? ": IT IS OVERDUE" : ""));
    }
    if (!material.chain.isEmpty()) {
      System.out.println("own:");
      for (X509Certificate one : material.chain) {
        describe(one, now);
      }
      for (Chain.Use use : Chain.Use.values()) {
        good &= use(material, use, now);
      }
    }
    if (at != null) {
      good &= peer(material, now);
    }
    return good ? Commands.DONE : Commands.WANTING;
  }

  private static void describe(X509Certificate one, Instant now) {
    long days =
        Math.floorDiv(Duration.between(now, one.getNotAfter().toInstant()).getSeconds(), 86_400);
    String names;
    try {
      names = String.valueOf(Names.of(one));
    } catch (RefusedException e) {
      names = e.getMessage();
    }
    System.out.println(
        "  "
            + one.getSubjectX500Principal().getName()
            + ", names "
            + names
            + ", by "
            + one.getIssuerX500Principal().getName()
            + ", "
            + one.getPublicKey().getAlgorithm()
            + ", signed with "
            + one.getSigAlgName()
            + ", until "
            + one.getNotAfter().toInstant()
            + ", "
            + days
            + " days left"
            + (days < 0 ? ": IT HAS EXPIRED" : days < SOON ? ": RENEW IT SOON" : ""));
  }

  private static boolean use(Material material, Chain.Use use, Instant now) {
    String who = use == Chain.Use.SERVER ? "who calls" : "whom it calls";
    try {
      Chain.check(
          material.chain,
          new Chain.Trust(
              material.anchors,
              material.crls,
              Duration.ZERO,
              Credentials.Policy.USUAL.longestChain()),
          use,
          now);
      System.out.println("  in order for " + who + ", if they trust the same");
      return true;
    } catch (RefusedException e) {
      System.out.println("  REFUSED by " + who + ": " + e.getMessage());
      return false;
    }
  }

  private boolean peer(Material material, Instant now)
      throws IOException, ConfigException, InterruptedException, GeneralSecurityException {
    int colon = at.lastIndexOf(':');
    InetSocketAddress address = null;
    try {
      if (colon > 0) {
        address = Address.of(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
      }
    } catch (NumberFormatException e) {
      address = null; // said below
    }
    if (address == null) {
      throw new ConfigException(
          "--at is an address in numbers with a port, such as 10.0.0.7:7000, not " + at);
    }
    Credentials credentials = new Credentials(material, Credentials.Policy.USUAL, Instant::now);
    CompletableFuture<String> end = new CompletableFuture<>();
    InetSocketAddress to = address;
    try (NioLoop loop = new NioLoop("check", end::completeExceptionally);
        Workers workers = new Workers(1, 10, loop::post, end::completeExceptionally)) {
      loop.post(
          () -> {
            TlsConnection[] connection = new TlsConnection[1];
            ConnectionListener user =
                new ConnectionListener() {
                  @Override
                  public void connected(Connection made) {
                    X509Certificate shown = connection[0].peer();
                    System.out.println("peer at " + at + ":");
                    describe(shown, now);
                    end.complete("");
                    made.finish();
                  }

                  @Override
                  public void received(ByteBuffer bytes) {}

                  @Override
                  public void closed(String why) {
                    end.complete(why);
                  }
                };
            connection[0] =
                TlsConnection.client(
                    new TlsConnection.Place(loop, new Buffers(), workers, WITHIN, Counter.NONE),
                    credentials,
                    name,
                    to.getPort(),
                    user);
            loop.connect(to, WITHIN, 1 << 20, connection[0]);
          });
      String why = end.get(20, TimeUnit.SECONDS);
      System.out.println(
          why.isEmpty() ? "  proven to be " + name : "peer at " + at + ": REFUSED: " + why);
      return why.isEmpty();
    } catch (java.util.concurrent.ExecutionException | TimeoutException e) {
      throw new IOException(at + ": " + e);
    }
  }
}
