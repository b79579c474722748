package sprucerock.lease;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sprucerock.config.LeaseConfig;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.v1.LeaseListed;
import sprucerock.transport.wire.v1.LeaseSaid;

/**
 * All leases that one process campaigns for: a {@link LeaseClient} each, its timer, and the
 * connections to the grantors that they share. On one loop's thread; only a {@link LeaseCheck}
 * reads the clock anew, and {@link #counts} may be read from any thread.
 */
public final class LeaseManager {
  /** A task that one process of the fleet does. Notified on the loop's thread. */
  public interface Listener {
    /** The lease is held from now on; what was begun under former ones may be half done. */
    void acquired(LeaseCheck check);

    /** It is held no more; nothing may be done on it. */
    void lost(String why);
  }

  /** Where lines for operators go. */
  public interface Log {
    /** An event of the normal course. */
    void info(String what);

    /** An event that operators should look at. */
    void warn(String what);
  }

  /** Leases that were acquired and lost since this start, and that are held now. */
  public record Counts(long acquired, long lost, long held) {}

  /** Leases that a process campaigns for at most. */
  public static final int MAX_LEASES = 64;

  static final FrameLimits LIMITS = new FrameLimits(64 * 1024, 256 * 1024, TimeSpan.ofMs(1000));

  private static final TimeSpan QUERY_TIMEOUT = TimeSpan.ofMs(1000);

  private final Net net;
  private final LeaseConfig config;
  private final LeaseTerms terms;
  private final long incarnation;
  private final DeterministicRandom random;
  private final LongSupplier wallMs;
  private final Log log;
  private final GrantorConnections grantors;
  private final Map<String, Campaign> campaigns = new TreeMap<>();
  private final Map<Integer, LeaseListed> queryAnswers = new TreeMap<>();
  private Runnable finishQuery; // null: no query is under way
  private volatile Counts counts = new Counts(0, 0, 0);

  /**
   * One that campaigns for nothing yet.
   *
   * @param incarnation another one with each start of this process: {@link #newIncarnation}
   * @param wallMs the wall clock in milliseconds, below which no token is chosen
   */
  public LeaseManager(
      Net net,
      LeaseConfig config,
      String name,
      long incarnation,
      FrameTap tap,
      LongSupplier wallMs,
      Log log) {
    this.net = net;
    this.config = config;
    this.incarnation = incarnation;
    this.wallMs = wallMs;
    this.log = log;
    terms = terms(config);
    random = new DeterministicRandom(incarnation ^ config.memberNumber());
    grantors =
        new GrantorConnections(net, config, name, incarnation, tap, log, new GrantorAnswers());
  }

  static LeaseTerms terms(LeaseConfig config) {
    return new LeaseTerms(
        config.grantors().size(), config.term(), config.maxTerm(), config.drift());
  }

  /** Another number for each start of a process. */
  public static long newIncarnation() {
    return UUID.randomUUID().getMostSignificantBits();
  }

  /** Connects to the grantors. On the loop's thread. */
  public void start() {
    grantors.start(terms.usableTerm(), random);
  }

  /**
   * Campaigns for a lease from now on, until {@link #withdraw}; the listener is notified when it is
   * held and when no more.
   *
   * @throws IllegalStateException if it campaigns for too many, or for this one already
   */
  public LeaseCheck campaign(String name, Listener listener) {
    if (campaigns.size() >= MAX_LEASES) {
      throw new IllegalStateException("a process stands for " + MAX_LEASES + " leases at most");
    }
    Campaign campaign = new Campaign(name, listener);
    if (campaigns.put(name, campaign) != null) {
      throw new IllegalStateException("it stands for " + name + " already");
    }
    campaign.step(() -> campaign.client.acquire(net.now(), wallMs.getAsLong()));
    return campaign.check;
  }

  /**
   * Gives it back, and campaigns for it no more.
   *
   * @param successor who is to have it next, by its number; -1: anybody
   */
  public void withdraw(String name, int successor) {
    Campaign campaign = campaigns.remove(name);
    if (campaign != null) {
      campaign.step(() -> campaign.client.release(successor));
    }
  }

