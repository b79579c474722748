package sprucerock.accounting;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.policy.Module;
import sprucerock.model.Build;
import sprucerock.model.Method;
import sprucerock.model.Outcome;
import sprucerock.model.Pick;
import sprucerock.model.Rpc;
import sprucerock.model.Settings;
import sprucerock.model.Standing;
import sprucerock.model.Unit;
import sprucerock.time.Moment;
import sprucerock.time.Span;

/**
 * The life of each RPC, pick, unit and build of one relay, the same under every host of the module:
 * it writes the facts, and then tells the module. The host tells it what came in, and what the
 * module had it do. One thread.
 */
public final class Ledger {
  // columns of the RPCs' accounts
  private static final int PUSHED_BACK = 2;
  private static final int ABORTED = 3;
  private static final int LEFT = 4;

  private final Settings settings;
  private final Map<Long, Rpc> rpcs = new HashMap<>();
  private final TreeMap<Long, Unit> units = new TreeMap<>();
  private int newestTried;
  private final TreeMap<Integer, Build> builds = new TreeMap<>();
  private final Accounts accounts;
  private final int[] customerRows;
  private Module module;
  private int open;

  /** One whose figures are told apart by method only, under their numbers. */
  public Ledger(Settings settings) {
    this(
        settings,
        new Accounts(
            settings.methods.stream().map(method -> "" + method.index).toList(),
            Accounts.Room.NONE));
  }

  public Ledger(Settings settings, Accounts accounts) {
    this.settings = settings;
    this.accounts = accounts;
    customerRows = new int[accounts.customers.rows()];
    Arrays.fill(customerRows, -1);
  }

  public Accounts accounts() {
    return accounts;
  }

  private int row(int customer) {
    int other = customerRows.length - 1;
    if (customer < 0 || customer >= other) {
      return other;
    }
    if (customerRows[customer] < 0) {
      customerRows[customer] = accounts.row(accounts.customers, "" + customer);
    }
    return customerRows[customer];
  }

  /** Names the module to be told; once, since it needs its host before it can be made. */
  public void tell(Module toBeTold) {
    module = toBeTold;
  }

  /** RPCs that have no final answer yet. */
  public int open() {
    return open;
  }

  /** RPCs that are open or have picks out. */
  public int known() {
    return rpcs.size();
  }

  /** An RPC by the id under which it arrived; null once it is over and forgotten. */
  public Rpc rpc(long id) {
    return rpcs.get(id);
  }

  /** A unit as listed now; null where none has the id. */
  public Unit unit(long id) {
    return units.get(id);
  }

  public List<Unit> units() {
    return new ArrayList<>(units.values());
  }

  // What comes in.

  /** An RPC came; {@code id} is one that no RPC known here has. */
  public Rpc arrived(
      long id,
      Method method,
      int customer,
      long key,
      Moment now,
      Moment deadline,
      Span hint,
      Object door) {
    Rpc rpc = new Rpc(id, method, customer, key, now, deadline, hint, door);
    rpcs.put(id, rpc);
    open++;
    accounts.rpcArrived(method.index, row(customer));
    module.rpcArrived(rpc);
    return rpc;
  }

  /** The answer has begun to reach the client. */
  public void streamStarted(Pick pick) {
    pick.rpc.stream();
    module.streamStarted(pick);
  }

  /**
   * A pick ended, once; {@code closes} says that its RPC is over, by this or before. An ok that
   * closes one which was open is its answer.
   */
  public void pickEnded(Pick pick, Outcome outcome, Span took, boolean closes) {
    if (pick.outcome() != null) {
      return;
    }
    Rpc rpc = pick.rpc;
    pick.end(outcome, took);
    pick.unit.pickEnded();
    rpc.pickEnded();
    // the columns have the order of the outcomes
    accounts.pickEnded(
        rpc.method.index,
        pick.unit.build.row(),
        pick.unit.row(),
        pick.copy,
        pick.written(),
        1 + outcome.ordinal(),
        took);
    boolean answers = closes && !rpc.ended();
    if (answers && outcome == Outcome.OK) {
      answered(rpc, pick.sent.plus(took));
    } else if (answers) {
      close(rpc, ABORTED); // a stream that broke
    }
    module.pickEnded(pick, answers);
    forget(rpc);
  }

