package sprucerock.rehearsal.fake;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.v1.Counts;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Say;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;

/**
 * The release desk: brings a build in by stages, as the relays' votes have it, and tells them news
 * and counts.
 */
public final class FakeController {
  /** Who starts and takes away machines. */
  public interface Places {
    void enter(int build, int stage);

    /** The build is released: the earlier one's units may go. */
    void released(int build);

    void takeOff(int build);
  }

  /** A vote as it was taken, for the report. */
  public record Ballot(Timestamp at, int relay, int build, int stage, Say say, Taken taken) {}

  private static final byte[] NO_BODY = {};
  private static final TimeSpan TOLD_AFTER = TimeSpan.ofMs(200);
  private static final TimeSpan PUSH = TimeSpan.ofMs(4000);

  private record Standing(Say say, int stage, Timestamp until) {}

  private final Net net;
  private final TraceWriter trace;
  private final FrameLimits limits;
  private final Site site;
  private final Places places;
  private final SplittableRandom chance;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final Map<Integer, Standing> votes = new TreeMap<>();
  private final List<Ballot> ballots = new ArrayList<>();
  private final Map<Long, long[]> counts = new TreeMap<>();
  private Net.Listener listener;
  private int build;
  private int stage;
  private Stand standing = Stand.RELEASED;
  private Timestamp since;
  private Timestamp stageClock;
  private double heldMs;
  private TimeSpan late = TimeSpan.ZERO;
  private TimeSpan countsLate = TimeSpan.ZERO;
  private boolean down;

  public FakeController(
      Net net,
      TraceWriter trace,
      FrameLimits limits,
      Site site,
      Places places,
      int firstBuild,
      long seed) {
    this.net = net;
    this.trace = trace;
    this.limits = limits;
    this.site = site;
    this.places = places;
    build = firstBuild;
    stage = site.stages().size() - 1;
    chance = new SplittableRandom(seed);
    since = net.now();
    stageClock = since;
  }

