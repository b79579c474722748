package sprucerock.accounting;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * The state of each RPC, attempt, endpoint and build of one relay, the same under every host of the
 * routing policy. It is the only writer of their facts, counts them in {@link MethodAccounts}, and
 * then notifies the policy. The host reports what came in, and what the policy had it do.
 *
 * <p>One thread. Calls about what has ended already change nothing.
 */
public final class RequestTracker {
  // columns of the RPCs' accounts
  private static final int REJECTED = 2;
  private static final int ABORTED = 3;
  private static final int CLIENT_LEFT = 4;

  // columns of the late results' accounts
  private static final int LATE_OK = 1;
  private static final int LATE_ERROR = 2;
  private static final int LATE_FULL = 3;

  private static final int UNASSIGNED = -1;

  private final Settings settings;
  private final Map<Long, Rpc> rpcs = new HashMap<>();
  private final EndpointRegistry endpoints;
  private final MethodAccounts accounts;
  private final int[] tenantRows;
  private RelayEvents listener;
  private int openRpcs;

  /** A tracker whose counters are told apart by method only, named by their numbers. */
  public RequestTracker(Settings settings) {
    this(
        settings,
        new MethodAccounts(
            settings.methods.stream().map(method -> "" + method.index).toList(),
            MethodAccounts.Capacity.NONE));
  }

  /** A tracker that counts in the given accounts, which nobody else posts RPCs and attempts to. */
  public RequestTracker(Settings settings, MethodAccounts accounts) {
    this.settings = settings;
    this.accounts = accounts;
    endpoints = new EndpointRegistry(accounts);
    tenantRows = new int[accounts.tenants.rowCount()];
    Arrays.fill(tenantRows, UNASSIGNED);
  }

  /** Where it counts. */
  public MethodAccounts accounts() {
    return accounts;
  }

  private int tenantRow(int tenant) {
    int other = tenantRows.length - 1;
    if (tenant < 0 || tenant >= other) {
      return other;
    }
    if (tenantRows[tenant] == UNASSIGNED) {
      tenantRows[tenant] = accounts.row(accounts.tenants, "" + tenant);
    }
    return tenantRows[tenant];
  }

  /**
   * Sets the policy to be notified; once, before anything else. It isn't an argument of the
   * constructor because a policy needs its host first.
   */
  public void setListener(RelayEvents policy) {
    listener = policy;
    endpoints.setListener(policy);
  }

  /** How many RPCs have no final answer yet. */
  public int openRpcs() {
    return openRpcs;
  }

  /** How many RPCs are open or have attempts in flight. */
  public int trackedRpcs() {
    return rpcs.size();
  }

  /** The RPC that arrived under an id; null once it is over and forgotten. */
  public Rpc rpc(long id) {
    return rpcs.get(id);
  }

  /** The endpoint listed under an id; null where there is none. */
  public Endpoint endpoint(long id) {
    return endpoints.get(id);
  }

  /** A copy of the list of endpoints, by id. */
  public List<Endpoint> endpoints() {
    return endpoints.all();
  }

  // What comes in.

  /**
   * An RPC arrived.
   *
   * @param id one that no RPC tracked here has
   * @param workHint the work that the client expects; null without a hint
   * @param attachment what the listener that took it keeps with it; may be null
   */
  public Rpc rpcArrived(
      long id,
      Method method,
      int tenant,
      long key,
      Timestamp now,
      Timestamp deadline,
      TimeSpan workHint,
      Object attachment) {
    Rpc rpc = new Rpc(id, method, tenant, key, now, deadline, workHint, attachment);
    rpcs.put(id, rpc);
    openRpcs++;
    accounts.rpcArrived(method.index, tenantRow(tenant));
    listener.rpcArrived(rpc);
    return rpc;
  }

  /** An attempt's answer has begun to reach the client. */
  public void streamStarted(Attempt attempt) {
    attempt.rpc.markStreaming();
    listener.streamStarted(attempt);
  }

