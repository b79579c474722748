package sprucerock.simulation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.settings.SettingsText;
import sprucerock.model.Attempt;
import sprucerock.model.Build;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.policy.RelayActions;
import sprucerock.policy.RelayEvents;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * One relay of the simulator. It passes events to the request tracker and encodes the actions of
 * the policy as records. If the policy throws an exception, the relay reports the exception and
 * ignores all further events.
 */
final class SimulatedRelay implements RelayActions {
  /** Creates the routing policy of a relay. */
  interface PolicyFactory {
    RelayEvents create(RelayActions actions, Settings settings, long seed);
  }

  private static final long TOKEN_MASK = 0xffffffffL; // timer tokens have 32 bits on the wire

  private final long id;
  private final ReplyWriter replies;
  private final PolicyFactory policyFactory;
  private final Map<Long, Runnable> timers = new HashMap<>();
  private long timerCount;
  private Settings settings;
  private RequestTracker tracker;
  private RelayEvents policy;
  private Timestamp now;
  private final EventDecoder eventDecoder = new EventDecoder(this);

  SimulatedRelay(long id, ReplyWriter replies, PolicyFactory policyFactory) {
    this.id = id;
    this.replies = replies;
    this.policyFactory = policyFactory;
  }

  /** Starts the relay with settings in the operators' text form. */
  void start(Timestamp eventTime, long seed, String text) {
    now = eventTime;
    runOrFail(
        () -> {
          settings = SettingsText.read(text);
          tracker = new RequestTracker(settings);
          policy = policyFactory.create(this, settings, seed);
          tracker.setListener(policy);
        });
  }

  /** Applies a partial or complete endpoint list, or the failure to get one. */
  void endpointListReceived(
      Timestamp eventTime, int form, SimulationHost.ListedEndpoint[] entries) {
    now = eventTime;
    if (policy == null) {
      return;
    }
    runOrFail(
        () -> {
          if (form == WireCodes.LIST_FAILED) {
            policy.endpointListFailed();
            return;
          }
          Set<Long> listed = new HashSet<>();
          for (SimulationHost.ListedEndpoint entry : entries) {
            listed.add(entry.endpoint());
            applyEntry(entry);
          }
          if (form != WireCodes.PARTIAL_LIST) {
            tracker.retainEndpoints(listed);
          }
        });
  }

  private void applyEntry(SimulationHost.ListedEndpoint entry) {
    if (entry.health() != WireCodes.READY && entry.health() != WireCodes.DRAINING) {
      tracker.endpointRemoved(entry.endpoint());
      return;
    }
    Timestamp started = entry.startedMs() == 0 ? null : Timestamp.ofMs(entry.startedMs());
    tracker.endpointListed(
        entry.endpoint(),
        entry.zone(),
        entry.kind(),
        entry.cell(),
        entry.build(),
        started,
        entry.weight(),
        entry.health() == WireCodes.READY);
  }

  /** Handles an event other than an endpoint list; returns false if the code is unknown. */
  boolean handleEvent(int code, ByteBuffer fields, Timestamp eventTime) {
    now = eventTime;
    Runnable call = eventDecoder.decode(code, fields);
    if (call == null) {
      return false;
    }
    if (policy != null) {
      runOrFail(call);
    }
    return true;
  }

  Settings settings() {
    return settings;
  }

  RequestTracker tracker() {
    return tracker;
  }

  RelayEvents policy() {
    return policy;
  }

  /** Removes the timer of a token and returns its task; null if there is none. */
  Runnable takeTimer(long token) {
    return timers.remove(token);
  }

  /** Runs a call. If the call throws, only this relay fails; the other relays continue. */
  private void runOrFail(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      policy = null;
      StackTraceElement[] trace = e.getStackTrace();
      String text = "relay " + id + ": " + e + (trace.length > 0 ? " at " + trace[0] : "");
      open(WireCodes.RELAY_FAILED).bytes(text.getBytes(StandardCharsets.UTF_8)).closeRecord();
    }
  }

  private ReplyWriter open(int code) {
    return replies.openRecord(code, id);
  }

  @Override
  public Timestamp now() {
    return now;
  }

  @Override
  public void send(Attempt attempt) {
    tracker.attemptSent(attempt);
    tracker.attemptWritten(attempt);
    double timeoutMs = attempt.timeout == null ? 0 : attempt.timeout.ms();
    open(WireCodes.SEND).u32(attempt.rpc.id).u32(attempt.endpoint.id).f64(timeoutMs).closeRecord();
  }

  @Override
  public void cancel(Attempt attempt) {
    open(WireCodes.CANCEL).u32(attempt.rpc.id).u8(attempt.number).closeRecord();
  }

  @Override
  public void reject(Rpc rpc, TimeSpan wait) {
    open(WireCodes.REJECT).u32(rpc.id).f64(wait.ms()).closeRecord();
    tracker.rpcRejected(rpc);
  }

  @Override
  public void fail(Rpc rpc) {
    open(WireCodes.ABORT).u32(rpc.id).closeRecord();
    tracker.rpcAborted(rpc);
  }

  @Override
  public void schedule(Timestamp when, Runnable task) {
    long token = timerCount++ & TOKEN_MASK;
    timers.put(token, task);
    open(WireCodes.SET_TIMER).u32(token).f64(when.ms()).closeRecord();
  }

  @Override
  public void vote(Build build, int stage, Verdict verdict) {
    open(WireCodes.VOTE).u16(build.number).u8(stage).u8(WireCodes.verdict(verdict)).closeRecord();
  }

  @Override
  public void sendToPeers(byte[] contents) {
    open(WireCodes.SEND_TO_PEER).u16(WireCodes.ALL_PEERS).bytes(contents).closeRecord();
  }

  @Override
  public void sendToPeer(int relay, byte[] contents) {
    open(WireCodes.SEND_TO_PEER).u16(relay).bytes(contents).closeRecord();
  }

  @Override
  public void subscribe() {
    open(WireCodes.SUBSCRIBE).u8(1).closeRecord();
  }

  @Override
  public void log(String line) {
    open(WireCodes.LOG).bytes(line.getBytes(StandardCharsets.UTF_8)).closeRecord();
  }
}
