package sprucerock.transport.tls;

import java.nio.ByteBuffer;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Locale;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLEngineResult.Status;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Timers;

/**
 * TLS between a link and who uses it: to the link it is the user, to the user it is the link. It
 * does no I/O, blocks nowhere and holds no more than a record either way, and the flights of a
 * handshake. The user is told that the link is up once the peer is proven, and so can send nothing
 * before. An end without TLS's own close is told as such, and a changed byte ends it.
 */
public final class TlsConnection implements Connection, ConnectionListener {
  /** What a place's links have in common. */
  public record Place(
      Timers timers, Buffers buffers, Aside aside, TimeSpan within, Counter counter) {}

  private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);
  private static final int MOST_HELD =
      64 * 1024; // a flight of the longest chain allowed has a quarter of that
  private static final int GATHERED = 16;
  private static final int CLAIMED = 4096; // pieces of which small frames are claimed

  /** Plain bytes up to here are in records that begin there in what was written to the link. */
  private record Mark(long plainEnd, long recordStart) {}

  private final Place place;
  private final Credentials credentials;
  private final SSLEngine engine;
  private final Credentials.Expected expected;
  private final ConnectionListener user;
  private Connection connection;
  private Timers.Timer limit;
  private Instant begun;
  private boolean shaken;
  private boolean counted;
  private boolean aside;
  private boolean over;
  private boolean finishing;
  private boolean marked;
  private String why;
  private Refusal refused;

  private ByteBuffer
      held; // bytes of a record that is not whole yet, or that wait for work done aside
  private final ArrayDeque<ByteBuffer> plain = new ArrayDeque<>();

  /** The same, from earlier turns, of which the engine takes records. */
  private final ArrayDeque<ByteBuffer> ready = new ArrayDeque<>();

  private ByteBuffer tail;
  private long written;
  private long wrapped;
  private long handed;
  private final ArrayDeque<Mark> marks = new ArrayDeque<>();

  private TlsConnection(
      Place place, Credentials credentials, SSLEngine engine, ConnectionListener user) {
    this.place = place;
    this.credentials = credentials;
    this.engine = engine;
    this.user = user;
    expected = credentials.expected(engine);
  }

  /**
   * For a connection that is made to a peer of a name; sessions are told apart by name and port.
   */
  public static TlsConnection client(
      Place place, Credentials credentials, String name, int port, ConnectionListener user) {
    return new TlsConnection(place, credentials, credentials.client(name, port), user);
  }

  /** For a connection that was taken; {@code proven}: its peer has to show a certificate. */
  public static TlsConnection server(
      Place place, Credentials credentials, boolean proven, ConnectionListener user) {
    return new TlsConnection(place, credentials, credentials.server(proven), user);
  }

  /** Under which it was made. */
  public Credentials credentials() {
    return credentials;
  }

  /** The certificates that the peer has shown, with those of a resumed session; once it is up. */
  public X509Certificate peer() {
    try {
      return (X509Certificate) engine.getSession().getPeerCertificates()[0];
    } catch (SSLPeerUnverifiedException e) {
      return null;
    }
  }

  // From the link below.

  @Override
  public void connected(Connection made) {
    connection = made;
    if (over) { // cut while it came up
      connection.cut(why);
      return;
    }
    begun = credentials.now();
    place.counter.begun();
    counted = true;
    limit =
        place.timers.at(
            place.timers.now().plus(place.within),
            () -> refuse(Refusal.TIMED_OUT, "over " + place.within.ms() + " ms"));
    try {
      engine.beginHandshake();
    } catch (SSLException e) {
      failed(e);
      return;
    }
    advance();
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (over) {
      return;
    }
    while (bytes.hasRemaining() && !over) {
      if (aside) {
        hold(bytes);
      } else if (held == null) {
        unwrap(bytes);
        if (!over && bytes.hasRemaining()) {
          hold(bytes);
        }
      } else { // as much as a record may lack
        ByteBuffer some =
            bytes.slice(
                bytes.position(),
                Math.min(bytes.remaining(), Math.max(1, Buffers.RECORD - held.position())));
        bytes.position(bytes.position() + some.remaining());
        hold(some);
        fromHeld();
      }
    }
  }

  private void hold(ByteBuffer bytes) {
    if (held == null) {
      held = place.buffers.take();
    }
    if (held.remaining() < bytes.remaining()) {
      int wanted = held.position() + bytes.remaining();
      if (wanted > MOST_HELD) {
        refuseOrCut(
            Refusal.FAILED, "sent more than " + MOST_HELD + " bytes at once within its handshake");
        return;
      }
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(wanted, Math.min(MOST_HELD, 2 * held.capacity())));
      larger.put(held.flip());
      place.buffers.give(held); // only now: who gets it may write at once
      held = larger;
    }
    held.put(bytes);
  }

  private void fromHeld() {
    if (held == null || over || aside) {
      return;
    }
    ByteBuffer bytes = held;
    held = null;
    bytes.flip();
    unwrap(bytes);
    if (over) {
      return;
    }
    if (bytes.hasRemaining() && held == null) {
      held = bytes.compact();
    } else {
      place.buffers.give(bytes);
    }
  }

  /** Takes as many whole records as there are. */
  private void unwrap(ByteBuffer bytes) {
    ByteBuffer clear = place.buffers.take();
    try {
      while (bytes.hasRemaining() && !over && !aside) {
        clear.clear();
        SSLEngineResult result = engine.unwrap(bytes, clear);
        if (result.getStatus() == Status.BUFFER_UNDERFLOW) {
          return;
        }
        if (result.getStatus() == Status.BUFFER_OVERFLOW) {
          throw new SSLException("a record larger than records are");
        }
        if (!clear.flip().hasRemaining()) {
          shookHands(result);
          advance();
        } else {
          user.received(clear);
          if (!over) {
            advance();
          }
        }
        // work aside that finds the peer wrong ends the engine's inbound, too, on its own thread:
        // that is told when it is done
        if (!over && !aside && engine.isInboundDone()) {
          closedByPeer();
          return;
        }
      }
    } catch (SSLException e) {
      failed(e);
    } finally {
      place.buffers.give(clear);
    }
  }

  private void closedByPeer() {
    if (!shaken) {
      refuse(Refusal.ENDED, "closed by the other side");
      return;
    }
    why = "closed by the other side";
    close();
  }

  /** Does what the engine wants next, until it waits for the peer or for work aside. */
  private void advance() {
    while (!over && !aside) {
      HandshakeStatus status = engine.getHandshakeStatus();
      if (status == HandshakeStatus.NEED_TASK) {
        work();
      } else if (status == HandshakeStatus.NEED_WRAP) {
        if (shaken
            && engine.getSession().getProtocol().equals("TLSv1.2")
            && !engine.isOutboundDone()
            && !engine.isInboundDone()) {
          cut("wants to renegotiate");
          return;
        }
        if (!wrapOnce(new ByteBuffer[] {NOTHING}, 1)) {
          return;
        }
      } else {
        return; // waits for bytes, which come by themselves, or for nothing
      }
    }
  }

  private void work() {
    Runnable task = engine.getDelegatedTask();
    if (task == null) {
      return;
    }
    aside = true;
    boolean taken =
        place.aside.run(
            task,
            () -> {
              aside = false;
              if (over) {
                return;
              }
              advance();
              fromHeld();
              if (!plain.isEmpty() || !ready.isEmpty() || finishing) {
                mark();
              }
            });
    if (taken) {
      return;
    }
    aside = false;
    refuseOrCut(Refusal.TOO_MANY, "no room for its work");
  }

  /** Wraps from some buffers into one record; false where nothing more can be done. */
  private boolean wrapOnce(ByteBuffer[] from, int many) {
    ByteBuffer record = place.buffers.take();
    try {
      SSLEngineResult result = engine.wrap(from, 0, many, record);
      if (result.bytesConsumed() > 0) {
        wrapped += result.bytesConsumed();
        marks.add(new Mark(wrapped, connection.bytesWritten()));
      }
      record.flip();
      if (record.hasRemaining()) {
        connection.reserve(record.remaining()).put(record);
      }
      shookHands(result);
      return result.getStatus() == Status.OK
          && (result.bytesProduced() > 0 || result.bytesConsumed() > 0);
    } catch (SSLException e) {
      failed(e);
      return false;
    } finally {
      place.buffers.give(record);
    }
  }

  private void shookHands(SSLEngineResult result) {
    if (result.getHandshakeStatus() != HandshakeStatus.FINISHED || shaken || over) {
      return;
    }
    if (!Credentials.PROTOCOL.equals(engine.getApplicationProtocol())) {
      refuse(Refusal.NO_PROTOCOL, "it chose \"" + engine.getApplicationProtocol() + "\"");
      return;
    }
    boolean looked = expected.looked();
    try {
      // a resumed session has the certificates of an earlier handshake: they may have run out since
      if (!looked && asks()) {
        credentials.check(engine.getSession(), expected);
      }
    } catch (RefusedException e) {
      engine.getSession().invalidate();
      refuse(e.refusal, e.getMessage());
      return;
    }
    shaken = true;
    limit.cancel();
    credentials.over(engine);
    count(null, asks() ? !looked : engine.getSession().getCreationTime() < begun.toEpochMilli());
    user.connected(this);
  }

  /** Whether its peer has to show a certificate. */
  private boolean asks() {
    return engine.getUseClientMode() || engine.getNeedClientAuth();
  }

  private void count(Refusal refused, boolean resumed) {
    if (!counted) {
      return;
    }
    counted = false;
    if (refused == null) {
      place.counter.done(resumed);
    } else {
      place.counter.refused(refused);
    }
  }

  private void failed(SSLException e) {
    if (over) {
      return;
    }
    for (Throwable cause = e; cause != null; cause = cause.getCause()) {
      if (cause instanceof RefusedException refused) {
        refuse(refused.refusal, refused.getMessage());
        return;
      }
    }
    String message = String.valueOf(e.getMessage());
    if (shaken) {
      cut("damaged: " + message);
      return;
    }
    boolean alert = message.contains("fatal alert");
    boolean other =
        message.toLowerCase(Locale.ROOT).contains("unrecognized ssl message")
            || message.contains("No appropriate protocol")
            || message.contains("protocol_version")
            || message.contains("handshake_failure")
            || message.contains("no cipher suites")
            || message.contains("is not supported")
            || message.contains("not accepted")
            || message.contains("Unknown authType");
    boolean nothing =
        message.contains("Empty client certificate chain")
            || message.contains("Empty server certificate chain");
    boolean application = message.contains("no_application_protocol") || message.contains("ALPN");
    refuse(
        nothing
            ? Refusal.NO_CERTIFICATE
            : application
                ? Refusal.NO_PROTOCOL
                : other ? Refusal.NOT_TLS : alert ? Refusal.PEER_REFUSED : Refusal.FAILED,
        message);
  }

  private void refuseOrCut(Refusal refusal, String detail) {
    if (shaken) {
      cut(refusal.words() + ": " + detail);
    } else {
      refuse(refusal, detail);
    }
  }

  /** The peer is told by an alert, the user in one line. */
  private void refuse(Refusal refusal, String detail) {
    if (over) {
      return;
    }
    count(refusal, false);
    why =
        detail.startsWith(refusal.words())
            ? "TLS: " + detail
            : "TLS: " + refusal.words() + " (" + detail + ")";
    refused = refusal;
    close();
  }

  /** Why the peer was refused; null where it was not. */
  public Refusal refused() {
    return refused;
  }

  /** Sends what TLS has to say at its end, and ends the link after that. */
  private void close() {
    engine.closeOutbound();
    over = true;
    for (int i = 0; i < 8 && !engine.isOutboundDone(); i++) {
      ByteBuffer record = place.buffers.take();
      try {
        SSLEngineResult result = engine.wrap(NOTHING, record);
        record.flip();
        if (record.hasRemaining()) {
          connection.reserve(record.remaining()).put(record);
        }
        if (result.getStatus() != Status.OK) {
          break;
        }
        if (result.getHandshakeStatus() == HandshakeStatus.NEED_TASK) {
          break;
        }
      } catch (SSLException e) {
        break; // the link ends, and what ended it is told already
      } finally {
        place.buffers.give(record);
      }
    }
    ended();
    connection.finish();
  }

  private void ended() {
    if (limit != null) {
      limit.cancel();
    }
    credentials.over(engine);
    if (held != null) {
      place.buffers.give(held);
    }
    held = null;
    plain.clear();
    ready.clear();
    tail = null;
  }

  @Override
  public void closed(String below) {
    boolean silent = !over; // no word of TLS came before
    over = true;
    ended();
    if (!shaken && silent) {
      if (connection != null) {
        count(Refusal.ENDED, false);
        refused = Refusal.ENDED;
        why = "TLS: " + Refusal.ENDED.words() + " (" + below + ")";
      }
    } else if (silent && below.equals("closed by the other side")) {
      why = "cut off: ended without TLS's close";
    }
    count(Refusal.ENDED, false);
    user.closed(why == null ? below : why);
  }

  // From the user above.

  @Override
  public ByteBuffer reserve(int bytes) {
    if (tail == null || tail.remaining() < bytes) {
      tail = ByteBuffer.allocate(Math.max(bytes, CLAIMED));
      plain.add(tail);
    }
    ByteBuffer room = tail.slice(tail.position(), bytes);
    tail.position(tail.position() + bytes);
    queued(bytes);
    return room;
  }

  @Override
  public void append(byte[] bytes) {
    tail = null;
    ByteBuffer whole = ByteBuffer.wrap(bytes);
    whole.position(bytes.length);
    plain.add(whole);
    queued(bytes.length);
  }

  private void queued(int bytes) {
    written += bytes;
    mark();
  }

  private void mark() {
    if (marked || over) {
      return;
    }
    marked = true;
    place.timers.atTurnsEnd(this::flush);
  }

  /** At a turn's end: all that was written in it becomes records. */
  private void flush() {
    marked = false;
    if (over) {
      return;
    }
    tail = null;
    if (aside) {
      return; // goes on when that is done, see advance
    }
    while (!plain.isEmpty()) {
      ready.add(plain.poll().flip());
    }
    ByteBuffer[] some = new ByteBuffer[GATHERED];
    while (!ready.isEmpty() && !over) {
      int many = 0;
      for (ByteBuffer piece : ready) {
        if (many == GATHERED) {
          break;
        }
        some[many++] = piece;
      }
      if (!wrapOnce(some, many)) {
        break;
      }
      while (!ready.isEmpty() && !ready.peek().hasRemaining()) {
        ready.poll();
      }
    }
    if (!ready.isEmpty()) {
      advance(); // it wants work done first; then this goes on
    }
    bytesHandedOver();
    if (finishing && !over && ready.isEmpty()) {
      why = "done";
      close();
    }
  }

  @Override
  public long bytesWritten() {
    return written;
  }

  @Override
  public long bytesHandedOver() {
    if (connection == null) {
      return 0;
    }
    long below = connection.bytesHandedOver();
    while (!marks.isEmpty() && marks.peek().recordStart < below) {
      handed = marks.poll().plainEnd;
    }
    return handed;
  }

  @Override
  public void finish() {
    if (over || finishing) {
      return;
    }
    finishing = true;
    mark();
  }

  @Override
  public void cut(String reason) {
    if (over) {
      return;
    }
    over = true;
    why = reason;
    count(Refusal.ENDED, false);
    ended();
    if (connection != null) {
      connection.cut(reason);
    }
  }
}
