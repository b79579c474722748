package sprucerock.relay.frames;

import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import sprucerock.hardware.Cell;
import sprucerock.hardware.HardwareModel;
import sprucerock.hardware.LeastSquaresFit;
import sprucerock.hardware.Observation;
import sprucerock.hardware.RunningMoments;
import sprucerock.hardware.SampleSums;
import sprucerock.lease.FencingTokenRegistry;
import sprucerock.lease.LeaseCheck;
import sprucerock.lease.LeaseManager;
import sprucerock.model.Attempt;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.Aside;
import sprucerock.transport.wire.v1.Fitter;
import sprucerock.transport.wire.v1.Tallied;
import sprucerock.transport.wire.v1.TallyCell;
import sprucerock.transport.wire.v1.Worth;

/**
 * Reports what this relay saw of the endpoints' hardware to the one relay that fits the model for
 * all. While this relay holds that lease, it fits, on a worker's thread from a copy, and publishes
 * the model under the lease's fencing number. A holder that is replaced leaves nothing behind that
 * the next one needs: relays report to the new one from then on. For the event loop's thread.
 */
final class HardwareReporter implements LeaseManager.Listener {
  /** The name of the lease, as on the wire. */
  static final String LEASE = "fit";

  /** What the reporter sends, by way of the relay. */
  interface ReportTransport {
    /** Tells all other relays that this one fits. */
    void announceFitter(Fitter fitter);

    /** Sends a window's samples to the relay that fits. */
    void sendSamples(int relay, Tallied tally);

    /** Sends a model to all other relays and the controller. */
    void publishModel(Worth worth);
  }

  /** A relay that started meanwhile learns within this who fits. */
  private static final TimeSpan ANNOUNCE_INTERVAL = TimeSpan.ofMs(5000);

  private final Net net;
  private final int relayIndex;
  private final TimeSpan window;
  private final LongSupplier wallMs;
  private final IntPredicate isSettledBuild;
  private final EventLog eventLog;
  private final ReportTransport transport;
  private final FencingTokenRegistry fence = new FencingTokenRegistry();
  private Aside worker;
  private SampleSums samples;
  private int fitter = -1;
  private LeaseCheck leaseCheck;
  private Observation observation;
  private boolean isFitting;
  private Timestamp announcedAt;
  private HardwareModel newestModel;
  private boolean stopped;

  /** {@code settled}: builds that are no part of a trial. */
  HardwareReporter(
      Net net,
      int me,
      TimeSpan window,
      LongSupplier wallMs,
      IntPredicate settled,
      EventLog eventLog,
      ReportTransport owner) {
    this.net = net;
    this.relayIndex = me;
    this.window = window;
    this.wallMs = wallMs;
    this.isSettledBuild = settled;
    this.eventLog = eventLog;
    this.transport = owner;
  }

  /** {@code on}: where a fit is done, which may take a second with many families and methods. */
  void start(Aside on) {
    worker = on;
    samples = new SampleSums(relayIndex, windowNumber());
    tick();
  }

  void stop() {
    stopped = true;
  }

  /**
   * Windows are the same at all relays, as far as their wall clocks are; an attempt that falls into
   * the next one does no harm.
   */
  private long windowNumber() {
    return (long) (wallMs.getAsLong() / window.ms());
  }

  /** An attempt succeeded, beside so many others of this relay on its endpoint. */
  void attemptSucceeded(Attempt attempt, int concurrentAttempts) {
    samples.add(
        attempt.rpc.method.index,
        attempt.endpoint.hardwareFamily,
        attempt.endpoint.build.number,
        concurrentAttempts,
        attempt.latency().ms());
  }

  private void tick() {
    if (stopped) {
      return;
    }
    if (windowNumber() != samples.window()) {
      report(samples);
      samples = new SampleSums(relayIndex, windowNumber());
    }
    if (leaseCheck != null
        && (announcedAt == null || net.now().since(announcedAt).over(ANNOUNCE_INTERVAL))) {
      announcedAt = net.now();
      leaseCheck.runIfHeld(
          number -> transport.announceFitter(Fitter.newBuilder().setNumber(number).build()));
    }
    if (leaseCheck != null && leaseCheck.isHeld()) {
      startFit();
    }
    net.at(net.now().plus(window.times(0.25)), this::tick);
  }

