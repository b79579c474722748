package sprucerock.rehearsal.scenario;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sprucerock.rehearsal.fake.BuildFault;
import sprucerock.rehearsal.fake.Counts;
import sprucerock.rehearsal.fake.FakeClient;
import sprucerock.rehearsal.fake.FakeController;
import sprucerock.rehearsal.fake.FakeDiscovery;
import sprucerock.rehearsal.fake.FakeEndpoint;
import sprucerock.rehearsal.fake.FakeMonitor;
import sprucerock.rehearsal.fake.FakeTls;
import sprucerock.rehearsal.fake.FaultProxy;
import sprucerock.rehearsal.fake.PeerFaultProxy;
import sprucerock.rehearsal.fake.Shared;
import sprucerock.rehearsal.fake.Site;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.tls.Workers;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Health;

/**
 * Plays a day: relays as processes of their own, everything else as stand-ins on one loop in this
 * process, over loopback sockets. All methods but {@link #run} are called on that loop.
 */
public final class ScenarioRunner implements FakeController.Places {
  /** Something that ails a unit, put on and taken off. */
  interface Ill {
    void set(FakeEndpoint endpoint, boolean on, ScenarioRunner play);
  }

  /** What a build was, for the report. */
  record Offered(int build, TimeSpan at, String words) {}

  /** Something that happened to a build. */
  record Step(TimeSpan at, String what) {}

  private static final TimeSpan BOOT = TimeSpan.ofMs(800);
  private static final TimeSpan SETTLE =
      TimeSpan.ofMs(1000); // relays have linked up and have the list

  /**
   * Traffic before the day's zero: relays in service are warm, and those of a day should be, too.
   */
  private static final TimeSpan LEAD_IN = TimeSpan.ofMs(3000);

  private static final int START_SECONDS = 30;
  private static final int WORKERS = 2; // for all stand-ins' handshakes
  private static final long SCRAPE_MS = 250; // sixty times as often as a monitor does
  private static final int FIRST_BUILD = 1;
  private static final int FIRST_PORT = 12_000;
  private static final int PORTS = 18_000;
  private static final java.util.concurrent.atomic.AtomicInteger nextPort =
      new java.util.concurrent.atomic.AtomicInteger(
          (int) (ProcessHandle.current().pid() * 97 % PORTS));

  private final ScenarioParser day;
  private final Site site;
  private final Path folder;
  private final PrintStream out;
  private final NioLoop loop;
  private final FrameLimits limits = new FrameLimits(1 << 20, 4 << 20, TimeSpan.ofMs(2000));
  private final SplittableRandom chance;
  private final Shared shared = new Shared();
  private final Map<Integer, FakeEndpoint> endpoints = new TreeMap<>();
  private final List<Integer> firstEndpoints = new ArrayList<>();
  private final Map<FakeEndpoint, Integer> spells = new HashMap<>();
  private final List<RelayProcess> relays = new ArrayList<>();
  private final List<List<FakeClient>> clients = new ArrayList<>();
  private final Map<Integer, BuildFault> faults = new HashMap<>();
  private final Map<Ill, List<FakeEndpoint>> illOnes = new HashMap<>();
  private final Set<Integer> leaving = new HashSet<>();
  private final Set<Integer> wanted = new HashSet<>();
  final List<Offered> offered = new ArrayList<>();
  final List<Step> steps = new ArrayList<>();
  final MetricsAudit books;
  private final List<Integer> scraped = new ArrayList<>();
  private TraceWriter trace;
  private FakeMonitor monitor;
  private RealController controller;
  private Agents agents;
  private RacksOfDay racks; // null: the day has none
  private LeasesOfDay leases; // null: the day has none
  private FakeTls secure;
  private Workers workers;
  private FakeDiscovery roster;
  private FakeController desk;
  private PeerFaultProxy between;

  /** From each relay and each agent to the real controller. */
  private final List<FaultProxy> relaysWays = new ArrayList<>();

  private final List<FaultProxy> agentsWays = new ArrayList<>();
  private int lastBuild = FIRST_BUILD;
  private int lastUnit;
  private Timestamp begun;
  private int fallen;

  public ScenarioRunner(ScenarioParser day, Path folder, PrintStream out) throws IOException {
    this.day = day;
    this.folder = folder;
    this.out = out;
    site = day.site();
    books = new MetricsAudit(site);
    chance = new SplittableRandom(day.seed);
    loop = new NioLoop("stand-ins", e -> e.printStackTrace(System.err));
  }

