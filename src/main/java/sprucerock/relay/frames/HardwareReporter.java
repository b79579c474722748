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
 * What this relay saw of hardware, told to the one relay that fits for all; and, while this one
 * holds that lease, the fitting, on a thread of its own that reads a copy, and its publication
 * under the lease's number. A holder that is replaced has done nothing that the next one needs:
 * relays tell it what they see from then on.
 */
final class HardwareReporter implements LeaseManager.Listener {
  static final String LEASE = "fit";

  /** What it needs of the relay. */
  interface Owner {
    /** To all other relays. */
    void tellFitter(Fitter fitter);

    void tellTally(int relay, Tallied tally);

    /** To all other relays and the controller. */
    void tellWorth(Worth worth);
  }

  private static final TimeSpan AGAIN =
      TimeSpan.ofMs(5000); // a relay that started meanwhile is told who fits

  private final Net net;
  private final int me;
  private final TimeSpan window;
  private final LongSupplier wallMs;
  private final IntPredicate settled;
  private final EventLog events;
  private final Owner owner;
  private final FencingTokenRegistry fence = new FencingTokenRegistry();
  private Aside aside;
  private SampleSums tally;
  private int fitter = -1;
  private LeaseCheck guard;
  private Observation seen;
  private boolean fits;
  private Timestamp told;
  private HardwareModel newest;
  private boolean stopped;

  /** {@code settled}: builds that are no part of a trial. */
  HardwareReporter(
      Net net,
      int me,
      TimeSpan window,
      LongSupplier wallMs,
      IntPredicate settled,
      EventLog events,
      Owner owner) {
    this.net = net;
    this.me = me;
    this.window = window;
    this.wallMs = wallMs;
    this.settled = settled;
    this.events = events;
    this.owner = owner;
  }

  /** {@code on}: where a fit is done, which may take a second with many families and methods. */
  void start(Aside on) {
    aside = on;
    tally = new SampleSums(me, number());
    turn();
  }

  void stop() {
    stopped = true;
  }

  /**
   * Windows are the same at all relays, as far as their wall clocks are; a pick that falls into the
   * next one does no harm.
   */
  private long number() {
    return (long) (wallMs.getAsLong() / window.ms());
  }

  /** A pick ended ok, on a unit that held so many others of this relay's when it was sent. */
  void ended(Attempt attempt, int others) {
    tally.add(
        attempt.rpc.method.index,
        attempt.endpoint.kind,
        attempt.endpoint.build.number,
        others,
        attempt.latency().ms());
  }

  private void turn() {
    if (stopped) {
      return;
    }
    if (number() != tally.window()) {
      tell(tally);
      tally = new SampleSums(me, number());
    }
    if (guard != null && (told == null || net.now().since(told).over(AGAIN))) {
      told = net.now();
      guard.runIfHeld(number -> owner.tellFitter(Fitter.newBuilder().setNumber(number).build()));
    }
    if (guard != null && guard.isHeld()) {
      fit();
    }
    net.at(net.now().plus(window.times(0.25)), this::turn);
  }

  private void tell(SampleSums of) {
    if (guard != null) {
      seen.add(of);
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
    owner.tellTally(fitter, said.build());
  }

  // While it holds the lease.

  @Override
  public void acquired(LeaseCheck by) {
    guard = by;
    seen = new Observation();
    told = null;
  }

  @Override
  public void lost(String why) {
    guard = null;
    seen = null;
  }

  private void fit() {
    if (fits
        || seen.newestWindow() == 0
        || newest != null && newest.window() >= seen.newestWindow()) {
      return;
    }
    LeaseCheck by = guard;
    Observation copy = seen.copy();
    HardwareModel[] model = new HardwareModel[1];
    fits =
        aside.run(
            () -> model[0] = LeastSquaresFit.fit(copy, 0, settled, 0),
            () -> fitted(by, model[0])); // where too much waits, a quarter of a window later
  }

  private void fitted(LeaseCheck by, HardwareModel model) {
    fits = false;
    if (model == null || guard != by) {
      return;
    }
    by.runIfHeld(
        number -> {
          Worth.Builder worth =
              Worth.newBuilder()
                  .setNumber(number)
                  .setWindow(model.window())
                  .addAllFamilies(model.families())
                  .addAllMethods(model.methods())
                  .setFree(model.degreesOfFreedom());
          model.times(time -> worth.addLogs(time.log()).addErrors(time.error()));
          for (int a : model.families()) {
            worth.addCores(model.concurrency(a).log()).addCoresErrors(model.concurrency(a).error());
          }
          Worth done = worth.build();
          worth(done);
          owner.tellWorth(done);
        });
  }

  // What other relays tell.

  /** Who fits from now on. */
  void fitter(int relay, Fitter said) {
    if (fence.admits(LEASE, said.getNumber())) {
      fitter = relay;
    }
  }

  void tallied(int relay, Tallied said) {
    if (guard == null || said.getCellsCount() > SampleSums.MAX_CELLS) {
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
            new RunningMoments(one.getCount(), one.getMean(), one.getSquares()));
      }
    }
    seen.add(of);
  }

  /** A model was published; one of a holder that was replaced is refused, and said. */
  void worth(Worth said) {
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
    HardwareModel model = read(said);
    if (model != null && model.isNewerThan(newest)) {
      newest = model;
    }
  }

  /** The last model that was heard of; null: none. */
  HardwareModel newest() {
    return newest;
  }

  /** Null where it can't be one. */
  static HardwareModel read(Worth said) {
    int families = said.getFamiliesCount();
    int methods = said.getMethodsCount();
    int pairs = (methods + 1) * families * families;
    boolean can =
        families > 0
            && families <= LeastSquaresFit.MAX_FAMILIES
            && methods <= LeastSquaresFit.MAX_METHODS
            && said.getLogsCount() == pairs
            && said.getErrorsCount() == pairs
            && said.getCoresCount() == families
            && said.getCoresErrorsCount() == families
            && said.getFree() > 0;
    if (!can) {
      return null;
    }
    return HardwareModel.of(
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
