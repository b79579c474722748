package sprucerock.accounting;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.model.Attempt;
import sprucerock.model.AttemptOutcome;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.Method;
import sprucerock.model.RolloutState;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.policy.RelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The life of each RPC, pick, unit and build of one relay, the same under every host of the module:
 * it writes the facts, and then tells the module. The host tells it what came in, and what the
 * module had it do. One thread.
 */
public final class RequestTracker {
  // columns of the RPCs' accounts
  private static final int PUSHED_BACK = 2;
  private static final int ABORTED = 3;
  private static final int LEFT = 4;

  private final Settings settings;
  private final Map<Long, Rpc> rpcs = new HashMap<>();
  private final TreeMap<Long, Endpoint> endpoints = new TreeMap<>();
  private int newestRolloutBuild;
  private final TreeMap<Integer, Build> builds = new TreeMap<>();
  private final MethodAccounts accounts;
  private final int[] tenantRows;
  private RelayEvents module;
  private int openRpcs;

  /** One whose figures are told apart by method only, under their numbers. */
  public RequestTracker(Settings settings) {
    this(
        settings,
        new MethodAccounts(
            settings.methods.stream().map(method -> "" + method.index).toList(),
            MethodAccounts.Capacity.NONE));
  }

  public RequestTracker(Settings settings, MethodAccounts accounts) {
    this.settings = settings;
    this.accounts = accounts;
    tenantRows = new int[accounts.tenants.rows()];
    Arrays.fill(tenantRows, -1);
  }

  public MethodAccounts accounts() {
    return accounts;
  }

  private int row(int tenant) {
    int other = tenantRows.length - 1;
    if (tenant < 0 || tenant >= other) {
      return other;
    }
    if (tenantRows[tenant] < 0) {
      tenantRows[tenant] = accounts.row(accounts.tenants, "" + tenant);
    }
    return tenantRows[tenant];
  }

  /** Names the module to be told; once, since it needs its host before it can be made. */
  public void setListener(RelayEvents toBeTold) {
    module = toBeTold;
  }

  /** RPCs that have no final answer yet. */
  public int openRpcs() {
    return openRpcs;
  }

  /** RPCs that are open or have picks out. */
  public int trackedRpcs() {
    return rpcs.size();
  }

  /** An RPC by the id under which it arrived; null once it is over and forgotten. */
  public Rpc rpc(long id) {
    return rpcs.get(id);
  }

  /** A unit as listed now; null where none has the id. */
  public Endpoint endpoint(long id) {
    return endpoints.get(id);
  }

  public List<Endpoint> endpoints() {
    return new ArrayList<>(endpoints.values());
  }

  // What comes in.

  /** An RPC came; {@code id} is one that no RPC known here has. */
  public Rpc rpcArrived(
      long id,
      Method method,
      int tenant,
      long key,
      Timestamp now,
      Timestamp deadline,
      TimeSpan hint,
      Object door) {
    Rpc rpc = new Rpc(id, method, tenant, key, now, deadline, hint, door);
    rpcs.put(id, rpc);
    openRpcs++;
    accounts.rpcArrived(method.index, row(tenant));
    module.rpcArrived(rpc);
    return rpc;
  }

  /** The answer has begun to reach the client. */
  public void streamStarted(Attempt attempt) {
    attempt.rpc.markStreaming();
    module.streamStarted(attempt);
  }

  /**
   * A pick ended, once; {@code closes} says that its RPC is over, by this or before. An ok that
   * closes one which was open is its answer.
   */
  public void attemptEnded(Attempt attempt, AttemptOutcome outcome, TimeSpan took, boolean closes) {
    if (attempt.outcome() != null) {
      return;
    }
    Rpc rpc = attempt.rpc;
    attempt.recordOutcome(outcome, took);
    attempt.endpoint.attemptEnded();
    rpc.attemptEnded();
    // the columns have the order of the outcomes
    accounts.attemptEnded(
        rpc.method.index,
        attempt.endpoint.build.row(),
        attempt.endpoint.row(),
        attempt.shadow,
        attempt.written(),
        1 + outcome.ordinal(),
        took);
    boolean answers = closes && !rpc.ended();
    if (answers && outcome == AttemptOutcome.OK) {
      answered(rpc, attempt.sent.plus(took));
    } else if (answers) {
      close(rpc, ABORTED); // a stream that broke
    }
    module.attemptEnded(attempt, answers);
    forget(rpc);
  }

  private void answered(Rpc rpc, Timestamp now) {
    TimeSpan after = now.since(rpc.arrived);
    end(rpc);
    accounts.rpcAnswered(
        rpc.method.index,
        row(rpc.tenant),
        after,
        !after.over(rpc.method.latencyObjective),
        !now.after(rpc.deadline));
  }

