package sprucerock.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import sprucerock.config.ConfigException;
import sprucerock.config.LeaseConfig;
import sprucerock.config.RelayConfig;
import sprucerock.lease.GrantorListener;
import sprucerock.lease.LeaseManager;
import sprucerock.policy.RoutingPolicy;
import sprucerock.relay.frames.FrameRelay;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.SimulatedNet;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;
import sprucerock.transport.wire.RecordingPeer;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.Promised;
import sprucerock.transport.wire.v1.RackFree;
import sprucerock.transport.wire.v1.Role;

/**
 * The real relay with the real module on a scripted net, told by a roster and a desk of lists of
 * any size. Frames are counted as they cross the codec; a reading of the clock is counted too,
 * since the relay reads it once for each unit whose rack it looks at.
 */
final class Listed {
  /** Units of one rack. */
  static final int RACK = 40;

  /** Counts how often the clock is read. */
  static final class CountingNet extends SimulatedNet {
    long clockReads;

    CountingNet() {
      super(1000, 5);
    }

    @Override
    public Timestamp now() {
      clockReads++;
      return super.now();
    }
  }

  /** Bytes and messages that the relay read and wrote, by the codec. */
  static final class Frames implements FrameTap {
    long in;
    long bytesIn;
    long out;
    long bytesOut;

    @Override
    public void frame(
        FrameConnection connection,
        boolean sent,
        FrameKind kind,
        com.google.protobuf.MessageLite head,
        byte[] body) {
      if (sent) {
        out++;
        bytesOut += 8 + head.getSerializedSize() + body.length;
      } else {
        in++;
        bytesIn += 8 + head.getSerializedSize() + body.length;
      }
    }

    @Override
    public void closed(FrameConnection connection, String why) {}
  }

  private static final String CONFIG =
      """
        <relay xmlns="urn:sprucerock:relay:1" name="r0" number="0" seed="1">
          <listen host="127.0.0.1" port="1000"/>
          <roster host="127.0.0.1" port="1001"/>
          <desk host="127.0.0.1" port="1002"/>
          %PEERS%
          <limits %LIMITS% open="50" open-per-client="40" finish-within="3s" wait-for-list="0ms"/>
          <connections connect-within="200ms" per-unit="2" picks-each="3" waiting-per-unit="4" idle="5s"/>
          %RACKS%
          %LEASES%
          <site relays="%RELAYS%" tick="5ms">
            <method name="read" effect="idempotent" soft-deadline="200ms" deadline="1s" utility="1"/>
            <stage cap="0.1"/><stage cap="1"/>
            <rules drain-grace="250ms" cold="3s" start-capacity="0.4" tip-multiple="3" tip-after="1s" counted-over="3s" free-picks="3"/>
            <allowed picks="5" second-copies="true" cancel="true" peers="true" retry-after="true" most-retry-after="500ms"/>
            <votes control="single" life="4s" answer-within="1s"/>
          </site>
        </relay>
        """;
  static final String ROOMY = "units=\"200000\" frame=\"64MiB\" unsent=\"64MiB\"";

  private static final LeaseManager.Log SILENT =
      new LeaseManager.Log() {
        @Override
        public void info(String what) {}

        @Override
        public void warn(String what) {}
      };

  final CountingNet net = new CountingNet();
  final Frames frames = new Frames();
  final FrameRelay relay;
  private final List<RecordingPeer> rosters;
  private final List<RecordingPeer> desks;

  static RelayConfig config(String limits, boolean racks, String leases, int relays, String peers)
      throws IOException, ConfigException {
    Path file = Files.createTempFile("relay", ".xml");
    try {
      Files.writeString(
          file,
          CONFIG
              .replace("%LIMITS%", limits)
              .replace("%RACKS%", racks ? "<racks ask-every=\"1s\" drift=\"0.001\"/>" : "")
              .replace("%LEASES%", leases)
              .replace("%RELAYS%", "" + relays)
              .replace("%PEERS%", peers));
      return RelayConfig.read(file);
    } finally {
      Files.delete(file);
    }
  }

