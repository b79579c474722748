package sprucerock.rehearsal.fake;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sprucerock.lease.FencingTokenRegistry;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;
import sprucerock.transport.tls.Credentials;
import sprucerock.transport.tls.TlsConnection;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.v1.Done;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Look;
import sprucerock.transport.wire.v1.Looked;
import sprucerock.transport.wire.v1.Result;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Stop;
import sprucerock.transport.wire.v1.Work;

/**
 * A unit: cores that work off a queue, cold after a start, with faults on command. Notes in the
 * trace what took effect. Pushed past what a cold one bears it falls over and stays down.
 */
public final class FakeEndpoint {
  /** Who wants to know how picks end, such as the release desk for its counts. */
  public interface Ear {
    void ended(int build, int method, boolean ok, TimeSpan took);
  }

  private static final byte[] NO_BODY = {};
  private static final int QUEUE_PER_CORE = 32;

  /** In an answer's body, in place of its last byte: it is wrong. */
  public static final byte WRONG = (byte) 0xEE;

  public final int id;
  public final int build;
  public final int zone;
  public final int cores;
  public final double speed;
  private final BuildFault fault;
  private final Site site;
  private final Shared shared;
  private final Net net;
  private final TraceWriter trace;
  private final FrameLimits limits;
  private final SplittableRandom chance;
  private final Ear ear;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final ArrayDeque<double[]> pressure = new ArrayDeque<>();
  private Net.Listener listener;
  private int port;
  private long run;
  private Timestamp started;
  private boolean bornCold;
  private int busy;
  private boolean down = true;
  private boolean fallen;

  private boolean draining;
  private boolean hangs;
  private double losesAnswers;
  private double linkLoses;
  private boolean rubbish;
  private double fails;
  private double slow = 1;
  private double stolen;
  private boolean paused;
  private int mostConnections = Integer.MAX_VALUE;
  private TimeSpan linkDelay = TimeSpan.ZERO;
  private final Counts counts = new Counts();
  private FakeTls secure;
  private Credentials shown;
  private boolean wronglyShown;
  private boolean askProof;
  private Handshaker.How handshakes;
  private TimeSpan handshakeBy = TimeSpan.ZERO;
  private boolean truncates;

  public FakeEndpoint(
      Net net,
      TraceWriter trace,
      FrameLimits limits,
      int id,
      int build,
      int zone,
      int cores,
      double speed,
      BuildFault fault,
      Site site,
      Shared shared,
      Ear ear,
      long seed) {
    this.net = net;
    this.trace = trace;
    this.limits = limits;
    this.id = id;
    this.build = build;
    this.zone = zone;
    this.cores = cores;
    this.speed = speed;
    this.fault = fault;
    this.site = site;
    this.shared = shared;
    this.ear = ear;
    chance = new SplittableRandom(seed);
  }