  ScenarioParser day() {
    return day;
  }

  FakeMonitor monitor() {
    return monitor;
  }

  FakeController desk() {
    return desk;
  }

  FakeDiscovery roster() {
    return roster;
  }

  PeerFaultProxy between() {
    return between;
  }

  Shared shared() {
    return shared;
  }

  List<RelayProcess> relays() {
    return relays;
  }

  int fallen() {
    return fallen;
  }

  /** Plays the whole day and leaves traces and logs in the folder. On the caller's thread. */
  public void run() throws IOException, InterruptedException {
    try {
      onLoop(this::set);
      // with leases the controller's seat is granted by relays
      if (leases != null) {
        for (RelayProcess relay : relays) {
          relay.start();
        }
      }
      if (controller != null) {
        controller.start();
        controller.await();
        if (racks != null) {
          controller.watchFreezes();
        }
      }
      if (leases == null) {
        for (RelayProcess relay : relays) {
          relay.start();
        }
      }
      awaitRelays();
      monitor = new FakeMonitor(scraped, SCRAPE_MS);
      monitor.start();
      onLoop(this::begin);
      Thread.sleep((long) LEAD_IN.ms());
      int seconds = (int) Math.ceil(day.lasts.ms() / 1000);
      for (int i = 1; i <= seconds; i++) {
        Thread.sleep(1000);
        int at = i;
        onLoop(() -> progress(at));
      }
      onLoop(() -> clients.forEach(some -> some.forEach(FakeClient::stop)));
      awaitAnswers();
      monitor.close();
      if (controller != null) {
        controllerSteps.addAll(controller.steps());
        if (agents != null) {
          changes.addAll(controller.changes());
          strays.addAll(controller.strays());
        }
        controllerEnded = controller.end();
      }
      for (RelayProcess relay : relays) {
        if (relay.alive()) {
          relay.stop();
        }
      }
      for (RelayProcess relay : relays) {
        if (relay.end(20) != 0) {
          relay.endedBadly();
        }
      }
      Thread.sleep(100);
      onLoop(this::writeCounts);
    } finally {
      relays.forEach(RelayProcess::clear);
      if (controller != null && controller.alive()) {
        controller.kill();
      }
      loop.close();
      if (workers != null) {
        workers.close();
      }
    }
  }

  private interface Step0 {
    void run() throws IOException;
  }

  private void onLoop(Step0 what) throws InterruptedException, IOException {
    CountDownLatch done = new CountDownLatch(1);
    Throwable[] wrong = new Throwable[1];
    loop.post(
        () -> {
          try {
            what.run();
          } catch (IOException | RuntimeException e) {
            wrong[0] = e;
          } finally {
            done.countDown();
          }
        });
    done.await();
    if (wrong[0] instanceof IOException e) {
      throw e;
    }
    if (wrong[0] instanceof RuntimeException e) {
      throw e;
    }
  }

