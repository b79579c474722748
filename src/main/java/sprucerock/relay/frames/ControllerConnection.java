package sprucerock.relay.frames;

import com.google.protobuf.MessageLite;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.RequestTracker;
import sprucerock.config.RelayConfig;
import sprucerock.model.Build;
import sprucerock.model.RolloutState;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.relay.engine.EventLog;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Counts;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Say;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Worth;

/**
 * The connection to the controller: takes over its news of rollouts and its counts, carries the
 * policy's votes, each with one reply or none in time, and requests for rack permits. While it is
 * away, what it said last holds. For the event loop's thread.
 */
public final class ControllerConnection implements FrameListener {
  private final Net net;
  private final RelayConfig config;
  private final RequestTracker requestTracker;
  private final EventLog eventLog;
  private final Consumer<VoteReply> onVoteReply;
  private final ReconnectingConnection connection;
  private final Map<Long, Timer> pendingVotes = new HashMap<>();
  private final Runnable onNews;
  private final Consumer<Promised> onPromise;
  private long lastVote;
  private long epoch;
  private long sequence;
  private boolean hasNews;
  private boolean stopping;

  /**
   * Nothing is opened yet, see {@link #start}.
   *
   * @param onVoteReply gets one reply for each vote
   * @param onPromise gets what the controller promises of racks
   * @param onNews is run after each news that was taken over
   */
  public ControllerConnection(
      Net net,
      RelayConfig config,
      Hello localHello,
      FrameTap tap,
      RequestTracker requestTracker,
      EventLog eventLog,
      DeterministicRandom random,
      Consumer<VoteReply> onVoteReply,
      Consumer<Promised> onPromise,
      Runnable onNews) {
    this.onPromise = onPromise;
    this.onNews = onNews;
    this.net = net;
    this.config = config;
    this.requestTracker = requestTracker;
    this.eventLog = eventLog;
    this.onVoteReply = onVoteReply;
    connection =
        new ReconnectingConnection(
            net, config.controller, localHello, config.connectionLimits, tap, random, this);
  }

  /** Connects, and again whenever the connection is lost. */
  public void start() {
    connection.connect();
  }

  /** Closes the connection for good. */
  public void stop() {
    stopping = true;
    connection.stop();
  }

  /** Whether news has come since the start. */
  public boolean hasNews() {
    return hasNews;
  }

  void publishModel(Worth worth) {
    connection.send(FrameKind.WORTH, worth, FrameClientConnection.NO_BODY);
  }

  /** Asks for rack permits; false where the controller is away. */
  public boolean requestPromise(PromiseAsk ask) {
    return connection.send(FrameKind.PROMISE_ASK, ask, FrameClientConnection.NO_BODY);
  }