  public int start() throws IOException {
    listener =
        net.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1000,
            limits.maxUnsentBytes(),
            () -> {
              Session session = new Session();
              session.connection =
                  new FrameConnection(
                      net,
                      Hello.newBuilder()
                          .setVersion(FrameConnection.VERSION)
                          .setRole(Role.DESK)
                          .setName("desk")
                          .build(),
                      limits,
                      trace,
                      session);
              return session.connection;
            });
    push();
    if (site.desk().countsEvery().over(TimeSpan.ZERO)) {
      tellCounts();
    }
    tick();
    return listener.address().getPort();
  }

  public List<Ballot> ballots() {
    return ballots;
  }

  public Stand standing() {
    return standing;
  }

  public int build() {
    return build;
  }

  public int stage() {
    return stage;
  }

  /** Votes get no answer, though half of them count once it is back; nothing is told. */
  public void down(boolean on) {
    down = on;
  }

  public void late(TimeSpan by) {
    late = by;
  }

  public void countsLate(TimeSpan by) {
    countsLate = by;
  }

  /** A new build: what was on trial is taken off. */
  public void offer(int newBuild) {
    if (standing == Stand.ON_TRIAL) {
      change(build, stage, Stand.WITHDRAWN);
    }
    change(newBuild, 0, Stand.ON_TRIAL);
  }

  private void change(int toBuild, int toStage, Stand to) {
    boolean offTrial = standing == Stand.ON_TRIAL && to == Stand.WITHDRAWN;
    build = toBuild;
    stage = toStage;
    standing = to;
    since = net.now();
    stageClock = since.plus(TimeSpan.ofMs(1000)); // its machines have to start
    heldMs = 0;
    votes.clear();
    trace.note("DESK", "build=" + build + " stage=" + stage + " standing=" + to);
    if (to == Stand.ON_TRIAL) {
      places.enter(build, stage);
    } else if (to == Stand.RELEASED) {
      places.released(build);
    } else if (to == Stand.GOING_BACK) {
      places.takeOff(build);
      net.at(
          net.now().plus(TimeSpan.ofMs(1500)),
          () -> {
            if (standing == Stand.GOING_BACK) {
              change(build, stage, Stand.WITHDRAWN);
            }
          });
    } else if (offTrial) {
      places.takeOff(build);
    }
    tellAll();
  }

  private void tellAll() {
    for (Session session : Set.copyOf(sessions)) {
      session.tell();
    }
  }

  private void push() {
    if (!down) {
      tellAll();
    }
    net.at(net.now().plus(PUSH), this::push);
  }

  private double cap() {
    return switch (standing) {
      case ON_TRIAL -> site.stages().get(stage).cap();
      case RELEASED -> 1;
      default -> 0;
    };
  }

  /** A pick ended at a unit: counted in a sample. */
  public void count(int ofBuild, int method, boolean ok, TimeSpan took) {
    if (chance.nextDouble() >= site.desk().sample()) {
      return;
    }
    long[] sums = counts.computeIfAbsent((long) ofBuild << 16 | method, key -> new long[3]);
    sums[0]++;
    if (ok) {
      sums[2] += (long) (took.ms() * 1000);
    } else {
      sums[1]++;
    }
  }

  private void tellCounts() {
    List<Counts> period = new ArrayList<>();
    counts.forEach(
        (key, sums) ->
            period.add(
                Counts.newBuilder()
                    .setBuild((int) (key >> 16))
                    .setMethod((int) (key & 0xffff))
                    .setPicks((int) sums[0])
                    .setFailed((int) sums[1])
                    .setMeanUs(sums[2] / Math.max(1, sums[0] - sums[1]))
                    .build()));
    counts.clear();
    if (!down) {
      net.at(
          net.now().plus(TimeSpan.ofMs(500)).plus(countsLate),
          () -> {
            for (Session session : Set.copyOf(sessions)) {
              for (Counts one : period) {
                session.connection.send(FrameKind.COUNTS, one, NO_BODY);
              }
            }
          });
    }
    net.at(net.now().plus(site.desk().countsEvery()), this::tellCounts);
  }

  private void tick() {
    TimeSpan each = TimeSpan.ofMs(50);
    boolean trial = standing == Stand.ON_TRIAL;
    if (trial && site.desk().control() == Site.Control.CLOCKED) {
      boolean held = down || standing(Say.HOLD, stage) >= Math.max(1, site.desk().hold());
      if (held) {
        heldMs += each.ms();
      } else if (net.now().since(stageClock).ms() - heldMs > site.desk().step().ms()) {
        goOn();
      }
    } else if (trial && !down) {
      weigh();
    }
    net.at(net.now().plus(each), this::tick);
  }

  private int standing(Say say, int ofStage) {
    Timestamp now = net.now();
    int sum = 0;
    for (Standing vote : votes.values()) {
      if (vote.say == say && vote.until.after(now) && (say == Say.BACK || vote.stage == ofStage)) {
        sum++;
      }
    }
    return sum;
  }

  private void weigh() {
    boolean mayGoBack = standing == Stand.ON_TRIAL || standing == Stand.RELEASED && build > 1;
    if (mayGoBack && standing(Say.BACK, stage) >= site.desk().back()) {
      change(build, stage, Stand.GOING_BACK);
    } else if (standing == Stand.ON_TRIAL
        && site.desk().control() != Site.Control.CLOCKED
        && standing(Say.ON, stage) >= site.desk().on()
        && net.now().since(stageClock).over(site.desk().bake())) {
      goOn();
    }
  }

  private void goOn() {
    if (stage + 1 < site.stages().size()) {
      change(build, stage + 1, Stand.ON_TRIAL);
    } else {
      change(build, stage, Stand.RELEASED);
    }
  }

  private void take(Session session, Vote vote) {
    boolean silent = down;
    int relay = session.connection.remoteHello().getNumber();
    boolean trial = standing == Stand.ON_TRIAL;
    boolean clocked = site.desk().control() == Site.Control.CLOCKED;
    boolean fits =
        vote.getBuild() == build
            && switch (vote.getSay()) {
              case ON -> trial && !clocked && vote.getStage() == stage;
              case HOLD -> trial && clocked && vote.getStage() == stage;
              case BACK -> trial || standing == Stand.RELEASED;
              case NOTHING -> true;
              default -> false;
            };
    if (silent) {
      fits &= chance.nextBoolean(); // half of what it does not answer counts all the same
    }
    Taken taken = fits ? Taken.COUNTS : Taken.MOOT;
    ballots.add(
        new Ballot(net.now(), relay, vote.getBuild(), vote.getStage(), vote.getSay(), taken));
    if (fits) {
      Timestamp until = net.now().plus(site.desk().voteLife());
      votes.put(relay, new Standing(vote.getSay(), vote.getStage(), until));
    }
    if (silent) {
      return;
    }
    session.connection.send(
        FrameKind.VOTED, Voted.newBuilder().setId(vote.getId()).setTaken(taken).build(), NO_BODY);
    if (fits) {
      weigh();
    }
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      sessions.add(this);
      tell();
    }

    void tell() {
      News news =
          News.newBuilder()
              .setBuild(build)
              .setStage(stage)
              .setStanding(standing)
              .setCap(cap())
              .build();
      Timestamp from = since;
      net.at(
          net.now().plus(TOLD_AFTER).plus(late),
          () -> {
            long lasted = (long) (net.now().since(from).ms() * 1000);
            if (!down) {
              connection.send(
                  FrameKind.NEWS, news.toBuilder().setLastedUs(lasted).build(), NO_BODY);
            }
          });
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind == FrameKind.VOTE) {
        take(this, (Vote) head);
      } else {
        connection.cut("a release desk takes no " + kind);
      }
    }

    @Override
    public void closed(String why) {
      sessions.remove(this);
    }
  }
}