  /** Gives all back, and closes once that has gone out. */
  public void stop() {
    grantors.expectClose();
    for (String name : List.copyOf(campaigns.keySet())) {
      withdraw(name, -1);
    }
    grantors.stop();
  }

  /** From any thread, as it was last. */
  public Counts counts() {
    return counts;
  }

  /**
   * Asks the grantors what they know; {@code done} gets the answers by grantor once all have
   * answered, or after a second, and at once if another query begins before.
   */
  public void queryGrantors(Consumer<Map<Integer, LeaseListed>> done) {
    queryAnswers.clear();
    Runnable[] end = new Runnable[1];
    Timer timeout = net.at(net.now().plus(QUERY_TIMEOUT), () -> end[0].run());
    end[0] =
        () -> {
          timeout.cancel();
          if (finishQuery != end[0]) {
            return;
          }
          finishQuery = null;
          done.accept(Map.copyOf(queryAnswers));
        };
    if (finishQuery != null) {
      finishQuery.run(); // who asked before gets what is there by now
    }
    finishQuery = end[0];
    grantors.query();
  }

  /** One lease, and this process's side of it. */
  private final class Campaign implements LeaseClient.Transport {
    private final LeaseClient client;
    private final LeaseCheck check;
    private final Listener listener;
    private Timer timer;

    Campaign(String name, Listener listener) {
      this.listener = listener;
      client = new LeaseClient(name, terms, this, random::next, config.memberNumber(), incarnation);
      check = new LeaseCheck(client, net::readClock);
    }

    /** Runs one step of the client, then sets the timer for its next one. */
    void step(Runnable what) {
      what.run();
      if (timer != null) {
        timer.cancel();
      }
      Timestamp next = client.nextTick();
      timer =
          next == null
              ? null
              : net.at(next, () -> step(() -> client.tick(net.readClock(), wallMs.getAsLong())));
    }

    @Override
    public void request(int grantor, String name, long token, long round) {
      grantors.request(grantor, name, token, round);
    }

    @Override
    public void release(int grantor, String name, long token, int successor) {
      grantors.release(grantor, name, token, successor);
    }

    @Override
    public void acquired(String name, long token) {
      counts = new Counts(counts.acquired + 1, counts.lost, counts.held + 1);
      log.info(name + " is held under " + token);
      listener.acquired(check);
    }

    @Override
    public void lost(String name, long token, String why) {
      counts = new Counts(counts.acquired, counts.lost + 1, counts.held - 1);
      log.info(name + " under " + token + " is held no more: " + why);
      listener.lost(why);
    }
  }

  private final class GrantorAnswers implements GrantorConnections.Listener {
    @Override
    public void replied(int grantor, LeaseSaid vote) {
      Campaign campaign = campaigns.get(vote.getName());
      if (campaign != null) {
        campaign.step(() -> applyReply(grantor, vote, campaign.client));
      } else if (vote.getGranted()) { // withdrawn meanwhile: what was granted since is of no use
        grantors.release(grantor, vote.getName(), vote.getNumber(), -1);
      }
    }

    private void applyReply(int grantor, LeaseSaid vote, LeaseClient client) {
      if (vote.getGranted()) {
        client.handleGrant(grantor, vote.getNumber(), vote.getRound(), net.readClock());
        return;
      }
      client.handleRejection(
          grantor,
          vote.getNumber(),
          vote.getRound(),
          vote.getHighest(),
          TimeSpan.ofMs(vote.getLeftUs() / 1000.0),
          vote.getHeld(),
          net.readClock());
    }

    @Override
    public void available(String name) {
      Campaign campaign = campaigns.get(name);
      if (campaign != null) {
        campaign.step(() -> campaign.client.handleAvailable(net.now(), wallMs.getAsLong()));
      }
    }

    @Override
    public void queryAnswered(int grantor, LeaseListed known) {
      queryAnswers.put(grantor, known);
      if (finishQuery != null && queryAnswers.size() == grantors.size()) {
        finishQuery.run();
      }
    }
  }
}