  /**
   * An attempt ended; only the first call for it counts.
   *
   * @param closes whether its RPC is over, by this or before; an ok that closes one which was open
   *     is its answer
   */
  public void attemptEnded(
      Attempt attempt, AttemptOutcome outcome, TimeSpan latency, boolean closes) {
    if (attempt.outcome() != null) {
      return;
    }
    Rpc rpc = attempt.rpc;
    attempt.recordOutcome(outcome, latency);
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
        latency);
    boolean answers = closes && !rpc.ended();
    if (answers && outcome == AttemptOutcome.OK) {
      answered(rpc, attempt.sentAt.plus(latency));
    } else if (answers) {
      close(rpc, ABORTED);
      // a stream that broke
    }
    listener.attemptEnded(attempt, answers);
    forget(rpc);
  }

  private void answered(Rpc rpc, Timestamp now) {
    TimeSpan after = now.since(rpc.arrivedAt);
    end(rpc);
    accounts.rpcAnswered(
        rpc.method.index,
        tenantRow(rpc.tenant),
        after,
        !after.over(rpc.method.latencyObjective),
        !now.after(rpc.deadline));
  }

  /** The client of an RPC went away; it needs no answer any more. */
  public void clientDisconnected(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    close(rpc, CLIENT_LEFT);
    listener.clientDisconnected(rpc);
    forget(rpc);
  }

  /** An endpoint as a list or a change has it. See {@link EndpointRegistry}. */
  public Endpoint endpointListed(
      long id,
      int zone,
      int kind,
      int cell,
      int build,
      Timestamp started,
      double weight,
      boolean ready) {
    return endpoints.listed(id, zone, kind, cell, build, started, weight, ready);
  }

  /** An endpoint is gone; nothing happens where none has the id. */
  public void endpointRemoved(long id) {
    endpoints.removed(id);
  }

  /** A complete list came: all endpoints that it doesn't name are gone. */
  public void retainEndpoints(Set<Long> listed) {
    endpoints.retain(listed);
  }

  /**
   * The controller announced where a build stands.
   *
   * @param cap greatest share of traffic for the build, from 0 to 1
   * @param since when the stage began
   */
  public void rolloutChanged(
      int build, int stage, RolloutState state, double cap, Timestamp since) {
    endpoints.recordRollout(build, state == RolloutState.RELEASED);
    listener.rolloutChanged(build(build), stage, state, cap, since);
    endpoints.forgetBuildsBefore(build - 1);
  }

  /** Counts of attempts at a build, of all relays; dropped where the build is unknown here. */
  public void fleetCountsReceived(
      int build, int method, double attempts, double failed, TimeSpan mean) {
    Build known = endpoints.knownBuild(build);
    if (known != null) {
      listener.fleetCountsReceived(known, settings.methods.get(method), attempts, failed, mean);
    }
  }

  /**
   * A client found wrong what an endpoint answered to an attempt sent so long ago. Dropped where
   * the endpoint's process started since: only the one that gave the answer is meant.
   */
  public void answerReportedWrong(long endpoint, TimeSpan sentAgo, Timestamp now) {
    Endpoint known = endpoints.get(endpoint);
    if (known != null && known.olderThan(sentAgo, now)) {
      listener.answerReportedWrong(known);
    }
  }

  /**
   * The number of the newest build that was announced; builds below it are no part of a trial. 0:
   * none was announced.
   */
  public int newestRolloutBuild() {
    return endpoints.newestRolloutBuild();
  }

  /** A health check of an endpoint was answered, or wasn't. */
  public void healthChecked(long endpoint, boolean answered) {
    Endpoint known = endpoints.get(endpoint);
    if (known != null && known.ready()) {
      listener.healthChecked(known, answered);
    }
  }

  /** The build of a number, known from now on. */
  public Build build(int number) {
    return endpoints.build(number);
  }

  // What the policy had its host do.

  /** An attempt was started. */
  public void attemptSent(Attempt attempt) {
    attempt.rpc.add(attempt);
    attempt.endpoint.attemptStarted();
    accounts.attemptSent(
        attempt.rpc.method.index,
        attempt.endpoint.build.row(),
        attempt.endpoint.row(),
        attempt.shadow);
  }

  /** An attempt was put on a connection to its endpoint. */
  public void attemptWritten(Attempt attempt) {
    attempt.markWritten();
    accounts.attemptWritten();
  }

  /**
   * The result came of an attempt that had ended before; it is counted and changes nothing else.
   */
  public void lateResultReceived(AttemptOutcome outcome) {
    int column =
        switch (outcome) {
          case OK -> LATE_OK;
          case FULL -> LATE_FULL;
          default -> LATE_ERROR;
        };
    accounts.postNew(accounts.lateResults, 0, column);
  }

  /** An RPC was rejected: the client may safely try again. */
  public void rpcRejected(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    close(rpc, REJECTED);
    forget(rpc);
  }

  /** An RPC was aborted, with no promise about what happened. */
  public void rpcAborted(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    close(rpc, ABORTED);
    forget(rpc);
  }

  private void close(Rpc rpc, int how) {
    end(rpc);
    accounts.rpcEnded(rpc.method.index, tenantRow(rpc.tenant), how);
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
