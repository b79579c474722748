package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;

/** The endpoints that answered this relay last; connections to them are probably open. */
public final class RecentEndpoints {
  private final LinkedHashSet<Endpoint> endpoints = new LinkedHashSet<>();
  private final int maxEndpoints;

  /** Creates an empty set; beyond {@code maxEndpoints}, the endpoint added first is removed. */
  public RecentEndpoints(int maxEndpoints) {
    this.maxEndpoints = maxEndpoints;
  }

  /** Adds an endpoint that answered. An endpoint already present keeps its place. */
  public void add(Endpoint endpoint) {
    if (endpoints.add(endpoint) && endpoints.size() > maxEndpoints) {
      endpoints.remove(endpoints.iterator().next());
    }
  }

  /** Removes an endpoint whose connection broke or could not be opened. */
  public void remove(Endpoint endpoint) {
    endpoints.remove(endpoint);
  }

  /**
   * Lists the endpoints of a build that may get new work, in the order in which they were added,
   * rotated by a random offset.
   *
   * @param random a uniform random number, from 0 (inclusive) to 1 (exclusive)
   */
  public List<Endpoint> readyOfBuild(Build build, double random) {
    List<Endpoint> ready = new ArrayList<>(endpoints);
    ready.removeIf(endpoint -> endpoint.build != build || !endpoint.ready());
    Collections.rotate(ready, (int) (random * ready.size()));
    return ready;
  }
}