  /**
   * Votes on a build. The reply is told once; UNANSWERED where none comes within the settings' call
   * timeout, in which case the vote may count all the same.
   */
  public void vote(Build build, int stage, Verdict verdict) {
    long id = ++lastVote;
    MethodAccounts accounts = requestTracker.accounts();
    accounts.postNew(accounts.votes, 0, accounts.votes.pendingColumn());
    Say say =
        switch (verdict) {
          case NONE -> Say.NOTHING;
          case ON -> Say.ON;
          case HOLD -> Say.HOLD;
          case BACK -> Say.BACK;
        };
    connection.send(
        FrameKind.VOTE,
        Vote.newBuilder().setId(id).setBuild(build.number).setStage(stage).setSay(say).build(),
        FrameClientConnection.NO_BODY);
    // one that could not be sent is not answered either: to the policy it is the same
    pendingVotes.put(
        id,
        net.at(
            net.now().plus(config.settings.controllerCallTimeout),
            () -> {
              pendingVotes.remove(id);
              eventLog.warn(
                  EventLog.Event.VOTE_UNANSWERED,
                  "vote "
                      + verdict
                      + " on build "
                      + build.number
                      + " within "
                      + config.settings.controllerCallTimeout.ms()
                      + " ms; it may count");
              countVote(5);
              onVoteReply.accept(VoteReply.UNANSWERED);
            }));
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {
    if (other.getRole() != Role.DESK) {
      connection.cut("no release desk answers there");
      return;
    }
    eventLog.info(EventLog.Event.DESK_BACK, "linked to the release desk at " + config.controller);
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (kind == FrameKind.NEWS) {
      applyNews((News) head);
    } else if (kind == FrameKind.COUNTS) {
      applyCounts((Counts) head);
    } else if (kind == FrameKind.VOTED) {
      voteReplied((Voted) head);
    } else if (kind == FrameKind.PROMISED) {
      onPromise.accept((Promised) head);
    } else {
      connection.cut("a release desk sends no " + kind);
    }
  }

  private void applyNews(News news) {
    RolloutState state =
        switch (news.getStanding()) {
          case ON_TRIAL -> RolloutState.ON_TRIAL;
          case GOING_BACK -> RolloutState.GOING_BACK;
          case RELEASED -> RolloutState.RELEASED;
          case WITHDRAWN -> RolloutState.WITHDRAWN;
          default -> null;
        };
    boolean isValid =
        state != null
            && news.getCap() >= 0
            && news.getCap() <= 1
            && news.getBuild() >>> 16 == 0
            && news.getStage() >= 0
            && news.getStage() <= config.settings.exposureCaps.size();
    if (!isValid) {
      eventLog.warn(
          EventLog.Event.NEWS_REFUSED,
          "build "
              + news.getBuild()
              + ", stage "
              + news.getStage()
              + ", cap "
              + news.getCap()
              + ": no such standing, stage or cap; what was known holds");
      return;
    }
    // guards against a controller that was replaced and does not know it, and against news that was
    // long on its way
    boolean isStale =
        news.getEpoch() < epoch || news.getEpoch() == epoch && news.getSequence() < sequence;
    if (isStale) {
      eventLog.warn(
          EventLog.Event.NEWS_REFUSED,
          "epoch "
              + news.getEpoch()
              + ", sequence "
              + news.getSequence()
              + " is older than "
              + epoch
              + ", "
              + sequence);
      return;
    }
    epoch = news.getEpoch();
    sequence = news.getSequence();
    TimeSpan inState = TimeSpan.ofMs(Math.max(0, news.getLastedUs()) / 1000.0);
    requestTracker.rolloutChanged(
        news.getBuild(), news.getStage(), state, news.getCap(), net.now().minus(inState));
    hasNews = true;
    onNews.run();
  }

  private void applyCounts(Counts counts) {
    int method = counts.getMethod();
    if (method < 0
        || method >= config.settings.methods.size()
        || counts.getFailed() > counts.getPicks()
        || counts.getFailed() < 0) {
      eventLog.warn(
          EventLog.Event.NEWS_REFUSED,
          "counts of method "
              + method
              + ": "
              + counts.getFailed()
              + " of "
              + counts.getPicks()
              + " failed can't be; they are left out");
      return;
    }
    requestTracker.fleetCountsReceived(
        counts.getBuild(),
        method,
        counts.getPicks(),
        counts.getFailed(),
        TimeSpan.ofMs(counts.getMeanUs() / 1000.0));
  }

  private void voteReplied(Voted voted) {
    Timer timer = pendingVotes.remove(voted.getId());
    if (timer == null) {
      return;
      // too late: it was taken as unanswered
    }
    timer.cancel();
    VoteReply reply =
        switch (voted.getTaken()) {
          case COUNTS -> VoteReply.COUNTS;
          case MOOT -> VoteReply.MOOT;
          case TOO_MANY -> VoteReply.TOO_MANY;
          default -> VoteReply.ERROR;
        };
    countVote(1 + reply.ordinal());
    onVoteReply.accept(reply);
  }

  private void countVote(int column) {
    MethodAccounts accounts = requestTracker.accounts();
    accounts.postTransfer(accounts.votes, 0, accounts.votes.pendingColumn(), column);
  }

  @Override
  public void closed(String why) {
    if (!stopping) {
      eventLog.warn(EventLog.Event.DESK_LOST, why + "; what it said last holds");
    }
  }
}
