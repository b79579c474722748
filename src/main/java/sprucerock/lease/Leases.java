package sprucerock.lease;

import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import sprucerock.config.LeaseConfig;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.Kind;
import sprucerock.transport.wire.Limits;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.Tap;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.LeaseAsk;
import sprucerock.transport.wire.v1.LeaseBack;
import sprucerock.transport.wire.v1.LeaseFree;
import sprucerock.transport.wire.v1.LeaseList;
import sprucerock.transport.wire.v1.LeaseListed;
import sprucerock.transport.wire.v1.LeaseSaid;
import sprucerock.transport.wire.v1.Role;

/**
 * All leases that one process stands for: its links to the granters, and its candidates between
 * them. On one loop's thread; only a {@link LeaseCheck} reads the clock anew.
 */
public final class Leases {
  /** A task that one process of the fleet does. Told on the loop's thread. */
  public interface Task {
    /** The lease is held from now on; what was begun under former ones may be half done. */
    void begun(LeaseCheck guard);

    /** It is held no more; nothing may be done on it. */
    void ended(String why);
  }

  /** Told of all that a person may want to know. */
  public interface Log {
    void info(String what);

    void warn(String what);
  }

  /** How often since this start. */
  public record Figures(long taken, long lost, long held) {}

  /** Leases that a process stands for at most. */
  public static final int MOST = 64;

  static final Limits LIMITS = new Limits(64 * 1024, 256 * 1024, TimeSpan.ofMs(1000));

  private final Net net;
  private final LeaseConfig config;
  private final Terms terms;
  private final Hello mine;
  private final long life;
  private final Tap tap;
  private final DeterministicRandom chance;
  private final LongSupplier wallMs;
  private final Log log;
  private final Map<String, Standing> standings = new TreeMap<>();
  private final List<ReconnectingConnection> granters = new ArrayList<>();
  private final Map<Integer, LeaseListed> listed = new TreeMap<>();
  private Runnable whenListed;
  private boolean stopping;
  private volatile Figures figures = new Figures(0, 0, 0);