  /** The client went away; nothing is owed any more. */
  public void clientLeft(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    close(rpc, LEFT);
    module.clientLeft(rpc);
    forget(rpc);
  }

  /** A unit as a list or a change has it; a run that began at another time is another unit. */
  public Endpoint endpointListed(
      long id,
      int zone,
      int kind,
      int cell,
      int build,
      Timestamp started,
      double weight,
      boolean mayGetWork) {
    Endpoint known = endpoints.get(id);
    if (known != null && !known.sameRun(build, started)) {
      endpointRemoved(id);
      known = null;
    }
    if (known == null) {
      known = new Endpoint(id, zone, kind, cell, build(build), started, weight);
      known.row(accounts.row(accounts.endpoints, "" + id));
      endpoints.put(id, known);
    }
    known.setWeight(weight);
    if (!mayGetWork) {
      leave(known);
    } else if (!known.ready()) {
      known.ready(true);
      known.build.add(known);
      module.endpointReady(known);
    }
    return known;
  }

  /** A unit is gone; nothing happens where none has the id. */
  public void endpointRemoved(long id) {
    Endpoint endpoint = endpoints.remove(id);
    if (endpoint != null) {
      leave(endpoint);
    }
  }

  /** A whole list came: all that it does not name are gone. */
  public void retainEndpoints(Set<Long> named) {
    for (Endpoint endpoint : endpoints()) {
      if (!named.contains(endpoint.id)) {
        endpointRemoved(endpoint.id);
      }
    }
  }

  private void leave(Endpoint endpoint) {
    if (endpoint.ready()) {
      endpoint.build.remove(endpoint);
    }
    endpoint.ready(false);
    module.endpointDraining(endpoint);
  }

  public void rolloutChanged(
      int build, int stage, RolloutState standing, double cap, Timestamp since) {
    newestRolloutBuild = standing == RolloutState.RELEASED ? build + 1 : build;
    module.newsOfBuild(build(build), stage, standing, cap, since);
    builds.values().removeIf(one -> one.endpoints.isEmpty() && one.number < build - 1);
  }

  /** Counts of a build that this relay never heard of tell it nothing. */
  public void counted(int build, int method, double attempts, double failed, TimeSpan mean) {
    Build known = builds.get(build);
    if (known != null) {
      module.counted(known, settings.methods.get(method), attempts, failed, mean);
    }
  }

  /**
   * A client found an answer of a pick wrong that was sent so long ago; only the run that gave it
   * is meant.
   */
  public void flagged(long endpoint, TimeSpan sentAgo, Timestamp now) {
    Endpoint known = endpoints.get(endpoint);
    if (known != null && known.olderThan(sentAgo, now)) {
      module.flagged(known);
    }
  }

  /**
   * The number of the newest build that news was of; builds below it are no part of a trial. 0:
   * there was no news.
   */
  public int newestRolloutBuild() {
    return newestRolloutBuild;
  }

  /** A unit gave a sign when it was looked at, or none. */
  public void healthChecked(long endpoint, boolean answered) {
    Endpoint known = endpoints.get(endpoint);
    if (known != null && known.ready()) {
      module.looked(known, answered);
    }
  }

  /** The build of a number, known from now on. */
  public Build build(int number) {
    return builds.computeIfAbsent(
        number,
        key -> {
          Build made = new Build(key);
          made.row(accounts.row(accounts.builds, "" + key));
          return made;
        });
  }

  // What the module had its host do.

  public void attemptSent(Attempt attempt) {
    attempt.rpc.add(attempt);
    attempt.endpoint.attemptStarted();
    accounts.attemptSent(
        attempt.rpc.method.index,
        attempt.endpoint.build.row(),
        attempt.endpoint.row(),
        attempt.shadow);
  }

  /** A pick was put on a connection to its unit. */
  public void attemptWritten(Attempt attempt) {
    attempt.markWritten();
    accounts.attemptWritten();
  }

  /** The result of a pick came that had ended before; it changes nothing. */
  public void lateResult(AttemptOutcome outcome) {
    accounts.postNew(
        accounts.lateResults,
        0,
        outcome == AttemptOutcome.OK ? 1 : outcome == AttemptOutcome.FULL ? 3 : 2);
  }

  public void rejected(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    close(rpc, PUSHED_BACK);
    forget(rpc);
  }

  public void aborted(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    close(rpc, ABORTED);
    forget(rpc);
  }

  private void close(Rpc rpc, int how) {
    end(rpc);
    accounts.rpcEnded(rpc.method.index, row(rpc.tenant), how);
  }

  private void end(Rpc rpc) {
    rpc.markEnded();
    openRpcs--;
  }

  private void forget(Rpc rpc) {
    if (rpc.ended() && rpc.inFlight() == 0) {
      rpcs.remove(rpc.id, rpc);
    }
  }
}
