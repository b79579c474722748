package sprucerock.agent;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.deployment.Version;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.nio.NioLoop;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.ReconnectingConnection;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Failure;
import sprucerock.transport.wire.v1.Fetch;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Piece;
import sprucerock.transport.wire.v1.Readable;
import sprucerock.transport.wire.v1.RelaySums;
import sprucerock.transport.wire.v1.Role;
import sprucerock.transport.wire.v1.Wants;

/**
 * An agent at work: its core between this machine and the controllers, of which only one speaks at
 * a time. One loop owns all of it. What can't be told is told when somebody listens again; the
 * relay runs on meanwhile.
 */
public final class ControllerClient {
  private static final FrameLimits LIMITS = new FrameLimits(1 << 20, 4 << 20, TimeSpan.ofMs(1000));
  private static final int MOST_FAILURES = 20;
  // that wait for a controller; of more the oldest go, and the log has them
  private static final TimeSpan ASK_AGAIN = TimeSpan.ofMs(5000);
  // a piece that has not come: the controller may have gone meanwhile

  private final Logger log = LoggerFactory.getLogger("sprucerock.agent");
  private final AgentConfig config;
  private final Net loop;
  private final int number;
  private final int zone;
  private final String name;
  private final FrameTap tap;
  private final ArtifactStore vault;
  private final RelaySupervisor here;
  private final Agent agent;
  private final List<ReconnectingConnection> connections = new ArrayList<>();
  private final Deque<Failure> failures = new ArrayDeque<>();

  /**
   * Those that a controller was told, which it may have lost: the next one is told again, and takes
   * them for what they are.
   */
  private final Deque<Failure> told = new ArrayDeque<>();

  private final Deque<Readable> readables = new ArrayDeque<>();
  private Version fetching;
  private ArtifactStore.Download incoming;
  private String incomingDigest;
  private long asked;
  private long toCheck;
  private Version checks;
  private boolean marked;

  /**
   * @throws IOException if its folder can't be had
   */
  public ControllerClient(AgentConfig config, NioLoop loop) throws IOException {
    this(config, loop, vault(config));
  }

  private ControllerClient(AgentConfig config, NioLoop loop, ArtifactStore vault) {
    this(
        config,
        config.name,
        config.number,
        config.zone,
        loop,
        vault,
        FrameTap.NONE,
        (says, fails, consumers) ->
            new LocalRelaySupervisor(config, loop, vault, says, fails, consumers));
  }

  /**
   * One of many that share a configuration, a loop and a folder of versions: its name, number, zone
   * and place are its own.
   */
  public ControllerClient(
      AgentConfig config,
      String name,
      int number,
      int zone,
      Net loop,
      ArtifactStore vault,
      FrameTap tap,
      RelaySupervisor.Factory places) {
    this.config = config;
    this.name = name;
    this.number = number;
    this.zone = zone;
    this.loop = loop;
    this.vault = vault;
    this.tap = tap;
    here =
        places.create(
            this::changed,
            this::failed,
            new RelaySupervisor.VersionListener() {
              @Override
              public void downloadRequested(Version version) {
                ControllerClient.this.fetch(version);
              }

              @Override
              public void settingsChecked(Version version, String refusal) {
                checked(version, refusal);
              }
            });
    agent = new Agent(here, config.timeouts, here.loadState());
    here.attach(agent);
  }

  private static ArtifactStore vault(AgentConfig config) throws IOException {
    java.nio.file.Files.createDirectories(config.folder);
    return new ArtifactStore(config.folder.resolve("versions"), config.maxArtifactBytes);
  }

  /** On the loop. */
  public void start() {
    Hello mine =
        Hello.newBuilder()
            .setVersion(FrameConnection.VERSION)
            .setRole(Role.AGENT)
            .setNumber(number)
            .setName(name)
            .build();
    DeterministicRandom chance = new DeterministicRandom(number);
    for (InetSocketAddress to : config.controllers) {
      Door door = new Door(to);
      ReconnectingConnection connection =
          new ReconnectingConnection(loop, to, mine, LIMITS, tap, chance, door);
      door.connection = connection;
      connections.add(connection);
    }
    here.adoptRunningRelay();
    agent.resume();
    if (config.initialProgram != null) {
      try {
        agent.offerInitialVersion(
            new Version(vault.store(config.initialProgram), vault.store(config.initialSettings)));
      } catch (IOException e) {
        here.log("what it is to begin with can't be read: " + e.getMessage());
      }
    }
    connections.forEach(ReconnectingConnection::connect);
    // from the number, so that a thousand agents that were started together do not speak together
    loop.at(loop.now().plus(config.reportInterval.times(chance.next())), this::now);
  }

  private void now() {
    tell();
    if (fetching != null && ++asked * config.reportInterval.ms() > ASK_AGAIN.ms()) {
      ask();
    }
    loop.at(loop.now().plus(config.reportInterval), this::now);
  }

  private void changed() {
    if (marked) {
      return;
    }
    marked = true;
    loop.atTurnsEnd(
        () -> {
          marked = false;
          tell();
        });
  }

  private void failed(Version version, String how) {
    if (failures.size() >= MOST_FAILURES) {
      failures.removeFirst();
    }
    failures.addLast(
        Failure.newBuilder()
            .setProgram(version.program())
            .setSettings(version.settings())
            .setHow(how)
            .setTurn(agent.state().generation())
            .build());
    changed();
  }

