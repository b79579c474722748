package sprucerock.rehearsal.fake;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Call;
import sprucerock.transport.wire.v1.Ending;
import sprucerock.transport.wire.v1.Flag;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Leave;
import sprucerock.transport.wire.v1.Role;

/**
 * An app: asks at times of its own, whatever becomes of what it asked before, and tries again as
 * its method allows.
 */
public final class FakeClient implements FrameListener {
  /** Who keeps the books of what was asked and served. */
  public interface Ear {
    void asked(Order order);

    /** Once for each order. */
    void ended(Order order, End end);
  }

  public enum End {
    OK,
    LATE,
    WRONG,
    PUSHED_BACK,
    ABORTED,
    UNANSWERED,
    LOST_WITH_RELAY,
    LEFT
  }

  /** What a person wants done; its tries are RPCs. */
  public static final class Order {
    public final long number;
    public final int method;
    public final int tenant;
    final long key;
    public final Timestamp at;
    public int tries;
    boolean over;

    Order(long number, int method, int tenant, long key, Timestamp at) {
      this.number = number;
      this.method = method;
      this.tenant = tenant;
      this.key = key;
      this.at = at;
    }
  }

  /**
   * How apps try again: so often, after such a wait; a rude one waits not, and asks again whatever
   * it was told.
   */
  public record Manners(int retries, TimeSpan pause, double impatient, double flags) {}

  private static final byte[] NO_BODY = {};
  private static final TimeSpan GRACE =
      TimeSpan.ofMs(60); // an answer may be that long on its way here
  private static final int KEYS = 500;

  private final Net net;
  private final Site site;
  private final Manners manners;
  private final Ear ear;
  private final int number;
  private final SplittableRandom chance;
  private final ReconnectingConnection redial;
  private final Map<Long, Try> open = new HashMap<>();
  private final double[] customerTimes;
  private long lastOrder;
  private long lastTry;
  private double perSecond;
  private double times = 1;
  private boolean rude;
  private int rudeCustomer = -1;
  private boolean stopped;
  private final Counts counts = new Counts();

  private final class Try {
    final Order order;
    final Timestamp at = net.now();
    Timer timer;

    Try(Order order) {
      this.order = order;
    }
  }

  public FakeClient(
      Net net,
      TraceWriter trace,
      FrameLimits limits,
      Site site,
      Manners manners,
      Ear ear,
      int number,
      InetSocketAddress relay,
      double perSecond,
      long seed) {
    this(net, trace, limits, site, manners, ear, number, net::connect, relay, perSecond, seed);
  }

  /** One that connects in a way of its own. */
  public FakeClient(
      Net net,
      TraceWriter trace,
      FrameLimits limits,
      Site site,
      Manners manners,
      Ear ear,
      int number,
      ReconnectingConnection.Connector connector,
      InetSocketAddress relay,
      double perSecond,
      long seed) {
    this.net = net;
    this.site = site;
    this.manners = manners;
    this.ear = ear;
    this.number = number;
    this.perSecond = perSecond;
    chance = new SplittableRandom(seed);
    customerTimes = new double[Math.max(1, site.tenants().size())];
    java.util.Arrays.fill(customerTimes, 1);
    redial =
        new ReconnectingConnection(
            net,
            connector,
            relay,
            Hello.newBuilder()
                .setVersion(FrameConnection.VERSION)
                .setRole(Role.CLIENT)
                .setNumber(number)
                .setName("client-" + number)
                .build(),
            limits,
            trace,
            new DeterministicRandom(seed),
            this);
  }

  public void start() {
    redial.connect();
    next();
  }

  /** Asks nothing new; what is open goes on. */
  public void stop() {
    stopped = true;
  }

  public int open() {
    return open.size();
  }

  /**
   * Its own book: RPCs sent, and what became of each; sent = answered + left + given up + link
   * ended + open.
   */
  public Counts counts() {
    counts.set("open", open.size());
    return counts;
  }

  /** Asks so many times as often. */
  public void times(double factor) {
    times = factor;
  }

  public void tenantTimes(int tenant, double factor) {
    customerTimes[tenant] = factor;
  }

  public void rude(boolean on) {
    rude = on;
  }

  /** The same for one customer's RPCs. */
  public void rude(int tenant, boolean on) {
    rudeCustomer = on ? tenant : -1;
  }

  private boolean rude(Order order) {
    return rude || order.tenant == rudeCustomer;
  }

  private void next() {
    if (stopped) {
      return;
    }
    double sum = 0;
    for (int i = 0; i < customerTimes.length; i++) {
      sum += share(i) * customerTimes[i];
    }
    double gapMs = -Math.log(1 - chance.nextDouble()) * 1000 / (perSecond * times * sum);
    net.at(
        net.now().plus(TimeSpan.ofMs(gapMs)),
        () -> {
          if (!stopped) {
            ask();
          }
          next();
        });
  }

  private double share(int tenant) {
    return site.tenants().isEmpty() ? 1 : site.tenants().get(tenant).share();
  }

  private void ask() {
    int method = draw(site.methods().size(), i -> site.methods().get(i).share());
    int tenant = draw(customerTimes.length, i -> share(i) * customerTimes[i]);
    // few keys are far more popular than the rest
    long key = 1 + (long) (KEYS * Math.pow(chance.nextDouble(), 3));
    Order order = new Order(((long) number << 40) + ++lastOrder, method, tenant, key, net.now());
    ear.asked(order);
    attempt(order);
  }

