package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.policy.RelayEvents;
import sprucerock.time.Timestamp;

/**
 * The currently listed endpoints and the known builds. A part of {@link RequestTracker}: only these
 * two classes write the state of endpoints and builds.
 */
final class EndpointRegistry {
  private final TreeMap<Long, Endpoint> endpoints = new TreeMap<>();
  private final TreeMap<Integer, Build> builds = new TreeMap<>();
  private final MethodAccounts accounts;
  private RelayEvents listener;
  private int minTrialBuild;

  EndpointRegistry(MethodAccounts accounts) {
    this.accounts = accounts;
  }

  void setListener(RelayEvents policy) {
    listener = policy;
  }

  /** Returns the endpoint listed under an id; null if there is none. */
  Endpoint get(long id) {
    return endpoints.get(id);
  }

  /** Returns a copy of the list of endpoints, ordered by id. */
  List<Endpoint> copyOfEndpoints() {
    return new ArrayList<>(endpoints.values());
  }

  /**
   * Adds or updates an endpoint from an endpoint list or a watch event. A different build or start
   * time under a known id is a new process, and therefore another endpoint.
   */
  Endpoint addOrUpdate(
      long id,
      int zone,
      int hardwareFamily,
      int cell,
      int build,
      Timestamp startedAt,
      double weight,
      boolean ready) {
    Endpoint endpoint = endpoints.get(id);
    if (endpoint != null && !endpoint.isSameProcess(build, startedAt)) {
      remove(id);
      endpoint = null;
    }
    if (endpoint == null) {
      endpoint = new Endpoint(id, zone, hardwareFamily, cell, build(build), startedAt, weight);
      endpoint.setRow(accounts.row(accounts.endpoints, "" + id));
      endpoints.put(id, endpoint);
    }
    endpoint.setWeight(weight);
    if (!ready) {
      drain(endpoint);
    } else if (!endpoint.ready()) {
      endpoint.setReady(true);
      endpoint.build.add(endpoint);
      listener.endpointReady(endpoint);
    }
    return endpoint;
  }

  /** Removes the endpoint with an id; does nothing if there is none. */
  void remove(long id) {
    Endpoint endpoint = endpoints.remove(id);
    if (endpoint != null) {
      drain(endpoint);
    }
  }

  /** Removes all endpoints except those with the given ids. */
  void retainOnly(Set<Long> listedIds) {
    for (Endpoint endpoint : copyOfEndpoints()) {
      if (!listedIds.contains(endpoint.id)) {
        remove(endpoint.id);
      }
    }
  }

  private void drain(Endpoint endpoint) {
    if (endpoint.ready()) {
      endpoint.build.remove(endpoint);
    }
    endpoint.setReady(false);
    listener.endpointDraining(endpoint);
  }

  /** Returns the build with a number; adds the build if it is not known. */
  Build build(int number) {
    return builds.computeIfAbsent(
        number,
        buildNumber -> {
          Build build = new Build(buildNumber);
          build.setRow(accounts.row(accounts.builds, "" + buildNumber));
          return build;
        });
  }

  /** Returns the build with a number; null if it is not known. */
  Build knownBuild(int number) {
    return builds.get(number);
  }

  /** Records the build announced last, which is on trial unless it was released. */
  void recordRollout(int build, boolean released) {
    minTrialBuild = released ? build + 1 : build;
  }

  int minTrialBuild() {
    return minTrialBuild;
  }

  /** Removes each build with a lower number that has no ready endpoint. */
  void forgetBuildsBefore(int number) {
    builds.values().removeIf(build -> build.endpoints.isEmpty() && build.number < number);
  }
}
