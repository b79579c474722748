package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;

/** The units that answered this relay last. */
public final class RecentEndpoints {
  private final LinkedHashSet<Endpoint> endpoints = new LinkedHashSet<>();
  private final int maxEndpoints;

  public RecentEndpoints(int most) {
    this.maxEndpoints = most;
  }

  public void add(Endpoint endpoint) {
    if (endpoints.add(endpoint) && endpoints.size() > maxEndpoints) {
      endpoints.remove(endpoints.iterator().next());
    }
  }

  public void remove(Endpoint endpoint) {
    endpoints.remove(endpoint);
  }

  /** Those of a build that may get new work, from one by the dice (0 to under 1) on. */
  public List<Endpoint> ofBuild(Build build, double dice) {
    List<Endpoint> found = new ArrayList<>(endpoints);
    found.removeIf(endpoint -> endpoint.build != build || !endpoint.ready());
    Collections.rotate(found, (int) (dice * found.size()));
    return found;
  }
}