  private void tell() {
    RelaySums sums = here.readSums();
    ReconnectingConnection connection =
        connections.stream().filter(ReconnectingConnection::isReady).findFirst().orElse(null);
    if (connection == null) {
      return;
    }
    AgentSays.Builder says =
        AgentSays.newBuilder()
            .setZone(zone)
            .setProgram(agent.runningVersion().program())
            .setSettings(agent.runningVersion().settings())
            .setReady(agent.ready())
            .setDone(agent.completedGeneration())
            .setEpoch(agent.epoch())
            .setLife(here.incarnation())
            .setStarts(agent.starts())
            .setCores(config.cores)
            .addAllFailures(failures)
            .addAllReadables(readables);
    if (sums != null) {
      says.setSums(sums);
    }
    told.addAll(failures);
    while (told.size() > MOST_FAILURES) {
      told.removeFirst();
    }
    failures.clear();
    readables.clear();
    for (ReconnectingConnection one : connections) {
      if (one.isReady()) {
        one.send(FrameKind.AGENT, says.build(), new byte[0]);
      }
    }
  }

  // What is missing is fetched, a piece at a time.

  private void fetch(Version version) {
    fetching = version;
    nextFile();
  }

  private void nextFile() {
    String missing =
        !vault.has(fetching.settings())
            ? fetching.settings()
            : !vault.has(fetching.program()) ? fetching.program() : null;
    if (missing == null) {
      Version whole = fetching;
      fetching = null;
      trim(whole);
      if (whole.equals(checks)) {
        here.checkSettings(whole);
      }
      agent.downloadSucceeded(whole);
      return;
    }
    try {
      incoming = vault.startDownload(missing);
      incomingDigest = missing;
      ask();
    } catch (IOException e) {
      notFetched(e.getMessage());
    }
  }

  private void trim(Version whole) {
    Set<String> needed = new HashSet<>();
    for (Version one :
        new Version[] {
          whole, agent.state().lastGood(), agent.state().desired(), agent.runningVersion()
        }) {
      needed.add(one.program());
      needed.add(one.settings());
    }
    try {
      vault.evictOldest(needed, 2 * config.versionsKept);
    } catch (IOException | java.io.UncheckedIOException e) {
      here.log("old versions can't be deleted: " + e.getMessage());
    }
  }

  private void ask() {
    asked = 0;
    Fetch fetch = Fetch.newBuilder().setDigest(incomingDigest).setFrom(incoming.offset()).build();
    for (ReconnectingConnection one : connections) {
      if (one.isReady()) {
        one.send(FrameKind.FETCH, fetch, new byte[0]);
      }
    }
  }

  private void piece(Piece head, byte[] body) {
    if (fetching == null
        || !head.getDigest().equals(incomingDigest)
        || head.getFrom() != incoming.offset()) {
      return;
      // asked for twice
    }
    if (head.getMissing()) {
      notFetched("the controller has it not");
      return;
    }
    try {
      if (incoming.append(head.getFrom(), body, head.getSize())) {
        nextFile();
      } else {
        ask();
      }
    } catch (IOException e) {
      notFetched(e.getMessage());
    }
  }

  private void notFetched(String why) {
    Version gone = fetching;
    fetching = null;
    if (gone.equals(checks)) {
      checked(gone, why);
    }
    agent.downloadFailed(gone, why);
  }

  private void checked(Version version, String refusal) {
    if (!version.equals(checks)) {
      return;
    }
    checks = null;
    readables.addLast(Readable.newBuilder().setChange(toCheck).setRefusal(refusal).build());
    if (!refusal.isEmpty()) {
      here.log("change " + toCheck + " can't be run here: " + refusal);
    }
    changed();
  }

  /** The agent ends, its relay first; {@code done} is told on the loop. */
  public void stop(Runnable done) {
    agent.stop();
    wait(done);
  }

  private void wait(Runnable done) {
    if (!agent.isStopped()) {
      loop.at(loop.now().plus(TimeSpan.ofMs(20)), () -> wait(done));
      return;
    }
    connections.forEach(ReconnectingConnection::stop);
    done.run();
  }

  /** A controller's end of a link. */
  private final class Door implements FrameListener {
    private final InetSocketAddress to;
    private ReconnectingConnection connection;
    private boolean up;

    Door(InetSocketAddress to) {
      this.to = to;
    }

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (other.getRole() != Role.DESK) {
        made.cut("no controller");
        return;
      }
      up = true;
      told.descendingIterator().forEachRemaining(failures::addFirst);
      told.clear();
      log.info("CONTROLLER at {} is heard", to);
      changed();
      if (fetching != null) {
        ask();
      }
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind == FrameKind.PIECE) {
        piece((Piece) head, body);
      } else if (kind == FrameKind.WANTS) {
        wants((Wants) head);
      } else {
        connection.cut("an agent takes no " + kind);
      }
    }

    private void wants(Wants wants) {
      try {
        if (!wants.getProgram().isEmpty()) {
          agent.applyDesiredState(
              wants.getEpoch(),
              wants.getTurn(),
              new Version(wants.getProgram(), wants.getSettings()));
        }
        if (wants.getChange() == 0 || wants.getEpoch() < agent.epoch()) {
          return;
        }
        checks = new Version(wants.getCheckProgram(), wants.getCheckSettings());
        toCheck = wants.getChange();
        if (here.hasArtifacts(checks)) {
          here.checkSettings(checks);
        } else if (fetching == null) {
          fetch(checks);
        }
      } catch (IllegalArgumentException e) {
        connection.cut(e.getMessage());
      }
    }

    @Override
    public void closed(String why) {
      if (up) {
        log.warn("CONTROLLER at {} is lost: {}; the relay runs on", to, why);
      }
      up = false;
    }
  }
}
