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
 * Tracks the state of each RPC, attempt, endpoint and build of one relay, independent of the host
 * that runs the routing policy. It is the only writer of this state, counts each change in {@link
 * MethodAccounts}, and then notifies the policy. The host reports to it what clients, endpoints and
 * the controller did, and the actions that the host took for the policy.
 *
 * <p>Not thread-safe: a single thread makes all calls. Ending an RPC or attempt that has already
 * ended changes nothing.
 */
public final class RequestTracker {
  // Columns of the sheet of RPCs.
  private static final int REJECTED = 2;
  private static final int ABORTED = 3;
  private static final int CLIENT_LEFT = 4;

  // Columns of the sheet of late results.
  private static final int LATE_OK = 1;
  private static final int LATE_ERROR = 2;
  private static final int LATE_FULL = 3;

  private static final int UNASSIGNED_ROW = -1;

  private final Settings settings;
  private final Map<Long, Rpc> rpcs = new HashMap<>();
  private final EndpointRegistry endpoints;
  private final MethodAccounts accounts;
  private final int[] tenantRows;
  private RelayEvents listener;
  private int openRpcs;

  /** Creates a tracker with counters by method only; the rows are named by method number. */
  public RequestTracker(Settings settings) {
    this(
        settings,
        new MethodAccounts(
            settings.methods.stream().map(method -> "" + method.index).toList(),
            MethodAccounts.Capacity.NONE));
  }

  /** Creates a tracker; no other tracker may post to the given accounts. */
  public RequestTracker(Settings settings, MethodAccounts accounts) {
    this.settings = settings;
    this.accounts = accounts;
    endpoints = new EndpointRegistry(accounts);
    tenantRows = new int[accounts.tenants.rowCount()];
    Arrays.fill(tenantRows, UNASSIGNED_ROW);
  }

  /** Returns the accounts that this tracker posts to. */
  public MethodAccounts accounts() {
    return accounts;
  }

  private int tenantRow(int tenant) {
    int rowOfOtherTenants = tenantRows.length - 1;
    if (tenant < 0 || tenant >= rowOfOtherTenants) {
      return rowOfOtherTenants;
    }
    if (tenantRows[tenant] == UNASSIGNED_ROW) {
      tenantRows[tenant] = accounts.row(accounts.tenants, "" + tenant);
    }
    return tenantRows[tenant];
  }

  /**
   * Sets the policy to notify. Must be called once, before any other method. The policy is not a
   * constructor argument because a policy needs its host first.
   */
  public void setListener(RelayEvents policy) {
    listener = policy;
    endpoints.setListener(policy);
  }

  /** Returns how many RPCs have no final answer yet. */
  public int openRpcs() {
    return openRpcs;
  }

  /** Returns how many RPCs are open or have attempts in flight. */
  public int trackedRpcs() {
    return rpcs.size();
  }

  /** Returns the RPC with an id; null if there is none or it is no longer tracked. */
  public Rpc rpc(long id) {
    return rpcs.get(id);
  }

  /** Returns the endpoint listed under an id; null if there is none. */
  public Endpoint endpoint(long id) {
    return endpoints.get(id);
  }

  /** Returns a copy of the list of endpoints, ordered by id. */
  public List<Endpoint> endpoints() {
    return endpoints.copyOfEndpoints();
  }

  // Events caused by clients, endpoints and the controller.

  /**
   * Records that an RPC arrived.
   *
   * @param id an id that no tracked RPC has
   * @param workHint the work that the client expects; null without a hint
   * @param attachment data of the listener that received the RPC; may be null
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

  /** Records that the streamed answer of an attempt has begun to reach the client. */
  public void streamStarted(Attempt attempt) {
    attempt.rpc.markStreaming();
    listener.streamStarted(attempt);
  }

  /**
   * Records that an attempt ended. Only the first call for an attempt has an effect.
   *
   * @param rpcOver whether the RPC is over for the client: this attempt ends it now, or it had
   *     ended before. If this attempt ends it, {@link AttemptOutcome#OK} means that the client got
   *     this attempt's answer, and any other outcome that a streamed answer broke off.
   */
  public void attemptEnded(
      Attempt attempt, AttemptOutcome outcome, TimeSpan latency, boolean rpcOver) {
    if (attempt.outcome() != null) {
      return;
    }
    Rpc rpc = attempt.rpc;
    attempt.recordOutcome(outcome, latency);
    attempt.endpoint.attemptEnded();
    rpc.attemptEnded();
    // The columns after the total have the order of the outcomes.
    accounts.attemptEnded(
        rpc.method.index,
        attempt.endpoint.build.row(),
        attempt.endpoint.row(),
        attempt.shadow,
        attempt.written(),
        1 + outcome.ordinal(),
        latency);
    boolean endsRpc = rpcOver && !rpc.ended();
    if (endsRpc && outcome == AttemptOutcome.OK) {
      recordAnswer(rpc, attempt.sentAt.plus(latency));
    } else if (endsRpc) {
      // The answer was a stream that broke.
      closeRpc(rpc, ABORTED);
    }
    listener.attemptEnded(attempt, endsRpc);
    forgetIfOver(rpc);
  }