  private static final String LEASES =
      "<leases me=\"0\" term=\"3s\"><granter host=\"127.0.0.1\" port=\"1011\"/><granter host=\"127.0.0.1\" port=\"1012\"/>"
          + "<granter host=\"127.0.0.1\" port=\"1013\"/><stand for=\"looks\" every=\"100ms\"/></leases>";

  /** One that looks at units for all, beside three granters. */
  static Listed looking() throws Exception {
    return new Listed(ROOMY, false, LEASES);
  }

  Listed(String limits, boolean racks) throws Exception {
    this(limits, racks, "");
  }

  private Listed(String limits, boolean racks, String leases) throws Exception {
    rosters = RecordingPeer.listen(net, Role.ROSTER, 0, 1001);
    desks = RecordingPeer.listen(net, Role.DESK, 0, 1002);
    RelayConfig config = config(limits, racks, leases, 2, "");
    for (int i = 0; !leases.isEmpty() && i < 3; i++) {
      LeaseConfig of = config.leases;
      new GrantorListener(
              net,
              new LeaseConfig(
                  100 + i,
                  i,
                  null,
                  of.grantors(),
                  of.term(),
                  of.maxTerm(),
                  of.drift(),
                  of.maxConnections(),
                  null,
                  null),
              "granter " + i,
              FrameTap.NONE,
              SILENT)
          .start();
    }
    relay = new FrameRelay(config, net, frames);
    relay.start(RoutingPolicy::new);
    net.pass(100);
  }

  /** One entry as a roster of two regions with named machines tells it. */
  static Entry.Builder entry(int endpoint, long run, Health health) {
    return Entry.newBuilder()
        .setUnit(endpoint)
        .setRun(1_764_633_600_000L + run)
        .setHost("10." + endpoint / 65536 + "." + endpoint / 256 % 256 + "." + endpoint % 256)
        .setPort(20_000 + endpoint % 1000)
        .setZone(endpoint / RACK % 6)
        .setKind(endpoint % 3)
        .setCell(endpoint / RACK)
        .setBuild(1)
        .setHealth(health)
        .setWeight(1)
        .setAgeUs(86_400_000_000L);
  }

  static Listing whole(int endpoints) {
    Listing.Builder listing = Listing.newBuilder().setForm(Form.WHOLE);
    for (int i = 0; i < endpoints; i++) {
      listing.addEntries(entry(i, 0, Health.READY));
    }
    return listing.build();
  }

  Listed tellsWhole(int endpoints) {
    tells(whole(endpoints));
    return this;
  }

  void tells(Listing listing) {
    net.turn(() -> rosters.get(rosters.size() - 1).send(FrameKind.LISTING, listing));
    net.pass(10);
  }

  void tellsChange(Entry.Builder... entries) {
    Listing.Builder listing = Listing.newBuilder().setForm(Form.CHANGES);
    for (Entry.Builder entry : entries) {
      listing.addEntries(entry);
    }
    tells(listing.build());
  }

  /** Whether the roster's connection was cut. */
  boolean cut() {
    return rosters.get(0).closeReason != null;
  }

  /**
   * Answers what the relay asked of its racks last; those named are free for so long from its
   * asking on.
   */
  void promises(long sequence, int leftMs, int... cells) {
    RecordingPeer desk = desks.get(0);
    for (int i = 0; i < 20 && desk.heads(FrameKind.PROMISE_ASK).isEmpty(); i++) {
      net.pass(100);
      // its first one may come before the link is up
    }
    List<PromiseAsk> asks = desk.heads(FrameKind.PROMISE_ASK);
    Promised.Builder promised =
        Promised.newBuilder()
            .setId(asks.get(asks.size() - 1).getId())
            .setEpoch(1)
            .setSequence(sequence);
    for (int cell : cells) {
      promised.addRacks(RackFree.newBuilder().setZone(cell % 6).setCell(cell).setLeftMs(leftMs));
    }
    net.turn(() -> desk.send(FrameKind.PROMISED, promised.build()));
    net.pass(10);
  }

  /** Clock readings in so much time in which nothing is told. */
  long clockReads(double ms) {
    long before = net.clockReads;
    net.pass(ms);
    return net.clockReads - before;
  }
}
