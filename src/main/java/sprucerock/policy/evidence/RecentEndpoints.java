package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;

/** The endpoints that answered this relay last, so that connections to them are likely open. */
public final class RecentEndpoints {
  private final LinkedHashSet<Endpoint> endpoints = new LinkedHashSet<>();
  private final int maxEndpoints;

  /** Remembers so many at most; the one that was added first goes first. */
  public RecentEndpoints(int maxEndpoints) {
    this.maxEndpoints = maxEndpoints;
  }

  /** It answered; one that is known already keeps its place in the order. */
  public void add(Endpoint endpoint) {
    if (endpoints.add(endpoint) && endpoints.size() > maxEndpoints) {
      endpoints.remove(endpoints.iterator().next());
    }
  }

  /** Its connection broke, or could not be made. */
  public void remove(Endpoint endpoint) {
    endpoints.remove(endpoint);
  }

  /** Those of a build that may get new work, beginning at one by {@code random}, 0 to under 1. */
  public List<Endpoint> readyOfBuild(Build build, double random) {
    List<Endpoint> found = new ArrayList<>(endpoints);
    found.removeIf(endpoint -> endpoint.build != build || !endpoint.ready());
    Collections.rotate(found, (int) (random * found.size()));
    return found;
  }
}