  private void recordAnswer(Rpc rpc, Timestamp now) {
    TimeSpan rpcLatency = now.since(rpc.arrivedAt);
    markEnded(rpc);
    accounts.rpcAnswered(
        rpc.method.index,
        tenantRow(rpc.tenant),
        rpcLatency,
        !rpcLatency.over(rpc.method.latencyObjective),
        !now.after(rpc.deadline));
  }

  /** Records that the client of an RPC disconnected and needs no answer any more. */
  public void clientDisconnected(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    closeRpc(rpc, CLIENT_LEFT);
    listener.clientDisconnected(rpc);
    forgetIfOver(rpc);
  }

  /**
   * Adds or updates an endpoint from an endpoint list or a watch event. A different build or start
   * time under a known id is a new process, and therefore another endpoint.
   */
  public Endpoint endpointListed(
      long id,
      int zone,
      int hardwareFamily,
      int cell,
      int build,
      Timestamp startedAt,
      double weight,
      boolean ready) {
    return endpoints.addOrUpdate(id, zone, hardwareFamily, cell, build, startedAt, weight, ready);
  }

  /** Removes the endpoint with an id; does nothing if there is none. */
  public void endpointRemoved(long id) {
    endpoints.remove(id);
  }

  /** Removes all endpoints whose id is not in a complete endpoint list. */
  public void retainEndpoints(Set<Long> listedIds) {
    endpoints.retainOnly(listedIds);
  }

  /**
   * Records the state of a build's rollout that the controller announced.
   *
   * @param cap the exposure cap: the largest share of traffic for the build, from 0 to 1
   * @param since when the stage began
   */
  public void rolloutChanged(
      int build, int stage, RolloutState state, double cap, Timestamp since) {
    endpoints.recordRollout(build, state == RolloutState.RELEASED);
    listener.rolloutChanged(build(build), stage, state, cap, since);
    endpoints.forgetBuildsBefore(build - 1);
  }

  /**
   * Notifies the policy of the controller's counts of all relays' attempts at a build. Counts of a
   * build that this relay does not know are dropped.
   */
  public void fleetCountsReceived(
      int build, int method, double attempts, double failed, TimeSpan mean) {
    Build known = endpoints.knownBuild(build);
    if (known != null) {
      listener.fleetCountsReceived(known, settings.methods.get(method), attempts, failed, mean);
    }
  }

  /**
   * Notifies the policy of a client's report that an endpoint's answer was wrong. The report is
   * dropped if the process now listed under the id started after the attempt was sent, because the
   * report is about the process that answered.
   *
   * @param sentAgo how long ago the attempt was sent
   */
  public void answerReportedWrong(long endpointId, TimeSpan sentAgo, Timestamp now) {
    Endpoint known = endpoints.get(endpointId);
    if (known != null && known.olderThan(sentAgo, now)) {
      listener.answerReportedWrong(known);
    }
  }

  /**
   * Returns the lowest build number that may be on trial: the number of the build announced last,
   * or one more if that build was released; 0 if no build was announced.
   */
  public int minTrialBuild() {
    return endpoints.minTrialBuild();
  }

  /** Notifies the policy whether an endpoint answered a health check, if that endpoint is ready. */
  public void healthChecked(long endpointId, boolean answered) {
    Endpoint known = endpoints.get(endpointId);
    if (known != null && known.ready()) {
      listener.healthChecked(known, answered);
    }
  }

  /** Returns the build with a number; adds the build if it is not known. */
  public Build build(int number) {
    return endpoints.build(number);
  }

  // Actions that the host took for the policy.

  /** Records that an attempt was started. */
  public void attemptSent(Attempt attempt) {
    attempt.rpc.add(attempt);
    attempt.endpoint.attemptStarted();
    accounts.attemptSent(
        attempt.rpc.method.index,
        attempt.endpoint.build.row(),
        attempt.endpoint.row(),
        attempt.shadow);
  }

  /** Records that an attempt was written to a connection. */
  public void attemptWritten(Attempt attempt) {
    attempt.markWritten();
    accounts.attemptWritten();
  }

  /** Counts a result that arrived after its attempt had ended; changes nothing else. */
  public void lateResultReceived(AttemptOutcome outcome) {
    int column =
        switch (outcome) {
          case OK -> LATE_OK;
          case FULL -> LATE_FULL;
          default -> LATE_ERROR;
        };
    accounts.postNew(accounts.lateResults, 0, column);
  }

  /** Records that an RPC was rejected: the client may safely retry. */
  public void rpcRejected(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    closeRpc(rpc, REJECTED);
    forgetIfOver(rpc);
  }

  /** Records that an RPC was aborted: endpoints may have run it or not. */
  public void rpcAborted(Rpc rpc) {
    if (rpc.ended()) {
      return;
    }
    closeRpc(rpc, ABORTED);
    forgetIfOver(rpc);
  }

  private void closeRpc(Rpc rpc, int outcomeColumn) {
    markEnded(rpc);
    accounts.rpcEnded(rpc.method.index, tenantRow(rpc.tenant), outcomeColumn);
  }

  private void markEnded(Rpc rpc) {
    rpc.markEnded();
    openRpcs--;
  }

  private void forgetIfOver(Rpc rpc) {
    if (rpc.ended() && rpc.inFlight() == 0) {
      rpcs.remove(rpc.id, rpc);
    }
  }
}
