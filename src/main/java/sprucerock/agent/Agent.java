package sprucerock.agent;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Keeps one relay running on one machine: on what the controller wants, else on what ran well last.
 * It does no I/O; one thread. A controller that is silent, gone or older than one that was obeyed
 * changes nothing. A version that does not get ready, ends by itself or goes over a limit is tried
 * a few times with growing pauses, then what ran well last is taken up again by itself: the relay
 * is never left with nothing because nobody can be asked.
 */
public final class Agent {
  /** What the relay does now. */
  public enum Phase {
    OFF,
    FETCHING,
    STARTING,
    READY,
    ENDING,
    PAUSE
  }

  /** A run of the relay that is over. */
  public record Run(Version version, Timestamp from, Timestamp to, String how) {}

  /**
   * @param readyWithin a start that takes longer has failed; {@code endWithin}: told to end, it is
   *     killed after that
   * @param proven a version that was ready for so long ran well
   */
  public record Times(TimeSpan readyWithin, TimeSpan endWithin, TimeSpan proven) {}

  private static final int TRIES =
      3; // of a new version: a start may fail once for what is none of its fault
  private static final TimeSpan FIRST_PAUSE = TimeSpan.ofMs(500); // as long as a start takes
  private static final TimeSpan LONGEST_PAUSE =
      TimeSpan.ofMs(
          30_000); // of what ran well before: it will again, once what ails the machine is over
  private static final int MOST_RUNS = 20;

  private final ProcessLauncher machine;
  private final Times times;
  private AgentState memory;
  private Phase phase = Phase.OFF;
  private Version runs = Version.NONE;
  private Version next;
  private Timestamp since;
  private int tries;
  private int run;

  /** The turn for which the relay that was taken over was started; 0 where none was. */
  private int adoptedFor;

  private boolean stopped;
  private String ending;
  private final Deque<Run> runsOver = new ArrayDeque<>();

  public Agent(ProcessLauncher machine, Times times, AgentState memory) {
    this.machine = machine;
    this.times = times;
    this.memory = memory;
  }

  // What is asked.

  public Phase phase() {
    return phase;
  }

  /** What runs now, or is being started; {@link Version#NONE} where nothing is. */
  public Version runs() {
    return phase == Phase.STARTING || phase == Phase.READY || phase == Phase.ENDING
        ? runs
        : Version.NONE;
  }

  public boolean ready() {
    return phase == Phase.READY;
  }

  /** The turn that is carried out. */
  public int done() {
    return memory.done();
  }

  public long epoch() {
    return memory.epoch();
  }

  /** How often the relay was started, in all lives of this agent. */
  public int starts() {
    return memory.starts();
  }

  public AgentState memory() {
    return memory;
  }

  /** The last runs that are over, the latest last. */
  public Collection<Run> runsOver() {
    return Collections.unmodifiableCollection(runsOver);
  }

  // What happens.

  /**
   * The agent begins: what was wanted last, else what ran well last, is started without waiting for
   * anybody.
   */
  public void begin() {
    boolean asWanted =
        memory.wanted().equals(Version.NONE)
            || runs.equals(memory.wanted()) && memory.done() == memory.turn();
    if (phase == Phase.READY && asWanted) {
      return;
    }
    if (!memory.wanted().equals(Version.NONE) && machine.has(memory.wanted())) {
      go(memory.wanted());
    } else if (!memory.good().equals(Version.NONE) && machine.has(memory.good())) {
      go(memory.good());
    } else if (!memory.wanted().equals(Version.NONE)) {
      go(memory.wanted());
    } else {
      machine.log("nothing is known to run here; the controller's word is waited for");
    }
  }

  /** A relay that an earlier life of the agent started for that turn runs still. */
  public void adopted(Version version, int turn) {
    runs = version;
    run++;
    adoptedFor = turn;
    becomeReady();
    if (version.equals(memory.wanted()) && turn == memory.turn()) {
      carriedOut();
    }
  }

