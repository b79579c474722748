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
 * All leases that one process campaigns for: a {@link LeaseClient} with its timer for each, and the
 * connections to the grantors that they share. Runs on one loop's thread. {@link #counts} may be
 * called from any thread.
 */
public final class LeaseManager {
  /** Is notified, on the loop's thread, when a lease is acquired and when it is lost. */
  public interface Listener {
    /** The lease is held from now on. Former holders may have left work incomplete. */
    void acquired(LeaseCheck check);

    /** The lease is lost. Nothing may be done under it any more. */
    void lost(String reason);
  }

  /** The log for operators. */
  public interface Log {
    /** Logs an event of normal operation. */
    void info(String message);

    /** Logs an event that operators should investigate. */
    void warn(String message);
  }

  /** The numbers of leases acquired and lost since the start of the process, and held now. */
  public record Counts(long acquired, long lost, long held) {}

  /** The largest number of leases that a process campaigns for. */
  public static final int MAX_LEASES = 64;

  /** The limits of all connections between lease clients and grantors. */
  static final FrameLimits FRAME_LIMITS =
      new FrameLimits(64 * 1024, 256 * 1024, TimeSpan.ofMs(1000));

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

  /** Ends the current query of the grantors; null: no query is in flight. */
  private Runnable finishQuery;

  private volatile Counts counts = new Counts(0, 0, 0);

  /**
   * Creates a manager that does not campaign yet.
   *
   * @param processName this process's name, which the grantors receive
   * @param incarnation a number that differs with each start of the process: {@link
   *     #newIncarnation}
   * @param wallMs the wall clock in milliseconds, a lower bound of new tokens
   */
  public LeaseManager(
      Net net,
      LeaseConfig config,
      String processName,
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
        new GrantorConnections(
            net, config, processName, incarnation, tap, log, new GrantorAnswers());
  }

  static LeaseTerms terms(LeaseConfig config) {
    return new LeaseTerms(
        config.grantors().size(), config.term(), config.maxTerm(), config.drift());
  }

  /** Returns a random number for one start of a process. */
  public static long newIncarnation() {
    return UUID.randomUUID().getMostSignificantBits();
  }

  /** Connects to the grantors. Called on the loop's thread. */
  public void start() {
    grantors.start(terms.usableTerm(), random);
  }

  /**
   * Campaigns for a lease until {@link #withdraw}. The listener is notified when the lease is
   * acquired and when it is lost.
   *
   * @throws IllegalStateException if this process campaigns for too many leases, or already for
   *     this one
   */
  public LeaseCheck campaign(String name, Listener listener) {
    if (campaigns.size() >= MAX_LEASES) {
      throw new IllegalStateException(
          "cannot campaign for lease "
              + name
              + ": this process campaigns for "
              + MAX_LEASES
              + " leases already, the maximum");
    }
    Campaign campaign = new Campaign(name, listener);
    if (campaigns.put(name, campaign) != null) {
      throw new IllegalStateException("this process campaigns for lease " + name + " already");
    }
    campaign.step(() -> campaign.client.acquire(net.now(), wallMs.getAsLong()));
    return campaign.check;
  }

  /**
   * Releases a lease and stops campaigning for it.
   *
   * @param successor the number of the client that gets the lease next; -1: any client
   */
  public void withdraw(String name, int successor) {
    Campaign campaign = campaigns.remove(name);
    if (campaign != null) {
      campaign.step(() -> campaign.client.release(successor));
    }
  }

  /** Releases all leases, and closes the connections after the releases are sent. */
  public void stop() {
    grantors.expectClose();
    for (String name : List.copyOf(campaigns.keySet())) {
      withdraw(name, -1);
    }
    grantors.stop();
  }

  /** Returns the latest counts. Callable from any thread. */
  public Counts counts() {
    return counts;
  }

  /**
   * Queries all grantors for their grants.
   *
   * @param done receives the answers by grantor once all have answered, after a second at the
   *     latest; if another query begins before, it receives no answers, and at once
   */
  public void queryGrantors(Consumer<Map<Integer, LeaseListed>> done) {
    queryAnswers.clear();
    Runnable[] finish = new Runnable[1];
    Timer timeout = net.at(net.now().plus(QUERY_TIMEOUT), () -> finish[0].run());
    finish[0] =
        () -> {
          timeout.cancel();
          if (finishQuery != finish[0]) {
            return;
          }
          finishQuery = null;
          done.accept(Map.copyOf(queryAnswers));
        };
    if (finishQuery != null) {
      // The previous query ends without answers, which were cleared above.
      finishQuery.run();
    }
    finishQuery = finish[0];
    grantors.query();
  }

  /** One lease that this process campaigns for. */
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

    /** Runs one step of the client, then sets the timer for its next step. */
    void step(Runnable action) {
      action.run();
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
      log.info(name + " is held under fencing token " + token);
      listener.acquired(check);
    }

    @Override
    public void lost(String name, long token, String reason) {
      counts = new Counts(counts.acquired, counts.lost + 1, counts.held - 1);
      log.info(name + " under fencing token " + token + " is lost: " + reason);
      listener.lost(reason);
    }
  }

  private final class GrantorAnswers implements GrantorConnections.Listener {
    @Override
    public void replied(int grantor, LeaseSaid reply) {
      Campaign campaign = campaigns.get(reply.getName());
      if (campaign != null) {
        campaign.step(() -> applyReply(grantor, reply, campaign.client));
      } else if (reply.getGranted()) {
        // This process has withdrawn from the lease since its request.
        grantors.release(grantor, reply.getName(), reply.getNumber(), -1);
      }
    }

    private void applyReply(int grantor, LeaseSaid reply, LeaseClient client) {
      if (reply.getGranted()) {
        client.handleGrant(grantor, reply.getNumber(), reply.getRound(), net.readClock());
        return;
      }
      client.handleRejection(
          grantor,
          reply.getNumber(),
          reply.getRound(),
          reply.getHighest(),
          TimeSpan.ofMs(reply.getLeftUs() / 1000.0),
          reply.getHeld(),
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
    public void queryAnswered(int grantor, LeaseListed answer) {
      queryAnswers.put(grantor, answer);
      if (finishQuery != null && queryAnswers.size() == grantors.size()) {
        finishQuery.run();
      }
    }
  }
}
