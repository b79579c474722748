package sprucerock.policy;

import sprucerock.model.Attempt;

/**
 * Decides whether an attempt may still be written to its connection. An attempt may wait for its
 * connection to come up; meanwhile its endpoint may drain, the canary may answer the request's key,
 * and the canary's exposure cap may be lowered. The attempt then never runs, and the request may
 * get another.
 */
final class WriteAdmission {
  private final EndpointListGate listGate;
  private final KeyAffinity keys;
  private final ExposureLimiter exposure;

  WriteAdmission(EndpointListGate listGate, KeyAffinity keys, ExposureLimiter exposure) {
    this.listGate = listGate;
    this.keys = keys;
    this.exposure = exposure;
  }

  boolean mayWrite(Attempt attempt) {
    return listGate.allowsAttempts()
        && attempt.endpoint.ready()
        && keys.allows(attempt.rpc, attempt.endpoint.build)
        && exposure.stillAllows(attempt);
  }
}
