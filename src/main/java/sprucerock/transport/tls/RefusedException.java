package sprucerock.transport.tls;

import java.security.cert.CertificateException;

/** A peer's certificates were refused, for one stated reason. */
public final class RefusedException extends CertificateException {
  private static final long serialVersionUID = 1L;

  public final Refusal refusal;

  public RefusedException(Refusal refusal, String detail) {
    super(refusal.words() + ": " + detail);
    this.refusal = refusal;
  }
}
