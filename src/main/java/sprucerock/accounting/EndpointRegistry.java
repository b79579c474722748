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
 * The endpoints that are listed now, and the builds that they run. Part of {@link RequestTracker},
 * and with it the only writer of their facts.
 */
final class EndpointRegistry {
  private final TreeMap<Long, Endpoint> endpoints = new TreeMap<>();
  private final TreeMap<Integer, Build> builds = new TreeMap<>();
  private final MethodAccounts accounts;
  private RelayEvents listener;
  private int newestRolloutBuild;

  EndpointRegistry(MethodAccounts accounts) {
    this.accounts = accounts;
  }

  void setListener(RelayEvents policy) {
    listener = policy;
  }

  /** The endpoint listed under an id; null where there is none. */
  Endpoint get(long id) {
    return endpoints.get(id);
  }

  /** A copy of the list, by id. */
  List<Endpoint> all() {
    return new ArrayList<>(endpoints.values());
  }

  /**
   * An endpoint as a list or a change has it. Another build or start time under a known id is a new
   * process, and so another endpoint.
   */
  Endpoint listed(
      long id,
      int zone,
      int kind,
      int cell,
      int build,
      Timestamp started,
      double weight,
      boolean ready) {
    Endpoint known = endpoints.get(id);
    if (known != null && !known.isSameProcess(build, started)) {
      removed(id);
      known = null;
    }
    if (known == null) {
      known = new Endpoint(id, zone, kind, cell, build(build), started, weight);
      known.setRow(accounts.row(accounts.endpoints, "" + id));
      endpoints.put(id, known);
    }
    known.setWeight(weight);
    if (!ready) {
      drain(known);
    } else if (!known.ready()) {
      known.setReady(true);
      known.build.add(known);
      listener.endpointReady(known);
    }
    return known;
  }

  /** An endpoint is gone; nothing happens where none has the id. */
  void removed(long id) {
    Endpoint endpoint = endpoints.remove(id);
    if (endpoint != null) {
      drain(endpoint);
    }
  }

  /** All endpoints but the given ones are gone. */
  void retain(Set<Long> listed) {
    for (Endpoint endpoint : all()) {
      if (!listed.contains(endpoint.id)) {
        removed(endpoint.id);
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

  /** The build of a number, known from now on. */
  Build build(int number) {
    return builds.computeIfAbsent(
        number,
        key -> {
          Build made = new Build(key);
          made.setRow(accounts.row(accounts.builds, "" + key));
          return made;
        });
  }

  /** The build of a number; null where it is unknown. */
  Build knownBuild(int number) {
    return builds.get(number);
  }

  /** A build was announced; once it is released, it is no part of a trial any more. */
  void recordRollout(int build, boolean released) {
    newestRolloutBuild = released ? build + 1 : build;
  }

  int newestRolloutBuild() {
    return newestRolloutBuild;
  }

  /** Drops the builds below a number that no ready endpoint runs. */
  void forgetBuildsBefore(int number) {
    builds.values().removeIf(build -> build.endpoints.isEmpty() && build.number < number);
  }
}