  /** Found in a folder, for a machine that no controller has spoken to yet. */
  public void offered(Version version) {
    if (memory.wanted().equals(Version.NONE)
        && memory.good().equals(Version.NONE)
        && phase == Phase.OFF) {
      go(version);
    }
  }

  /**
   * A controller says what is to run; only the newest one is obeyed, and of it only what is newer.
   */
  public void wants(long epoch, int turn, Version version) {
    if (stopped) {
      return;
    }
    boolean older = epoch < memory.epoch() || epoch == memory.epoch() && turn < memory.turn();
    if (older) {
      machine.log(
          "a word of epoch "
              + epoch
              + ", turn "
              + turn
              + " is older than "
              + memory.epoch()
              + ", turn "
              + memory.turn()
              + ": not obeyed");
      return;
    }
    boolean same = turn == memory.turn() && version.equals(memory.wanted());
    if (!same
        && epoch == memory.epoch()
        && turn == memory.turn()
        && !memory.wanted().equals(Version.NONE)) {
      machine.log(
          "epoch "
              + epoch
              + " said "
              + memory.wanted()
              + " for turn "
              + turn
              + " and says "
              + version
              + " now: the first holds");
      return;
    }
    // no restart was asked for; or it was, and carried out, and this agent's notes of it are lost:
    // where all agents lose theirs
    // together, all relays would else be restarted at once
    boolean asItIs =
        (turn == 0 || turn == adoptedFor) && !same && phase == Phase.READY && runs.equals(version);
    if (!same || epoch != memory.epoch()) {
      keep(
          memory.told(
              epoch, turn, same ? memory.done() : Math.min(memory.done(), turn - 1), version));
    }
    if (!same) {
      tries = 0;
    }
    if (asItIs) {
      carriedOut();
    } else if (!same || phase == Phase.OFF) {
      go(version);
    }
  }

  private void go(Version version) {
    next = version;
    if (machine.has(version)) {
      change();
    } else {
      if (phase == Phase.OFF || phase == Phase.PAUSE) {
        become(Phase.FETCHING);
      }
      machine.fetch(version);
    }
  }

  public void fetched(Version version) {
    if (version.equals(next)) {
      change();
    }
  }

  /** It can't be had; what runs goes on. */
  public void notFetched(Version version, String why) {
    if (!version.equals(next)) {
      return;
    }
    machine.log(version + " can't be had: " + why);
    machine.failed(version, "can't be had: " + why);
    next = null;
    if (phase == Phase.FETCHING) {
      fallBack();
    }
  }

  /** All is here: what runs makes room for it, by a signal where that will do. */
  private void change() {
    if (stopped) {
      return;
    }
    switch (phase) {
      case OFF, FETCHING, PAUSE -> start();
      case READY -> {
        if (runs.equals(next) || !machine.reload(runs, next)) {
          end("told to change");
        }
      }
      case STARTING -> {
        if (runs.equals(next)) {
          next = null;
        } else {
          end("told to change before it was ready");
        }
      }
      default -> {} // it ends already; then the next one starts
    }
  }

  /** The relay was told by a signal to read its settings; {@code taken}: it says that it has. */
  public void reloaded(Version version, boolean taken) {
    if (phase != Phase.READY || !version.equals(next)) {
      return;
    }
    if (!taken) {
      end("it did not take its settings over by a signal");
      return;
    }
    machine.log("settings of " + version + " are taken over by a signal");
    runs = version;
    next = null;
    since = machine.now();
    carriedOut();
  }

  private void start() {
    runs = next;
    next = null;
    keep(memory.started());
    ending = null;
    int of = ++run;
    become(Phase.STARTING);
    machine.start(runs);
    machine.at(
        machine.now().plus(times.readyWithin()),
        () -> {
          if (run == of && phase == Phase.STARTING) {
            ending = "was not ready within " + Math.round(times.readyWithin().ms()) + " ms";
            become(Phase.ENDING);
            machine.kill();
          }
        });
  }

  public void isReady() {
    if (phase != Phase.STARTING) {
      return;
    }
    becomeReady();
    if (runs.equals(memory.wanted())) {
      carriedOut();
    }
  }