  /**
   * Begins a run of its process; the first listens where the system has room, later ones there
   * again.
   */
  public void start(boolean cold) throws IOException {
    if (fallen) {
      return;
    }
    run++;
    started = net.now();
    bornCold = cold;
    down = false;
    draining = false;
    listener =
        net.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            10_000,
            limits.maxUnsentBytes(),
            this::session);
    port = listener.address().getPort();
    if (cold) {
      trace.note(
          "START",
          "unit="
              + id
              + " run="
              + run
              + " capacity="
              + cores * speed
              + " from="
              + site.cold().from()
              + " lasts_us="
              + (long) (site.cold().lasts().ms() * 1000));
    }
  }

  /** The process ends at once, with all that it held. */
  public void kill() {
    if (down) {
      return;
    }
    down = true;
    listener.close();
    counts.add("killed", queue.size() + busy);
    queue.clear();
    busy = 0;
    generation++;
    for (Session session : new ArrayList<>(sessions)) {
      session.connection.cut("the unit's process ended");
    }
  }

  private int generation;
  private Timestamp called;
  private final FencingTokenRegistry fence = new FencingTokenRegistry();

  public int port() {
    return port;
  }

  public long run() {
    return run;
  }

  public boolean isDown() {
    return down;
  }

  public boolean hasFallen() {
    return fallen;
  }

  /** Since when its process runs; null where it counts as long ago. */
  public Timestamp startedCold() {
    return bornCold ? started : null;
  }

  // Faults on command.

  public void drain() {
    draining = true;
  }

  public void hang(boolean on) {
    hangs = on;
    if (!on) {
      pump();
    }
  }

  /** This share of its answers never arrives. */
  public void loseAnswers(double share) {
    losesAnswers = share;
  }

  /** Answers with bytes that are not the protocol. */
  public void rubbish(boolean on) {
    rubbish = on;
  }

  public void fail(double share) {
    fails = share;
  }

  public void slow(double times) {
    slow = times;
  }

  /** Another program takes this share of the machine. */
  public void steal(double share) {
    stolen = share;
  }

  public void pause(boolean on) {
    paused = on;
    if (!on) {
      pump();
    }
  }

  public void connections(int most) {
    mostConnections = most;
    while (sessions.size() > most) {
      Session last = sessions.iterator().next();
      sessions.remove(last);
      last.connection.cut("no connections left");
    }
  }

  /** Its link takes longer each way, and loses this share of what passes either way. */
  public void connection(TimeSpan oneWay, double loses) {
    linkDelay = oneWay;
    linkLoses = loses;
  }

  /**
   * Takes connections by TLS from now on; {@code proven}: whoever calls has to show a certificate.
   */
  public void secure(FakeTls with, boolean proven) {
    secure = with;
    askProof = proven;
    shown = with.unit(id);
  }

  /** Shows another certificate of its own from now on; connections stay. */
  public void renewCertificate() {
    if (!wronglyShown) {
      shown = secure.unit(id);
    }
  }

  /**
   * Shows a wrong certificate, or the right one again; whoever is connected has to connect again.
   */
  public void certificate(FakeTls.Fault fault, boolean on) {
    wronglyShown = on;
    shown = on ? secure.unit(id, fault) : secure.unit(id);
    reconnect("its certificate changed");
  }

  /**
   * Is slow at handshakes by so much, or stalls in them, or resets them; whoever is connected has
   * to connect again.
   */
  public void handshakes(String how, TimeSpan by, boolean on) {
    handshakes = on ? Handshaker.How.valueOf(how.toUpperCase(java.util.Locale.ROOT)) : null;
    handshakeBy = by;
    if (on) {
      reconnect("its handshakes changed");
    }
  }

  /** Ends the connection in the middle of each answer, without TLS's close. */
  public void truncates(boolean on) {
    truncates = on;
  }

  private void reconnect(String why) {
    for (Session session : new ArrayList<>(sessions)) {
      session.connection.cut(why);
    }
  }

  private ConnectionListener session() {
    Session session = new Session();
    session.connection =
        new FrameConnection(
            net,
            Hello.newBuilder()
                .setVersion(FrameConnection.VERSION)
                .setRole(Role.UNIT)
                .setNumber(id)
                .setName("unit-" + id)
                .build(),
            limits,
            trace,
            session);
    session.proven = !wronglyShown;
    if (secure == null) {
      return session.connection;
    }
    TlsConnection tls = secure.taken(shown, askProof, session.connection);
    return handshakes == null ? tls : new Handshaker(net, handshakes, handshakeBy, tls);
  }

  private static final class Job {
    Session session;
    Work work;
    byte[] body;
    double costMs;
    Timestamp came;
    boolean stopped;
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;
    private boolean proven;
    private final Map<Long, Job> jobs = new HashMap<>();

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (sessions.size() >= mostConnections) {
        made.cut("no connections left");
        return;
      }
      sessions.add(this);
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind == FrameKind.WORK) {
        counts.add("came");
      }
      if (kind == FrameKind.WORK && !proven) {
        trace.note("UNPROVEN", "unit=" + id + " by=" + connection.remoteHello().getNumber());
      }
      if (lost(linkLoses)) {
        if (kind == FrameKind.WORK) {
          counts.add("lost_on_way");
        }
        return;
      }
      if (linkDelay.over(TimeSpan.ZERO)) {
        net.at(net.now().plus(linkDelay), () -> take(kind, head, body));
      } else {
        take(kind, head, body);
      }
    }

    private void take(FrameKind kind, MessageLite head, byte[] body) {
      if (down) {
        if (kind == FrameKind.WORK) {
          counts.add("came_when_down");
        }
        return;
      }
      if (kind == FrameKind.WORK) {
        called = net.now();
        Job job = new Job();
        job.session = this;
        job.work = (Work) head;
        job.body = body;
        job.came = net.now();
        jobs.put(job.work.getId(), job);
        FakeEndpoint.this.take(job);
      } else if (kind == FrameKind.LOOK) {
        look((Look) head);
      } else if (kind == FrameKind.STOP) {
        Job job = jobs.get(((Stop) head).getId());
        if (job != null) {
          job.stopped = true; // dropped if it still waits; running work goes on
        }
      } else {
        connection.cut("a unit takes no " + kind);
      }
    }

    private void look(Look look) {
      if (hangs || paused) {
        return; // its process gives no sign
      }
      boolean taken = fence.admits(look.getLease(), look.getNumber());
      trace.note(
          "LOOK",
          "unit="
              + id
              + " lease="
              + look.getLease()
              + " number="
              + look.getNumber()
              + " by="
              + connection.remoteHello().getNumber()
              + " taken="
              + taken);
      connection.send(
          FrameKind.LOOKED,
          Looked.newBuilder()
              .setTaken(taken)
              .setHighest(fence.highestToken(look.getLease()))
              .setIdleUs(
                  called == null ? Long.MAX_VALUE : (long) (net.now().since(called).ms() * 1000))
              .build(),
          NO_BODY);
    }

    @Override
    public void closed(String why) {
      sessions.remove(this);
    }
  }

  private void take(Job job) {
    int index = job.work.getMethod();
    if (index >= site.methods().size()) {
      reply(job, Result.ERROR, NO_BODY);
      return;
    }
    Site.Method method = site.methods().get(index);
    // exponential, cut at five means so that no single RPC fills a day
    job.costMs = method.workMs() * Math.min(5, -Math.log(1 - chance.nextDouble()));
    bear(job);
    if (down) { // it fell over with this one
      counts.add("killed");
      return;
    }
    boolean full = draining || queue.size() >= QUEUE_PER_CORE * cores;
    if (full) {
      reply(job, Result.FULL, NO_BODY);
      return;
    }
    queue.add(job);
    pump();
  }

  /** All work that reaches a cold unit adds pressure, also what it turns away. */
  private void bear(Job job) {
    if (!bornCold || capacityShare() >= 1) {
      return;
    }
    trace.note(
        "TAKEN",
        "unit="
            + id
            + " run="
            + run
            + " by="
            + job.session.connection.remoteHello().getNumber()
            + " cost_us="
            + (long) (job.costMs * 1000));
    Timestamp now = net.now();
    TimeSpan over = site.cold().tipAfter();
    pressure.add(new double[] {now.ms(), job.costMs});
    while (pressure.peek()[0] < now.minus(over).ms()) {
      pressure.poll();
    }
    double sum = pressure.stream().mapToDouble(one -> one[1]).sum();
    // one long RPC alone is chance, not pressure
    double can =
        site.cold().tipMultiple() * capacityShare() * cores * speed * over.ms() + 5 * job.costMs;
    if (sum > can) {
      fallen = true;
      trace.note("FELL", "unit=" + id + " run=" + run);
      kill();
    }
  }

  private double capacityShare() {
    if (!bornCold) {
      return 1;
    }
    double age = net.now().since(started).dividedBy(site.cold().lasts());
    return Math.min(1, site.cold().from() + (1 - site.cold().from()) * age);
  }

  private void pump() {
    while (!down && !hangs && !paused && busy < cores && !queue.isEmpty()) {
      Job job = queue.poll();
      Timestamp now = net.now();
      boolean overdue = now.since(job.came).ms() * 1000 > job.work.getLeftUs();
      if (job.stopped || overdue) {
        job.session.jobs.remove(job.work.getId());
        counts.add("never_begun");
        continue; // nobody waits for it; never begun
      }
      busy++;
      shared.begins(fault, now);
      double factor = slow * shared.slowness(job.work.getMethod(), now) * buildFactor();
      TimeSpan takes =
          TimeSpan.ofMs(job.costMs * factor / (speed * capacityShare() * (1 - stolen)));
      int current = generation;
      net.at(
          now.plus(takes),
          () -> {
            if (current == generation) {
              done(job);
            }
          });
    }
  }

  private double buildFactor() {
    return switch (fault.what()) {
      case SLOW -> fault.amount();
      case LOAD -> overLoad() ? 3 : 1;
      case LATE -> late() ? 3 : 1;
      default -> 1;
    };
  }

  private boolean overLoad() {
    return (busy + queue.size()) >= Math.max(1, fault.amount() * cores);
  }

  private boolean late() {
    return net.now().since(started).ms() > fault.amount() * 1000;
  }

  private double buildFails(int method) {
    return switch (fault.what()) {
      case ERRORS -> fault.amount();
      case METHOD -> method == fault.method() ? fault.amount() : 0;
      case LOAD -> overLoad() ? 0.3 : 0;
      case LATE -> late() ? 0.3 : 0;
      default -> 0;
    };
  }

  private void done(Job job) {
    busy--;
    Site.Method method = site.methods().get(job.work.getMethod());
    Timestamp now = net.now();
    if (hangs) { // it stands still with what it was at
      queue.addFirst(job);
      return;
    }
    boolean failed = chance.nextDouble() < Math.max(fails, buildFails(job.work.getMethod()));
    ear.ended(build, job.work.getMethod(), !failed, now.since(job.came));
    if (!failed && method.effect() != Site.Effect.IDEMPOTENT) {
      boolean tokened = method.effect() == Site.Effect.TOKENED;
      boolean first = !tokened || shared.firstEffect(job.work.getToken(), method.window(), now);
      trace.note(
          first ? "EFFECT" : "REPEAT_DROPPED",
          "unit="
              + id
              + " method="
              + job.work.getMethod()
              + " body="
              + java.util.HexFormat.of().formatHex(job.body, 0, Math.min(16, job.body.length)));
    }
    if (failed) {
      reply(job, Result.ERROR, NO_BODY);
    } else {
      byte[] answer = job.body.clone();
      boolean wrong = fault.what() == BuildFault.What.WRONG && chance.nextDouble() < fault.amount();
      if (wrong && answer.length > 0) {
        answer[answer.length - 1] = WRONG;
      }
      reply(job, Result.DONE, answer);
    }
    pump();
  }

  private boolean lost(double share) {
    return share > 0 && chance.nextDouble() < share;
  }

  private void reply(Job job, Result result, byte[] body) {
    job.session.jobs.remove(job.work.getId());
    counts.add("made_" + result);
    boolean dropped = lost(losesAnswers);
    if (dropped || lost(linkLoses)) {
      counts.add((dropped ? "dropped_" : "lost_on_link_") + result);
      return;
    }
    Done done = Done.newBuilder().setId(job.work.getId()).setResult(result).build();
    Runnable send =
        () -> {
          boolean gone = !job.session.connection.isReady();
          counts.add((gone ? "link_gone_" : rubbish ? "rubbish_" : "sent_") + result);
          if (rubbish) {
            job.session.connection.send(FrameKind.WORK, job.work, body); // what a unit never sends
          } else {
            job.session.connection.send(FrameKind.DONE, done, body);
          }
          if (truncates) {
            job.session.connection.cut("truncated on purpose");
          }
        };
    if (linkDelay.over(TimeSpan.ZERO)) {
      net.at(net.now().plus(linkDelay), send);
    } else {
      send.run();
    }
  }

  /**
   * Its own book: picks that came, and what became of each; came = lost on the way + came when down
   * + killed + never begun + made + held. Of the results it made: dropped on command + lost on the
   * link + link gone + rubbish + sent.
   */
  public Counts counts() {
    counts.set("held", held());
    return counts;
  }

  /** Picks that it holds, for a look from outside. */
  public int held() {
    return queue.size() + busy;
  }
}
