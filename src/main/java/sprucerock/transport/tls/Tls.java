package sprucerock.transport.tls;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.time.Instant;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;

/**
 * All TLS of one place: its present credentials, the watch over their files, and the limit on
 * handshakes. On the loop's thread.
 */
public final class Tls {
  /** Who is told what happens here. */
  public interface Owner {
    /** A handshake began, with whomever. */
    void handshakeBegun();

    void handshakeDone(boolean resumed);

    void handshakeRefused(Refusal why);

    /** New files are in use, or {@code wrong} says why the old ones stay. */
    void loaded(String wrong);

    /**
     * From now on connections are made with other credentials; those there are were made with the
     * ones before.
     */
    void changed();
  }

  /** How it is set up. */
  public record Setup(
      Material.Sources files,
      Credentials.Policy policy,
      TimeSpan within,
      TimeSpan lookEvery,
      TimeSpan moveWithin,
      Handshakes.Most most) {}

  private final Net net;
  private final Setup setup;
  private final Aside aside;
  private final Supplier<Instant> clock;
  private final Owner owner;
  private final Buffers buffers = new Buffers();
  private final Handshakes handshakes;
  private Credentials credentials;
  private String seen;
  private boolean broken;
  private boolean stopped;
  private Timer passing;

  /**
   * Begins with the files as they are.
   *
   * @throws Material.BadMaterialException if they can't be used
   */
  public Tls(Net net, Setup setup, Aside aside, Supplier<Instant> clock, Owner owner)
      throws Material.BadMaterialException {
    this.net = net;
    this.setup = setup;
    this.aside = aside;
    this.clock = clock;
    this.owner = owner;
    handshakes = new Handshakes(setup.most, net.now());
    credentials = load();
    seen = credentials.material().digest;
    net.at(net.now().plus(setup.lookEvery), this::look);
  }

  private Credentials load() throws Material.BadMaterialException {
    try {
      return new Credentials(Material.read(setup.files), setup.policy, clock);
    } catch (GeneralSecurityException e) {
      throw new Material.BadMaterialException(
          setup.files.key() + ": can't be used: " + e.getMessage());
    }
  }

  /** The present ones. */
  public Credentials credentials() {
    return credentials;
  }

  /** The last change of files could not be used; the ones before are. */
  public boolean broken() {
    return broken;
  }

  /** See {@link Material#daysLeft}. */
  public long daysLeft() {
    return credentials.material().daysLeft(clock.get());
  }

  public TimeSpan moveWithin() {
    return setup.moveWithin;
  }

  /** The watch over the files ends. */
  public void stop() {
    stopped = true;
  }

  private static final class Look {
    private String digest;
    private Credentials loaded;
    private String wrong;
  }

  /**
   * A change counts once two looks in a row see the same: whoever writes several files is given
   * that time.
   */
  private void look() {
    if (stopped) {
      return;
    }
    Look look = new Look();
    String current = credentials.material().digest;
    String before = seen;
    boolean taken =
        aside.run(
            () -> {
              try {
                look.digest = Material.digest(setup.files);
                if (!look.digest.equals(current) && look.digest.equals(before)) {
                  look.loaded = load();
                }
              } catch (Material.BadMaterialException e) {
                look.wrong = e.getMessage();
              }
            },
            () -> looked(look));
    if (!taken) {
      net.at(net.now().plus(setup.lookEvery), this::look);
    }
  }

  private void looked(Look look) {
    net.at(net.now().plus(setup.lookEvery), this::look);
    String told = look.digest == null ? look.wrong : look.digest;
    boolean news = !told.equals(seen);
    if (look.wrong != null && (!broken || news)) {
      owner.loaded(look.wrong);
    }
    if (look.wrong != null) {
      broken = true;
    }
    seen = told;
    if (look.loaded != null) {
      credentials = look.loaded;
      broken = false;
      owner.loaded(null);
      owner.changed();
    } else if (look.wrong == null && credentials.material().digest.equals(look.digest)) {
      broken = false; // the old files are back
    }
  }

  /** One handshake within the limit: gives its room back once, however it ends. */
  private final class Attempt implements ConnectionListener, Counter {
    private final ConnectionListener user;
    private boolean holds = true;

    Attempt(ConnectionListener user) {
      this.user = user;
    }

    private void over() {
      if (!holds) {
        return;
      }
      holds = false;
      handshakes.over();
      pass();
    }

    @Override
    public void begun() {
      owner.handshakeBegun();
    }

    @Override
    public void done(boolean resumed) {
      over();
      owner.handshakeDone(resumed);
    }

    @Override
    public void refused(Refusal why) {
      over();
      owner.handshakeRefused(why);
    }

    @Override
    public void connected(Connection made) {
      user.connected(made);
    }

    @Override
    public void received(ByteBuffer bytes) {
      user.received(bytes);
    }

    @Override
    public void closed(String why) {
      over();
      user.closed(why);
    }
  }

  /**
   * Connects to a peer that has to carry a name, as {@link Net#connect} does; the user is told that
   * it is up once it is proven. {@code peer}: whose share of handshakes it falls into. Where there
   * is no room in time it is closed, for that reason.
   */
  public void connect(
      Object peer,
      String name,
      InetSocketAddress to,
      TimeSpan within,
      long mostUnsent,
      ConnectionListener user) {
    handshakes.want(
        peer,
        net.now(),
        net.now().plus(within),
        () -> {
          Attempt attempt = new Attempt(user);
          TlsConnection.Place place =
              new TlsConnection.Place(net, buffers, aside, setup.within, attempt);
          TlsConnection connection =
              TlsConnection.client(place, credentials, name, to.getPort(), attempt);
          net.connect(to, within, mostUnsent, connection);
        },
        () -> {
          owner.handshakeBegun();
          owner.handshakeRefused(Refusal.TOO_MANY);
          net.atTurnsEnd(() -> user.closed("TLS: " + Refusal.TOO_MANY.words()));
        });
    pass();
  }

  private void pass() {
    if (passing != null || handshakes.waiting() == 0) {
      return;
    }
    passing =
        net.at(
            handshakes.next(net.now()),
            () -> {
              passing = null;
              handshakes.pass(net.now());
              pass();
            });
  }

  /**
   * For connections that are taken: what comes before the user. Their handshakes are bounded by the
   * connections that the listener takes and by the work done aside; {@code proven}: the peer has to
   * show a certificate.
   */
  public TlsConnection take(boolean proven, ConnectionListener user) {
    Counter counter =
        new Counter() {
          @Override
          public void begun() {
            owner.handshakeBegun();
          }

          @Override
          public void done(boolean resumed) {
            owner.handshakeDone(resumed);
          }

          @Override
          public void refused(Refusal why) {
            owner.handshakeRefused(why);
          }
        };
    return TlsConnection.server(
        new TlsConnection.Place(net, buffers, aside, setup.within, counter),
        credentials,
        proven,
        user);
  }
}