  private void set() throws IOException {
    trace = new TraceWriter(loop, folder.resolve("standins.trace"), "rehearsal");
    trace.watchStalls();
    trace.note("DAY", day.name + ", seed " + day.seed);
    if (day.tls) {
      workers = new Workers(WORKERS, 10_000, loop::post, e -> e.printStackTrace(System.err));
      secure = new FakeTls(loop, workers, Files.createDirectory(folder.resolve("tls")), day.relays);
    }
    roster = new FakeDiscovery(loop, new TraceWriter(trace, "roster"), limits, day.notice);
    int rosterPort = roster.start();
    desk =
        new FakeController(
            loop,
            new TraceWriter(trace, "desk"),
            limits,
            site,
            this,
            FIRST_BUILD,
            chance.nextLong());
    int deskPort = day.realController ? 0 : desk.start();
    between = new PeerFaultProxy(loop, new TraceWriter(trace, "switch"), limits, chance.nextLong());
    if (day.tlsEveryone) {
      between.secure(secure);
    }
    faults.put(FIRST_BUILD, BuildFault.GOOD);
    if (day.racks != null) {
      racks = new RacksOfDay(day.racks, trace);
    }
    for (ScenarioParser.Units some : day.endpoints) {
      for (int i = 0; i < some.count(); i++) {
        FakeEndpoint endpoint = unit(FIRST_BUILD, some.zone(), some.cores(), some.speed());
        firstEndpoints.add(endpoint.id);
        endpoint.start(false);
        list(endpoint, Health.READY);
      }
    }
    int agentsPort = freePort();
    if (day.realController) {
      deskPort = freePort();
    }
    Map<Integer, Integer> ports = new TreeMap<>();
    Map<Integer, Integer> ways = new TreeMap<>();
    for (int i = 0; i < day.relays; i++) {
      int port = freePort();
      ports.put(i, port);
      ways.put(i, between.port(i, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
    }
    if (day.leases != null) {
      List<Integer> granters = new ArrayList<>();
      for (int i = 0; i < day.leases.granters(); i++) {
        granters.add(freePort());
      }
      leases = new LeasesOfDay(day.leases, loop, granters);
    }
    if (day.changeWatch != null) {
      agents = new Agents(folder, RelayXml.template(day, rosterPort, day.peers ? ways : Map.of()));
    }
    if (day.realController) {
      controller =
          new RealController(
              folder.resolve("controller"),
              site,
              FIRST_BUILD,
              firstEndpoints.size(),
              new int[] {deskPort, freePort(), freePort()},
              agents == null ? "" : agents.controllerXml(agentsPort, day),
              leases == null ? "" : leases.xml(day.relays, 65_000, false, chance),
              racks == null ? "" : racks.controllerXml(endpoints.values()),
              new RealController.Fleet() {
                @Override
                public void wanted(List<RealController.Seen> builds) {
                  loop.post(() -> fleet(builds));
                }

                @Override
                public void freezes(List<RealController.Frozen> all) {
                  loop.post(
                      () ->
                          racks.told(
                              all, endpoints.values(), begun == null ? TimeSpan.ZERO : time()));
                }
              });
    }
    double weights = day.busiest + day.relays - 1;
    for (int i = 0; i < day.relays; i++) {
      Map<Integer, Integer> others = new TreeMap<>(ways);
      others.remove(i);
      scraped.add(freePort());
      int desksPort = controller == null ? deskPort : way(relaysWays, deskPort);
      RelayXml.write(
          folder.resolve("relay-" + i + ".xml"),
          day,
          i,
          ports.get(i),
          scraped.get(i),
          rosterPort,
          desksPort,
          day.peers ? others : Map.of(),
          (leases == null ? "" : leases.xml(i, i, true, chance))
              + (racks == null ? "" : RacksOfDay.relayXml()));
      relays.add(agents == null ? new RelayProcess(i, folder) : new AgentProcess(i, folder));
      if (agents != null) {
        agents.writeAgent(
            i,
            i % 2,
            way(agentsWays, agentsPort),
            List.of(
                new String[] {"number", "" + i},
                new String[] {"seed", "" + (day.seed * 1000 + i)},
                new String[] {"port", "" + ports.get(i)},
                new String[] {"scraped", "" + scraped.get(i)},
                new String[] {"desk", "" + desksPort},
                new String[] {
                  "figures", folder.resolve("relay-" + i + ".figures").toAbsolutePath().toString()
                }));
      }
      List<FakeClient> own = new ArrayList<>();
      double perSecond = day.perSecond * (i == 0 ? day.busiest : 1) / weights / day.clientsEach;
      for (int j = 0; j < day.clientsEach; j++) {
        int number = i * day.clientsEach + j;
        own.add(
            new FakeClient(
                loop,
                new TraceWriter(trace, "client-" + number),
                limits,
                site,
                day.manners,
                books,
                number,
                day.tlsEveryone ? secure.to(FakeTls.relayName(i)) : loop::connect,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(i)),
                perSecond,
                chance.nextLong()));
      }
      clients.add(own);
    }
  }

  private int way(List<FaultProxy> among, int port) throws IOException {
    FaultProxy made =
        new FaultProxy(
            loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), port), chance.nextLong());
    among.add(made);
    return made.start();
  }

  void ways(String whose, int first, int last, java.util.function.Consumer<FaultProxy> what) {
    if (whose.equals("leases")) {
      leases.ways(first, last, what);
    } else {
      (whose.equals("agents") ? agentsWays : relaysWays).subList(first, last + 1).forEach(what);
    }
  }

  /**
   * Below those that systems give to connections that go out: one of these may be taken before who
   * it is for can listen there.
   */
  private static int freePort() throws IOException {
    for (int tries = 0; tries < PORTS; tries++) {
      int port = FIRST_PORT + Math.floorMod(nextPort.getAndIncrement(), PORTS);
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return probe.getLocalPort();
      } catch (java.net.BindException e) {
        // somebody has it: the next one
      }
    }
    throw new IOException(
        "no port from " + FIRST_PORT + " to " + (FIRST_PORT + PORTS) + " is free");
  }

  /** Until every relay listens; a relay that ends instead has said why in its log. */
  private void awaitRelays() throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    for (int i = 0; i < relays.size(); i++) {
      while (!listens(i)) {
        if (!relays.get(i).alive() || System.nanoTime() > until) {
          throw new IOException("relay " + i + " did not start; see " + relays.get(i).log());
        }
        Thread.sleep(20);
      }
    }
    Thread.sleep((long) SETTLE.ms());
  }

  private boolean listens(int relay) throws IOException {
    Path log = relays.get(relay).log();
    return Files.exists(log) && Files.readString(log).contains(" listens at ");
  }

  private void begin() {
    begun = loop.now().plus(LEAD_IN);
    books.begin(begun);
    for (ScenarioParser.Trouble trouble : day.troubles) {
      Timestamp at = begun.plus(trouble.at());
      loop.at(
          at,
          () -> {
            trace.note("TROUBLE", trouble.words());
            trouble.what().begin(this);
          });
      if (trouble.lasts().over(TimeSpan.ZERO)) {
        loop.at(
            at.plus(trouble.lasts()),
            () -> {
              trace.note("OVER", trouble.words());
              trouble.what().end(this);
            });
      }
    }
    for (List<FakeClient> own : clients) {
      for (FakeClient client : own) {
        client.start();
      }
    }
    out.println(
        "plays \""
            + day.name
            + "\": "
            + day.relays
            + " relays, "
            + firstEndpoints.size()
            + " units, "
            + Math.round(day.perSecond)
            + " RPCs a second, "
            + day.lasts.ms() / 1000
            + " s, seed "
            + day.seed);
  }

  private TimeSpan time() {
    return loop.now().since(begun);
  }

  private void progress(int second) {
    double[] lately =
        books.between(
            TimeSpan.ofMs(1000.0 * Math.max(0, second - 6)),
            TimeSpan.ofMs(1000.0 * Math.max(0, second - 1)));
    StringBuilder now = new StringBuilder();
    for (ScenarioParser.Trouble trouble : day.troubles) {
      boolean on =
          !trouble.at().over(time())
              && trouble.at().plus(trouble.lasts().atLeast(TimeSpan.ofMs(1000))).over(time());
      if (on) {
        now.append(now.length() == 0 ? "  " : "; ").append(trouble.words());
      }
    }
    out.printf(
        "%3d s  service of late %5.3f  build %d %s stage %d%s%n",
        second,
        MetricsAudit.ratio(lately),
        controller == null ? desk.build() : controller.newest().build(),
        (controller == null
                ? desk.standing().name().toLowerCase(java.util.Locale.ROOT)
                : controller.newest().standing())
            .replace('_', ' '),
        controller == null ? desk.stage() : controller.newest().stage(),
        now);
  }

  /** Until every client has what it waits for, or the longest deadline is over. */
  private void awaitAnswers() throws IOException, InterruptedException {
    double longest =
        site.methods().stream().mapToDouble(method -> method.deadline().ms()).max().orElse(0) + 200;
    long until = System.nanoTime() + (long) (longest * 1e6);
    int[] open = {1};
    while (open[0] > 0 && System.nanoTime() < until) {
      Thread.sleep(50);
      onLoop(
          () -> {
            open[0] = 0;
            for (int i = 0; i < site.methods().size(); i++) {
              open[0] += (int) books.column(i).open();
            }
          });
    }
  }

  private FakeEndpoint unit(int build, int zone, int cores, double speed) {
    int id = lastUnit++;
    FakeEndpoint endpoint =
        new FakeEndpoint(
            loop,
            new TraceWriter(trace, "unit-" + id),
            limits,
            id,
            build,
            zone,
            cores,
            speed,
            faults.get(build),
            site,
            shared,
            desk::count,
            chance.nextLong());
    if (secure != null) {
      endpoint.secure(secure, day.tlsEveryone);
    }
    endpoints.put(id, endpoint);
    return endpoint;
  }

  private void list(FakeEndpoint endpoint, Health health) {
    roster.changed(
        Entry.newBuilder()
            .setUnit(endpoint.id)
            .setRun(endpoint.run())
            .setHost("127.0.0.1")
            .setPort(endpoint.port())
            .setName(secure == null ? "" : FakeTls.endpointName(endpoint.id))
            .setZone(endpoint.zone)
            .setCell(racks == null ? 0 : racks.cell(endpoint.id))
            .setBuild(endpoint.build)
            .setHealth(health)
            .setWeight(endpoint.cores * endpoint.speed)
            .build(),
        endpoint.startedCold());
  }

  // Racks.

  /** Announces a freeze: after {@code in}, or at once where that is null. */
  void freeze(String rack, TimeSpan in, TimeSpan lasts) {
    ObjectNode body =
        JsonMapper.builder()
            .build()
            .createObjectNode()
            .put("lasts_ms", (long) lasts.ms())
            .put("emergency", in == null);
    body.putArray("racks").add(rack);
    if (in != null) {
      body.put("from_ms", System.currentTimeMillis() + (long) in.ms());
    }
    controller.post("/freezes", body);
  }

  void callOff(int freeze) {
    racks.thaw(freeze, endpoints.values());
    controller.post(
        "/freezes/" + freeze + "/call-off", JsonMapper.builder().build().createObjectNode());
  }

  List<String> freezes() {
    return racks == null ? List.of() : racks.steps();
  }

  // The real controller's fleet.

  RealController controller() {
    return controller;
  }

  /** What it told of each build's steps, at the day's end; and whether it ended in good order. */
  final List<String> controllerSteps = new ArrayList<>();

  boolean controllerEnded = true;

  /**
   * What became of each change, and relays that do not run what the controller says; at the day's
   * end.
   */
  final List<String> changes = new ArrayList<>();

  final List<String> strays = new ArrayList<>();

  boolean hasAgents() {
    return agents != null;
  }

  /** Others limits, another program, or both; null: as it is. */
  void change(String limits, String main) {
    controller.propose(
        main == null ? null : agents.program(main),
        limits == null ? null : agents.settings(limits));
  }

  /** {@code forgets}: all that it noted is gone when it comes back. */
  void agentDown(int relay, boolean forgets) {
    try {
      ((AgentProcess) relays.get(relay)).killAgent(forgets);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void agentUp(int relay) {
    try {
      relays.get(relay).start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void controllerDown(boolean killed, boolean on) {
    try {
      if (!killed) {
        controller.hold(on);
      } else if (on) {
        controller.kill();
      } else {
        controller.start();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  int buildOf(int endpoint) {
    return endpoints.get(endpoint).build;
  }

  /** Starts and drains units until there are as many of each build as the controller wants. */
  private void fleet(List<RealController.Seen> builds) {
    for (RealController.Seen one : builds) {
      List<FakeEndpoint> own =
          endpoints.values().stream()
              .filter(endpoint -> endpoint.build == one.build() && !leaving.contains(endpoint.id))
              .toList();
      boolean gone = one.wanted() == 0 && !one.standing().equals("announced");
      if (gone) {
        shared.drag(1);
        for (FakeEndpoint endpoint : own) {
          if (!endpoint.isDown()) {
            drain(endpoint.id);
          }
        }
      } else {
        for (int i = own.size(); i < one.wanted(); i++) {
          ScenarioParser.Units like = like(i);
          FakeEndpoint endpoint = unit(one.build(), like.zone(), like.cores(), like.speed());
          loop.at(
              loop.now().plus(BOOT.times(0.5 + chance.nextDouble())),
              () -> {
                if (!leaving.contains(endpoint.id)) {
                  start(endpoint);
                }
              });
        }
      }
      controller.units(
          one.build(), (int) own.stream().filter(endpoint -> !endpoint.isDown()).count());
    }
  }

  // The release desk's machines.

  void offer(BuildFault fault, String words) {
    int build = ++lastBuild;
    faults.put(build, fault);
    if (fault.what() == BuildFault.What.SLOWS_ALL) {
      shared.drag(fault.amount());
    }
    offered.add(new Offered(build, time(), words));
    if (controller == null) {
      desk.offer(build);
    } else {
      controller.announce(build);
    }
  }

  @Override
  public void enter(int build, int stage) {
    steps.add(new Step(time(), "build " + build + " on trial, stage " + stage));
    wanted.add(build);
    long places = Math.max(1, Math.round(site.stages().get(stage).share() * firstEndpoints.size()));
    long have =
        endpoints.values().stream()
            .filter(endpoint -> endpoint.build == build && !endpoint.isDown())
            .count();
    for (long i = have; i < places; i++) {
      ScenarioParser.Units like = like((int) i);
      FakeEndpoint endpoint = unit(build, like.zone(), like.cores(), like.speed());
      loop.at(
          loop.now().plus(BOOT.times(0.5 + chance.nextDouble())),
          () -> {
            if (!wanted.contains(build)) {
              return;
            }
            start(endpoint);
          });
    }
  }

  private ScenarioParser.Units like(int place) {
    for (ScenarioParser.Units some : day.endpoints) {
      if (place < some.count()) {
        return some;
      }
      place -= some.count();
    }
    return day.endpoints.get(0);
  }

  private void start(FakeEndpoint endpoint) {
    try {
      endpoint.start(true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    if (!endpoint.hasFallen()) {
      list(endpoint, Health.READY);
    }
  }

  @Override
  public void released(int build) {
    steps.add(new Step(time(), "build " + build + " released"));
    for (FakeEndpoint endpoint : List.copyOf(endpoints.values())) {
      if (endpoint.build < build) {
        drain(endpoint.id);
      }
    }
  }

  @Override
  public void takeOff(int build) {
    steps.add(new Step(time(), "build " + build + " goes back"));
    wanted.remove(build);
    shared.drag(1);
    // where the earlier machines have gone, new ones of the earlier build come first
    boolean gone =
        endpoints.values().stream()
            .noneMatch(
                endpoint ->
                    endpoint.build < build && !endpoint.isDown() && !leaving.contains(endpoint.id));
    if (gone) {
      for (int i = 0; i < firstEndpoints.size(); i++) {
        ScenarioParser.Units like = like(i);
        FakeEndpoint endpoint = unit(FIRST_BUILD, like.zone(), like.cores(), like.speed());
        loop.at(loop.now().plus(BOOT), () -> start(endpoint));
      }
    }
    TimeSpan after = gone ? BOOT.plus(site.cold().lasts()) : TimeSpan.ZERO;
    loop.at(
        loop.now().plus(after),
        () -> {
          for (FakeEndpoint endpoint : List.copyOf(endpoints.values())) {
            if (endpoint.build == build) {
              drain(endpoint.id);
            }
          }
        });
  }

  // What befalls units.

  void drain(int id) {
    FakeEndpoint endpoint = endpoints.get(id);
    if (endpoint.isDown() || !leaving.add(id)) {
      return;
    }
    list(endpoint, Health.DRAINING);
    // it turns work away only once the list must have told
    loop.at(
        loop.now().plus(day.notice).plus(day.drainGrace),
        () -> {
          endpoint.drain();
          endOnceDone(endpoint);
        });
  }

  private void endOnceDone(FakeEndpoint endpoint) {
    if (endpoint.held() > 0 && !endpoint.isDown()) {
      loop.at(loop.now().plus(TimeSpan.ofMs(50)), () -> endOnceDone(endpoint));
      return;
    }
    endpoint.kill();
    list(endpoint, Health.GONE);
  }

  void die(int id) {
    endpoints.get(id).kill();
    list(endpoints.get(id), Health.GONE);
  }

  void restart(int id, TimeSpan within) {
    FakeEndpoint endpoint = endpoints.get(id);
    endpoint.kill();
    loop.at(loop.now().plus(within), () -> start(endpoint));
  }

  void ill(int id, Ill ill, boolean on) {
    ill.set(endpoints.get(id), on, this);
  }

  void ill(double share, Ill ill, boolean on) {
    if (!on) {
      for (FakeEndpoint endpoint : illOnes.remove(ill)) {
        ill.set(endpoint, false, this);
      }
      return;
    }
    List<FakeEndpoint> there = new ArrayList<>(endpoints.values());
    there.removeIf(FakeEndpoint::isDown);
    for (int i = there.size(); i > Math.round(share * endpoints.size()); i--) {
      there.remove(chance.nextInt(there.size()));
    }
    illOnes.put(ill, there);
    for (FakeEndpoint endpoint : there) {
      ill.set(endpoint, true, this);
    }
  }

  /** Another program takes a share of the machine, half of the time. */
  void neighbour(FakeEndpoint endpoint, double share, boolean on) {
    int spell = spells.merge(endpoint, 1, Integer::sum);
    endpoint.steal(0);
    if (on) {
      alternate(
          endpoint,
          spell,
          true,
          () -> endpoint.steal(share),
          () -> endpoint.steal(0),
          TimeSpan.ofMs(700),
          TimeSpan.ofMs(700));
    }
  }

  void pauses(FakeEndpoint endpoint, TimeSpan pause, TimeSpan every, boolean on) {
    int spell = spells.merge(endpoint, 1, Integer::sum);
    endpoint.pause(false);
    if (on) {
      alternate(
          endpoint,
          spell,
          true,
          () -> endpoint.pause(true),
          () -> endpoint.pause(false),
          pause,
          every.minus(pause));
    }
  }

  private void alternate(
      FakeEndpoint endpoint,
      int spell,
      boolean begin,
      Runnable on,
      Runnable off,
      TimeSpan forOn,
      TimeSpan forOff) {
    if (spells.get(endpoint) != spell) {
      return;
    }
    (begin ? on : off).run();
    loop.at(
        loop.now().plus(begin ? forOn : forOff),
        () -> alternate(endpoint, spell, !begin, on, off, forOn, forOff));
  }

  void zoneLink(int zone, TimeSpan delay, double loses) {
    for (FakeEndpoint endpoint : endpoints.values()) {
      if (endpoint.zone == zone) {
        endpoint.connection(delay, loses);
      }
    }
  }

  void rotateCertificates() {
    try {
      secure.renew();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    endpoints.values().forEach(FakeEndpoint::renewCertificate);
  }

  /** Both are trusted, then all have new certificates, then only the new root is trusted. */
  void rotateTrust(TimeSpan within) {
    try {
      secure.trustNew();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    loop.at(loop.now().plus(within.times(0.4)), this::rotateCertificates);
    loop.at(
        loop.now().plus(within),
        () -> {
          try {
            secure.distrustOld();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
          endpoints.values().forEach(FakeEndpoint::renewCertificate);
        });
  }

  // What befalls relays and clients.

  void relayDown(int relay, boolean killed) {
    if (!killed) {
      relays.get(relay).down();
      return;
    }
    relays.get(relay).kill();
  }

  /** So many of all, drawn from the day's seed. */
  List<Integer> someRelays(double share) {
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < relays.size(); i++) {
      all.add(i);
    }
    for (int i = all.size(); i > Math.round(share * relays.size()); i--) {
      all.remove(chance.nextInt(all.size()));
    }
    return all;
  }

  void relayUp(int relay) {
    RelayProcess process = relays.get(relay);
    if (agents != null) {
      return; // its agent starts it again
    }
    if (process.alive()) { // it still finishes
      loop.at(loop.now().plus(TimeSpan.ofMs(100)), () -> relayUp(relay));
      return;
    }
    try {
      process.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void relayStalls(int relay, boolean on) {
    try {
      relays.get(relay).hold(on);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void relayBusy(int relay, double times) {
    clients.get(relay).forEach(client -> client.times(times));
  }

  void burst(double times) {
    clients.forEach(own -> own.forEach(client -> client.times(times)));
  }

  void tenantTimes(int tenant, double times) {
    clients.forEach(own -> own.forEach(client -> client.tenantTimes(tenant, times)));
  }

  void rude(boolean on) {
    clients.forEach(own -> own.forEach(client -> client.rude(on)));
  }

  void rude(int tenant, boolean on) {
    clients.forEach(own -> own.forEach(client -> client.rude(tenant, on)));
  }

  /** Each stand-in's own word, to be held against the relays' figures. */
  private void writeCounts() throws IOException {
    Map<String, Counts> places = new TreeMap<>();
    int number = 0;
    for (List<FakeClient> own : clients) {
      for (FakeClient client : own) {
        places.put("client-" + number++, client.counts());
      }
    }
    for (FakeEndpoint endpoint : endpoints.values()) {
      places.put("unit-" + endpoint.id, endpoint.counts());
    }
    Counts.write(folder.resolve(FleetMetricsAudit.COUNTS), places);
  }

  /** After the day: how many units were pushed over. */
  void count() {
    fallen = (int) endpoints.values().stream().filter(FakeEndpoint::hasFallen).count();
  }
}