  private void report(SampleSums of) {
    if (leaseCheck != null) {
      observation.add(of);
      return;
    }
    if (fitter < 0 || of.cells().isEmpty()) {
      return;
    }
    Tallied.Builder report = Tallied.newBuilder().setWindow(of.window());
    of.cells()
        .forEach(
            (cell, sums) ->
                report.addCells(
                    TallyCell.newBuilder()
                        .setMethod(cell.method())
                        .setFamily(cell.family())
                        .setBuild(cell.build())
                        .setDepth(cell.depth())
                        .setCount(sums.count())
                        .setMean(sums.mean())
                        .setSquares(sums.squaredDeviations())));
    transport.sendSamples(fitter, report.build());
  }

  // While it holds the lease.

  @Override
  public void acquired(LeaseCheck by) {
    leaseCheck = by;
    observation = new Observation();
    announcedAt = null;
  }

  @Override
  public void lost(String why) {
    leaseCheck = null;
    observation = null;
  }

  private void startFit() {
    if (isFitting
        || observation.newestWindow() == 0
        || newestModel != null && newestModel.newestWindow() >= observation.newestWindow()) {
      return;
    }
    LeaseCheck by = leaseCheck;
    Observation copy = observation.copy();
    HardwareModel[] model = new HardwareModel[1];
    isFitting =
        worker.run(
            () -> model[0] = LeastSquaresFit.fit(copy, 0, isSettledBuild, 0),
            () -> fitCompleted(by, model[0])); // where too much waits, a quarter of a window later
  }

  private void fitCompleted(LeaseCheck by, HardwareModel model) {
    isFitting = false;
    if (model == null || leaseCheck != by) {
      return;
    }
    by.runIfHeld(
        number -> {
          Worth.Builder worth =
              Worth.newBuilder()
                  .setNumber(number)
                  .setWindow(model.newestWindow())
                  .addAllFamilies(model.families())
                  .addAllMethods(model.methods())
                  .setFree(model.degreesOfFreedom());
          model.forEachTimeRatio(
              time -> worth.addLogs(time.logValue()).addErrors(time.standardError()));
          for (int a : model.families()) {
            worth
                .addCores(model.concurrency(a).logValue())
                .addCoresErrors(model.concurrency(a).standardError());
          }
          Worth done = worth.build();
          modelReceived(done);
          transport.publishModel(done);
        });
  }

  // What other relays tell.

  /** Who fits from now on. */
  void fitterAnnounced(int relay, Fitter received) {
    if (fence.admits(LEASE, received.getNumber())) {
      fitter = relay;
    }
  }

  void samplesReceived(int relay, Tallied received) {
    if (leaseCheck == null || received.getCellsCount() > SampleSums.MAX_CELLS) {
      return;
    }
    SampleSums of = new SampleSums(relay, received.getWindow());
    for (TallyCell one : received.getCellsList()) {
      boolean can =
          one.getCount() >= 1
              && Double.isFinite(one.getMean())
              && one.getSquares() >= 0
              && Double.isFinite(one.getSquares());
      if (can) {
        of.put(
            new Cell(one.getMethod(), one.getFamily(), one.getBuild(), one.getDepth()),
            new RunningMoments(one.getCount(), one.getMean(), one.getSquares()));
      }
    }
    observation.add(of);
  }

  /** A model was published; one of a holder that was replaced is refused, and logged. */
  void modelReceived(Worth received) {
    if (!fence.admits(LEASE, received.getNumber())) {
      eventLog.warn(
          EventLog.Event.LEASE,
          "a model under "
              + received.getNumber()
              + " was refused, "
              + fence.highestToken(LEASE)
              + " was heard");
      return;
    }
    HardwareModel model = decode(received);
    if (model != null && model.isNewerThan(newestModel)) {
      newestModel = model;
    }
  }

  /** The last model that was heard of; null: none. */
  HardwareModel newestModel() {
    return newestModel;
  }

  /** Null where it can't be one. */
  static HardwareModel decode(Worth received) {
    int families = received.getFamiliesCount();
    int methods = received.getMethodsCount();
    int pairs = (methods + 1) * families * families;
    boolean can =
        families > 0
            && families <= LeastSquaresFit.MAX_FAMILIES
            && methods <= LeastSquaresFit.MAX_METHODS
            && received.getLogsCount() == pairs
            && received.getErrorsCount() == pairs
            && received.getCoresCount() == families
            && received.getCoresErrorsCount() == families
            && received.getFree() > 0;
    if (!can) {
      return null;
    }
    return HardwareModel.of(
        received.getNumber(),
        received.getWindow(),
        received.getFamiliesList(),
        received.getMethodsList(),
        received.getLogsList(),
        received.getErrorsList(),
        received.getCoresList(),
        received.getCoresErrorsList(),
        received.getFree());
  }
}
