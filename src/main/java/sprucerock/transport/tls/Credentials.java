package sprucerock.transport.tls;

import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * One generation of key and trust, and the sessions made under it. A change of either is another
 * one with sessions of its own, so that none is ever resumed across it; sessions are kept by the
 * peer's name, so that none is resumed under another.
 */
public final class Credentials {
  /** What holds for all generations. */
  public record Policy(
      List<String> versions, Duration skew, int longestChain, int sessions, Duration sessionLife) {
    /**
     * TLS 1.3 and 1.2; five minutes of skew; four certificates; 10,000 sessions for at most an
     * hour.
     */
    public static final Policy USUAL =
        new Policy(
            List.of("TLSv1.3", "TLSv1.2"), Duration.ofMinutes(5), 4, 10_000, Duration.ofHours(1));
  }

  /** The product's protocol, as both ends have to name it. */
  public static final String PROTOCOL = "sprucerock/1";

  private static final String[] SUITES = {
    "TLS_AES_128_GCM_SHA256",
    "TLS_AES_256_GCM_SHA384",
    "TLS_CHACHA20_POLY1305_SHA256",
    "TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256",
    "TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256",
    "TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384",
    "TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384",
    "TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305_SHA256",
    "TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305_SHA256"
  };

  static {
    // before the library reads it: a peer of TLS 1.2 that wants to renegotiate is cut off
    System.setProperty("jdk.tls.rejectClientInitiatedRenegotiation", "true");
  }

  /**
   * What is expected of the peer of one engine, and whether its certificates were looked at: else
   * the session was resumed.
   */
  static final class Expected {
    private final List<String> names;
    private final Chain.Use use;
    private volatile boolean looked;

    Expected(List<String> names, Chain.Use use) {
      this.names = names;
      this.use = use;
    }

    boolean looked() {
      return looked;
    }
  }

  private final Material material;
  private final Policy policy;
  private final Supplier<Instant> clock;
  private final SSLContext context;
  private final Chain.Trust trust;

  /** Engines in their handshakes; each is taken out when that is over. */
  private final Map<SSLEngine, Expected> expected = new ConcurrentHashMap<>();

  /**
   * @throws GeneralSecurityException if the platform can't use the key
   */
  public Credentials(Material material, Policy policy, Supplier<Instant> clock)
      throws GeneralSecurityException {
    this.material = material;
    this.policy = policy;
    this.clock = clock;
    trust = new Chain.Trust(material.anchors, material.crls, policy.skew, policy.longestChain);
    context = SSLContext.getInstance("TLS");
    context.init(keys(material), new TrustManager[] {new Judge()}, null);
    context.getClientSessionContext().setSessionCacheSize(policy.sessions);
    context.getClientSessionContext().setSessionTimeout((int) policy.sessionLife.getSeconds());
    context.getServerSessionContext().setSessionCacheSize(policy.sessions);
    context.getServerSessionContext().setSessionTimeout((int) policy.sessionLife.getSeconds());
  }

  public Material material() {
    return material;
  }

  Instant now() {
    return clock.get();
  }

  private static KeyManager[] keys(Material material) throws GeneralSecurityException {
    if (material.key == null) {
      return new KeyManager[0];
    }
    try {
      char[] secret =
          java.util.UUID.randomUUID().toString().toCharArray(); // never leaves this process
      KeyStore store = KeyStore.getInstance("PKCS12");
      store.load(null, null);
      store.setKeyEntry(
          "own", material.key, secret, material.chain.toArray(new X509Certificate[0]));
      // not PKIX's: that one opens the store, and so derives its key from the secret, in each
      // handshake
      KeyManagerFactory factory = KeyManagerFactory.getInstance("SunX509");
      factory.init(store, secret);
      return factory.getKeyManagers();
    } catch (java.io.IOException e) {
      throw new GeneralSecurityException(e);
    }
  }

  private SSLEngine engine(SSLEngine engine, boolean client, Expected expects) {
    engine.setUseClientMode(client);
    SSLParameters parameters = engine.getSSLParameters();
    parameters.setProtocols(policy.versions.toArray(new String[0]));
    parameters.setCipherSuites(
        Arrays.stream(SUITES)
            .filter(List.of(engine.getSupportedCipherSuites())::contains)
            .toArray(String[]::new));
    parameters.setApplicationProtocols(new String[] {PROTOCOL});
    parameters.setUseCipherSuitesOrder(true);
    engine.setSSLParameters(parameters);
    expected.put(engine, expects);
    return engine;
  }

  /** One that calls a peer of a name; the port only tells sessions apart. */
  SSLEngine client(String name, int port) {
    return engine(
        context.createSSLEngine(name, port), true, new Expected(List.of(name), Chain.Use.SERVER));
  }

  /** One that is called; {@code proven}: the caller must show a certificate. */
  SSLEngine server(boolean proven) {
    SSLEngine engine =
        engine(context.createSSLEngine(), false, new Expected(List.of(), Chain.Use.CLIENT));
    if (proven) {
      engine.setNeedClientAuth(true);
    }
    return engine;
  }

  /** What is expected of an engine's peer; null once its handshake is over. */
  Expected expected(SSLEngine engine) {
    return expected.get(engine);
  }

  /** Its handshake is over, whichever way. */
  void over(SSLEngine engine) {
    expected.remove(engine);
  }

  /** The certificates of a session, which may be resumed, are held against everything once more. */
  void check(SSLSession session, Expected expects) throws RefusedException {
    try {
      check(
          Arrays.stream(session.getPeerCertificates()).map(one -> (X509Certificate) one).toList(),
          expects);
    } catch (SSLPeerUnverifiedException e) {
      throw new RefusedException(Refusal.NO_CERTIFICATE, "none came");
    }
  }

  private void check(List<X509Certificate> chain, Expected expects) throws RefusedException {
    Chain.check(chain, trust, expects.use, clock.get());
    if (expects.names.isEmpty()) {
      return;
    }
    for (String name : expects.names) {
      if (Names.carries(chain.get(0), name)) {
        return;
      }
    }
    throw new RefusedException(
        Refusal.WRONG_NAME,
        "it is for " + Names.of(chain.get(0)) + ", not for " + expects.names.get(0));
  }

  private final class Judge extends X509ExtendedTrustManager {
    private void look(X509Certificate[] chain, SSLEngine engine) throws CertificateException {
      Expected expects = expected.get(engine);
      if (expects == null) {
        throw new RefusedException(Refusal.FAILED, "a handshake that nobody began");
      }
      check(chain == null ? List.of() : List.of(chain), expects);
      expects.looked = true;
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String kind, SSLEngine engine)
        throws CertificateException {
      look(chain, engine);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String kind, SSLEngine engine)
        throws CertificateException {
      look(chain, engine);
    }

    // nothing here uses sockets of the library

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String kind, Socket socket)
        throws CertificateException {
      throw new RefusedException(Refusal.FAILED, "only engines are served");
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String kind, Socket socket)
        throws CertificateException {
      throw new RefusedException(Refusal.FAILED, "only engines are served");
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String kind)
        throws CertificateException {
      throw new RefusedException(Refusal.FAILED, "only engines are served");
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String kind)
        throws CertificateException {
      throw new RefusedException(Refusal.FAILED, "only engines are served");
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
      return material.anchors.toArray(new X509Certificate[0]);
    }
  }
}