  /**
   * {@code life}: another one with each start of this process; {@code wallMs}: the wall's clock,
   * below which no number is chosen.
   */
  public Leases(
      Net net, LeaseConfig config, String name, long life, Tap tap, LongSupplier wallMs, Log log) {
    this.net = net;
    this.config = config;
    this.life = life;
    this.tap = tap;
    this.wallMs = wallMs;
    this.log = log;
    terms = terms(config);
    chance = new DeterministicRandom(life ^ config.memberNumber());
    mine =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.RELAY)
            .setNumber(config.memberNumber())
            .setName(name)
            .build();
  }

  static Terms terms(LeaseConfig config) {
    return new Terms(config.grantors().size(), config.term(), config.maxTerm(), config.drift());
  }

  /** Links up. On the loop's thread. */
  public void start() {
    for (int i = 0; i < config.grantors().size(); i++) {
      ReconnectingConnection connection =
          new ReconnectingConnection(
              net, config.grantors().get(i), mine, LIMITS, tap, chance, new Granting(i));
      granters.add(connection);
      // a fleet that starts together does not come to its granters in one instant
      net.at(
          net.now().plus(terms.usable().times(0.1 * chance.next())),
          () -> {
            if (!stopping) {
              connection.dial();
            }
          });
    }
  }

  /**
   * Stands for a lease from now on, until {@link #leave}; the task is told when it is held and when
   * no more.
   *
   * @throws IllegalStateException if it stands for too many
   */
  public LeaseCheck stand(String name, Task task) {
    if (standings.size() >= MOST) {
      throw new IllegalStateException("a process stands for " + MOST + " leases at most");
    }
    Standing standing = new Standing(name, task);
    if (standings.put(name, standing) != null) {
      throw new IllegalStateException("it stands for " + name + " already");
    }
    standing.step(() -> standing.candidate.want(net.now(), wallMs.getAsLong()));
    return standing.guard;
  }

  /**
   * Gives it back, and stands for it no more; {@code heir}: who is to have it next, by its number,
   * -1: anybody.
   */
  public void leave(String name, int heir) {
    Standing standing = standings.remove(name);
    if (standing != null) {
      standing.step(() -> standing.candidate.leave(heir));
    }
  }

  /** Gives all back, and closes once that has gone out. */
  public void stop() {
    stopping = true;
    for (String name : List.copyOf(standings.keySet())) {
      leave(name, -1);
    }
    granters.forEach(ReconnectingConnection::stop);
  }

  /** From any thread, as it was last. */
  public Figures figures() {
    return figures;
  }

  /** Another life's number for each start of a process. */
  public static long newLife() {
    return java.util.UUID.randomUUID().getMostSignificantBits();
  }

  /**
   * Asks the granters what they know; {@code done} is told once all have answered, or a second is
   * over.
   */
  public void list(java.util.function.Consumer<Map<Integer, LeaseListed>> done) {
    listed.clear();
    Runnable[] once = new Runnable[1];
    Timer late = net.at(net.now().plus(TimeSpan.ofMs(1000)), () -> once[0].run());
    once[0] =
        () -> {
          late.cancel();
          if (whenListed != once[0]) {
            return;
          }
          whenListed = null;
          done.accept(Map.copyOf(listed));
        };
    if (whenListed != null) {
      whenListed.run(); // who asked before gets what is there by now
    }
    whenListed = once[0];
    for (ReconnectingConnection one : granters) {
      one.send(Kind.LEASE_LIST, LeaseList.getDefaultInstance(), new byte[0]);
    }
  }

  /** One lease, and this process's side of it. */
  private final class Standing implements LeaseClient.Host {
    private final LeaseClient candidate;
    private final LeaseCheck guard;
    private final Task task;
    private Timer timer;

    Standing(String name, Task task) {
      this.task = task;
      candidate = new LeaseClient(name, terms, this, chance::next, config.memberNumber(), life);
      guard = new LeaseCheck(candidate, net::clock);
    }

    /** Something happens to it; then its next moment is set. */
    void step(Runnable what) {
      what.run();
      if (timer != null) {
        timer.cancel();
      }
      Timestamp due = candidate.due();
      timer =
          due == null
              ? null
              : net.at(due, () -> step(() -> candidate.tick(net.clock(), wallMs.getAsLong())));
    }

    @Override
    public void ask(int granter, String name, long number, long round) {
      granters
          .get(granter)
          .send(
              Kind.LEASE_ASK,
              LeaseAsk.newBuilder()
                  .setName(name)
                  .setNumber(number)
                  .setRound(round)
                  .setLife(life)
                  .setTermUs((long) (config.term().ms() * 1000))
                  .build(),
              new byte[0]);
    }

    @Override
    public void giveBack(int granter, String name, long number, int heir) {
      granters
          .get(granter)
          .send(
              Kind.LEASE_BACK,
              LeaseBack.newBuilder()
                  .setName(name)
                  .setNumber(number)
                  .setLife(life)
                  .setHanded(heir >= 0)
                  .setHeir(Math.max(heir, 0))
                  .build(),
              new byte[0]);
    }

    @Override
    public void taken(String name, long number) {
      figures = new Figures(figures.taken + 1, figures.lost, figures.held + 1);
      log.info(name + " is held under " + number);
      task.begun(guard);
    }

    @Override
    public void lost(String name, long number, String why) {
      figures = new Figures(figures.taken, figures.lost + 1, figures.held - 1);
      log.info(name + " under " + number + " is held no more: " + why);
      task.ended(why);
    }
  }

  private final class Granting implements FrameListener {
    private final int granter;
    private boolean up;

    Granting(int granter) {
      this.granter = granter;
    }

    @Override
    public void greeted(FrameConnection connection, Hello other) {
      if (other.getRole() != Role.GRANTER || other.getNumber() != granter) {
        connection.cut("granter " + granter + " is not who answers there");
        return;
      }
      up = true;
    }

    @Override
    public void frame(Kind kind, MessageLite head, byte[] body) {
      switch (kind) {
        case LEASE_SAID -> said((LeaseSaid) head);
        case LEASE_FREE -> {
          Standing standing = standings.get(((LeaseFree) head).getName());
          if (standing != null) {
            standing.step(() -> standing.candidate.freed(net.now(), wallMs.getAsLong()));
          }
        }
        case LEASE_LISTED -> {
          listed.put(granter, (LeaseListed) head);
          if (whenListed != null && listed.size() == granters.size()) {
            whenListed.run();
          }
        }
        default -> granters.get(granter).cut("a granter sends no " + kind);
      }
    }

    private void said(LeaseSaid said) {
      Standing standing = standings.get(said.getName());
      if (standing == null) { // left meanwhile: what was granted since is of no use to it
        if (said.getGranted()) {
          granters
              .get(granter)
              .send(
                  Kind.LEASE_BACK,
                  LeaseBack.newBuilder()
                      .setName(said.getName())
                      .setNumber(said.getNumber())
                      .setLife(life)
                      .build(),
                  new byte[0]);
        }
        return;
      }
      standing.step(
          () -> {
            if (said.getGranted()) {
              standing.candidate.granted(granter, said.getNumber(), said.getRound(), net.clock());
            } else {
              standing.candidate.refused(
                  granter,
                  said.getNumber(),
                  said.getRound(),
                  said.getHighest(),
                  TimeSpan.ofMs(said.getLeftUs() / 1000.0),
                  said.getHeld(),
                  net.clock());
            }
          });
    }

    @Override
    public void closed(String why) {
      if (up && !stopping) {
        log.warn(
            "granter " + granter + " at " + config.grantors().get(granter) + " is lost: " + why);
      }
      up = false;
    }
  }
}