  private void becomeReady() {
    int of = run;
    become(Phase.READY);
    machine.at(
        machine.now().plus(times.proven()),
        () -> {
          if (run != of || phase != Phase.READY) {
            return;
          }
          tries = 0;
          if (!runs.equals(memory.good())) {
            keep(memory.ranWell(runs));
          }
        });
  }

  private void carriedOut() {
    if (memory.done() != memory.turn()) {
      keep(memory.carriedOut());
    }
    machine.say();
  }

  /** It holds more than it may: it is ended at once, before it takes the machine along. */
  public void over(String limit) {
    if (phase != Phase.READY && phase != Phase.STARTING) {
      return;
    }
    ending = "went over " + limit;
    become(Phase.ENDING);
    machine.kill();
  }

  private void end(String why) {
    int of = run;
    machine.log(runs + " is ended: " + why);
    become(Phase.ENDING);
    machine.terminate();
    machine.at(
        machine.now().plus(times.endWithin()),
        () -> {
          if (run != of || phase != Phase.ENDING) {
            return;
          }
          machine.log(
              runs
                  + " did not end within "
                  + Math.round(times.endWithin().ms())
                  + " ms and is killed");
          machine.kill();
        });
  }

  /** The relay's process is gone; {@code how}: with what code, or by which signal. */
  public void ended(String how) {
    if (phase != Phase.STARTING && phase != Phase.READY && phase != Phase.ENDING) {
      return;
    }
    boolean told = phase == Phase.ENDING && ending == null;
    String said =
        ending != null
            ? ending
            : told
                ? how + ", as told"
                : (phase == Phase.READY ? "ended by itself: " : "ended before it was ready: ")
                    + how;
    runsOver.addLast(new Run(runs, since, machine.now(), said));
    if (runsOver.size() > MOST_RUNS) {
      runsOver.removeFirst();
    }
    Version was = runs;
    ending = null;
    become(Phase.OFF);
    if (stopped) {
      return;
    }
    if (told) {
      if (next != null) {
        start();
      } else {
        fallBack();
      }
      return;
    }
    machine.log(was + " " + said);
    machine.failed(was, said);
    tries++;
    if (next != null && !next.equals(was)) {
      tries = 0;
      start();
    } else {
      again(was);
    }
  }

  /** After a pause that grows; a version that never ran well gives way after a few tries. */
  private void again(Version was) {
    boolean fails =
        tries >= TRIES && !was.equals(memory.good()) && !memory.good().equals(Version.NONE);
    if (fails) {
      tries = 0;
      fallBack();
      return;
    }
    next = was;
    become(Phase.PAUSE);
    int of = run;
    TimeSpan pause = FIRST_PAUSE.times(Math.pow(2, Math.min(tries, 20) - 1)).atMost(LONGEST_PAUSE);
    machine.at(
        machine.now().plus(pause),
        () -> {
          if (run == of && phase == Phase.PAUSE && next != null) {
            go(next);
          }
        });
  }

  private void fallBack() {
    Version good = memory.good();
    if (good.equals(Version.NONE) || !machine.has(good)) {
      become(Phase.OFF);
      machine.log("nothing that ran well is here");
      return;
    }
    machine.log("back to " + good + ", which ran well");
    next = good;
    start();
  }

  /** The agent ends, and its relay with it. */
  public void stop() {
    stopped = true;
    next = null;
    if (phase == Phase.STARTING || phase == Phase.READY) {
      end("the agent ends");
    } else if (phase != Phase.ENDING) {
      become(Phase.OFF);
    }
  }

  public boolean stoppedWhole() {
    return stopped && phase == Phase.OFF;
  }

  private void become(Phase now) {
    phase = now;
    since = machine.now();
    machine.say();
  }

  private void keep(AgentState now) {
    memory = now;
    String wrong = machine.keep(now);
    if (wrong != null) {
      machine.log("what is known can't be kept: " + wrong + "; it holds until the agent ends");
    }
  }
}