  private void answered(Rpc rpc, Moment now) {
    Span after = now.since(rpc.arrived);
    end(rpc);
    accounts.rpcAnswered(
        rpc.method.index,
        row(rpc.customer),
        after,
        !after.over(rpc.method.softDeadline),
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
  public Unit listed(
      long id,
      int zone,
      int kind,
      int cell,
      int build,
      Moment started,
      double weight,
      boolean mayGetWork) {
    Unit known = units.get(id);
    if (known != null && !known.sameRun(build, started)) {
      removed(id);
      known = null;
    }
    if (known == null) {
      known = new Unit(id, zone, kind, cell, build(build), started, weight);
      known.row(accounts.row(accounts.units, "" + id));
      units.put(id, known);
    }
    known.weigh(weight);
    if (!mayGetWork) {
      leave(known);
    } else if (!known.ready()) {
      known.ready(true);
      known.build.add(known);
      module.unitReady(known);
    }
    return known;
  }

  /** A unit is gone; nothing happens where none has the id. */
  public void removed(long id) {
    Unit unit = units.remove(id);
    if (unit != null) {
      leave(unit);
    }
  }

  /** A whole list came: all that it does not name are gone. */
  public void keepOnly(Set<Long> named) {
    for (Unit unit : units()) {
      if (!named.contains(unit.id)) {
        removed(unit.id);
      }
    }
  }

  private void leave(Unit unit) {
    if (unit.ready()) {
      unit.build.remove(unit);
    }
    unit.ready(false);
    module.unitLeaving(unit);
  }

  public void news(int build, int stage, Standing standing, double cap, Moment since) {
    newestTried = standing == Standing.RELEASED ? build + 1 : build;
    module.newsOfBuild(build(build), stage, standing, cap, since);
    builds.values().removeIf(one -> one.units.isEmpty() && one.number < build - 1);
  }

  /** Counts of a build that this relay never heard of tell it nothing. */
  public void counted(int build, int method, double picks, double failed, Span mean) {
    Build known = builds.get(build);
    if (known != null) {
      module.counted(known, settings.methods.get(method), picks, failed, mean);
    }
  }

  /**
   * A client found an answer of a pick wrong that was sent so long ago; only the run that gave it
   * is meant.
   */
  public void flagged(long unit, Span sentAgo, Moment now) {
    Unit known = units.get(unit);
    if (known != null && known.olderThan(sentAgo, now)) {
      module.flagged(known);
    }
  }

  /**
   * The number of the newest build that news was of; builds below it are no part of a trial. 0:
   * there was no news.
   */
  public int newestTried() {
    return newestTried;
  }

  /** A unit gave a sign when it was looked at, or none. */
  public void looked(long unit, boolean answered) {
    Unit known = units.get(unit);
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

  public void sent(Pick pick) {
    pick.rpc.add(pick);
    pick.unit.picked();
    accounts.pickSent(pick.rpc.method.index, pick.unit.build.row(), pick.unit.row(), pick.copy);
  }

  /** A pick was put on a connection to its unit. */
  public void written(Pick pick) {
    pick.write();
    accounts.pickWritten();
  }

  /** The result of a pick came that had ended before; it changes nothing. */
  public void lateResult(Outcome outcome) {
    accounts.begin(
        accounts.lateResults, 0, outcome == Outcome.OK ? 1 : outcome == Outcome.FULL ? 3 : 2);
  }

  public void pushedBack(Rpc rpc) {
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
    accounts.rpcEnded(rpc.method.index, row(rpc.customer), how);
  }

  private void end(Rpc rpc) {
    rpc.end();
    open--;
  }

  private void forget(Rpc rpc) {
    if (rpc.ended() && rpc.out() == 0) {
      rpcs.remove(rpc.id, rpc);
    }
  }
}
