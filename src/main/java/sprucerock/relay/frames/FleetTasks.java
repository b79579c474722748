package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.RelayConfig;
import sprucerock.lease.FencingTokenRegistry;
import sprucerock.lease.GrantorListener;
import sprucerock.lease.LeaseManager;
import sprucerock.model.Attempt;
import sprucerock.model.Endpoint;
import sprucerock.relay.engine.EventLog;
import sprucerock.stats.DeterministicRandom;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.Fitter;
import sprucerock.transport.wire.v1.Seen;
import sprucerock.transport.wire.v1.Tallied;
import sprucerock.transport.wire.v1.Worth;

/**
 * What one relay does for the whole fleet while it holds a lease, health checks and the hardware
 * model, and what the other relays tell of theirs. Does nothing where no leases are configured. For
 * the event loop's thread.
 */
final class FleetTasks implements HealthChecker.ProbeTransport, HardwareReporter.ReportTransport {
  private final Net net;
  private final RelayConfig config;
  private final RequestTracker requestTracker;
  private final EventLog eventLog;
  private final DeterministicRandom random;
  private final PeerConnections peers;
  private final ControllerConnection controller;
  private final EndpointConnections endpoints;
  private final FencingTokenRegistry fence = new FencingTokenRegistry();
  private final LeaseManager leases; // null: none are configured
  private final HardwareReporter hardwareReporter; // null: it takes no part in that
  private GrantorListener grantor; // null: this relay grants no leases
  private HealthChecker healthChecker; // null: it does not stand for that lease

  FleetTasks(
      Net net,
      RelayConfig config,
      FrameTap tap,
      RequestTracker requestTracker,
      EventLog eventLog,
      DeterministicRandom random,
      PeerConnections peers,
      ControllerConnection controller,
      EndpointConnections endpoints) {
    this.net = net;
    this.config = config;
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
    this.random = random;
    this.peers = peers;
    this.controller = controller;
    this.endpoints = endpoints;
    LeaseManager.Log leaseLog = leaseLog(eventLog);
    leases =
        config.leases == null
            ? null
            : new LeaseManager(
                net,
                config.leases,
                config.name,
                LeaseManager.newIncarnation(),
                tap,
                System::currentTimeMillis,
                leaseLog);
    boolean reportsHardware = config.leases != null && config.leases.hardwareFitInterval() != null;
    hardwareReporter =
        !reportsHardware
            ? null
            : new HardwareReporter(
                net,
                config.settings.relayIndex,
                config.leases.hardwareFitInterval(),
                System::currentTimeMillis,
                build -> build < requestTracker.minTrialBuild(),
                eventLog,
                this);
    if (config.leases != null && config.leases.grantorNumber() >= 0) {
      grantor = new GrantorListener(net, config.leases, config.name, tap, leaseLog);
    }
  }

  private static LeaseManager.Log leaseLog(EventLog eventLog) {
    return new LeaseManager.Log() {
      @Override
      public void info(String what) {
        eventLog.info(EventLog.Event.LEASE, what);
      }

      @Override
      public void warn(String what) {
        eventLog.warn(EventLog.Event.GRANTER_LOST, what);
      }
    };
  }

  /**
   * Listens for and stands for leases as configured.
   *
   * @param worker where a fit of the hardware model runs
   * @throws IOException if the address for granting can't be had
   */
  void start(Aside worker) throws IOException {
    if (grantor != null) {
      grantor.start();
    }
    if (leases == null) {
      return;
    }
    leases.start();
    if (hardwareReporter != null) {
      hardwareReporter.start(worker);
      leases.campaign(HardwareReporter.LEASE, hardwareReporter);
    }
    if (config.leases.healthCheckInterval() != null) {
      healthChecker =
          new HealthChecker(
              net, requestTracker, eventLog, config.leases.healthCheckInterval(), random, this);
      leases.campaign(HealthChecker.LEASE, healthChecker);
    }
  }

  /** Gives the leases back, so that others may take over while this relay shuts down. */
  void releaseLeases() {
    if (leases != null) {
      leases.stop();
    }
  }

  void stopReporting() {
    if (hardwareReporter != null) {
      hardwareReporter.stop();
    }
  }

  void stopGranting() {
    if (grantor != null) {
      grantor.stop();
    }
  }

  /** Counts of leases since the start; null where none are configured. From any thread. */
  LeaseManager.Counts leaseMetrics() {
    return leases == null ? null : leases.counts();
  }

  /** An endpoint was listed, changed or removed. */
  void endpointChanged(Endpoint endpoint) {
    if (healthChecker != null) {
      healthChecker.endpointChanged(endpoint);
    }
  }

  /** An attempt succeeded, beside so many others of this relay on its endpoint. */
  void attemptSucceeded(Attempt attempt, int concurrentAttempts) {
    if (hardwareReporter != null) {
      hardwareReporter.attemptSucceeded(attempt, concurrentAttempts);
    }
  }

  /** A health check's result; one under an older lease than was heard of is dropped. */
  void probeResult(Seen seen) {
    if (fence.admits(HealthChecker.LEASE, seen.getNumber())) {
      requestTracker.healthChecked(seen.getUnit(), seen.getAnswered());
    }
  }

  /** Takes what another relay says of hardware; false where the frame is about something else. */
  boolean hardwareFrame(int relay, FrameKind kind, MessageLite head) {
    if (hardwareReporter == null) {
      return false;
    }
    switch (kind) {
      case FITTER -> hardwareReporter.fitterAnnounced(relay, (Fitter) head);
      case TALLIED -> hardwareReporter.samplesReceived(relay, (Tallied) head);
      case WORTH -> hardwareReporter.modelReceived((Worth) head);
      default -> {
        return false;
      }
    }
    return true;
  }

  @Override
  public void openProbeConnection(
      Endpoint endpoint, FrameListener listener, HealthChecker.ConnectionTaker taker) {
    endpoints.openProbeConnection(endpoint, listener, taker);
  }

  @Override
  public void probeCompleted(long endpoint, boolean answered, long fencingNumber) {
    Seen seen =
        Seen.newBuilder().setUnit(endpoint).setAnswered(answered).setNumber(fencingNumber).build();
    probeResult(seen);
    peers.sendProbeResult(seen);
  }

  @Override
  public void announceFitter(Fitter fitter) {
    peers.sendToAll(FrameKind.FITTER, fitter);
  }

  @Override
  public void sendSamples(int relay, Tallied samples) {
    peers.send(relay, FrameKind.TALLIED, samples);
  }

  @Override
  public void publishModel(Worth model) {
    peers.sendToAll(FrameKind.WORTH, model);
    controller.publishModel(model);
  }
}
