package sprucerock.relay.frames;

import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import sprucerock.hardware.Cell;
import sprucerock.hardware.LeastSquaresFit;
import sprucerock.hardware.Model;
import sprucerock.hardware.Observation;
import sprucerock.hardware.SampleSums;
import sprucerock.hardware.Sums;
import sprucerock.lease.FencingToken;
import sprucerock.lease.LeaseCheck;
import sprucerock.lease.Leases;
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
 * What this relay saw of hardware, told to the one relay that fits for all; and, while this one
 * holds that lease, the fitting, on a thread of its own that reads a copy, and its publication
 * under the lease's number. A holder that is replaced has done nothing that the next one needs:
 * relays tell it what they see from then on.
 */
final class HardwareReporter implements Leases.Task {
  static final String LEASE = "fit";

  /** What it needs of the relay. */
  interface ReportTransport {
    /** To all other relays. */
    void announceFitter(Fitter fitter);

    void sendSamples(int relay, Tallied tally);

    /** To all other relays and the controller. */
    void publishModel(Worth worth);
  }

  private static final TimeSpan ANNOUNCE_INTERVAL =
      TimeSpan.ofMs(5000); // a relay that started meanwhile is told who fits

  private final Net net;
  private final int relayIndex;
  private final TimeSpan window;
  private final LongSupplier wallMs;
  private final IntPredicate isSettledBuild;
  private final EventLog events;
  private final ReportTransport transport;
  private final FencingToken fence = new FencingToken();
  private Aside worker;
  private SampleSums samples;
  private int fitter = -1;
  private LeaseCheck leaseCheck;
  private Observation observation;
  private boolean isFitting;
  private Timestamp announcedAt;
  private Model newestModel;
  private boolean stopped;

  /** {@code settled}: builds that are no part of a trial. */
  HardwareReporter(
      Net net,
      int me,
      TimeSpan window,
      LongSupplier wallMs,
      IntPredicate settled,
      EventLog events,
      ReportTransport owner) {
    this.net = net;
    this.relayIndex = me;
    this.window = window;
    this.wallMs = wallMs;
    this.isSettledBuild = settled;
    this.events = events;
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
   * Windows are the same at all relays, as far as their wall clocks are; a pick that falls into the
   * next one does no harm.
   */
  private long windowNumber() {
    return (long) (wallMs.getAsLong() / window.ms());
  }

  /** A pick ended ok, on a unit that held so many others of this relay's when it was sent. */
  void attemptSucceeded(Attempt attempt, int concurrentAttempts) {
    samples.ended(
        attempt.rpc.method.index,
        attempt.endpoint.kind,
        attempt.endpoint.build.number,
        concurrentAttempts,
        attempt.took().ms());
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
      leaseCheck.act(
          number -> transport.announceFitter(Fitter.newBuilder().setNumber(number).build()));
    }
    if (leaseCheck != null && leaseCheck.held()) {
      startFit();
    }
    net.at(net.now().plus(window.times(0.25)), this::tick);
  }

  private void report(SampleSums of) {
    if (leaseCheck != null) {
      observation.told(of);
      return;
    }
    if (fitter < 0 || of.cells().isEmpty()) {
      return;
    }
    Tallied.Builder said = Tallied.newBuilder().setWindow(of.window());
    of.cells()
        .forEach(
            (cell, sums) ->
                said.addCells(
                    TallyCell.newBuilder()
                        .setMethod(cell.method())
                        .setFamily(cell.family())
                        .setBuild(cell.build())
                        .setDepth(cell.depth())
                        .setCount(sums.count())
                        .setMean(sums.mean())
                        .setSquares(sums.squares())));
    transport.sendSamples(fitter, said.build());
  }

  // While it holds the lease.

  @Override
  public void begun(LeaseCheck by) {
    leaseCheck = by;
    observation = new Observation();
    announcedAt = null;
  }

  @Override
  public void ended(String why) {
    leaseCheck = null;
    observation = null;
  }

  private void startFit() {
    if (isFitting
        || observation.newest() == 0
        || newestModel != null && newestModel.window() >= observation.newest()) {
      return;
    }
    LeaseCheck by = leaseCheck;
    Observation copy = observation.copy();
    Model[] model = new Model[1];
    isFitting =
        worker.run(
            () -> model[0] = LeastSquaresFit.of(copy, 0, isSettledBuild, 0),
            () -> fitCompleted(by, model[0])); // where too much waits, a quarter of a window later
  }

  private void fitCompleted(LeaseCheck by, Model model) {
    isFitting = false;
    if (model == null || leaseCheck != by) {
      return;
    }
    by.act(
        number -> {
          Worth.Builder worth =
              Worth.newBuilder()
                  .setNumber(number)
                  .setWindow(model.window())
                  .addAllFamilies(model.families())
                  .addAllMethods(model.methods())
                  .setFree(model.free());
          model.times(time -> worth.addLogs(time.log()).addErrors(time.error()));
          for (int a : model.families()) {
            worth.addCores(model.cores(a).log()).addCoresErrors(model.cores(a).error());
          }
          Worth done = worth.build();
          modelReceived(done);
          transport.publishModel(done);
        });
  }

  // What other relays tell.

  /** Who fits from now on. */
  void fitterAnnounced(int relay, Fitter said) {
    if (fence.admits(LEASE, said.getNumber())) {
      fitter = relay;
    }
  }

  void samplesReceived(int relay, Tallied said) {
    if (leaseCheck == null || said.getCellsCount() > SampleSums.MOST_CELLS) {
      return;
    }
    SampleSums of = new SampleSums(relay, said.getWindow());
    for (TallyCell one : said.getCellsList()) {
      boolean can =
          one.getCount() >= 1
              && Double.isFinite(one.getMean())
              && one.getSquares() >= 0
              && Double.isFinite(one.getSquares());
      if (can) {
        of.put(
            new Cell(one.getMethod(), one.getFamily(), one.getBuild(), one.getDepth()),
            new Sums(one.getCount(), one.getMean(), one.getSquares()));
      }
    }
    observation.told(of);
  }

  /** A model was published; one of a holder that was replaced is refused, and said. */
  void modelReceived(Worth said) {
    if (!fence.admits(LEASE, said.getNumber())) {
      events.warn(
          EventLog.Event.LEASE,
          "a model under "
              + said.getNumber()
              + " was refused, "
              + fence.highest(LEASE)
              + " was heard");
      return;
    }
    Model model = decode(said);
    if (model != null && model.newerThan(newestModel)) {
      newestModel = model;
    }
  }

  /** The last model that was heard of; null: none. */
  Model newestModel() {
    return newestModel;
  }

  /** Null where it can't be one. */
  static Model decode(Worth said) {
    int families = said.getFamiliesCount();
    int methods = said.getMethodsCount();
    int pairs = (methods + 1) * families * families;
    boolean can =
        families > 0
            && families <= LeastSquaresFit.MOST_FAMILIES
            && methods <= LeastSquaresFit.MOST_METHODS
            && said.getLogsCount() == pairs
            && said.getErrorsCount() == pairs
            && said.getCoresCount() == families
            && said.getCoresErrorsCount() == families
            && said.getFree() > 0;
    if (!can) {
      return null;
    }
    return Model.of(
        said.getNumber(),
        said.getWindow(),
        said.getFamiliesList(),
        said.getMethodsList(),
        said.getLogsList(),
        said.getErrorsList(),
        said.getCoresList(),
        said.getCoresErrorsList(),
        said.getFree());
  }
}
