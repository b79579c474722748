package sprucerock.transport.tls;

/**
 * Why a peer is not talked to, each with words of its own; docs/operators/tls.md explains them one
 * by one.
 */
public enum Refusal {
  WRONG_NAME("its certificate carries another name"),
  EXPIRED("a certificate has expired"),
  NOT_YET_VALID("a certificate is not valid yet"),
  WRONG_USE("a certificate is not for this use"),
  UNKNOWN_ISSUER("its certificate leads to no trusted issuer"),
  WEAK("a key or signature is too weak"),
  CHAIN_TOO_LONG("its chain is too long"),
  REVOKED("a certificate was revoked"),
  NO_CERTIFICATE("it showed no certificate"),
  MALFORMED("its certificate can't be understood"),
  NO_PROTOCOL("it does not speak this product's protocol"),
  NOT_TLS("it does not speak TLS 1.2 or 1.3 that is allowed here"),
  PEER_REFUSED("it refused us"),
  TIMED_OUT("its handshake took too long"),
  ENDED("the connection ended within its handshake"),
  TOO_MANY("too many handshakes are under way"),
  FAILED("its handshake failed");

  private final String words;

  Refusal(String words) {
    this.words = words;
  }

  /** For people, without what differs from case to case. */
  public String words() {
    return words;
  }
}
