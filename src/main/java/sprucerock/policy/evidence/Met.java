package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;

/** The units that answered this relay last. */
public final class Met {
  private final LinkedHashSet<Endpoint> endpoints = new LinkedHashSet<>();
  private final int most;

  public Met(int most) {
    this.most = most;
  }

  public void answered(Endpoint endpoint) {
    if (endpoints.add(endpoint) && endpoints.size() > most) {
      endpoints.remove(endpoints.iterator().next());
    }
  }

  public void lost(Endpoint endpoint) {
    endpoints.remove(endpoint);
  }

  /** Those of a build that may get new work, from one by the dice (0 to under 1) on. */
  public List<Endpoint> of(Build build, double dice) {
    List<Endpoint> found = new ArrayList<>(endpoints);
    found.removeIf(endpoint -> endpoint.build != build || !endpoint.ready());
    Collections.rotate(found, (int) (dice * found.size()));
    return found;
  }
}
