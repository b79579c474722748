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
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
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
public final class LeaseManager {
  /** A task that one process of the fleet does. Told on the loop's thread. */
  public interface Listener {
    /** The lease is held from now on; what was begun under former ones may be half done. */
    void acquired(LeaseCheck guard);

    /** It is held no more; nothing may be done on it. */
    void lost(String why);
  }

  /** Told of all that a person may want to know. */
  public interface Log {
    void info(String what);

    void warn(String what);
  }

  /** How often since this start. */
  public record Counts(long acquired, long lost, long held) {}

  /** Leases that a process stands for at most. */
  public static final int MAX_LEASES = 64;

  static final FrameLimits LIMITS = new FrameLimits(64 * 1024, 256 * 1024, TimeSpan.ofMs(1000));

  private final Net net;
  private final LeaseConfig config;
  private final LeaseTerms terms;
  private final Hello mine;
  private final long life;
  private final FrameTap tap;
  private final DeterministicRandom chance;
  private final LongSupplier wallMs;
  private final Log log;
  private final Map<String, Standing> standings = new TreeMap<>();
  private final List<ReconnectingConnection> granters = new ArrayList<>();
  private final Map<Integer, LeaseListed> listed = new TreeMap<>();
  private Runnable whenListed;
  private boolean stopping;
  private volatile Counts counts = new Counts(0, 0, 0);

  /**
   * {@code life}: another one with each start of this process; {@code wallMs}: the wall's clock,
   * below which no number is chosen.
   */
  public LeaseManager(
      Net net,
      LeaseConfig config,
      String name,
      long life,
      FrameTap tap,
      LongSupplier wallMs,
      Log log) {
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

  static LeaseTerms terms(LeaseConfig config) {
    return new LeaseTerms(
        config.grantors().size(), config.term(), config.maxTerm(), config.drift());
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
          net.now().plus(terms.usableTerm().times(0.1 * chance.next())),
          () -> {
            if (!stopping) {
              connection.connect();
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
  public LeaseCheck campaign(String name, Listener task) {
    if (standings.size() >= MAX_LEASES) {
      throw new IllegalStateException("a process stands for " + MAX_LEASES + " leases at most");
    }
    Standing standing = new Standing(name, task);
    if (standings.put(name, standing) != null) {
      throw new IllegalStateException("it stands for " + name + " already");
    }
    standing.step(() -> standing.candidate.acquire(net.now(), wallMs.getAsLong()));
    return standing.guard;
  }

  /**
   * Gives it back, and stands for it no more; {@code heir}: who is to have it next, by its number,
   * -1: anybody.
   */
  public void withdraw(String name, int heir) {
    Standing standing = standings.remove(name);
    if (standing != null) {
      standing.step(() -> standing.candidate.release(heir));
    }
  }

  /** Gives all back, and closes once that has gone out. */
  public void stop() {
    stopping = true;
    for (String name : List.copyOf(standings.keySet())) {
      withdraw(name, -1);
    }
    granters.forEach(ReconnectingConnection::stop);
  }

  /** From any thread, as it was last. */
  public Counts counts() {
    return counts;
  }

  /** Another life's number for each start of a process. */
  public static long newIncarnation() {
    return java.util.UUID.randomUUID().getMostSignificantBits();
  }

  /**
   * Asks the granters what they know; {@code done} is told once all have answered, or a second is
   * over.
   */
  public void queryGrantors(java.util.function.Consumer<Map<Integer, LeaseListed>> done) {
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
      whenListed.run();
      // who asked before gets what is there by now
    }
    whenListed = once[0];
    for (ReconnectingConnection one : granters) {
      one.send(FrameKind.LEASE_LIST, LeaseList.getDefaultInstance(), new byte[0]);
    }
  }

  /** One lease, and this process's side of it. */
  private final class Standing implements LeaseClient.Transport {
    private final LeaseClient candidate;
    private final LeaseCheck guard;
    private final Listener task;
    private Timer timer;

    Standing(String name, Listener task) {
      this.task = task;
      candidate = new LeaseClient(name, terms, this, chance::next, config.memberNumber(), life);
      guard = new LeaseCheck(candidate, net::readClock);
    }

    /** Something happens to it; then its next moment is set. */
    void step(Runnable what) {
      what.run();
      if (timer != null) {
        timer.cancel();
      }
      Timestamp due = candidate.nextTick();
      timer =
          due == null
              ? null
              : net.at(due, () -> step(() -> candidate.tick(net.readClock(), wallMs.getAsLong())));
    }

    @Override
    public void request(int granter, String name, long number, long round) {
      granters
          .get(granter)
          .send(
              FrameKind.LEASE_ASK,
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
    public void release(int granter, String name, long number, int heir) {
      granters
          .get(granter)
          .send(
              FrameKind.LEASE_BACK,
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
    public void acquired(String name, long number) {
      counts = new Counts(counts.acquired + 1, counts.lost, counts.held + 1);
      log.info(name + " is held under " + number);
      task.acquired(guard);
    }

    @Override
    public void lost(String name, long number, String why) {
      counts = new Counts(counts.acquired, counts.lost + 1, counts.held - 1);
      log.info(name + " under " + number + " is held no more: " + why);
      task.lost(why);
    }
  }

  private final class Granting implements FrameListener {
    private final int granter;
    private boolean up;

    Granting(int granter) {
      this.granter = granter;
    }

    @Override
    public void helloReceived(FrameConnection connection, Hello other) {
      if (other.getRole() != Role.GRANTER || other.getNumber() != granter) {
        connection.cut("granter " + granter + " is not who answers there");
        return;
      }
      up = true;
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      switch (kind) {
        case LEASE_SAID -> said((LeaseSaid) head);
        case LEASE_FREE -> {
          Standing standing = standings.get(((LeaseFree) head).getName());
          if (standing != null) {
            standing.step(() -> standing.candidate.available(net.now(), wallMs.getAsLong()));
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
      if (standing == null) {
        // left meanwhile: what was granted since is of no use to it
        if (said.getGranted()) {
          granters
              .get(granter)
              .send(
                  FrameKind.LEASE_BACK,
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
              standing.candidate.granted(
                  granter, said.getNumber(), said.getRound(), net.readClock());
            } else {
              standing.candidate.rejected(
                  granter,
                  said.getNumber(),
                  said.getRound(),
                  said.getHighest(),
                  TimeSpan.ofMs(said.getLeftUs() / 1000.0),
                  said.getHeld(),
                  net.readClock());
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