  private interface Share {
    double of(int i);
  }

  private int draw(int many, Share share) {
    double all = 0;
    for (int i = 0; i < many; i++) {
      all += share.of(i);
    }
    double dice = chance.nextDouble() * all;
    for (int i = 0; i < many - 1; i++) {
      dice -= share.of(i);
      if (dice < 0) {
        return i;
      }
    }
    return many - 1;
  }

  private void attempt(Order order) {
    if (order.over) {
      return;
    }
    Site.Method method = site.methods().get(order.method);
    TimeSpan left = method.deadline().minus(net.now().since(order.at));
    if (!left.over(TimeSpan.ofMs(10))) {
      end(order, End.UNANSWERED);
      return;
    }
    if (!redial.isReady()) { // nobody there: asked again soon, while there is time
      net.at(net.now().plus(TimeSpan.ofMs(100)), () -> attempt(order));
      return;
    }
    order.tries++;
    counts.add("sent");
    long id = ++lastTry;
    Try one = new Try(order);
    open.put(id, one);
    byte[] body =
        ByteBuffer.allocate(32).putInt(number).putInt((int) id).putLong(order.number).array();
    redial.send(
        FrameKind.CALL,
        Call.newBuilder()
            .setId(id)
            .setMethod(order.method)
            .setCustomer(order.tenant)
            .setKey(order.key)
            .setLeftUs((long) (left.ms() * 1000))
            .setToken(order.number)
            .build(),
        body);
    if (chance.nextDouble() < manners.impatient()) {
      one.timer = net.at(net.now().plus(left.times(0.3 * chance.nextDouble())), () -> leave(id));
    } else {
      one.timer = net.at(net.now().plus(left).plus(GRACE), () -> unanswered(id));
    }
  }

  private void leave(long id) {
    Try one = open.remove(id);
    counts.add("left");
    redial.send(FrameKind.LEAVE, Leave.newBuilder().setId(id).build(), NO_BODY);
    end(one.order, End.LEFT);
  }

  private void unanswered(long id) {
    Try one = open.remove(id);
    if (one == null) {
      return;
    }
    counts.add("given_up");
    end(one.order, End.UNANSWERED);
  }

  private void end(Order order, End how) {
    if (order.over) {
      return;
    }
    order.over = true;
    ear.ended(order, how);
  }

  @Override
  public void helloReceived(FrameConnection connection, Hello other) {
    if (other.getRole() != Role.RELAY) {
      redial.cut("no relay answers there");
    }
  }

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    if (kind != FrameKind.ANSWER) {
      redial.cut("a client takes no " + kind);
      return;
    }
    Answer answer = (Answer) head;
    Try one = open.remove(answer.getId());
    counts.add((one == null ? "late_" : "answered_") + answer.getEnding());
    if (one == null) {
      return; // it had left; the judge knows whether that was an answer too many
    }
    one.timer.cancel();
    Order order = one.order;
    Site.Method method = site.methods().get(order.method);
    if (answer.getEnding() == Ending.OK) {
      boolean wrong = body.length > 0 && body[body.length - 1] == FakeEndpoint.WRONG;
      if (wrong && chance.nextDouble() < manners.flags()) {
        flag(answer.getUnit(), one.at);
      }
      boolean inTime = !net.now().since(order.at).over(method.soft());
      end(order, wrong ? End.WRONG : inTime ? End.OK : End.LATE);
      return;
    }
    boolean pushedBack = answer.getEnding() == Ending.PUSHED_BACK;
    End how = pushedBack ? End.PUSHED_BACK : End.ABORTED;
    boolean may = pushedBack || mayRepeat(order);
    TimeSpan told = TimeSpan.ofMs(answer.getWaitUs() / 1000.0);
    TimeSpan wait =
        rude(order)
            ? TimeSpan.ofMs(1)
            : manners.pause().times(0.5 + chance.nextDouble()).atLeast(told);
    again(order, may, how, wait);
  }

  private void again(Order order, boolean may, End how, TimeSpan wait) {
    int most = rude(order) ? manners.retries() + 5 : manners.retries();
    if (!may || order.tries > most) {
      end(order, how);
    } else {
      net.at(net.now().plus(wait), () -> attempt(order));
    }
  }

  private boolean mayRepeat(Order order) {
    Site.Method method = site.methods().get(order.method);
    return switch (method.effect()) {
      case IDEMPOTENT -> true;
      case TOKENED -> method.window().over(net.now().since(order.at));
      case NON_IDEMPOTENT -> false;
    };
  }

  private void flag(long endpoint, Timestamp sent) {
    net.at(
        net.now().plus(TimeSpan.ofMs(500 + 2500 * chance.nextDouble())),
        () ->
            redial.send(
                FrameKind.FLAG,
                Flag.newBuilder()
                    .setUnit(endpoint)
                    .setAgoUs((long) (net.now().since(sent).ms() * 1000))
                    .build(),
                NO_BODY));
  }

  @Override
  public void closed(String why) {
    for (Try one : Map.copyOf(open).values()) {
      one.timer.cancel();
      counts.add("link_ended");
      again(one.order, mayRepeat(one.order), End.LOST_WITH_RELAY, manners.pause());
    }
    open.clear();
  }
}
